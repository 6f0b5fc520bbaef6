//! Buffers of one size, used again from a pool.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The largest body that is taken.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The largest head (request line and headers) that is taken.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The one size: a complete message fits, with room for the framing of a chunked body.
pub const BUFFER_BYTES: usize = MAX_BODY_BYTES + 2 * MAX_HEAD_BYTES;
/// Where buffers come from and go back to. One that was given back to the system would have to be cleared when it
/// is made anew, so those that there have been at once stay; how many these can be follows from the memory limit.
pub struct Pool {
    free: RefCell<Vec<Vec<u8>>>,
    out: Cell<usize>,
    most: Cell<usize>,
}

impl Pool {
    /// An empty pool for a process that may use so much memory.
    pub fn new(memory_mb: usize) -> Rc<Self> {
        let pool = Rc::new(Pool {
            free: RefCell::default(),
            out: Cell::new(0),
            most: Cell::new(0),
        });
        pool.set_limit(memory_mb);
        pool
    }

    /// So much memory is the process's from now on. What is out comes back by itself.
    pub fn set_limit(&self, memory_mb: usize) {
        self.most.set(((memory_mb << 20) / 2 / BUFFER_BYTES).max(8));
        self.free.borrow_mut().truncate(self.most.get());
    }

    /// An empty buffer.
    pub fn take(self: &Rc<Self>) -> Buffer {
        // Zeroed pages are only touched as they fill: a mostly empty buffer costs little memory.
        let bytes = self
            .free
            .borrow_mut()
            .pop()
            .unwrap_or_else(|| vec![0; BUFFER_BYTES]);
        self.out.set(self.out.get() + 1);
        Buffer {
            bytes,
            len: 0,
            pool: self.clone(),
        }
    }

    /// May one more message be read? Each may need a buffer more until it is passed on; a quarter is for answers
    /// and attempts.
    pub fn has_capacity(&self) -> bool {
        self.out.get() < self.most.get() - self.most.get() / 4
    }
}

/// A buffer out of the pool; it goes back when dropped.
pub struct Buffer {
    bytes: Vec<u8>,
    len: usize,
    pool: Rc<Pool>,
}

impl Buffer {
    /// What it holds.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[..self.len]
    }

    /// What it holds, to be changed in place.
    pub fn filled_mut(&mut self) -> &mut [u8] {
        &mut self.bytes[..self.len]
    }

    /// Where more can be read to; empty when it is full.
    pub fn spare(&mut self) -> &mut [u8] {
        &mut self.bytes[self.len..]
    }

    /// Counts bytes that were read into the room.
    pub fn grow(&mut self, count: usize) {
        self.len = (self.len + count).min(BUFFER_BYTES);
    }

    /// Drops this many bytes from the front.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len);
        self.bytes.copy_within(count..self.len, 0);
        self.len -= count;
    }

    /// Empties it.
    pub fn clear(&mut self) {
        self.len = 0;
    }
}

impl std::io::Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let count = bytes.len().min(BUFFER_BYTES - self.len);
        self.bytes[self.len..self.len + count].copy_from_slice(&bytes[..count]);
        self.len += count;
        Ok(count)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.pool.out.set(self.pool.out.get() - 1);
        let mut free = self.pool.free.borrow_mut();
        if self.pool.out.get() + free.len() < self.pool.most.get() {
            free.push(std::mem::take(&mut self.bytes));
        }
    }
}

#[cfg(test)]
mod tests;

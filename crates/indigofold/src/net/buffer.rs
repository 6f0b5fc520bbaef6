//! Buffers of a fixed size, reused through a pool.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Maximum size of a message body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a message head (request or status line and headers).
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Size of a buffer: a complete message fits, including the framing of a chunked body.
pub const BUFFER_BYTES: usize = MAX_BODY_BYTES + 2 * MAX_HEAD_BYTES;

/// A pool of buffers. Freed buffers are kept, because a newly allocated one must be zeroed. The memory limit bounds how many
/// are in use and kept together.
pub struct Pool {
    free: RefCell<Vec<Vec<u8>>>,
    in_use: Cell<usize>,
    max_buffers: Cell<usize>,
}

impl Pool {
    /// Creates an empty pool for a process that may use this much memory, in MiB; half of it is for buffers.
    pub fn new(memory_mb: usize) -> Rc<Self> {
        let pool = Rc::new(Pool {
            free: RefCell::default(),
            in_use: Cell::new(0),
            max_buffers: Cell::new(0),
        });
        pool.set_limit(memory_mb);
        pool
    }

    /// Changes the memory that the process may use, in MiB. Free buffers beyond the limit are dropped at once, buffers in use
    /// when they are returned.
    pub fn set_limit(&self, memory_mb: usize) {
        self.max_buffers
            .set(((memory_mb << 20) / 2 / BUFFER_BYTES).max(8));
        self.free.borrow_mut().truncate(self.max_buffers.get());
    }

    /// Takes a free buffer, or allocates one; this succeeds also beyond the limit.
    pub fn take(self: &Rc<Self>) -> Buffer {
        // Zeroed pages use no memory until they are written: a mostly empty buffer costs little.
        let bytes = self
            .free
            .borrow_mut()
            .pop()
            .unwrap_or_else(|| vec![0; BUFFER_BYTES]);
        self.in_use.set(self.in_use.get() + 1);
        Buffer {
            bytes,
            len: 0,
            pool: self.clone(),
        }
    }

    /// Returns true if a buffer is free for reading one more message. A quarter of the buffers is reserved for answers and
    /// attempts, as a message may need a second buffer until it is passed on.
    pub fn has_capacity(&self) -> bool {
        self.in_use.get() < self.max_buffers.get() - self.max_buffers.get() / 4
    }
}

/// A buffer from the pool, returned to it when dropped.
pub struct Buffer {
    bytes: Vec<u8>,
    len: usize,
    pool: Rc<Pool>,
}

impl Buffer {
    /// The bytes that were read or written into the buffer.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[..self.len]
    }

    /// The filled bytes, for changes in place.
    pub fn filled_mut(&mut self) -> &mut [u8] {
        &mut self.bytes[..self.len]
    }

    /// The unused part, into which more can be read; empty when the buffer is full.
    pub fn spare(&mut self) -> &mut [u8] {
        &mut self.bytes[self.len..]
    }

    /// Adds `count` bytes that were read into [`Buffer::spare`] to the filled part.
    pub fn grow(&mut self, count: usize) {
        self.len = (self.len + count).min(BUFFER_BYTES);
    }

    /// Removes this many bytes from the front and moves the rest there.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len);
        self.bytes.copy_within(count..self.len, 0);
        self.len -= count;
    }

    /// Discards the filled bytes.
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
        self.pool.in_use.set(self.pool.in_use.get() - 1);
        let mut free = self.pool.free.borrow_mut();
        if self.pool.in_use.get() + free.len() < self.pool.max_buffers.get() {
            free.push(std::mem::take(&mut self.bytes));
        }
    }
}

#[cfg(test)]
mod tests;

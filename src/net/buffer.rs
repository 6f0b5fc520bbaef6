//! Buffers of one size, used again from a pool.

use std::cell::RefCell;
use std::rc::Rc;

/// The largest body that is taken.
pub const BODY: usize = 64 * 1024;
/// The largest head (request line and headers) that is taken.
pub const HEAD: usize = 8 * 1024;
/// The one size: a whole message fits, with room for the framing of a chunked body.
pub const SIZE: usize = BODY + 2 * HEAD;
/// Buffers kept for use again: as many as there can be connections. One that was given back to the system
/// would have to be cleared when it is made anew, and all of it would count as memory in use.
const KEPT: usize = 1024;

/// Where buffers come from and go back to.
#[derive(Default)]
pub struct Pool(RefCell<Vec<Vec<u8>>>);

impl Pool {
    /// An empty pool.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// An empty buffer.
    pub fn take(self: &Rc<Self>) -> Buffer {
        // Zeroed pages are only touched as they fill: a mostly empty buffer costs little memory.
        let bytes = self.0.borrow_mut().pop().unwrap_or_else(|| vec![0; SIZE]);
        Buffer { bytes, len: 0, pool: self.clone() }
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
    pub fn room(&mut self) -> &mut [u8] {
        &mut self.bytes[self.len..]
    }

    /// Counts bytes that were read into the room.
    pub fn grow(&mut self, count: usize) {
        self.len = (self.len + count).min(SIZE);
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
        let count = bytes.len().min(SIZE - self.len);
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
        let mut kept = self.pool.0.borrow_mut();
        if kept.len() < KEPT {
            kept.push(std::mem::take(&mut self.bytes));
        }
    }
}

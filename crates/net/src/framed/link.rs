//! State shared by the two halves of a connection and the task that writes its queue.

use crate::socket::shut_down;
use crate::waker_slot::WakerSlot;
use compio::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::{Shutdown, SocketAddr};
use std::task::{Poll, Waker};

/// Capacity above which an emptied buffer is released.
pub(super) const RETAINED_BUFFER_BYTES_MAX: usize = 64 << 10;

/// Shared state of one connection: its socket, its send queue, and whether it is closed.
pub(super) struct Link {
    stream: TcpStream,
    peer: SocketAddr,
    /// Encoded frames that wait to be written.
    queue: RefCell<Vec<u8>>,
    /// Size of the batch that is being written to the socket; 0 if none is.
    writing_bytes: Cell<usize>,
    /// Number of senders that have not been dropped.
    sender_count: Cell<usize>,
    closed: Cell<bool>,
    /// Waker of the task that writes the queue.
    writer_waker: WakerSlot,
    /// Waker of the task that reads frames.
    reader_waker: WakerSlot,
}

impl Link {
    /// Creates the state of an open connection with one sender.
    pub(super) fn new(stream: TcpStream, peer: SocketAddr) -> Link {
        Link {
            stream,
            peer,
            queue: RefCell::default(),
            writing_bytes: Cell::new(0),
            sender_count: Cell::new(1),
            closed: Cell::new(false),
            writer_waker: WakerSlot::default(),
            reader_waker: WakerSlot::default(),
        }
    }

    /// Returns the socket.
    pub(super) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns the address of the peer's socket.
    pub(super) fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Closes the connection for both halves and discards the queue.
    pub(super) fn close(&self) {
        if !self.closed.replace(true) {
            *self.queue.borrow_mut() = Vec::new();
            shut_down(&self.stream, Shutdown::Both);
            self.writer_waker.wake();
            self.reader_waker.wake();
        }
    }

    /// Whether the connection is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Registers `waker` of the reading task, to be woken when the connection closes.
    pub(super) fn register_reader(&self, waker: &Waker) {
        self.reader_waker.register(waker);
    }

    /// Counts a cloned sender.
    pub(super) fn add_sender(&self) {
        self.sender_count.set(self.sender_count.get() + 1);
    }

    /// Counts a dropped sender. After the last one is dropped, the connection ends once the queue is written.
    pub(super) fn remove_sender(&self) {
        let remaining = self.sender_count.get() - 1;
        self.sender_count.set(remaining);
        if remaining == 0 {
            self.writer_waker.wake();
        }
    }

    /// Queues an encoded frame and wakes the writing task.
    pub(super) fn enqueue(&self, bytes: Vec<u8>) {
        let mut queue = self.queue.borrow_mut();
        if queue.capacity() == 0 {
            *queue = bytes;
        } else {
            queue.extend_from_slice(&bytes);
        }
        drop(queue);
        self.writer_waker.wake();
    }

    /// Number of bytes that wait to be written or are being written.
    pub(super) fn queued_bytes(&self) -> usize {
        self.queue.borrow().len() + self.writing_bytes.get()
    }

    /// Sets the size of the batch that is being written.
    pub(super) fn set_writing_bytes(&self, bytes: usize) {
        self.writing_bytes.set(bytes);
    }

    /// Waits for queued bytes and returns them, leaving the empty buffer `spare` as the queue. Returns `None` once the
    /// connection is closed, or all senders are dropped and the queue is empty.
    pub(super) async fn next_batch(&self, spare: Vec<u8>) -> Option<Vec<u8>> {
        let mut spare = Some(spare);
        poll_fn(|context| {
            if self.is_closed() {
                return Poll::Ready(None);
            }
            let mut queue = self.queue.borrow_mut();
            if !queue.is_empty() {
                let spare = spare.take().unwrap_or_default();
                return Poll::Ready(Some(std::mem::replace(&mut *queue, spare)));
            }
            if self.sender_count.get() == 0 {
                return Poll::Ready(None);
            }
            self.writer_waker.register(context.waker());
            Poll::Pending
        })
        .await
    }
}

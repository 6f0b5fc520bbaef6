//! The sending half of a connection: a queue of encoded frames and the task that writes it.

use compio::BufResult;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use indigofold_protocol::codec;
use indigofold_protocol::internal::Frame;
use snafu::{Snafu, ensure};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::task::{Poll, Waker};

use crate::runtime;
use crate::socket::shut_down;

/// Most bytes that may wait to be written on one connection; beyond it the connection is closed.
pub const QUEUE_BYTES_MAX: usize = 80 << 20;

/// Capacity above which an emptied buffer is given back.
const BUFFER_KEPT_MAX: usize = 64 << 10;

/// A frame was not queued: the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the connection is closed"))]
pub struct Closed;

/// What the halves of a connection and its writing task share.
pub(super) struct Link {
    stream: TcpStream,
    peer: SocketAddr,
    /// Encoded frames that wait.
    queue: RefCell<Vec<u8>>,
    /// Bytes handed to the socket and not taken by it yet.
    writing: Cell<usize>,
    /// Senders alive.
    senders: Cell<usize>,
    closed: Cell<bool>,
    writer: RefCell<Option<Waker>>,
    reader: RefCell<Option<Waker>>,
}

impl Link {
    /// Ends the connection for both halves.
    pub(super) fn close(&self) {
        if !self.closed.replace(true) {
            *self.queue.borrow_mut() = Vec::new();
            shut_down(&self.stream, Shutdown::Both);
            wake(&self.writer);
            wake(&self.reader);
        }
    }

    /// Whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Wakes the reader's task with `waker` when the connection ends.
    pub(super) fn wake_reader(&self, waker: &Waker) {
        register(&self.reader, waker);
    }
}

/// Sends frames; clones share the connection.
pub struct FrameSender {
    link: Rc<Link>,
}

impl Clone for FrameSender {
    fn clone(&self) -> Self {
        self.link.senders.set(self.link.senders.get() + 1);
        FrameSender {
            link: self.link.clone(),
        }
    }
}

impl Drop for FrameSender {
    fn drop(&mut self) {
        let left = self.link.senders.get() - 1;
        self.link.senders.set(left);
        if left == 0 {
            wake(&self.link.writer);
        }
    }
}

impl FrameSender {
    /// Starts the task that writes to `stream`.
    pub(super) fn start(stream: TcpStream, peer: SocketAddr) -> FrameSender {
        let link = Rc::new(Link {
            stream,
            peer,
            queue: RefCell::default(),
            writing: Cell::new(0),
            senders: Cell::new(1),
            closed: Cell::new(false),
            writer: RefCell::default(),
            reader: RefCell::default(),
        });
        runtime::spawn(write_queue(link.clone()));
        FrameSender { link }
    }

    /// What the halves share.
    pub(super) fn link(&self) -> Rc<Link> {
        self.link.clone()
    }

    /// Queues a frame. What is queued before the calling task waits leaves in one write. A queue that would grow
    /// beyond [`QUEUE_BYTES_MAX`] closes the connection: the peer does not read.
    pub fn send(&self, frame: &Frame) -> Result<(), Closed> {
        ensure!(!self.link.is_closed(), ClosedSnafu);
        let bytes = codec::encode(frame);
        if self.queued_bytes() + bytes.len() > QUEUE_BYTES_MAX {
            log::warn!(
                "{} does not read: {} bytes wait, the connection is closed",
                self.link.peer,
                bytes.len()
            );
            self.link.close();
            return ClosedSnafu.fail();
        }
        let mut queue = self.link.queue.borrow_mut();
        if queue.capacity() == 0 {
            *queue = bytes;
        } else {
            queue.extend_from_slice(&bytes);
        }
        drop(queue);
        wake(&self.link.writer);
        Ok(())
    }

    /// Closes the connection; what is still queued is lost.
    pub fn close(&self) {
        self.link.close();
    }

    /// Whether the connection is closed, by either side.
    pub fn is_closed(&self) -> bool {
        self.link.is_closed()
    }

    /// Bytes that wait to be written.
    pub fn queued_bytes(&self) -> usize {
        self.link.queue.borrow().len() + self.link.writing.get()
    }
}

/// Writes what is queued until the connection ends or all senders are gone.
async fn write_queue(link: Rc<Link>) {
    let mut spare = Vec::new();
    while let Some(bytes) = next_batch(&link, spare).await {
        link.writing.set(bytes.len());
        let BufResult(written, mut bytes) = (&link.stream).write_all(bytes).await;
        link.writing.set(0);
        if let Err(error) = written {
            log::debug!("writing to {} failed: {error}", link.peer);
            return link.close();
        }
        bytes.clear();
        spare = if bytes.capacity() > BUFFER_KEPT_MAX {
            Vec::new()
        } else {
            bytes
        };
    }
    // The peer reads to the end of what was written; its own end of the connection ends the reader here.
    shut_down(&link.stream, Shutdown::Write);
}

/// Takes what is queued and leaves `spare` in its place; `None` once no more will come.
async fn next_batch(link: &Link, spare: Vec<u8>) -> Option<Vec<u8>> {
    let mut spare = Some(spare);
    poll_fn(|context| {
        if link.is_closed() {
            return Poll::Ready(None);
        }
        let mut queue = link.queue.borrow_mut();
        if !queue.is_empty() {
            return Poll::Ready(Some(std::mem::replace(
                &mut *queue,
                spare.take().unwrap_or_default(),
            )));
        }
        if link.senders.get() == 0 {
            return Poll::Ready(None);
        }
        register(&link.writer, context.waker());
        Poll::Pending
    })
    .await
}

/// Keeps `waker` in `slot` unless it is there already.
fn register(slot: &RefCell<Option<Waker>>, waker: &Waker) {
    let mut slot = slot.borrow_mut();
    if !slot.as_ref().is_some_and(|kept| kept.will_wake(waker)) {
        *slot = Some(waker.clone());
    }
}

/// Wakes the task whose waker is in `slot`.
fn wake(slot: &RefCell<Option<Waker>>) {
    if let Some(waker) = slot.borrow_mut().take() {
        waker.wake();
    }
}

//! The sending half of a connection: a queue of encoded frames, and the task that writes them to the socket.

use super::link::{Link, RETAINED_BUFFER_BYTES_MAX};
use crate::runtime;
use crate::socket::shut_down;
use compio::BufResult;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use indigofold_protocol::codec;
use indigofold_protocol::internal::Frame;
use snafu::{Snafu, ensure};
use std::fmt;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;

/// Maximum number of bytes that may wait to be written on one connection. A frame that would exceed it closes the
/// connection.
pub const QUEUE_BYTES_MAX: usize = 80 << 20;

/// The error of [`FrameSender::send`]: the frame was not queued because the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the connection is closed"))]
pub struct ConnectionClosed;

/// Sends frames. Clones share the connection.
pub struct FrameSender {
    link: Rc<Link>,
}

impl Clone for FrameSender {
    fn clone(&self) -> Self {
        self.link.add_sender();
        FrameSender {
            link: self.link.clone(),
        }
    }
}

impl Drop for FrameSender {
    fn drop(&mut self) {
        self.link.remove_sender();
    }
}

impl fmt::Debug for FrameSender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FrameSender")
            .field("peer", &self.link.peer())
            .finish_non_exhaustive()
    }
}

impl FrameSender {
    /// Creates a sender for `stream` and starts the task that writes its queue.
    pub(super) fn start(stream: TcpStream, peer: SocketAddr) -> FrameSender {
        let link = Rc::new(Link::new(stream, peer));
        runtime::spawn(write_queue(link.clone()));
        FrameSender { link }
    }

    /// Returns the state that both halves share.
    pub(super) fn link(&self) -> Rc<Link> {
        self.link.clone()
    }

    /// Queues a frame. All frames that a task queues before it next yields are written together. If the queue would
    /// grow beyond [`QUEUE_BYTES_MAX`], the peer is assumed not to read and the connection is closed.
    ///
    /// # Errors
    ///
    /// [`ConnectionClosed`] if the connection is closed, possibly by this call.
    pub fn send(&self, frame: &Frame) -> Result<(), ConnectionClosed> {
        ensure!(!self.link.is_closed(), ConnectionClosedSnafu);
        let bytes = codec::encode(frame);
        let queued_bytes = self.queued_bytes();
        if queued_bytes + bytes.len() > QUEUE_BYTES_MAX {
            log::warn!(
                "connection closed: the peer does not read peer={} queued_bytes={queued_bytes} frame_bytes={}",
                self.link.peer(),
                bytes.len()
            );
            self.link.close();
            return ConnectionClosedSnafu.fail();
        }
        self.link.enqueue(bytes);
        Ok(())
    }

    /// Closes the connection; frames that are still queued are lost.
    pub fn close(&self) {
        self.link.close();
    }

    /// Whether the connection is closed, by either side.
    pub fn is_closed(&self) -> bool {
        self.link.is_closed()
    }

    /// Number of bytes that wait to be written or are being written.
    pub fn queued_bytes(&self) -> usize {
        self.link.queued_bytes()
    }
}

/// Writes the queue to the socket until the connection closes, or all senders are dropped and the queue is empty.
async fn write_queue(link: Rc<Link>) {
    let mut spare = Vec::new();
    while let Some(bytes) = link.next_batch(spare).await {
        link.set_writing_bytes(bytes.len());
        let BufResult(written, mut bytes) = link.stream().write_all(bytes).await;
        link.set_writing_bytes(0);
        if let Err(error) = written {
            log::debug!("write failed peer={} error={error}", link.peer());
            return link.close();
        }
        bytes.clear();
        spare = if bytes.capacity() > RETAINED_BUFFER_BYTES_MAX {
            Vec::new()
        } else {
            bytes
        };
    }
    // Only the write direction is shut down, so that the peer receives all written bytes. The local reader ends when
    // the peer closes its direction.
    shut_down(link.stream(), Shutdown::Write);
}

//! The receiving half of a connection.

use super::link::{Link, RETAINED_BUFFER_BYTES_MAX};
use crate::error::{ConnectionSnafu, FrameSnafu, NetError, TruncatedSnafu};
use compio::BufResult;
use compio::buf::{IntoInner, IoBuf};
use compio::io::AsyncRead;
use compio::net::TcpStream;
use indigofold_protocol::codec;
use indigofold_protocol::internal::Frame;
use snafu::{ResultExt, ensure};
use std::fmt;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;

/// Minimum free space in the buffer before each read, in bytes.
const READ_BYTES: usize = 8 << 10;

/// Receives frames. Dropping it closes the connection.
pub struct FrameReader {
    stream: TcpStream,
    peer: SocketAddr,
    link: Rc<Link>,
    /// Received bytes, of which the first `decoded` are decoded.
    buffer: Vec<u8>,
    decoded: usize,
}

impl FrameReader {
    /// Creates a reader for `stream`.
    pub(super) fn new(stream: TcpStream, peer: SocketAddr, link: Rc<Link>) -> FrameReader {
        FrameReader {
            stream,
            peer,
            link,
            buffer: Vec::new(),
            decoded: 0,
        }
    }

    /// Receives the next frame; `None` once the connection is closed, by the peer or by this side. Frames that were
    /// received completely before are still returned. After an error the connection is closed.
    ///
    /// Not cancel-safe: a call that is dropped while it waits may lose received bytes.
    ///
    /// # Errors
    ///
    /// [`NetError`] if the connection fails, ends within a frame, or carries bytes that are not a valid frame.
    pub async fn next(&mut self) -> Result<Option<Frame>, NetError> {
        let frame = self.receive().await;
        if !matches!(frame, Ok(Some(_))) {
            self.link.close();
        }
        frame
    }

    /// Returns the next frame from the buffer, or reads from the socket until it is complete.
    async fn receive(&mut self) -> Result<Option<Frame>, NetError> {
        let peer = self.peer;
        loop {
            if let Some((frame, length)) =
                codec::decode(&self.buffer[self.decoded..]).context(FrameSnafu { peer })?
            {
                self.decoded += length;
                return Ok(Some(frame));
            }
            self.reserve_space();
            let received = self.fill().await.context(ConnectionSnafu { peer })?;
            if received == 0 {
                ensure!(
                    self.buffer.is_empty() || self.link.is_closed(),
                    TruncatedSnafu { peer }
                );
                return Ok(None);
            }
        }
    }

    /// Discards the decoded bytes and reserves space for the missing rest of the current frame.
    fn reserve_space(&mut self) {
        self.buffer.drain(..self.decoded);
        self.decoded = 0;
        if self.buffer.is_empty() && self.buffer.capacity() > RETAINED_BUFFER_BYTES_MAX {
            self.buffer = Vec::new();
        }
        let missing = codec::missing_bytes(&self.buffer);
        self.buffer.reserve(missing.max(READ_BYTES));
    }

    /// Appends bytes from the socket to the buffer and returns their number; 0 once the connection is closed.
    async fn fill(&mut self) -> io::Result<usize> {
        let filled = self.buffer.len();
        let unfilled = std::mem::take(&mut self.buffer).slice(filled..);
        let mut stream = &self.stream;
        let mut read = pin!(stream.read(unfilled));
        let link = &self.link;
        let outcome = poll_fn(|context| {
            if link.is_closed() {
                return Poll::Ready(None);
            }
            link.register_reader(context.waker());
            read.as_mut().poll(context).map(Some)
        });
        match outcome.await {
            Some(BufResult(received, filled)) => {
                self.buffer = filled.into_inner();
                received
            }
            None => Ok(0),
        }
    }
}

impl fmt::Debug for FrameReader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FrameReader")
            .field("peer", &self.peer)
            .finish_non_exhaustive()
    }
}

impl Drop for FrameReader {
    fn drop(&mut self) {
        self.link.close();
    }
}

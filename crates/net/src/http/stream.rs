//! Adapter from a socket to the stream type that the HTTP library expects.

use super::progress::Progress;
use crate::socket::shut_down;
use compio::BufResult;
use compio::buf::{IoBuf, IoBufMut, IoVectoredBuf};
use compio::io::util::Splittable;
use compio::io::{AsyncRead, AsyncWrite};
use compio::net::TcpStream;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;

/// A connection's socket that records when bytes are received.
pub(super) struct ServerStream {
    pub(super) stream: TcpStream,
    pub(super) progress: Rc<Progress>,
}

/// The receiving half of a [`ServerStream`].
pub(super) struct ReadHalf {
    stream: TcpStream,
    progress: Rc<Progress>,
}

/// The sending half of a [`ServerStream`].
pub(super) struct WriteHalf {
    stream: TcpStream,
}

impl Splittable for ServerStream {
    type ReadHalf = ReadHalf;
    type WriteHalf = WriteHalf;

    fn split(self) -> (ReadHalf, WriteHalf) {
        let write_half = WriteHalf {
            stream: self.stream.clone(),
        };
        (
            ReadHalf {
                stream: self.stream,
                progress: self.progress,
            },
            write_half,
        )
    }
}

impl AsyncRead for ReadHalf {
    async fn read<B: IoBufMut>(&mut self, buffer: B) -> BufResult<usize, B> {
        let result = self.stream.read(buffer).await;
        self.progress.record_received();
        result
    }
}

impl AsyncWrite for WriteHalf {
    async fn write<T: IoBuf>(&mut self, buffer: T) -> BufResult<usize, T> {
        self.stream.write(buffer).await
    }

    async fn write_vectored<T: IoVectoredBuf>(&mut self, buffers: T) -> BufResult<usize, T> {
        self.stream.write_vectored(buffers).await
    }

    async fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }

    /// Shuts down the sending direction by a direct system call, which the runtime would pass to another thread.
    async fn shutdown(&mut self) -> io::Result<()> {
        shut_down(&self.stream, Shutdown::Write);
        Ok(())
    }
}

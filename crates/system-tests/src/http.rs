//! A small blocking HTTP/1.1 client: one request at a time on a connection, each with a timeout.

mod error;
mod message;

pub use error::HttpError;
pub use message::{Request, Response};

use error::{ConnectSnafu, ConnectionLostSnafu, SendSnafu, TimedOutSnafu};
use snafu::ResultExt;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Size of the buffer for one read from a socket, in bytes.
const READ_BYTES: usize = 16 << 10;

/// A keep-alive connection that carries requests one after another.
#[derive(Debug)]
pub struct Connection {
    peer: SocketAddr,
    stream: TcpStream,
    /// Set if no further request can be sent: a request failed, or the peer closes the connection.
    closed: bool,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`HttpError`] if the connection is refused or not established within `at_most`.
    pub fn open(peer: SocketAddr, at_most: Duration) -> Result<Self, HttpError> {
        let stream = TcpStream::connect_timeout(&peer, at_most).context(ConnectSnafu { peer })?;
        stream.set_nodelay(true).context(ConnectSnafu { peer })?;
        Ok(Connection {
            peer,
            stream,
            closed: false,
        })
    }

    /// Whether no further request can be sent on the connection.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Sends a request and waits for its complete response.
    ///
    /// # Errors
    ///
    /// [`HttpError`] if there is no complete response in time.
    pub fn request(&mut self, request: &Request, at_most: Duration) -> Result<Response, HttpError> {
        self.closed = true;
        self.send(&request.to_bytes(self.peer), at_most)?;
        let response = self.receive(Instant::now(), at_most)?;
        self.closed = response.closes();
        Ok(response)
    }

    fn send(&mut self, bytes: &[u8], at_most: Duration) -> Result<(), HttpError> {
        self.stream
            .set_write_timeout(Some(at_most))
            .context(SendSnafu)?;
        self.stream.write_all(bytes).context(SendSnafu)
    }

    fn receive(&mut self, sent: Instant, at_most: Duration) -> Result<Response, HttpError> {
        let mut received = Vec::new();
        loop {
            if let Some(response) = Response::parse(&received)? {
                return Ok(response);
            }
            self.read_more(&mut received, sent, at_most)?;
        }
    }

    fn read_more(
        &mut self,
        received: &mut Vec<u8>,
        sent: Instant,
        at_most: Duration,
    ) -> Result<(), HttpError> {
        let timed_out = || {
            let after = sent.elapsed();
            TimedOutSnafu { after }.fail()
        };
        let left = at_most.saturating_sub(sent.elapsed());
        if left.is_zero() || self.stream.set_read_timeout(Some(left)).is_err() {
            return timed_out();
        }
        let mut chunk = [0; READ_BYTES];
        match self.stream.read(&mut chunk).map_err(|error| error.kind()) {
            Ok(length) if length > 0 => {
                received.extend_from_slice(&chunk[..length]);
                Ok(())
            }
            Err(ErrorKind::Interrupted) => Ok(()),
            Err(ErrorKind::WouldBlock | ErrorKind::TimedOut) => timed_out(),
            Ok(_) | Err(_) => {
                let (after, received) = (sent.elapsed(), received.len());
                ConnectionLostSnafu { after, received }.fail()
            }
        }
    }
}

/// Sends a request on a new connection and waits for its complete response.
///
/// # Errors
///
/// [`HttpError`] if there is no complete response in time.
pub fn request_once(
    peer: SocketAddr,
    request: &Request,
    at_most: Duration,
) -> Result<Response, HttpError> {
    Connection::open(peer, at_most)?.request(request, at_most)
}

/// Sends the first `bytes` bytes of a request on a new connection, and closes it without reading a response.
///
/// # Errors
///
/// [`HttpError`] if the connection cannot be opened or written to.
pub fn send_truncated(
    peer: SocketAddr,
    request: &Request,
    bytes: usize,
    at_most: Duration,
) -> Result<(), HttpError> {
    let mut connection = Connection::open(peer, at_most)?;
    let complete = request.to_bytes(peer);
    connection.send(&complete[..bytes.min(complete.len())], at_most)
}

//! The part of HTTP/1.1 that the simulated peers need: complete messages with a Content-Length.

use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::io::{self, ErrorKind};

/// A received request or response, without its body.
pub(crate) struct Message {
    /// Method of a request; empty for a response.
    pub method: String,
    /// Target of a request; empty for a response.
    pub target: String,
    /// Status of a response; 0 for a request.
    pub status: u16,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Whether the peer closes the connection after this message.
    pub close: bool,
}

impl Message {
    /// The value of the first header with this lower-case name.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }
}

/// A connection, with a buffer of bytes read beyond the last message.
pub(crate) struct HttpConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl HttpConnection {
    /// Wraps a stream, and disables Nagle's algorithm on it.
    pub(crate) fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        HttpConnection {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Writes all bytes.
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Waits until the first byte of the next message has arrived.
    pub(crate) async fn wait_readable(&mut self) -> io::Result<()> {
        if self.buffer.is_empty() {
            self.fill_buffer().await?;
        }
        Ok(())
    }

    async fn fill_buffer(&mut self) -> io::Result<()> {
        let mut bytes = [0; 4096];
        match self.stream.read(&mut bytes).await? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    /// Reads one message and skips its body; `response` selects between a response and a request.
    pub(crate) async fn read(&mut self, response: bool) -> io::Result<Message> {
        loop {
            if let Some((message, head, length)) = parse(&self.buffer, response)? {
                while self.buffer.len() < head + length {
                    self.fill_buffer().await?;
                }
                self.buffer.drain(..head + length);
                return Ok(message);
            }
            self.fill_buffer().await?;
        }
    }
}

/// Parses the head of a message; returns the message and the lengths of head and body in bytes. `None`: the head is incomplete.
fn parse(bytes: &[u8], response: bool) -> io::Result<Option<(Message, usize, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let bad = |_| io::Error::from(ErrorKind::InvalidData);
    let (head, (method, target), status) = if response {
        let mut read = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(head) = read.parse(bytes).map_err(bad)? else {
            return Ok(None);
        };
        (head, Default::default(), read.code.unwrap_or(0))
    } else {
        let mut read = httparse::Request::new(&mut headers);
        let httparse::Status::Complete(head) = read.parse(bytes).map_err(bad)? else {
            return Ok(None);
        };
        let text = |t: Option<&str>| t.unwrap_or("").to_string();
        (head, (text(read.method), text(read.path)), 0)
    };
    let headers = owned_headers(&headers);
    let find = |name: &str| {
        headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    };
    let length = find("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    let close = find("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
    Ok(Some((
        Message {
            method,
            target,
            status,
            headers,
            close,
        },
        head,
        length,
    )))
}

/// Headers with their names in lower case.
fn owned_headers(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let named = headers.iter().take_while(|h| !h.name.is_empty());
    let owned = |h: &httparse::Header<'_>| {
        let value = String::from_utf8_lossy(h.value).into_owned();
        (h.name.to_ascii_lowercase(), value)
    };
    named.map(owned).collect()
}

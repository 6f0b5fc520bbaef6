//! HTTP/1.1 as the stand-ins need it: whole messages, with a length.

use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::io::{self, ErrorKind};

/// A message that came.
pub struct Message {
    /// Method and target, or the status twice.
    pub start: (String, String),
    /// Status of an answer; 0 for a request.
    pub status: u16,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The other side closes behind it.
    pub close: bool,
}

impl Message {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }
}

/// A connection, and what was read beyond the last message.
pub struct Link {
    stream: TcpStream,
    kept: Vec<u8>,
}

impl Link {
    /// Takes over a stream.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Link {
            stream,
            kept: Vec::new(),
        }
    }

    /// Writes all of it.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Waits for the first byte of the next message.
    pub async fn begun(&mut self) -> io::Result<()> {
        if self.kept.is_empty() {
            self.more().await?;
        }
        Ok(())
    }

    async fn more(&mut self) -> io::Result<()> {
        let mut bytes = [0; 4096];
        match self.stream.read(&mut bytes).await? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            count => {
                self.kept.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    /// Reads one message; its body is read over, but for a request to somebody who wants it.
    pub async fn read(&mut self, answer: bool) -> io::Result<Message> {
        loop {
            if let Some((message, head, length)) = parsed(&self.kept, answer)? {
                while self.kept.len() < head + length {
                    self.more().await?;
                }
                self.kept.drain(..head + length);
                return Ok(message);
            }
            self.more().await?;
        }
    }
}

/// Head of a message, how long that is, and how long its body.
fn parsed(bytes: &[u8], answer: bool) -> io::Result<Option<(Message, usize, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let bad = |_| io::Error::from(ErrorKind::InvalidData);
    let (head, start, status) = if answer {
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
    let named = headers.iter().take_while(|h| !h.name.is_empty());
    let headers: Vec<_> = named
        .map(|h| {
            (
                h.name.to_ascii_lowercase(),
                String::from_utf8_lossy(h.value).into_owned(),
            )
        })
        .collect();
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
            start,
            status,
            headers,
            close,
        },
        head,
        length,
    )))
}

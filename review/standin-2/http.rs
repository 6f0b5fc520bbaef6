//! HTTP/1.1 as a client.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub location: Option<String>,
}

/// A connection that stays open between calls.
pub struct Connection {
    stream: TcpStream,
}

impl Connection {
    pub fn open(address: SocketAddr, limit: Duration) -> Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream })
    }

    /// Sends a request without waiting for its answer.
    pub fn send(&mut self, method: &str, path: &str, headers: &str, body: &str) -> Result<()> {
        let request = format!(
            "{method} {path} HTTP/1.1\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(request.as_bytes())
    }

    /// Sends a request and waits for the answer for at most `limit`.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
        limit: Duration,
    ) -> Result<Answer> {
        let deadline = Instant::now() + limit;
        self.send(method, path, headers, body)?;
        self.read(deadline)
    }

    /// Reads an answer until the deadline.
    pub fn read(&mut self, deadline: Instant) -> Result<Answer> {
        let mut bytes = Vec::new();
        let head_end = loop {
            if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
                break end + 4;
            }
            self.fill(&mut bytes, deadline)?;
        };
        let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
        let invalid = || Error::new(ErrorKind::InvalidData, "no HTTP answer");
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
        let status: u16 = status.ok_or_else(invalid)?;
        let header = |name: &str| {
            head.lines().find_map(|line| {
                let (n, value) = line.split_once(':')?;
                n.eq_ignore_ascii_case(name)
                    .then(|| value.trim().to_owned())
            })
        };
        let length: usize = header("content-length")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        while bytes.len() < head_end + length {
            self.fill(&mut bytes, deadline)?;
        }
        let body = String::from_utf8_lossy(&bytes[head_end..head_end + length]).into_owned();
        Ok(Answer {
            status,
            body,
            location: header("location"),
        })
    }

    fn fill(&mut self, bytes: &mut Vec<u8>, deadline: Instant) -> Result<()> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Error::new(ErrorKind::TimedOut, "no answer in time"));
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut chunk = [0; 16_384];
        match self.stream.read(&mut chunk) {
            Ok(0) => Err(Error::new(ErrorKind::UnexpectedEof, "connection closed")),
            Ok(count) => {
                bytes.extend_from_slice(&chunk[..count]);
                Ok(())
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                Err(Error::new(ErrorKind::TimedOut, "no answer in time"))
            }
            Err(error) => Err(error),
        }
    }
}

/// One call on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> Result<Answer> {
    Connection::open(address, limit.min(Duration::from_secs(1)))?
        .call(method, path, headers, body, limit)
}

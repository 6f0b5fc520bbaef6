//! A small blocking HTTP/1.1 client: one call at a time on a connection, all bounded in time.

use snafu::{ResultExt, Snafu};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Bytes read from a socket at once.
const READ_BYTES: usize = 16 << 10;
/// Longest head of an answer.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// A call that got no complete answer.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// The connection was not opened.
    #[snafu(display("cannot connect to {peer}: {source}"))]
    Connect {
        /// Where to.
        peer: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The call could not be sent.
    #[snafu(display("cannot send: {source}"))]
    Send {
        /// Why.
        source: io::Error,
    },
    /// The connection ended before the answer was complete.
    #[snafu(display("cut after {after:?}, {received} bytes into the answer"))]
    Cut {
        /// Time since the call was sent.
        after: Duration,
        /// Bytes of the answer that had come.
        received: usize,
    },
    /// No complete answer within the time allowed.
    #[snafu(display("no complete answer after {after:?}"))]
    Silent {
        /// Time since the call was sent.
        after: Duration,
    },
    /// The answer is not HTTP/1.1 with a `Content-Length`.
    #[snafu(display("the answer cannot be read: {head}"))]
    Malformed {
        /// What came.
        head: String,
    },
}

/// A call.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Its method.
    pub method: &'static str,
    /// Its path.
    pub path: String,
    /// Its headers, `Content-Length` apart.
    pub headers: Vec<(&'static str, String)>,
    /// Its body, empty for none.
    pub body: Vec<u8>,
}

impl Call {
    /// A call without a body.
    pub fn new(method: &'static str, path: impl Into<String>) -> Self {
        Call {
            method,
            path: path.into(),
            ..Call::default()
        }
    }

    /// The call with this header too.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// The call with this JSON text as its body.
    pub fn json(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self.header("Content-Type", "application/json")
    }

    fn to_bytes(&self, peer: SocketAddr) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        if !self.headers.iter().any(|(name, _)| *name == "Host") {
            head.push_str(&format!("Host: {peer}\r\n"));
        }
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() || self.method == "POST" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Answer {
    /// The value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// A 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// The body as a JSON value; null if it is none.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A connection on which calls follow one another.
#[derive(Debug)]
pub struct Connection {
    peer: SocketAddr,
    stream: TcpStream,
    /// No further call can be sent.
    over: bool,
}

impl Connection {
    /// Opens a connection.
    pub fn open(peer: SocketAddr, at_most: Duration) -> Result<Self, HttpError> {
        let stream = TcpStream::connect_timeout(&peer, at_most).context(ConnectSnafu { peer })?;
        stream.set_nodelay(true).context(ConnectSnafu { peer })?;
        Ok(Connection {
            peer,
            stream,
            over: false,
        })
    }

    /// Whether no further call can be sent on it.
    pub fn is_over(&self) -> bool {
        self.over
    }

    /// Sends a call and waits for its whole answer.
    pub fn call(&mut self, call: &Call, at_most: Duration) -> Result<Answer, HttpError> {
        self.over = true;
        self.stream
            .set_write_timeout(Some(at_most))
            .context(SendSnafu)?;
        self.stream
            .write_all(&call.to_bytes(self.peer))
            .context(SendSnafu)?;
        let answer = self.receive(Instant::now(), at_most)?;
        self.over = answer.closes();
        Ok(answer)
    }

    fn receive(&mut self, sent: Instant, at_most: Duration) -> Result<Answer, HttpError> {
        let mut received = Vec::new();
        loop {
            if let Some(answer) = parse(&received)? {
                return Ok(answer);
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
        let left = at_most.saturating_sub(sent.elapsed());
        if left.is_zero() || self.stream.set_read_timeout(Some(left)).is_err() {
            return SilentSnafu {
                after: sent.elapsed(),
            }
            .fail();
        }
        let mut chunk = [0; READ_BYTES];
        match self.stream.read(&mut chunk) {
            Ok(0) => CutSnafu {
                after: sent.elapsed(),
                received: received.len(),
            }
            .fail(),
            Ok(length) => {
                received.extend_from_slice(&chunk[..length]);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(()),
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                SilentSnafu {
                    after: sent.elapsed(),
                }
                .fail()
            }
            Err(_) => CutSnafu {
                after: sent.elapsed(),
                received: received.len(),
            }
            .fail(),
        }
    }
}

/// A call on a connection of its own.
pub fn call_once(peer: SocketAddr, call: &Call, at_most: Duration) -> Result<Answer, HttpError> {
    Connection::open(peer, at_most)?.call(call, at_most)
}

/// Sends the first `bytes` bytes of a call over a connection of its own, and closes it without reading an answer.
pub fn send_part(
    peer: SocketAddr,
    call: &Call,
    bytes: usize,
    at_most: Duration,
) -> Result<(), HttpError> {
    let mut connection = Connection::open(peer, at_most)?;
    let all = call.to_bytes(peer);
    connection
        .stream
        .set_write_timeout(Some(at_most))
        .context(SendSnafu)?;
    connection
        .stream
        .write_all(&all[..bytes.min(all.len())])
        .context(SendSnafu)
}

/// The answer in `bytes`, once it is whole.
fn parse(bytes: &[u8]) -> Result<Option<Answer>, HttpError> {
    let Some(head_length) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return if bytes.len() > HEAD_BYTES_MAX {
            Err(malformed(bytes))
        } else {
            Ok(None)
        };
    };
    let head = std::str::from_utf8(&bytes[..head_length]).map_err(|_| malformed(bytes))?;
    let mut lines = head.split("\r\n");
    let status = lines
        .next()
        .and_then(status_of)
        .ok_or_else(|| malformed(bytes))?;
    let headers: Vec<(String, String)> = lines.filter_map(header_of).collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = match length {
        Some((_, value)) => value.parse().map_err(|_| malformed(bytes))?,
        None if headers.iter().any(|(name, _)| name == "transfer-encoding") => {
            return Err(malformed(bytes));
        }
        None => 0,
    };
    let body = &bytes[head_length + 4..];
    Ok(body.get(..length).map(|body| Answer {
        status,
        headers,
        body: body.to_vec(),
    }))
}

fn status_of(line: &str) -> Option<u16> {
    line.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}

fn header_of(line: &str) -> Option<(String, String)> {
    let (name, value) = line.split_once(':')?;
    Some((name.to_ascii_lowercase(), value.trim().to_owned()))
}

fn malformed(bytes: &[u8]) -> HttpError {
    let shown = &bytes[..bytes.len().min(200)];
    HttpError::Malformed {
        head: String::from_utf8_lossy(shown).into_owned(),
    }
}

//! An HTTP/1.1 client for small messages.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Response {
    pub status: u16,
    pub body: String,
}

pub fn request_text(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, String)],
    body: &str,
) -> String {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {}\r\n",
        body.len()
    );
    if !body.is_empty() {
        text.push_str("Content-Type: application/json\r\n");
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text
}

/// Sends one request over a connection of its own.
pub fn once(to: SocketAddr, request: &str, timeout: Duration) -> io::Result<Response> {
    let mut connection = Connection::open(to, timeout)?;
    connection.send(request, timeout)
}

/// A connection that is kept open between requests.
pub struct Connection {
    stream: TcpStream,
}

impl Connection {
    pub fn open(to: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&to, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream })
    }

    /// Sends a request and reads its response, all within `timeout`.
    pub fn send(&mut self, request: &str, timeout: Duration) -> io::Result<Response> {
        let until = Instant::now() + timeout;
        self.stream.write_all(request.as_bytes())?;
        read_message(&mut self.stream, until).and_then(|(head, body)| response(&head, body))
    }
}

fn response(head: &str, body: Vec<u8>) -> io::Result<Response> {
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status"))?;
    Ok(Response {
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

/// Reads head and body of one message.
pub fn read_message(stream: &mut TcpStream, until: Instant) -> io::Result<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    loop {
        let head_end = bytes.windows(4).position(|four| four == b"\r\n\r\n");
        if let Some(end) = head_end {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length = header(&head, "content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0usize);
            if bytes.len() >= end + 4 + length {
                return Ok((head, bytes[end + 4..end + 4 + length].to_vec()));
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let mut chunk = [0u8; 16_384];
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&chunk[..count]);
    }
}

//! A small HTTP/1.1 client: one call, one connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a peer has to accept a connection, and then for each part of its answer.
const LIMIT: Duration = Duration::from_millis(1_500);

/// A call.
pub(super) struct Call<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    /// Further lines of the head, each with its end of line.
    pub headers: &'a str,
    pub body: &'a str,
}

/// An answer.
pub(super) struct Answer {
    pub status: u16,
    pub body: String,
}

/// Makes a call and reads the whole answer.
pub(super) fn call(address: SocketAddr, call: &Call<'_>) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, LIMIT)?;
    stream.set_read_timeout(Some(LIMIT))?;
    stream.set_write_timeout(Some(LIMIT))?;
    stream.set_nodelay(true)?;
    let Call {
        method,
        host,
        path,
        headers,
        body,
    } = call;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nConnection: close\r\n\
         {headers}Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes())?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes)?;
    read_answer(&String::from_utf8_lossy(&bytes)).ok_or(io::ErrorKind::InvalidData.into())
}

fn read_answer(text: &str) -> Option<Answer> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer {
        status,
        body: body.to_owned(),
    })
}

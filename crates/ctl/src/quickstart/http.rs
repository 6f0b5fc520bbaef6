//! A minimal blocking HTTP/1.1 client that uses a new connection for each request.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time limit for the connection attempt, and for each read and write after it.
const IO_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An HTTP request with a JSON body.
pub(super) struct Request<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    /// Further header fields, each terminated by CR LF.
    pub headers: &'a str,
    pub body: &'a str,
}

/// An HTTP response; its header fields are discarded.
pub(super) struct Response {
    pub status: u16,
    pub body: String,
}

impl<'a> Request<'a> {
    /// Creates a `GET` request with an empty body and no further header fields.
    pub(super) fn get(host: &'a str, path: &'a str) -> Request<'a> {
        Request {
            method: "GET",
            host,
            path,
            headers: "",
            body: "",
        }
    }

    /// Sends the request and reads the response until the server closes the connection.
    pub(super) fn send(&self, address: SocketAddr) -> io::Result<Response> {
        let mut stream = TcpStream::connect_timeout(&address, IO_TIMEOUT)?;
        stream.set_read_timeout(Some(IO_TIMEOUT))?;
        stream.set_write_timeout(Some(IO_TIMEOUT))?;
        stream.set_nodelay(true)?;
        stream.write_all(self.text().as_bytes())?;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes)?;
        Response::parse(&String::from_utf8_lossy(&bytes)).ok_or(io::ErrorKind::InvalidData.into())
    }

    fn text(&self) -> String {
        let Request {
            method,
            host,
            path,
            headers,
            body,
        } = self;
        let length = body.len();
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nConnection: close\r\n\
             {headers}Content-Length: {length}\r\n\r\n{body}"
        )
    }
}

impl Response {
    fn parse(text: &str) -> Option<Response> {
        let (head, body) = text.split_once("\r\n\r\n")?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some(Response {
            status,
            body: body.to_owned(),
        })
    }
}

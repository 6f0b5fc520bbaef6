//! Serialization of HTTP/1.1 requests and parsing of responses.

use super::error::HttpError;
use std::net::SocketAddr;

/// Upper bound of the head of a response, in bytes.
const HEAD_BYTES_MAX: usize = 64 << 10;
/// Number of bytes of a malformed response that are quoted in the error.
const SHOWN_BYTES_MAX: usize = 200;
/// Empty line that ends the head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// An HTTP request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The method, in upper case.
    pub method: &'static str,
    /// The request target: path and query.
    pub path: String,
    /// Headers other than `Content-Length`, which is derived from the body.
    pub headers: Vec<(&'static str, String)>,
    /// The body; empty if the request has none.
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request without headers and body.
    pub fn new(method: &'static str, path: impl Into<String>) -> Self {
        Request {
            method,
            path: path.into(),
            ..Request::default()
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets a JSON text as the body, and the matching `Content-Type`.
    pub fn json(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self.header("Content-Type", "application/json")
    }

    /// The bytes sent to `peer`. The `Host` header is the peer's address unless the request has its own.
    pub(super) fn to_bytes(&self, peer: SocketAddr) -> Vec<u8> {
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

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Headers in the order received, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

impl Response {
    /// The value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        header_value(&self.headers, name)
    }

    /// Whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// The body as a JSON value; null if it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Whether the peer closes the connection after it.
    pub(super) fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// Parses the response in `bytes`; `None` while it is incomplete.
    pub(super) fn parse(bytes: &[u8]) -> Result<Option<Self>, HttpError> {
        let mut windows = bytes.windows(HEAD_END.len());
        let Some(head_length) = windows.position(|window| window == HEAD_END) else {
            return if bytes.len() > HEAD_BYTES_MAX {
                Err(malformed(bytes))
            } else {
                Ok(None)
            };
        };
        let head = std::str::from_utf8(&bytes[..head_length]).map_err(|_| malformed(bytes))?;
        let mut lines = head.split("\r\n");
        let status = lines.next().and_then(parse_status);
        let status = status.ok_or_else(|| malformed(bytes))?;
        let headers: Vec<(String, String)> = lines.filter_map(parse_header).collect();
        let length = body_length(&headers).ok_or_else(|| malformed(bytes))?;
        let body = &bytes[head_length + HEAD_END.len()..];
        Ok(body.get(..length).map(|body| Response {
            status,
            headers,
            body: body.to_vec(),
        }))
    }
}

fn header_value<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let header = headers.iter().find(|(known, _)| known == name);
    header.map(|(_, value)| value.as_str())
}

/// Length of the body in bytes; `None` if `Content-Length` is invalid or the body has a transfer encoding, which this
/// client does not support.
fn body_length(headers: &[(String, String)]) -> Option<usize> {
    match header_value(headers, "content-length") {
        Some(value) => value.parse().ok(),
        None if header_value(headers, "transfer-encoding").is_some() => None,
        None => Some(0),
    }
}

fn parse_status(line: &str) -> Option<u16> {
    line.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}

fn parse_header(line: &str) -> Option<(String, String)> {
    let (name, value) = line.split_once(':')?;
    Some((name.to_ascii_lowercase(), value.trim().to_owned()))
}

fn malformed(bytes: &[u8]) -> HttpError {
    let shown = &bytes[..bytes.len().min(SHOWN_BYTES_MAX)];
    HttpError::Malformed {
        head: String::from_utf8_lossy(shown).into_owned(),
    }
}

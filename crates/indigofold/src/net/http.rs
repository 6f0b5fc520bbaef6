//! HTTP/1.1 framing on top of httparse: finds the end of a message and parses its head. The meaning of a message is up to
//! the fronts.

use super::buffer::{Buffer, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use httparse::{EMPTY_HEADER, Header, Status};
use std::ops::Range;

/// Maximum number of headers in a message.
const MAX_HEADERS: usize = 64;

/// The reason why a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// The head or the framing is malformed.
    Malformed,
    /// The body is larger than [`MAX_BODY_BYTES`].
    BodyTooLarge,
    /// The head is larger than [`MAX_HEAD_BYTES`] or has too many headers.
    HeadTooLarge,
    /// The transfer coding is not supported.
    Coding,
}

impl MessageError {
    /// The HTTP status with which to answer the message.
    pub fn status(self) -> u16 {
        match self {
            MessageError::Malformed => 400,
            MessageError::BodyTooLarge => 413,
            MessageError::HeadTooLarge => 431,
            MessageError::Coding => 501,
        }
    }
}

/// A complete message at the front of a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    head: usize,
    body: Range<usize>,
    /// Number of bytes to remove from the buffer once the message is handled.
    pub total: usize,
    /// True if the sender keeps the connection open after this message.
    pub keep: bool,
    /// True if the head says where the body ends, by a length or the chunked coding.
    pub sized: bool,
}

/// The state of a message that is being received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More bytes are needed. `true`: the sender waits for `100 Continue`.
    Partial(bool),
    /// All bytes of the message are in the buffer.
    Complete(Frame),
}

/// The parsed head of a message.
pub struct Head<'a> {
    /// The request's method; empty for an answer.
    pub method: &'a str,
    /// The request's target; empty for an answer.
    pub target: &'a str,
    /// The answer's status; 0 for a request.
    pub status: u16,
    headers: Vec<(&'a str, &'a str)>,
}

impl<'a> Head<'a> {
    /// The value of the first header with this name; the case of the name is ignored.
    pub fn header(&self, name: &str) -> Option<&'a str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| *v)
    }

    /// Returns true if one of these headers occurs more than once.
    pub fn repeats(&self, names: &[&str]) -> bool {
        let count = |name: &&str| {
            self.headers
                .iter()
                .filter(|(n, _)| n.eq_ignore_ascii_case(name))
                .count()
        };
        names.iter().any(|name| count(name) > 1)
    }
}

/// The kind of message to parse.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// A message from a client to a server.
    Request,
    /// A message from a server to a client.
    Answer,
}

/// The framing information in the headers of a message.
#[derive(Default)]
struct Framing {
    length: Option<usize>,
    chunked: bool,
    close: bool,
    expects_continue: bool,
}

/// The length of a head and the framing information in it.
struct ParsedHead {
    length: usize,
    http_1_0: bool,
    /// True for an answer that never has a body (status 1xx, 204 or 304).
    bodiless: bool,
    framing: Framing,
}

/// Parses the head at the start of the bytes; `None` while it is incomplete.
fn parse_head(bytes: &[u8], kind: MessageKind) -> Result<Option<ParsedHead>, MessageError> {
    let mut slots = [EMPTY_HEADER; MAX_HEADERS];
    let (length, version, bodiless, headers) = match kind {
        MessageKind::Request => {
            let mut request = httparse::Request::new(&mut slots);
            let Status::Complete(length) = request.parse(bytes).map_err(head_error)? else {
                return Ok(None);
            };
            (length, request.version, false, framing(request.headers)?)
        }
        MessageKind::Answer => {
            let mut answer = httparse::Response::new(&mut slots);
            let Status::Complete(length) = answer.parse(bytes).map_err(head_error)? else {
                return Ok(None);
            };
            let bodiless = matches!(answer.code, Some(100..=199 | 204 | 304));
            (length, answer.version, bodiless, framing(answer.headers)?)
        }
    };
    Ok(Some(ParsedHead {
        length,
        http_1_0: version == Some(0),
        bodiless,
        framing: headers,
    }))
}

/// Rejects a head that is too large, or that two parsers could interpret differently.
fn check_head(head: &ParsedHead, bytes: &[u8]) -> Result<(), MessageError> {
    if head.length > MAX_HEAD_BYTES {
        return Err(MessageError::HeadTooLarge);
    }
    // A bare LF ends a line for some parsers only, so it could hide a message from others (request smuggling).
    let bare_line_end = |(n, b): (usize, &u8)| *b == b'\n' && (n == 0 || bytes[n - 1] != b'\r');
    if bytes[..head.length].iter().enumerate().any(bare_line_end) {
        return Err(MessageError::Malformed);
    }
    if head.http_1_0 && head.framing.chunked {
        return Err(MessageError::Malformed); // HTTP/1.0 has no chunked coding
    }
    Ok(())
}

/// Parses the message at the start of the buffer, if it is complete. The chunks of a chunked body are joined in place.
///
/// # Errors
///
/// The message is malformed, too large or uses an unsupported coding.
pub fn parse_message(buffer: &mut Buffer, kind: MessageKind) -> Result<Progress, MessageError> {
    let bytes = buffer.filled();
    let Some(parsed) = parse_head(bytes, kind)? else {
        return incomplete_head(bytes);
    };
    check_head(&parsed, bytes)?;
    let (head, framing) = (parsed.length, parsed.framing);
    let complete = |body: Range<usize>, total| {
        Ok(Progress::Complete(Frame {
            head,
            body,
            total,
            keep: !framing.close && !parsed.http_1_0,
            sized: framing.chunked || framing.length.is_some(),
        }))
    };
    if framing.chunked && !parsed.bodiless {
        let Some((body_chunks, total)) = chunks(&bytes[head..])? else {
            return Ok(Progress::Partial(framing.expects_continue));
        };
        let mut end = head;
        for chunk in body_chunks {
            let (from, to) = (head + chunk.start, head + chunk.end);
            buffer.filled_mut().copy_within(from..to, end);
            end += to - from;
        }
        return complete(head..end, head + total);
    }
    let length = if parsed.bodiless {
        0
    } else {
        framing.length.unwrap_or(0)
    };
    if length > MAX_BODY_BYTES {
        return Err(MessageError::BodyTooLarge);
    }
    if bytes.len() < head + length {
        return Ok(Progress::Partial(framing.expects_continue));
    }
    complete(head..head + length, head + length)
}

/// Calls `inspect` with the head of the answer at the start of the buffer; `None` while the head is incomplete.
pub fn answer_head<T>(buffer: &Buffer, inspect: impl FnOnce(&Head<'_>) -> T) -> Option<T> {
    let mut slots = [EMPTY_HEADER; MAX_HEADERS];
    let mut answer = httparse::Response::new(&mut slots);
    let Ok(Status::Complete(head)) = answer.parse(buffer.filled()) else {
        return None;
    };
    let frame = Frame {
        head,
        body: head..head,
        total: head,
        keep: false,
        sized: false,
    };
    frame
        .read(buffer, MessageKind::Answer)
        .map(|(head, _)| inspect(&head))
}

fn head_error(error: httparse::Error) -> MessageError {
    if error == httparse::Error::TooManyHeaders {
        MessageError::HeadTooLarge
    } else {
        MessageError::Malformed
    }
}

fn incomplete_head(bytes: &[u8]) -> Result<Progress, MessageError> {
    if bytes.len() > MAX_HEAD_BYTES {
        Err(MessageError::HeadTooLarge)
    } else {
        Ok(Progress::Partial(false))
    }
}

fn framing(headers: &[Header<'_>]) -> Result<Framing, MessageError> {
    let mut found = Framing::default();
    for header in headers {
        let value = std::str::from_utf8(header.value)
            .map_err(|_| MessageError::Malformed)?
            .trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let length = digits
                .then(|| value.parse::<usize>().unwrap_or(usize::MAX))
                .ok_or(MessageError::Malformed)?;
            // With two lengths, two parsers could see different messages.
            if found.length.replace(length).is_some() {
                return Err(MessageError::Malformed);
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(MessageError::Coding);
            }
            if std::mem::replace(&mut found.chunked, true) {
                return Err(MessageError::Malformed);
            }
        } else if header.name.eq_ignore_ascii_case("connection") {
            found.close |= value
                .split(',')
                .any(|v| v.trim().eq_ignore_ascii_case("close"));
        } else if header.name.eq_ignore_ascii_case("expect") {
            found.expects_continue |= value.eq_ignore_ascii_case("100-continue");
        }
    }
    if found.chunked && found.length.is_some() {
        Err(MessageError::Malformed)
    } else {
        Ok(found)
    }
}

/// Returns the positions of the chunks' data in a chunked body, and its length with framing; `None` while it is incomplete.
#[allow(
    clippy::type_complexity,
    reason = "used by one caller, which takes both apart at once"
)]
fn chunks(bytes: &[u8]) -> Result<Option<(Vec<Range<usize>>, usize)>, MessageError> {
    let (mut at, mut sum, mut body_chunks) = (0, 0, Vec::new());
    loop {
        let (size_line, size) =
            match httparse::parse_chunk_size(&bytes[at..]).map_err(|_| MessageError::Malformed)? {
                Status::Partial => return Ok(None),
                Status::Complete(found) => found,
            };
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > MAX_BODY_BYTES - sum {
            return Err(MessageError::BodyTooLarge);
        }
        at += size_line;
        if size == 0 {
            break;
        }
        if bytes.len() < at + size + 2 {
            return Ok(None);
        }
        if &bytes[at + size..at + size + 2] != b"\r\n" {
            return Err(MessageError::Malformed);
        }
        body_chunks.push(at..at + size);
        (at, sum) = (at + size + 2, sum + size);
    }
    // Trailers are skipped.
    loop {
        let Some(end) = bytes[at..].windows(2).position(|w| w == b"\r\n") else {
            return Ok(None);
        };
        at += end + 2;
        if end == 0 {
            return Ok(Some((body_chunks, at)));
        }
    }
}

impl Frame {
    /// Returns the head and the body of the message; `None` if a header is not UTF-8.
    pub fn read<'a>(&self, buffer: &'a Buffer, kind: MessageKind) -> Option<(Head<'a>, &'a [u8])> {
        let mut slots = [EMPTY_HEADER; MAX_HEADERS];
        let bytes = &buffer.filled()[..self.head];
        let (method, target, status, found): (&str, &str, u16, &[Header<'a>]) = match kind {
            MessageKind::Request => {
                let mut request = httparse::Request::new(&mut slots);
                request.parse(bytes).ok()?;
                (request.method?, request.path?, 0, request.headers)
            }
            MessageKind::Answer => {
                let mut answer = httparse::Response::new(&mut slots);
                answer.parse(bytes).ok()?;
                ("", "", answer.code?, answer.headers)
            }
        };
        let text = |h: &Header<'a>| Some((h.name, std::str::from_utf8(h.value).ok()?.trim()));
        let headers = found.iter().map(text).collect::<Option<Vec<_>>>()?;
        Some((
            Head {
                method,
                target,
                status,
                headers,
            },
            &buffer.filled()[self.body.clone()],
        ))
    }
}

/// The reason phrase of an HTTP status (RFC 9110, section 15).
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

//! Reading of requests within the limits.

use super::message::{HttpRequest, HttpResponse};
use super::options::HttpOptions;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Uri};
use std::net::SocketAddr;

/// Bytes of a body over the limit that are read and discarded, so that its sender gets to read the response: closing a
/// connection with unread bytes resets it.
const DISCARDED_BYTES_MAX: usize = 8 << 20;
/// Bytes of a request line beside its method and path: two spaces, the version, the end of the line.
const REQUEST_OVERHEAD_BYTES: usize = " ".len() + " HTTP/1.1\r\n".len();
/// Bytes of a header beside its name and value: the separator and the end of the line.
const HEADER_OVERHEAD_BYTES: usize = ": \r\n".len();

/// Why a request does not reach the handler.
pub(super) enum Rejection {
    /// Its head is over the limit (431).
    HeadTooLarge,
    /// Its body is over the limit (413).
    BodyTooLarge,
    /// Its body has broken off, or its coding is wrong (400).
    Malformed,
}

impl Rejection {
    /// The response.
    pub(super) fn response(self) -> HttpResponse {
        match self {
            Rejection::HeadTooLarge => HttpResponse::new(431),
            Rejection::BodyTooLarge => HttpResponse::new(413),
            Rejection::Malformed => HttpResponse::new(400),
        }
    }
}

/// Reads a request to its end.
pub(super) async fn receive(
    request: Request<Incoming>,
    peer: SocketAddr,
    options: HttpOptions,
) -> Result<HttpRequest, Rejection> {
    let (head, body) = request.into_parts();
    let expects_continue = head.headers.contains_key(header::EXPECT);
    if head_bytes(&head) > options.max_header_bytes {
        if !expects_continue {
            discard_rest(body, DISCARDED_BYTES_MAX).await;
        }
        return Err(Rejection::HeadTooLarge);
    }
    let body = read_body(body, options.max_body_bytes, expects_continue).await?;
    let host = host(&head.uri, &head.headers);
    let path = head.uri.path().to_owned();
    Ok(HttpRequest {
        method: head.method,
        path,
        host,
        headers: head.headers,
        body,
        peer,
    })
}

/// Bytes of a request's head, nearly as received. The HTTP library alone accepts whatever it has read
/// in one go, up to about twice its limit.
fn head_bytes(head: &Parts) -> usize {
    let path = head
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    let start_line = head.method.as_str().len() + path + REQUEST_OVERHEAD_BYTES;
    let header = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES
    };
    start_line + head.headers.iter().map(header).sum::<usize>()
}

/// The bytes of a body, `max_bytes` at most. A body that is announced as longer is not requested.
async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    expects_continue: bool,
) -> Result<Vec<u8>, Rejection> {
    let announced = body.size_hint().lower().try_into().unwrap_or(usize::MAX);
    if announced > max_bytes {
        if !expects_continue && announced <= DISCARDED_BYTES_MAX {
            discard_rest(body, announced).await;
        }
        return Err(Rejection::BodyTooLarge);
    }
    let mut bytes = Vec::with_capacity(announced);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Rejection::Malformed)?.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > max_bytes {
            discard_rest(body, DISCARDED_BYTES_MAX).await;
            return Err(Rejection::BodyTooLarge);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}

/// Reads and discards up to `max_bytes` of a body.
async fn discard_rest(mut body: Incoming, max_bytes: usize) {
    let mut discarded = 0;
    while discarded < max_bytes
        && let Some(Ok(frame)) = body.frame().await
    {
        discarded += frame.data_ref().map_or(0, Bytes::len);
    }
}

/// The host that a request names, in lower case and without a port.
fn host(uri: &Uri, headers: &HeaderMap) -> String {
    let header = || {
        headers
            .get(header::HOST)
            .and_then(|value| value.to_str().ok())
    };
    let named = uri.host().or_else(header).unwrap_or_default();
    let without_port = match named.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => host,
        _ => named,
    };
    without_port.to_ascii_lowercase()
}

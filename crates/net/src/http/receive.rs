//! Receiving of requests within the size limits.

use super::message::{HttpRequest, HttpResponse, Origin};
use super::options::HttpOptions;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Uri};

/// Bytes of an oversized request that are read and discarded, so that its sender can read the response: closing a
/// connection with unread bytes resets it.
const DISCARDED_BYTES_MAX: usize = 8 << 20;
/// Bytes of a request line in addition to its method and path: two spaces, the version and the line end.
const REQUEST_OVERHEAD_BYTES: usize = " ".len() + " HTTP/1.1\r\n".len();
/// Bytes of a header in addition to its name and value: the separator and the line end.
const HEADER_OVERHEAD_BYTES: usize = ": \r\n".len();

/// The reason why a request is rejected before it reaches the handler.
pub(super) enum Rejection {
    /// The head exceeds the limit (431).
    HeadTooLarge,
    /// The body exceeds the limit (413).
    BodyTooLarge,
    /// The body is truncated, or its transfer coding is invalid (400).
    Malformed,
}

impl Rejection {
    /// Returns the response to the rejected request.
    pub(super) fn response(self) -> HttpResponse {
        match self {
            Rejection::HeadTooLarge => HttpResponse::new(431),
            Rejection::BodyTooLarge => HttpResponse::new(413),
            Rejection::Malformed => HttpResponse::new(400),
        }
    }
}

/// Receives a request completely.
pub(super) async fn receive(
    request: Request<Incoming>,
    origin: Origin,
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
        peer: origin.peer,
        connection: origin.connection,
    })
}

/// Computes the size of a request's head, nearly as received. The HTTP library's own limit is not exact: it accepts a
/// head that it has read in one piece, up to about twice the limit.
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

/// Reads a body of at most `max_bytes`. For a larger announced body, `100 Continue` is not sent.
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

/// Returns the host that a request names, in lower case and without a port; empty if it names none.
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

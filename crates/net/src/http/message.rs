//! Requests and answers, whole.

use super::{HeaderMap, HeaderName, HeaderValue, HttpOptions, Method, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Uri};
use std::net::SocketAddr;

/// Bytes of a body over the limit that are read and dropped, so that its sender gets to read the answer: closing a
/// connection with unread bytes resets it.
const DROPPED_BYTES_MAX: usize = 8 << 20;
/// Bytes of a request line beside its method and path: two spaces, the version, the end of the line.
const REQUEST_LINE_BYTES: usize = " ".len() + " HTTP/1.1\r\n".len();
/// Bytes of a header beside its name and value: the separator and the end of the line.
const HEADER_LINE_BYTES: usize = ": \r\n".len();

/// A request that has come in whole.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// Its method.
    pub method: Method,
    /// Its path, without the query.
    pub path: String,
    /// Its `Host` header in lower case without a port; empty if it has none.
    pub host: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Vec<u8>,
    /// Who sent it.
    pub peer: SocketAddr,
}

impl HttpRequest {
    /// The value of a header, if it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// An answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpResponse {
    /// Its status code.
    pub status: u16,
    /// Its headers; `content-length` is added.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// An answer without a body.
    pub fn new(status: u16) -> HttpResponse {
        HttpResponse {
            status,
            ..HttpResponse::default()
        }
    }

    /// An answer with a JSON body.
    pub fn json(status: u16, body: impl Into<Vec<u8>>) -> HttpResponse {
        let content_type = (
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        HttpResponse {
            status,
            headers: vec![content_type],
            body: body.into(),
        }
    }

    /// The answer with one more header; a value that cannot stand in a header is left out.
    pub fn with_header(mut self, name: HeaderName, value: &str) -> HttpResponse {
        self.headers
            .extend(HeaderValue::from_str(value).ok().map(|value| (name, value)));
        self
    }

    /// The answer as the HTTP library takes it; `close` ends the connection after it.
    pub(super) fn into_hyper(self, close: bool) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(self.body)));
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        for (name, value) in self.headers {
            response.headers_mut().append(name, value);
        }
        if close {
            response
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Why a request does not reach the handler.
pub(super) enum Refusal {
    /// Its head is over the limit (431).
    LongHead,
    /// Its body is over the limit (413).
    TooLarge,
    /// Its body has broken off, or its coding is wrong (400).
    Broken,
}

impl Refusal {
    /// The answer.
    pub(super) fn response(self) -> HttpResponse {
        match self {
            Refusal::LongHead => HttpResponse::new(431),
            Refusal::TooLarge => HttpResponse::new(413),
            Refusal::Broken => HttpResponse::new(400),
        }
    }
}

/// Reads a request to its end.
pub(super) async fn receive(
    request: Request<Incoming>,
    peer: SocketAddr,
    options: HttpOptions,
) -> Result<HttpRequest, Refusal> {
    let (head, body) = request.into_parts();
    let expects_consent = head.headers.contains_key(header::EXPECT);
    if head_bytes(&head) > options.max_header_bytes {
        if !expects_consent {
            drop_rest(body, DROPPED_BYTES_MAX).await;
        }
        return Err(Refusal::LongHead);
    }
    let body = collect(body, options.max_body_bytes, expects_consent).await?;
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

/// Bytes of a request's head, near enough as it came in. The HTTP library alone lets through what it happens to read
/// at once, up to about twice its limit.
fn head_bytes(head: &Parts) -> usize {
    let path = head
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    let line = head.method.as_str().len() + path + REQUEST_LINE_BYTES;
    let header = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + HEADER_LINE_BYTES
    };
    line + head.headers.iter().map(header).sum::<usize>()
}

/// The bytes of a body, `max_bytes` at most. A body that is announced as longer is not asked for.
async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    expects_consent: bool,
) -> Result<Vec<u8>, Refusal> {
    let announced = body.size_hint().lower().try_into().unwrap_or(usize::MAX);
    if announced > max_bytes {
        if !expects_consent && announced <= DROPPED_BYTES_MAX {
            drop_rest(body, announced).await;
        }
        return Err(Refusal::TooLarge);
    }
    let mut bytes = Vec::with_capacity(announced);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Refusal::Broken)?.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > max_bytes {
            drop_rest(body, DROPPED_BYTES_MAX).await;
            return Err(Refusal::TooLarge);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}

/// Reads and drops up to `max_bytes` of a body.
async fn drop_rest(mut body: Incoming, max_bytes: usize) {
    let mut dropped = 0;
    while dropped < max_bytes
        && let Some(Ok(frame)) = body.frame().await
    {
        dropped += frame.data_ref().map_or(0, Bytes::len);
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

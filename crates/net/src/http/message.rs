//! Requests and responses with their complete bodies.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode};
use std::net::SocketAddr;

/// Number of a connection; each connection that a server accepts has another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HttpConnectionId(pub u64);

/// Where a request comes from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Origin {
    /// Address of the sender's socket.
    pub(super) peer: SocketAddr,
    /// Connection on which the request is received.
    pub(super) connection: HttpConnectionId,
}

/// A request that was received completely.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// Method of the request.
    pub method: Method,
    /// Path of the request, without the query.
    pub path: String,
    /// Host that the request names, in lower case and without a port; empty if it names none.
    pub host: String,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Body of the request; empty if it has none.
    pub body: Vec<u8>,
    /// Address of the sender's socket.
    pub peer: SocketAddr,
    /// Connection on which the request was received. A request is handled only after the response to the previous one
    /// on its connection was passed to the socket.
    pub connection: HttpConnectionId,
}

impl HttpRequest {
    /// Returns the value of a header; `None` if the header is missing or is not visible ASCII text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// A response to an [`HttpRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status code; a value that is not a valid code is sent as 500.
    pub status: u16,
    /// Headers of the response, without `content-length`, which the server adds.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body of the response.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Creates a response without a body.
    pub fn new(status: u16) -> HttpResponse {
        HttpResponse {
            status,
            ..HttpResponse::default()
        }
    }

    /// Creates a response with a JSON body.
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

    /// Adds a header; one whose value is not valid in a header is left out.
    #[must_use]
    pub fn with_header(mut self, name: HeaderName, value: &str) -> HttpResponse {
        self.headers
            .extend(HeaderValue::from_str(value).ok().map(|value| (name, value)));
        self
    }

    /// Converts to the HTTP library's type; with `close`, the connection ends after the response.
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

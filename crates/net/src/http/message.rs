//! Requests and responses, complete with their bodies.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode};
use std::net::SocketAddr;

/// A request that has been received completely.
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

/// A response.
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
    /// A response without a body.
    pub fn new(status: u16) -> HttpResponse {
        HttpResponse {
            status,
            ..HttpResponse::default()
        }
    }

    /// A response with a JSON body.
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

    /// The response with one more header; a value that cannot stand in a header is left out.
    #[must_use]
    pub fn with_header(mut self, name: HeaderName, value: &str) -> HttpResponse {
        self.headers
            .extend(HeaderValue::from_str(value).ok().map(|value| (name, value)));
        self
    }

    /// The response in the form of the HTTP library; `close` ends the connection after it.
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

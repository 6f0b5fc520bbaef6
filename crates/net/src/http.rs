//! HTTP/1.1 server for requests with small bodies.
//!
//! [`serve`] starts it; `connection` serves one connection with the HTTP library, `receive` reads a request within the
//! limits, and `state` is what the tasks of one server share.

mod connection;
mod message;
mod options;
mod progress;
mod receive;
mod server;
mod state;
mod stream;

pub use hyper::Method;
pub use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
pub use message::{HttpRequest, HttpResponse};
pub use options::HttpOptions;
pub use server::{HttpServer, serve};

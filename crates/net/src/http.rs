//! HTTP/1.1 server for requests with small bodies, each received completely before it is handled.
//!
//! [`serve`] starts a server. `connection` serves one connection with the HTTP library, `receive` reads a request and
//! enforces the size limits, `progress` tracks a connection for the time limits, and `state` is shared by the tasks of
//! one server.

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
pub use message::{HttpConnectionId, HttpRequest, HttpResponse};
pub use options::HttpOptions;
pub use server::{HttpServer, serve};

//! Size and time limits of the server.

use std::time::Duration;

/// Limits on requests and connections; may be changed while the server runs
/// ([`HttpServer::set_options`](super::HttpServer::set_options)).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpOptions {
    /// Maximum size of a request's head, in bytes; a larger one is answered with 431.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes; a larger one is answered with 413.
    pub max_body_bytes: usize,
    /// Time within which a request's head must be received, and then again its body. Checked periodically, so that a
    /// connection may exceed it by up to half of its value.
    pub header_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for HttpOptions {
    fn default() -> Self {
        HttpOptions {
            max_header_bytes: 16_384,
            max_body_bytes: 262_144,
            header_timeout: Duration::from_millis(3_000),
            idle_timeout: Duration::from_millis(15_000),
        }
    }
}

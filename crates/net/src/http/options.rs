//! Limits of the server.

use std::time::Duration;

/// Limits on what comes in; may be changed while the server runs
/// ([`HttpServer::set_options`](super::HttpServer::set_options)).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpOptions {
    /// Most bytes of a request's head; above it the response is 431.
    pub max_header_bytes: usize,
    /// Most bytes of a request's body; above it the response is 413.
    pub max_body_bytes: usize,
    /// Time for a request's head, and after it for its body, to come in. Kept to within half of itself.
    pub header_timeout: Duration,
    /// A connection without a request is closed after this time.
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

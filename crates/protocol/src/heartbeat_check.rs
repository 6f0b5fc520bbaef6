//! Parsing and validation of workers' heartbeats.

use crate::json;
use crate::worker::Heartbeat;
use snafu::{ResultExt, Snafu, ensure};

pub use crate::json::JsonError;

/// The reason why a heartbeat is rejected.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum HeartbeatError {
    /// The text is not valid JSON, or a field has the wrong type.
    #[snafu(display("the heartbeat cannot be read: {source}"))]
    Unreadable {
        /// The parser's error, with the field and the expected type.
        source: JsonError,
    },
    /// `backend`, the name of the worker's service, is missing or empty.
    #[snafu(display("`backend` is empty: the name of a service is expected"))]
    NoBackend,
}

/// Parses and validates a heartbeat. Unknown fields are ignored; missing fields are 0, false or empty.
///
/// # Errors
///
/// [`HeartbeatError`] if the text cannot be parsed or names no service.
pub fn parse_heartbeat(bytes: &[u8]) -> Result<Heartbeat, HeartbeatError> {
    let heartbeat: Heartbeat = json::read(bytes).context(UnreadableSnafu)?;
    ensure!(!heartbeat.backend.is_empty(), NoBackendSnafu);
    Ok(heartbeat)
}

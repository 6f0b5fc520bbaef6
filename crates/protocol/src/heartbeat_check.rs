//! Reading of workers' heartbeats.

use crate::json;
use crate::worker::Heartbeat;
use snafu::{ResultExt, Snafu, ensure};

pub use crate::json::JsonError;

/// A heartbeat that cannot be used.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum HeartbeatError {
    /// It is not JSON, or a field has the wrong type.
    #[snafu(display("the heartbeat cannot be read: {source}"))]
    Unreadable {
        /// What, where, and what is allowed.
        source: JsonError,
    },
    /// It does not name the worker's service.
    #[snafu(display("`backend` is empty: the name of a service is expected"))]
    NoBackend,
}

/// Reads a heartbeat. Unknown fields are skipped, missing ones are 0, false or empty.
///
/// # Errors
///
/// [`HeartbeatError`] if it cannot be read or names no service.
pub fn parse_heartbeat(bytes: &[u8]) -> Result<Heartbeat, HeartbeatError> {
    let heartbeat: Heartbeat = json::read(bytes).context(UnreadableSnafu)?;
    ensure!(!heartbeat.backend.is_empty(), NoBackendSnafu);
    Ok(heartbeat)
}

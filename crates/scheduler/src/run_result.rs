//! How a run came to its end.

use indigofold_protocol::worker::RunEnd;

/// How a run came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunResult {
    /// Its worker has listed its end.
    Ended(RunEnd),
    /// It never reached the worker.
    NotStarted,
    /// The worker's instance has ended, or its leases have expired.
    Lost,
}

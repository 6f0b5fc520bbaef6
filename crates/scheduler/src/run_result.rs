//! Result of an ended run from the scheduler's point of view.

use indigofold_protocol::worker::RunEnd;

/// How an outstanding run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunResult {
    /// The worker has reported the end.
    Ended(RunEnd),
    /// The run was not started: its start order was never sent, was not passed on to the worker, or was lost.
    NotStarted,
    /// The worker instance has ended, or its leases have expired.
    Lost,
}

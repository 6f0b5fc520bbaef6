//! Client calls, which the edges forward to the head, and the head's replies.

use crate::job::{JobSpec, JobState};
use serde::{Deserialize, Serialize};

/// A client's call, forwarded by an edge. The reply carries the same `call`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientCall {
    /// Call number chosen by the edge; unique on its connection.
    pub call: u64,
    /// The `Host` header, without a port.
    pub host: String,
    /// Path of the request: the route's prefix, then the job id unless the number of pending jobs is requested.
    pub path: String,
    /// The requested operation.
    pub operation: ClientOperation,
}

/// Operation that a client requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClientOperation {
    /// `POST PREFIX + ID`: submits a job.
    Submit(JobSpec),
    /// `GET PREFIX + ID`: returns the job's state. `GET PREFIX`: returns the number of pending jobs of the route.
    Get,
    /// `DELETE PREFIX + ID`: cancels the job.
    Cancel,
}

/// The head's reply to a [`ClientCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientReply {
    /// Number of the [`ClientCall`] that is answered.
    pub call: u64,
    /// Result of the call.
    pub outcome: ClientOutcome,
}

/// Result of a client's call. The HTTP status that the edge returns is in parentheses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClientOutcome {
    /// The job is stored (200).
    Accepted,
    /// Too many jobs or tasks are open: the job is not accepted, and this call never causes it to run (429).
    TooMany {
        /// Time until the client should retry.
        retry_after_ms: u64,
    },
    /// The call was not executed: this member is not the acting head, or has no configuration (503).
    Unavailable {
        /// Time until the client should retry.
        retry_after_ms: u64,
    },
    /// No route matches the host and path (404).
    UnknownRoute,
    /// The job or its id is invalid (400).
    Invalid {
        /// The invalid field, the value found and the values allowed.
        reason: String,
    },
    /// State of the job (200).
    State(JobState),
    /// The job is unknown (410).
    NoSuchJob,
    /// Number of jobs of the route of which no run has been started (200).
    Pending(u64),
    /// The job is cancelled (200).
    Cancelled,
}

//! Clients' calls, passed on by the edges, and the head's replies.

use crate::job::{JobSpec, JobState};
use serde::{Deserialize, Serialize};

/// An edge's call for a client. The reply carries the same `call`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientCall {
    /// Chosen by the edge; unique on its connection.
    pub call: u64,
    /// The `Host` header, without a port.
    pub host: String,
    /// The path.
    pub path: String,
    /// What the client requests.
    pub operation: ClientOperation,
}

/// What a client requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClientOperation {
    /// POST PREFIX + ID.
    Submit(JobSpec),
    /// GET PREFIX + ID: the job's state; GET PREFIX: how many jobs wait.
    Get,
    /// DELETE PREFIX + ID.
    Cancel,
}

/// The head's reply to a [`ClientCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientReply {
    /// The call's number.
    pub call: u64,
    /// Its result.
    pub outcome: ClientOutcome,
}

/// The result of a client's call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClientOutcome {
    /// The job is stored (200).
    Accepted,
    /// The job is not accepted and never runs because of this call (429).
    TooMany {
        /// When to retry.
        retry_after_ms: u64,
    },
    /// The call was not carried out: this member is not the acting head, or has no configuration (503).
    Unavailable {
        /// When to retry.
        retry_after_ms: u64,
    },
    /// No route leads there (404).
    UnknownRoute,
    /// The job cannot be read or never be done (400).
    Invalid {
        /// What, where, and what is allowed.
        reason: String,
    },
    /// The job's state (200).
    State(JobState),
    /// No such job (410).
    NoSuchJob,
    /// How many jobs wait (200).
    Pending(u64),
    /// The job is cancelled (200).
    Cancelled,
}

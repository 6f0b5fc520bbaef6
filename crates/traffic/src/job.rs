//! The contents of a recording: jobs, each a first attempt with its retries.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A point in time in microseconds since 1970, or a duration in microseconds.
pub type Micros = i64;

/// A recorded job: the client's first attempt with its retries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Time at which the first attempt was sent.
    pub at: Micros,
    /// Job class, as named by the mapping.
    pub class: Arc<str>,
    /// Parish (tenant); empty: unknown.
    pub parish: Arc<str>,
    /// Identifier of the object that the job is about, as extracted by the mapping; empty: unknown.
    pub subject: String,
    /// Idempotency key; `None`: the request has none.
    pub key: Option<String>,
    /// Time that the client is willing to wait, from the request or by class; `None`: unknown.
    pub deadline: Option<Micros>,
    /// Size of the request body in bytes; 0: empty or unknown.
    pub bytes: u64,
    /// Number of worker slots that the job occupies; `None`: unknown.
    pub slots: Option<f32>,
    /// A number derived from the client's address (as forwarded by trusted proxies) and its authenticated user; 0: both
    /// unknown.
    pub client: u64,
    /// HTTP status of the first attempt; 0: no response (the client disconnected, or the log ends before it).
    pub status: u16,
    /// Response time of the first attempt; `None`: unknown.
    pub took: Option<Micros>,
    /// Retries by the client, ordered by time.
    #[serde(rename = "tries")]
    pub retries: Vec<Retry>,
}

/// A retry of a job by its client.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Retry {
    /// Time at which the retry was sent.
    pub at: Micros,
    /// HTTP status; 0: no response.
    pub status: u16,
    /// Response time; `None`: unknown.
    pub took: Option<Micros>,
    /// Evidence by which the attempt was assigned to the job.
    #[serde(rename = "how")]
    pub evidence: Evidence,
    /// Probability that the assignment is right, 0 to 1.
    #[serde(rename = "sure")]
    pub confidence: f32,
}

/// The evidence by which an attempt was recognised as a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    /// The attempt carries the same idempotency key or request id.
    Key,
    /// The client marked the attempt as a retry.
    Marker,
    /// The same client sent a request of the same class about the same subject after an attempt that failed, was rejected or
    /// timed out.
    Guess,
}

/// Returns true for a success or redirection status (200 to 399).
pub fn is_success(status: u16) -> bool {
    (200..400).contains(&status)
}

/// Returns the 64-bit FNV-1a hash of a text, which is the same in every process.
pub fn number(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

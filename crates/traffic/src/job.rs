//! What a recording holds: first attempts, each with its retries.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A point in time in microseconds since 1970, or a duration in microseconds.
pub type Micros = i64;

/// One first attempt, as a client made it, with the retries that belong to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// When its request was sent.
    pub at: Micros,
    /// Its class.
    pub class: Arc<str>,
    /// Its parish (tenant); empty: none was known.
    pub parish: Arc<str>,
    /// What it is about; empty: unknown.
    pub subject: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// How long the client said it would wait.
    pub deadline: Option<Micros>,
    /// Bytes of its body, as far as known.
    pub bytes: u64,
    /// Slots that it takes, where the log says so.
    pub slots: Option<f32>,
    /// A number for the client: its address behind trusted proxies, and its user. 0: unknown.
    pub client: u64,
    /// The recorded HTTP status; 0: none (the client left, or the recording broke off).
    pub status: u16,
    /// How long the recorded response took.
    pub took: Option<Micros>,
    /// Retries by the client, in order.
    #[serde(rename = "tries")]
    pub retries: Vec<Retry>,
}

/// A retry of a job.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Retry {
    /// When it was sent.
    pub at: Micros,
    /// The recorded status; 0: none.
    pub status: u16,
    /// How long the recorded response took.
    pub took: Option<Micros>,
    /// By what it was taken for a retry.
    #[serde(rename = "how")]
    pub evidence: Evidence,
    /// How sure that is, 0 to 1.
    #[serde(rename = "sure")]
    pub confidence: f32,
}

/// By what an attempt was taken for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    /// It carries the same key, or the same request id.
    Key,
    /// The client marked it.
    Marker,
    /// The same client sent the same after a rejection, a failure or a time-out.
    Guess,
}

/// Was the job done, by its status?
pub fn done(status: u16) -> bool {
    (200..400).contains(&status)
}

/// A number for a text, the same at every start (FNV-1a).
pub fn number(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

//! Ends of runs.

use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunEnd {
    /// It has completed its work.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// The head ordered a stop.
    Stopped,
    /// Its run lease expired.
    #[serde(rename = "lapsed")]
    Expired,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
    /// It was never started.
    Refused,
}

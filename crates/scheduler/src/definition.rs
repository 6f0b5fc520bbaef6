//! A job as it was accepted, in the form in which its row is stored.

use indigofold_protocol::job::{JobSpec, JobState};
use serde::{Deserialize, Serialize};

/// Terms of service of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Terms {
    /// 0 goes first.
    pub priority: u32,
    /// A task that has failed so often fails its job.
    pub max_retries: u32,
    /// Component of the latency target: multiple of the longest chain of work.
    pub stretch: f64,
    /// Component of the latency target that does not depend on the work, in milliseconds.
    pub target_latency_ms: u64,
}

/// A job as it was accepted; written once.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Definition {
    /// What the client submitted.
    pub spec: JobSpec,
    /// Name of its queue's route.
    pub route: String,
    /// Service to which the route led then.
    pub service: String,
    /// Terms of the route then.
    pub terms: Terms,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_wall_ms: u64,
}

/// The end of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobEnd {
    /// `Completed`, `Failed` or `Cancelled`.
    pub state: JobState,
    /// When, in milliseconds since 1970.
    pub wall_ms: u64,
}

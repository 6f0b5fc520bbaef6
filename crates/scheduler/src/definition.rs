//! The definition and the end of a job, in the form in which rows store them.

use indigofold_protocol::job::{JobSpec, JobState};
use serde::{Deserialize, Serialize};

/// The settings of a route that determine how its jobs are scheduled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Terms {
    /// Priority of the jobs; 0 is the highest.
    pub priority: u32,
    /// Number of failures of one task, or failed attempts of one gang, that fails the job; 0 counts as 1.
    pub max_retries: u32,
    /// Multiple of the longest chain of work in the latency target.
    pub stretch: f64,
    /// Fixed part of the latency target, which does not depend on the work, in milliseconds.
    pub target_latency_ms: u64,
}

/// A job as it was accepted. The row is written once, and deleted when the job has ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Definition {
    /// The job as the client submitted it.
    pub spec: JobSpec,
    /// Name of the route by which the job was submitted.
    pub route: String,
    /// Service to which the route led when the job was accepted.
    pub service: String,
    /// Terms of the route when the job was accepted.
    pub terms: Terms,
    /// When the job was accepted, as Unix time in milliseconds.
    pub accepted_wall_ms: u64,
}

/// How and when a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobEnd {
    /// `Completed`, `Failed` or `Cancelled`.
    pub state: JobState,
    /// When the job ended, as Unix time in milliseconds.
    pub wall_ms: u64,
}

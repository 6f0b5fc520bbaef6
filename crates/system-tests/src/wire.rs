//! Heartbeats of workers and the responses to them, following the protocol documentation.
//!
//! The protocol crate defines the same messages. The duplication is on purpose: the stand-ins must not use the codec of
//! the programs under test, or a misreading of the documentation there would go unnoticed here. The two share no code.

use serde::{Deserialize, Serialize};

/// Upper bound of the ended runs in one heartbeat.
pub const ENDS_MAX: usize = 500;

/// Why a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EndReason {
    /// The work is done.
    Done,
    /// The run failed.
    Failed,
    /// A stop order ended the run.
    Stopped,
    /// The run lease of its instance expired.
    #[serde(rename = "lapsed")]
    Expired,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
    /// The instance refused the start order, so the run never started.
    Refused,
}

/// Resources of a worker, or of one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Capacity {
    /// CPU, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in megabytes.
    pub mem_mb: u64,
    /// Number of GPUs.
    pub gpu: u64,
}

/// A worker's report of itself: the body of `PUT /instances/ID`.
#[derive(Clone, Debug, Serialize)]
pub struct Heartbeat {
    /// The worker's service.
    pub backend: String,
    /// The worker's address.
    pub address: String,
    /// The worker's zone.
    pub zone: String,
    /// Version of the worker's software.
    pub version: String,
    /// The worker's number of slots.
    pub slots: u32,
    /// `ready` or `draining`.
    pub state: &'static str,
    /// Remaining warm-up time, in milliseconds.
    #[serde(rename = "cold_remaining_ms")]
    pub warm_up_remaining_ms: u64,
    /// The worker's resources.
    pub capacity: Capacity,
    /// The worker's labels, such as its kind and its rack.
    pub labels: Vec<String>,
    /// Minimum time until the worker ends, in milliseconds; `None` unless it is draining.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remaining_ms: Option<u64>,
    /// The worker's clock, in milliseconds.
    pub now_ms: u64,
    /// Sequence number, which increases with every heartbeat of the instance.
    pub seq_no: u64,
    /// The present runs.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<RunningReport>,
    /// Ended runs that have not been acknowledged, oldest first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub finished: Vec<EndReport>,
}

/// A present run in a heartbeat: `[task, run, saved, percent]`.
#[derive(Clone, Debug, Serialize)]
#[serde(into = "(String, u32, String, u32)")]
pub struct RunningReport {
    /// The task's name.
    pub task: String,
    /// The run's attempt number.
    pub attempt: u32,
    /// The run's newest checkpoint; empty for none.
    pub checkpoint: String,
    /// The run's progress in percent.
    pub percent: u32,
}

impl From<RunningReport> for (String, u32, String, u32) {
    fn from(report: RunningReport) -> Self {
        (
            report.task,
            report.attempt,
            report.checkpoint,
            report.percent,
        )
    }
}

/// An ended run in a heartbeat. On the wire it is an array of the fields below in their order, which the protocol
/// documentation calls `[N, task, run, how, saved]`.
#[derive(Clone, Debug, Serialize)]
#[serde(into = "(u64, String, u32, EndReason, String)")]
pub struct EndReport {
    /// Number of the end, from 1, in the order of the instance's ends.
    pub number: u64,
    /// The task's name.
    pub task: String,
    /// The run's attempt number.
    pub attempt: u32,
    /// Why the run ended.
    pub reason: EndReason,
    /// The run's last checkpoint; empty for none.
    pub checkpoint: String,
}

impl From<EndReport> for (u64, String, u32, EndReason, String) {
    fn from(report: EndReport) -> Self {
        (
            report.number,
            report.task,
            report.attempt,
            report.reason,
            report.checkpoint,
        )
    }
}

/// The response to a heartbeat. Unknown fields are errors, so that additions which are not documented are noticed.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HeartbeatResponse {
    /// Run lease in milliseconds, counted from when the heartbeat was sent; `None` grants no lease.
    #[serde(rename = "hold_ms")]
    pub run_lease_ms: Option<u64>,
    /// Number up to which ends are acknowledged; `None` acknowledges none.
    #[serde(rename = "last_seen")]
    pub acknowledged_end: Option<u64>,
    /// Fencing token of the sender; 0 if the response has none.
    #[serde(rename = "fence_token")]
    pub fencing_token: u64,
    /// Runs to start.
    pub start: Vec<StartOrder>,
    /// Runs to stop.
    pub stop: Vec<StopOrder>,
    /// Time until the next heartbeat, in milliseconds; `None` for the usual interval.
    pub retry_delay_ms: Option<u64>,
    /// Address for later heartbeats; `None` to keep the present one.
    pub heartbeat_endpoint: Option<String>,
}

/// An order to start a run: `[task, run, spec, saved]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(from = "(String, u32, String, String)")]
pub struct StartOrder {
    /// The task's name.
    pub task: String,
    /// The run's attempt number.
    pub attempt: u32,
    /// The job's text.
    pub spec: String,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: String,
}

impl From<(String, u32, String, String)> for StartOrder {
    fn from((task, attempt, spec, checkpoint): (String, u32, String, String)) -> Self {
        StartOrder {
            task,
            attempt,
            spec,
            checkpoint,
        }
    }
}

/// An order to stop a run: `[task, run]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(from = "(String, u32)")]
pub struct StopOrder {
    /// The task's name.
    pub task: String,
    /// The run's attempt number.
    pub attempt: u32,
}

impl From<(String, u32)> for StopOrder {
    fn from((task, attempt): (String, u32)) -> Self {
        StopOrder { task, attempt }
    }
}

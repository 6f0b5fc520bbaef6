//! Heartbeats of workers and the responses to them, as the protocol page has them.
//!
//! The same messages stand in the protocol crate. That is on purpose: the stand-ins must not trust the codec of the
//! programs under test, or a misreading of the page there would go unnoticed here. Nothing is shared between the two.

use serde::{Deserialize, Serialize};

/// Most ended runs that one heartbeat carries.
pub const ENDS_MAX: usize = 500;

/// Why a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EndReason {
    /// Its work is done.
    Done,
    /// It failed.
    Failed,
    /// A stop order ended it.
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

/// Resources of a worker, or of one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Capacity {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Megabytes of memory.
    pub mem_mb: u64,
    /// GPUs.
    pub gpu: u64,
}

/// A worker's report of itself: the body of `PUT /instances/ID`.
#[derive(Clone, Debug, Serialize)]
pub struct Heartbeat {
    /// Its service.
    pub backend: String,
    /// Address at which it could be reached.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Version of its software.
    pub version: String,
    /// Its slots.
    pub slots: u32,
    /// `ready` or `draining`.
    pub state: &'static str,
    /// Rest of its warm-up, in milliseconds.
    #[serde(rename = "cold_remaining_ms")]
    pub warm_up_remaining_ms: u64,
    /// Its resources.
    pub capacity: Capacity,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// Least time until it ends, in milliseconds, while it drains.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remaining_ms: Option<u64>,
    /// Its clock, in milliseconds.
    pub now_ms: u64,
    /// Rises with every heartbeat.
    pub seq_no: u64,
    /// Its present runs.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<RunningReport>,
    /// Its ended runs that have not been acknowledged.
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
    /// Its newest checkpoint.
    pub checkpoint: String,
    /// Its progress in percent.
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

/// An ended run in a heartbeat: `[N, task, run, how, saved]`.
#[derive(Clone, Debug, Serialize)]
#[serde(into = "(u64, String, u32, EndReason, String)")]
pub struct EndReport {
    /// Number of the end, from 1, in the order of the instance's ends.
    pub number: u64,
    /// The task's name.
    pub task: String,
    /// The run's attempt number.
    pub attempt: u32,
    /// Why it ended.
    pub reason: EndReason,
    /// Its last checkpoint.
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

/// The response to a heartbeat. Fields that the page does not name are errors here.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HeartbeatResponse {
    /// Run lease in milliseconds, counted from when the heartbeat was sent.
    #[serde(rename = "hold_ms")]
    pub run_lease_ms: Option<u64>,
    /// Number up to which ends are acknowledged.
    #[serde(rename = "last_seen")]
    pub acknowledged_end: Option<u64>,
    /// The sender's fencing token; 0 if it names none.
    #[serde(rename = "fence_token")]
    pub fencing_token: u64,
    /// Runs to start.
    pub start: Vec<StartOrder>,
    /// Runs to stop.
    pub stop: Vec<StopOrder>,
    /// Time until the next heartbeat, in milliseconds.
    pub retry_delay_ms: Option<u64>,
    /// Address for later heartbeats.
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

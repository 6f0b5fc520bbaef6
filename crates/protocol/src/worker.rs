//! Workers' heartbeats (`PUT /instances/ID`) and the replies.

mod arrays;
mod entries;
mod run_end;

use crate::job::Resources;
use serde::{Deserialize, Serialize};

pub use entries::{Finished, Running, Start, Stop};
pub use run_end::RunEnd;

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkerState {
    /// It takes new work.
    #[default]
    Ready,
    /// It takes no new work and is about to end.
    Draining,
}

/// A worker's heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Heartbeat {
    /// The service it belongs to.
    pub backend: String,
    /// Its own address.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Version of its software.
    pub version: String,
    /// Slots it has.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: WorkerState,
    /// Rest of its warm-up, in milliseconds.
    #[serde(rename = "cold_remaining_ms")]
    pub warmup_remaining_ms: u64,
    /// Its resources.
    pub capacity: Resources,
    /// Its labels: kind, rack.
    pub labels: Vec<String>,
    /// Least time until it ends, in milliseconds, while it drains.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remaining_ms: Option<u64>,
    /// Its own clock, in milliseconds.
    pub now_ms: u64,
    /// Rises with each heartbeat.
    pub seq_no: u64,
    /// Runs at work.
    pub running: Vec<Running>,
    /// Ends not yet acknowledged, 500 at most.
    pub finished: Vec<Finished>,
}

/// The reply to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HeartbeatReply {
    /// The run lease, in milliseconds from when the heartbeat was sent; without it nothing is started and no lease is
    /// extended.
    #[serde(rename = "hold_ms", skip_serializing_if = "Option::is_none")]
    pub lease_ms: Option<u64>,
    /// Ends up to this number are on disk.
    #[serde(rename = "last_seen", skip_serializing_if = "Option::is_none")]
    pub acknowledged_end: Option<u64>,
    /// The worker follows no orders under a lower token than the highest one received.
    #[serde(rename = "fence_token", skip_serializing_if = "Option::is_none")]
    pub fencing_token: Option<u64>,
    /// Runs to start.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub start: Vec<Start>,
    /// Runs to stop.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub stop: Vec<Stop>,
    /// When to send the next heartbeat, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_delay_ms: Option<u64>,
}

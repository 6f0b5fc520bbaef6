//! Workers' heartbeats (`PUT /instances/ID`) and their replies.

mod arrays;
mod entries;
mod run_end;

use crate::job::Resources;
use serde::{Deserialize, Serialize};

pub use entries::{Finished, Running, Start, Stop};
pub use run_end::RunEnd;

/// Whether a worker accepts new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkerState {
    /// The worker accepts new work.
    #[default]
    Ready,
    /// The worker accepts no new work and is about to end.
    Draining,
}

/// A worker's heartbeat: its full state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Heartbeat {
    /// Name of the service that the worker belongs to.
    pub backend: String,
    /// The worker's own address.
    pub address: String,
    /// Availability zone of the worker.
    pub zone: String,
    /// Version of the worker's software.
    pub version: String,
    /// Number of slots that the worker has.
    pub slots: u32,
    /// Whether the worker accepts new work.
    pub state: WorkerState,
    /// Remaining time of the warm-up after the worker's start, in milliseconds; 0 once it is over.
    #[serde(rename = "cold_remaining_ms")]
    pub warmup_remaining_ms: u64,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Labels of the worker, such as its kind and its rack.
    pub labels: Vec<String>,
    /// Minimum time until the worker ends, in milliseconds, while it drains; `None` otherwise.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remaining_ms: Option<u64>,
    /// The worker's own clock, in milliseconds.
    pub now_ms: u64,
    /// Sequence number of the heartbeat; rises with each one.
    pub seq_no: u64,
    /// Runs that the worker is executing.
    pub running: Vec<Running>,
    /// Ended runs that are not acknowledged yet, 500 at most.
    pub finished: Vec<Finished>,
}

/// The reply to a heartbeat, with the orders for the worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HeartbeatReply {
    /// Duration of the run lease, in milliseconds from the time at which the heartbeat was sent. If `None`, the worker
    /// starts no run and extends no lease.
    #[serde(rename = "hold_ms", skip_serializing_if = "Option::is_none")]
    pub lease_ms: Option<u64>,
    /// Ended runs up to this number are durably stored, and the worker stops listing them; `None` if there are none.
    #[serde(rename = "last_seen", skip_serializing_if = "Option::is_none")]
    pub acknowledged_end: Option<u64>,
    /// Fencing token of the orders: the worker ignores orders with a lower token than the highest it has received.
    /// `None` before the agent has received orders from a head.
    #[serde(rename = "fence_token", skip_serializing_if = "Option::is_none")]
    pub fencing_token: Option<u64>,
    /// Runs to start.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub start: Vec<Start>,
    /// Runs to stop.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub stop: Vec<Stop>,
    /// Time until the worker should send its next heartbeat, in milliseconds; `None` leaves it to the worker.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_delay_ms: Option<u64>,
}

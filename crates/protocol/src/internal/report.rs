//! Node agents' reports.

use crate::job::Resources;
use crate::task::RunId;
use crate::worker::{RunEnd, WorkerState};
use serde::{Deserialize, Serialize};

/// A node agent's report to the head, sent at changes and at least every few hundred milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The agent's steady clock when it sent this.
    pub sent_ms: u64,
    /// The worker's present instance, if one has registered here.
    pub instance: Option<InstanceReport>,
    /// Earlier instances (or this one, once it has ended or all its run leases have expired): nothing of theirs runs or
    /// ever will.
    pub ended_instances: Vec<String>,
    /// Starts that were never sent to the worker and never will be.
    pub not_started: Vec<RunId>,
}

/// An instance of a worker, as its node agent knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Its id.
    pub id: String,
    /// The service it belongs to.
    pub backend: String,
    /// Its zone.
    pub zone: String,
    /// Whether it takes new work.
    pub state: WorkerState,
    /// Least time until it ends, while it drains.
    pub remaining_ms: Option<u64>,
    /// How long it will still be slow after its start.
    pub warmup_remaining_ms: u64,
    /// Its resources.
    pub capacity: Resources,
    /// Its labels.
    pub labels: Vec<String>,
    /// Time since its last heartbeat.
    pub since_heartbeat_ms: u64,
    /// What runs there, by its last heartbeat; `None`: as in the last report on this connection.
    pub running: Option<Vec<RunningRun>>,
    /// Ends that the head has not acknowledged yet, in the order of their numbers.
    pub finished: Vec<FinishedRun>,
    /// Starts sent to the worker whose run no heartbeat has listed yet.
    pub in_flight: Vec<RunId>,
}

/// A run at work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningRun {
    /// The run.
    pub run: RunId,
    /// Its last checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress, in percent.
    pub percent: u32,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinishedRun {
    /// The worker's number of this end; rises within one instance.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub end: RunEnd,
    /// Its last checkpoint; empty for none.
    pub checkpoint: String,
}

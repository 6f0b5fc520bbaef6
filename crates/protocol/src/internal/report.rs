//! Node agents' reports to the head.

use crate::job::Resources;
use crate::task::RunId;
use crate::worker::{RunEnd, WorkerState};
use serde::{Deserialize, Serialize};

/// A node agent's report to the head, sent after changes and at least every few hundred milliseconds.
///
/// Ended instances, starts that were not carried out and changed lists of runs are *updates*: they are not part of every
/// report. The agent numbers them in ascending order and keeps each one until the head acknowledges its number
/// ([`AgentOrders::acknowledged_update`]).
///
/// [`AgentOrders::acknowledged_update`]: crate::internal::AgentOrders::acknowledged_update
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentReport {
    /// Reading of the agent's monotonic clock when it sent the report.
    pub sent_ms: u64,
    /// The current worker instance; `None` if none has registered with this agent.
    pub instance: Option<InstanceReport>,
    /// Ids of instances that run nothing and never will again: earlier instances, and the current one once it has ended
    /// or all its run leases have expired.
    pub ended_instances: Vec<String>,
    /// Runs whose start was not passed to the worker and never will be.
    pub not_started: Vec<RunId>,
    /// Number of the agent's newest update. The report then carries all updates up to this number that the agent has not
    /// seen acknowledged. 0 if it carries none, and from builds that do not number them.
    pub newest_update: u64,
}

impl AgentReport {
    /// Whether the report carries updates without a number. The sender's build counts them as received because they were
    /// sent, and sends them again only on a new connection.
    pub fn has_unnumbered_updates(&self) -> bool {
        let has_runs = self
            .instance
            .as_ref()
            .is_some_and(|instance| instance.running.is_some());
        self.newest_update == 0
            && (has_runs || !self.ended_instances.is_empty() || !self.not_started.is_empty())
    }
}

/// State of a worker instance, as known to its node agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Id of the instance, as in `PUT /instances/ID`.
    pub id: String,
    /// Name of the service that the worker belongs to.
    pub backend: String,
    /// Availability zone of the worker.
    pub zone: String,
    /// Whether the worker accepts new work.
    pub state: WorkerState,
    /// Minimum time until the worker ends, while it drains; `None` otherwise.
    pub remaining_ms: Option<u64>,
    /// Remaining time of the warm-up, in which the worker is slow after its start; 0 once it is over.
    pub warmup_remaining_ms: u64,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Labels of the worker, such as its kind and its rack.
    pub labels: Vec<String>,
    /// Time since the worker's last heartbeat.
    pub since_heartbeat_ms: u64,
    /// Runs that the last heartbeat lists as running; `None` if they are as in an earlier report on this connection that
    /// the head has answered.
    pub running: Option<Vec<RunningRun>>,
    /// Ended runs that the head has not acknowledged yet, in the order of their numbers.
    pub finished: Vec<FinishedRun>,
    /// Runs whose start was sent to the worker and that no heartbeat has listed yet.
    pub in_flight: Vec<RunId>,
}

/// A run that the worker is executing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningRun {
    /// Id of the run.
    pub run: RunId,
    /// The last checkpoint of the run; empty for none.
    pub checkpoint: String,
    /// Progress, in percent.
    pub percent: u32,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinishedRun {
    /// Sequence number that the worker gave this entry; rises within one instance.
    pub number: u64,
    /// Id of the run.
    pub run: RunId,
    /// How the run ended.
    pub end: RunEnd,
    /// The last checkpoint of the run; empty for none.
    pub checkpoint: String,
}

//! The head's orders to node agents, and the leases under which these act.

use crate::job::Resources;
use crate::task::RunId;
use serde::{Deserialize, Serialize};

/// The head's orders to a node agent; also the answer to each of its reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentOrders {
    /// The head's view: the fencing token. Orders of a lower one than the highest received are dropped.
    pub epoch: u64,
    /// `sent_ms` of the newest report received: the agent may extend run leases for [`LEASE_AUTHORITY_MS`] from then on.
    /// `None`: this message gives no authority to extend.
    pub echo_sent_ms: Option<u64>,
    /// The worker's instance that this is for; orders for another one are dropped.
    pub instance: String,
    /// Runs to start. Sent again after a reconnection; the agent does not start a known run twice.
    pub start: Vec<StartOrder>,
    /// Runs to stop.
    pub stop: Vec<RunId>,
    /// Ends up to this number are on disk and may be acknowledged to the worker.
    pub acknowledged_end: Option<u64>,
}

impl AgentOrders {
    /// Whether something is to be started or stopped.
    pub fn has_work(&self) -> bool {
        !self.start.is_empty() || !self.stop.is_empty()
    }
}

/// For how long after sending a report that the head has answered a node agent may go on extending run leases.
pub const LEASE_AUTHORITY_MS: u64 = 8_000;

/// The run lease that a node agent grants at each heartbeat; never above the bound `max_hold_ms`.
pub const RUN_LEASE_MS: u64 = 4_500;

/// A run to start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The run.
    pub run: RunId,
    /// What it needs; the agent sends it on only where it fits.
    pub resources: Resources,
    /// The job's text.
    pub spec: String,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: String,
}

//! The head's orders to node agents, and the durations of the leases involved.

use crate::job::Resources;
use crate::task::RunId;
use serde::{Deserialize, Serialize};

/// The head's orders to a node agent; also sent as the answer to each of the agent's reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentOrders {
    /// Number of the head's view, used as the fencing token: the agent drops orders with a lower token than the highest
    /// it has received.
    pub epoch: u64,
    /// `sent_ms` of the newest report received. The agent may extend run leases for [`LEASE_AUTHORITY_MS`] from that
    /// time on. If `None`, this message does not authorise the agent to extend leases.
    pub echo_sent_ms: Option<u64>,
    /// Id of the worker instance that the orders are for; the agent drops orders for any other instance.
    pub instance: String,
    /// Runs to start. They are sent again after a reconnection; the agent does not start a known run twice.
    pub start: Vec<StartOrder>,
    /// Runs to stop.
    pub stop: Vec<RunId>,
    /// Ended runs up to this number are durably stored and may be acknowledged to the worker; `None` if there are none.
    pub acknowledged_end: Option<u64>,
    /// The agent's updates up to this number are handled and their effects are durably stored; 0 before the first on this
    /// connection. `None` from builds that do not acknowledge updates.
    pub acknowledged_update: Option<u64>,
}

impl AgentOrders {
    /// Returns true if there are runs to start or to stop.
    pub fn has_work(&self) -> bool {
        !self.start.is_empty() || !self.stop.is_empty()
    }
}

/// Time for which a node agent may extend run leases, in milliseconds, counted from the sending of the newest report
/// that the head has answered.
pub const LEASE_AUTHORITY_MS: u64 = 8_000;

/// Duration of the run lease that a node agent grants at each heartbeat, in milliseconds; the setting `max_hold_ms`
/// limits it.
pub const RUN_LEASE_MS: u64 = 4_500;

/// A run to start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Id of the run.
    pub run: RunId,
    /// Resources that the run needs; the agent passes the order to the worker only if they are free.
    pub resources: Resources,
    /// `spec` of the job.
    pub spec: String,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: String,
}

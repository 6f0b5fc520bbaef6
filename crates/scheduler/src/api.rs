//! What goes into the scheduler and what comes out of it.

use crate::latency::LateEnd;
use indigofold_protocol::config::Config;
use indigofold_protocol::internal::{AgentOrders, AgentReport, ClientCall, ClientReply};
use std::sync::Arc;

/// Whom a client's call came from and where its reply goes: chosen by the caller, unique among open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// A connection of a node agent: chosen by the caller, never used again for another connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AgentId(pub u64);

/// Fencing token of all orders of one head: number of the view in which it took over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Epoch(pub u64);

/// Number of a write, counted from 1 by the scheduler. Writes are to be committed in the order of their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WriteId(pub u64);

/// Limits and costs from the settings (`[bounds]` of boot.toml).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Longest run lease that a worker grants, in milliseconds.
    pub max_lease_ms: u64,
    /// Longest time that a stop takes, in milliseconds.
    pub stop_ms: u64,
    /// How long a gang's member waits for the others, in milliseconds.
    pub gang_ms: u64,
    /// Time within which a cancelling must take effect, in milliseconds.
    pub cancel_ms: u64,
    /// How long a job's state is shown after its end, in seconds.
    pub status_s: u64,
    /// Factor on run times remote from the data, or of a gang that needs one rack and has several.
    pub remote_slowdown: f64,
    /// Work between two checkpoints of a task, in seconds.
    pub checkpoint_interval_s: u64,
    /// What resuming from a checkpoint costs, in milliseconds.
    pub resume_cost_ms: u64,
}

impl Bounds {
    /// Factor on the run time of a task that is with its data (and its gang), or is not.
    pub(crate) fn remote_factor(&self, is_local: bool) -> f64 {
        if is_local { 1.0 } else { self.remote_slowdown }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            max_lease_ms: 6_000,
            stop_ms: 900,
            gang_ms: 3_000,
            cancel_ms: 3_000,
            status_s: 120,
            remote_slowdown: 1.5,
            checkpoint_interval_s: 2,
            resume_cost_ms: 600,
        }
    }
}

/// An input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// This configuration is in force from now on.
    Config(Arc<Config>),
    /// A client's call.
    Call {
        /// Where the reply goes.
        from: CallerId,
        /// The call.
        call: ClientCall,
    },
    /// The caller's connection is gone: its open calls need no reply.
    CallerDisconnected(CallerId),
    /// All writes up to this one are committed.
    Committed(WriteId),
    /// A node agent has connected.
    AgentConnected {
        /// Its connection.
        agent: AgentId,
        /// Name of its machine.
        node_name: String,
    },
    /// A node agent's connection is gone.
    AgentDisconnected(AgentId),
    /// A node agent reports.
    Report {
        /// Its connection.
        agent: AgentId,
        /// The report.
        report: AgentReport,
    },
    /// The time given by [`Scheduler::next_timer_ms`](crate::Scheduler::next_timer_ms) has come.
    Timer,
}

/// One changed row of the control state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// The row's key.
    pub key: Vec<u8>,
    /// Its new value; `None` deletes the row.
    pub value: Option<Vec<u8>>,
}

/// An output of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// To be written in one piece, after all writes before it; answered by [`Event::Committed`].
    Write {
        /// Its number.
        write: WriteId,
        /// The rows.
        changes: Vec<RowChange>,
    },
    /// The reply to a client's call.
    Reply {
        /// Whom to.
        to: CallerId,
        /// The reply.
        reply: ClientReply,
    },
    /// A job ended after its latency target, or failed: for the log.
    Late(Box<LateEnd>),
    /// Orders for a node agent.
    Orders {
        /// Its connection.
        agent: AgentId,
        /// The orders.
        orders: AgentOrders,
    },
}

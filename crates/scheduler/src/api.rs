//! Inputs and outputs of the scheduler.

use crate::latency::LateEnd;
use indigofold_protocol::config::Config;
use indigofold_protocol::internal::{AgentOrders, AgentReport, ClientCall, ClientReply};
use std::sync::Arc;

/// Connection on which a client's call arrived and to which its reply is sent. The user of the scheduler assigns it; it is
/// unique among open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// A connection of a node agent. The user of the scheduler assigns it and never reuses it for another connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AgentId(pub u64);

/// Fencing token of all orders of one head: the number of the view in which it became head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Epoch(pub u64);

/// Number of a write, assigned by the scheduler from 1 upwards. Writes must be committed in the order of their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WriteId(pub u64);

/// Limits and costs from the settings (`[bounds]` of boot.toml).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Longest run lease that a worker grants, in milliseconds.
    pub max_lease_ms: u64,
    /// Longest time that a stop takes, in milliseconds.
    pub stop_ms: u64,
    /// Longest time that a gang's member waits for the others, in milliseconds.
    pub gang_ms: u64,
    /// Time within which a cancellation must take effect, in milliseconds.
    pub cancel_ms: u64,
    /// How long clients can query a job's state after its end, in seconds.
    pub status_s: u64,
    /// Factor on the run time of a task that runs on another rack than its data, or whose gang needs one rack but is spread
    /// over several.
    pub remote_slowdown: f64,
    /// Work between two checkpoints of a task, in seconds.
    pub checkpoint_interval_s: u64,
    /// Overhead of resuming from a checkpoint, in milliseconds.
    pub resume_cost_ms: u64,
}

impl Bounds {
    /// Factor on the run time of a task: 1 if it runs on the rack of its data and its gang, otherwise `remote_slowdown`.
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
    /// A new configuration takes effect.
    Config(Arc<Config>),
    /// A client's call arrived.
    Call {
        /// Connection to which the reply is sent.
        from: CallerId,
        /// The call as the edge has sent it.
        call: ClientCall,
    },
    /// The caller's connection has closed: its open calls need no reply.
    CallerDisconnected(CallerId),
    /// All writes up to this one are committed.
    Committed(WriteId),
    /// A node agent has connected.
    AgentConnected {
        /// The new connection.
        agent: AgentId,
        /// Name of the machine on which the agent runs.
        node_name: String,
    },
    /// A node agent's connection has closed.
    AgentDisconnected(AgentId),
    /// A node agent's report arrived.
    Report {
        /// Connection on which it arrived.
        agent: AgentId,
        /// State of the agent's worker and its runs.
        report: AgentReport,
    },
    /// The time returned by [`Scheduler::next_timer_ms`](crate::Scheduler::next_timer_ms) was reached.
    Timer,
}

/// One changed row of the control state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// Key of the row; [`Scheduler::owns_row`](crate::Scheduler::owns_row) accepts it.
    pub key: Vec<u8>,
    /// New value; `None` deletes the row.
    pub value: Option<Vec<u8>>,
}

/// An output of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Rows to write atomically, after all earlier writes; [`Event::Committed`] confirms the write.
    Write {
        /// Number of the write.
        write: WriteId,
        /// The changed rows.
        changes: Vec<RowChange>,
    },
    /// The reply to a client's call.
    Reply {
        /// Connection on which the call arrived.
        to: CallerId,
        /// The reply to send.
        reply: ClientReply,
    },
    /// A job or repetition ended after its latency target, or failed; to be logged.
    LateEnd(Box<LateEnd>),
    /// Orders for a node agent.
    Orders {
        /// Connection of the node agent.
        agent: AgentId,
        /// The orders; they also answer a report if `echo_sent_ms` is set.
        orders: AgentOrders,
    },
}

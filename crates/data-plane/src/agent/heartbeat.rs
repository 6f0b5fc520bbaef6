//! Inputs and outputs of the agent about heartbeats.

use indigofold_protocol::worker::HeartbeatReply;

/// A heartbeat that was accepted and awaits its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatReceipt {
    /// Sequence number of the heartbeat.
    pub seq_no: u64,
    /// Whether the reply should wait for orders: runs have ended, and the connected head, which knows the instance, may
    /// soon order starts for the capacity that became free.
    pub expects_orders: bool,
}

/// The result of a heartbeat.
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// The heartbeat is the newest one; the reply carries orders.
    Answered(HeartbeatReply),
    /// A newer heartbeat was read before, or the instance has ended; the heartbeat is acknowledged without orders.
    Superseded,
}

//! Inputs and outputs of the agent about heartbeats.

use indigofold_protocol::worker::HeartbeatReply;

/// Number of a connection from the worker, unique within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WorkerConnectionId(pub u64);

/// The sender of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatSource<'a> {
    /// Instance id in `PUT /instances/ID`.
    pub instance: &'a str,
    /// Connection on which the heartbeat was received.
    pub connection: WorkerConnectionId,
}

/// Whether a heartbeat is read.
#[derive(Debug, PartialEq)]
pub enum HeartbeatAdmission {
    /// The heartbeat was read; [`Agent::poll_heartbeat_reply`](super::Agent::poll_heartbeat_reply) returns its reply.
    Accepted(HeartbeatReceipt),
    /// The heartbeat was not read, because it may have been sent by an instance that has ended since. This reply asks a
    /// running instance for another one.
    Pending(HeartbeatReply),
    /// A newer heartbeat was read before, or the instance has ended; the heartbeat is acknowledged without orders.
    Superseded,
}

/// A heartbeat that was accepted and awaits its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatReceipt {
    /// Sequence number of the heartbeat.
    pub seq_no: u64,
    /// Whether the reply should wait for orders: runs have ended, and the connected head, which knows the instance, may
    /// soon order starts for the capacity that became free.
    pub expects_orders: bool,
}

/// The reply to an accepted heartbeat.
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// The heartbeat is the newest one; the reply carries orders.
    Answered(HeartbeatReply),
    /// A newer heartbeat was read before, or the instance has ended; the heartbeat is acknowledged without orders.
    Superseded,
}

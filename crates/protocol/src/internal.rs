//! Messages between the cluster's own processes. Edges and node agents connect to the core members; members
//! connect to each other. The first frame on a connection is a [`Hello`]; a member answers with a [`Welcome`].
//!
//! All `*_ms` values are milliseconds. `sent_ms` values are readings of the sender's monotonic clock and comparable
//! only on the sender.

mod client;
mod hello;
mod orders;
mod report;

use crate::inspection::{InspectionCall, InspectionReply};
use serde::{Deserialize, Serialize};

pub use crate::member::MemberAddress;
pub use client::{ClientCall, ClientOperation, ClientOutcome, ClientReply};
pub use hello::{Hello, ProcessKind, Welcome};
pub use orders::{AgentOrders, LEASE_AUTHORITY_MS, RUN_LEASE_MS, StartOrder};
pub use report::{AgentReport, FinishedRun, InstanceReport, RunningRun};

/// Every message on an internal connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of the connecting process.
    Hello(Hello),
    /// A member's answer to [`Frame::Hello`].
    Welcome(Welcome),
    /// Edge to head: a client's call.
    Call(ClientCall),
    /// Head to edge: the reply to a call.
    Reply(ClientReply),
    /// Node agent to head: the state of the node's worker.
    Report(AgentReport),
    /// Head to node agent: runs to start and to stop.
    Orders(AgentOrders),
    /// Member to member: a message of the replication protocol, encoded by the replication crate.
    Replication(Vec<u8>),
    /// Command line tool to member: a read-only query.
    Inspect(InspectionCall),
    /// Member to command line tool: the answer to [`Frame::Inspect`].
    Inspected(InspectionReply),
}

//! Messages between the cluster's own processes. Edges and node agents connect to the core members; members
//! connect to each other. The first frame on a connection is a [`Hello`]; a member answers with a [`Welcome`].
//!
//! All `*_ms` times are milliseconds; `sent_ms` values are readings of the sender's steady clock, meaningful to that
//! sender only.

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
    /// First frame of the process that connects.
    Hello(Hello),
    /// A member's answer.
    Welcome(Welcome),
    /// Edge to head.
    Call(ClientCall),
    /// Head to edge.
    Reply(ClientReply),
    /// Node agent to head.
    Report(AgentReport),
    /// Head to node agent.
    Orders(AgentOrders),
    /// Member to member: a message of the replication protocol, encoded by that crate.
    Replication(Vec<u8>),
    /// Command line tool to member: a question that changes nothing.
    Inspect(InspectionCall),
    /// A member's answer to it.
    Inspected(InspectionReply),
}

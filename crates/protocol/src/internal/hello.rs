//! Handshake messages, the first on each connection.

use crate::config::IngressLimits;
use crate::member::MemberAddress;
use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// Kind of the connecting process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessKind {
    /// Edge: receives clients' requests and forwards them to the head.
    Edge,
    /// Node agent: runs on a worker's machine and connects the worker to the head.
    Agent,
    /// Core member: stores a replica of the control state.
    Core,
}

/// First frame of the connecting process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the process's machine.
    pub node_name: String,
    /// Kind of the process.
    pub kind: ProcessKind,
    /// Availability zone of the process.
    pub zone: String,
    /// Random number, drawn anew at each start of the process.
    pub incarnation: u64,
    /// Address of the process's machine; `None` from a build that does not send it.
    pub ip: Option<IpAddr>,
}

/// A member's answer to [`Hello`]. It is sent again whenever its contents change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Welcome {
    /// Number of the member's current view.
    pub view: u64,
    /// The acting head; `None` if the member knows none.
    pub head: Option<MemberAddress>,
    /// All members that the sender knows.
    pub members: Vec<MemberAddress>,
    /// Whether the sender is the head and may act, that is, its lease is valid.
    pub acting: bool,
    /// Version of the active configuration; 0 before the first. Only the acting head knows it.
    pub config_version: u64,
    /// Limits of the active configuration on client requests; the defaults if the sender knows none.
    pub limits: IngressLimits,
}

//! The first messages of a connection.

use crate::config::IngressLimits;
use crate::member::MemberAddress;
use serde::{Deserialize, Serialize};

/// The kind of process that connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessKind {
    /// Takes clients' requests.
    Edge,
    /// Node agent: runs beside a worker.
    Agent,
    /// Core member: holds a replica of the control state.
    Core,
}

/// First frame of the process that connects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of its machine.
    pub node_name: String,
    /// What it is.
    pub kind: ProcessKind,
    /// Its zone.
    pub zone: String,
    /// Drawn anew at each start of the process.
    pub incarnation: u64,
}

/// A member's answer to [`Hello`], and sent again whenever it changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Welcome {
    /// Number of the view that the member follows.
    pub view: u64,
    /// The view's head, where the member knows one that is at work.
    pub head: Option<MemberAddress>,
    /// All members that it knows.
    pub members: Vec<MemberAddress>,
    /// This member is the head, and may act (its lease holds).
    pub acting: bool,
    /// Version of the configuration in force; 0 before the first. Known to the acting head only.
    pub config_version: u64,
    /// Limits that the configuration sets on clients' requests.
    pub limits: IngressLimits,
}

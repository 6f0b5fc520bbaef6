//! What a machine and a role are for.

use serde::{Deserialize, Serialize};

/// The class of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineClass {
    /// Reached by clients; no disk.
    Edge,
    /// Beside a worker; no disk.
    Side,
    /// Has a disk.
    Core,
}

/// Who may call a role from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Serves {
    /// Clients.
    Edge,
    /// The worker on the same machine.
    Side,
    /// Workers and the operator.
    Control,
}

/// How orders reach the workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderDelivery {
    /// In the replies to their heartbeats.
    #[default]
    Heartbeat,
    /// By requests to their own address.
    Invocation,
}

//! Kinds of machines, of callers that a role serves, and of order delivery.

use serde::{Deserialize, Serialize};

/// Class of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineClass {
    /// Accepts clients' connections; has no disk.
    Edge,
    /// Runs beside a worker; has no disk.
    Side,
    /// Runs a core member; has a disk.
    Core,
}

/// Callers outside the cluster that a role serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CallerKind {
    /// Clients.
    Edge,
    /// The worker on the same machine.
    Side,
    /// Workers and the operator.
    Control,
}

/// How orders are delivered to the workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderDelivery {
    /// In the replies to the workers' heartbeats.
    #[default]
    Heartbeat,
    /// In requests to the worker's own address.
    Invocation,
}

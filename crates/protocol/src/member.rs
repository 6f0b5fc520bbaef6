//! Addresses of core members.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A core member as others reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberAddress {
    /// Name of its machine.
    pub node_name: String,
    /// Where it accepts internal connections.
    pub internal: SocketAddr,
    /// Where it accepts operators' requests (`control_plane`).
    pub control: SocketAddr,
}

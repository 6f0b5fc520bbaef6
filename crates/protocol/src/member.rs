//! Addresses of core members.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Name and addresses of a core member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberAddress {
    /// Name of the member's machine.
    pub node_name: String,
    /// Address at which the member accepts internal connections.
    pub internal: SocketAddr,
    /// Address at which the member accepts operators' requests (setting `bind_addrs.control_plane`).
    pub control: SocketAddr,
}

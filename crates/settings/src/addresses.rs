//! Addresses and ports in the settings.

use crate::lenient;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Addresses that the process listens on; `None` for those that its role does not serve.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BindAddresses {
    /// Address for clients' connections.
    #[serde(deserialize_with = "lenient::address")]
    pub frontend: Option<SocketAddr>,
    /// Address to which the platform sends `GET /readiness`.
    #[serde(deserialize_with = "lenient::address")]
    pub readiness: Option<SocketAddr>,
    /// Address for requests of workers and operators.
    #[serde(deserialize_with = "lenient::address")]
    pub control_plane: Option<SocketAddr>,
}

/// Addresses of a seed: a core member that is listed in the settings, so that a process can find the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedAddress {
    /// Address for operators' requests.
    pub control: SocketAddr,
    /// Address for connections within the cluster.
    pub internal: SocketAddr,
}

/// Ports from `first` to `last`, both included. Written in the file as an array: `[first, last]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u16, u16)", into = "(u16, u16)")]
pub struct PortRange {
    /// The first port.
    pub first: u16,
    /// The last port.
    pub last: u16,
}

impl PortRange {
    /// Whether the range holds at least one port and does not hold port 0.
    pub(crate) fn is_valid(&self) -> bool {
        self.first > 0 && self.first <= self.last
    }
}

impl From<(u16, u16)> for PortRange {
    fn from((first, last): (u16, u16)) -> Self {
        PortRange { first, last }
    }
}

impl From<PortRange> for (u16, u16) {
    fn from(range: PortRange) -> Self {
        (range.first, range.last)
    }
}

impl fmt::Display for PortRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}, {}]", self.first, self.last)
    }
}

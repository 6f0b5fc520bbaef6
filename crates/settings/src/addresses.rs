//! Addresses and ports of a process.

use crate::lenient;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Addresses for what the role serves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BindAddresses {
    /// Where clients' connections arrive.
    #[serde(deserialize_with = "lenient::address")]
    pub frontend: Option<SocketAddr>,
    /// Where the platform sends `GET /readiness`.
    #[serde(deserialize_with = "lenient::address")]
    pub readiness: Option<SocketAddr>,
    /// Where workers and operators send requests.
    #[serde(deserialize_with = "lenient::address")]
    pub control_plane: Option<SocketAddr>,
}

/// A seed: a core member that the settings of every process name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedAddress {
    /// Where it accepts operators' requests.
    pub control: SocketAddr,
    /// Where it accepts internal connections.
    pub internal: SocketAddr,
}

/// Ports from `first` to `last`. In the file an array: `[first, last]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u16, u16)", into = "(u16, u16)")]
pub struct PortRange {
    /// The first port.
    pub first: u16,
    /// The last port.
    pub last: u16,
}

impl PortRange {
    /// Whether it has at least one port, and no port 0.
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

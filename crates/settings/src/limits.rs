//! Resources that a process may use, and losses that the system must tolerate.

use crate::lenient;
use serde::{Deserialize, Serialize};

/// Resources that the process may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Share of a core that the process may use; 1 is a whole core.
    #[serde(deserialize_with = "lenient::number")]
    pub cpu_share: f64,
    /// Relative speed of that core; 1 is the normal speed.
    #[serde(deserialize_with = "lenient::number")]
    pub cores: f64,
    /// Memory above which the process is killed, in megabytes.
    #[serde(deserialize_with = "lenient::rounded")]
    pub memory_mb: u64,
    /// Largest number of open file descriptors.
    #[serde(deserialize_with = "lenient::rounded")]
    pub max_fds: u64,
    /// Network bandwidth of the machine, in megabits per second.
    #[serde(deserialize_with = "lenient::number")]
    pub link_mbps: f64,
    /// Size of the disk, in megabytes; 0 if there is no disk.
    #[serde(deserialize_with = "lenient::rounded")]
    pub disk_mb: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            cpu_share: 1.0,
            cores: 1.0,
            memory_mb: 128,
            max_fds: 1_024,
            link_mbps: 1_000.0,
            disk_mb: 0,
        }
    }
}

/// Numbers of parts that may be lost at the same time without violating a contract.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultTolerance {
    /// Number of machines, among those with `counts_for_quorum`.
    pub machines: u32,
    /// Number of zones.
    pub zones: u32,
    /// Number of regions.
    pub regions: u32,
}

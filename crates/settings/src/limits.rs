//! What a process may use, and what the system must tolerate.

use crate::lenient;
use serde::{Deserialize, Serialize};

/// What the process may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Part of a core that the process may use.
    #[serde(deserialize_with = "lenient::number")]
    pub cpu_share: f64,
    /// Speed of that core, as a factor.
    #[serde(deserialize_with = "lenient::number")]
    pub cores: f64,
    /// Memory above which the process is killed, in megabytes.
    #[serde(deserialize_with = "lenient::rounded")]
    pub memory_mb: u64,
    /// Most file descriptors.
    #[serde(deserialize_with = "lenient::rounded")]
    pub max_fds: u64,
    /// Bandwidth of the machine, in megabits per second.
    #[serde(deserialize_with = "lenient::number")]
    pub link_mbps: f64,
    /// Size of the disk, in megabytes; 0 for none.
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

/// What may be lost at once without breaking a rule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultTolerance {
    /// Machines that `counts_for_quorum` marks.
    pub machines: u32,
    /// Zones.
    pub zones: u32,
    /// Regions.
    pub regions: u32,
}

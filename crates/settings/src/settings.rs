//! The settings file as types.

use crate::bounds::Bounds;
use crate::error::{NoVariableSnafu, NotAllowedSnafu, ParseSnafu, ReadSnafu, SettingsError};
use crate::lenient;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, ensure};
use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

/// The variable that names the settings file.
pub const CONFIG_VARIABLE: &str = "INDIGOFOLD_CONFIG";

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
pub enum Commands {
    /// In the replies to their heartbeats.
    #[default]
    Heartbeat,
    /// By requests to their own address.
    Invocation,
}

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
    fn is_valid(&self) -> bool {
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

/// The settings of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Name of the machine.
    pub node_name: String,
    /// Name of the role in the deploy file.
    pub role: String,
    /// Class of the machine.
    pub machine_class: MachineClass,
    /// Who may send requests to the role from outside.
    #[serde(default)]
    pub serves: Vec<Serves>,
    /// Address of the machine.
    pub ip: IpAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine.
    #[serde(default)]
    pub region: String,
    /// First and last port that are free for connections within the cluster.
    pub port_range: PortRange,
    /// `control_plane` addresses of some core members.
    #[serde(default)]
    pub seed_nodes: Vec<SocketAddr>,
    /// The whole system starts for the first time, with empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// The machine is one of those that `fault_tolerance` counts.
    #[serde(default)]
    pub counts_for_quorum: bool,
    /// Folder on the disk, on machines that have one.
    #[serde(default, deserialize_with = "lenient::path")]
    pub data_dir: Option<PathBuf>,
    /// Interval between a worker's heartbeats, in milliseconds.
    #[serde(
        default = "default_heartbeat_ms",
        deserialize_with = "lenient::rounded"
    )]
    pub heartbeat_ms: u64,
    /// Parts of the rules that are in force.
    #[serde(default)]
    pub contracts: Vec<String>,
    /// How orders reach the workers.
    #[serde(default)]
    pub commands: Commands,
    /// On `side` machines: address of the worker.
    #[serde(default, deserialize_with = "lenient::address")]
    pub app: Option<SocketAddr>,
    /// On `side` machines: the worker's service.
    #[serde(default, deserialize_with = "lenient::text")]
    pub backend: Option<String>,
    /// Region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Addresses for what the role serves.
    #[serde(default)]
    pub bind_addrs: BindAddresses,
    /// What the process may use.
    #[serde(default)]
    pub limits: Limits,
    /// What may be lost at once.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// Bounds of the rules.
    #[serde(default)]
    pub bounds: Bounds,
}

/// Interval between heartbeats where the file gives none, in milliseconds.
fn default_heartbeat_ms() -> u64 {
    1_500
}

impl Settings {
    /// Reads the file that [`CONFIG_VARIABLE`] names.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the variable is not set, or as [`Settings::from_file`].
    pub fn from_env() -> Result<Settings, SettingsError> {
        let path = std::env::var_os(CONFIG_VARIABLE).context(NoVariableSnafu {
            variable: CONFIG_VARIABLE,
        })?;
        Settings::from_file(Path::new(&path))
    }

    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the file cannot be read, or as [`Settings::from_toml`].
    pub fn from_file(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        Settings::from_toml(&text)
    }

    /// Reads settings from TOML.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the text is not TOML, or a field is missing or has a value that is not allowed.
    pub fn from_toml(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).context(ParseSnafu)?;
        settings.check()?;
        Ok(settings)
    }

    /// Where this process accepts internal connections.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port_range.first)
    }

    /// The seeds; the internal port is the same on all machines.
    pub fn seed_internal_addresses(&self) -> Vec<SeedAddress> {
        let internal_port = self.port_range.first;
        let seed = |control: &SocketAddr| SeedAddress {
            control: *control,
            internal: SocketAddr::new(control.ip(), internal_port),
        };
        self.seed_nodes.iter().map(seed).collect()
    }

    /// Whether the role serves these callers.
    pub fn serves(&self, callers: Serves) -> bool {
        self.serves.contains(&callers)
    }

    /// Checks what the types do not ensure.
    fn check(&self) -> Result<(), SettingsError> {
        for (field, text) in [
            ("node_name", &self.node_name),
            ("role", &self.role),
            ("zone", &self.zone),
        ] {
            ensure!(
                !text.is_empty(),
                NotAllowedSnafu {
                    field,
                    found: "empty",
                    allowed: "a name"
                }
            );
        }
        ensure!(
            self.port_range.is_valid(),
            NotAllowedSnafu {
                field: "port_range",
                found: self.port_range.to_string(),
                allowed: "[FIRST, LAST] with 0 < FIRST <= LAST"
            }
        );
        ensure!(
            self.heartbeat_ms > 0,
            NotAllowedSnafu {
                field: "heartbeat_ms",
                found: "0",
                allowed: "a whole number above 0"
            }
        );
        Ok(())
    }
}

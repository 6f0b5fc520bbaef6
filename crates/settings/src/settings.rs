//! The settings file: its fields, and how it is read and validated.

use crate::addresses::{BindAddresses, PortRange, SeedAddress};
use crate::bounds::Bounds;
use crate::error::{NoVariableSnafu, NotAllowedSnafu, ParseSnafu, ReadSnafu, SettingsError};
use crate::lenient;
use crate::limits::{FaultTolerance, Limits};
use crate::role::{CallerKind, MachineClass, OrderDelivery};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, ensure};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

/// The environment variable that holds the path of the settings file.
pub const CONFIG_VARIABLE: &str = "INDIGOFOLD_CONFIG";

/// The settings of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Name of the machine.
    pub node_name: String,
    /// Name of the role in the deploy file.
    pub role: String,
    /// Class of the machine.
    pub machine_class: MachineClass,
    /// Callers outside the cluster that the role serves.
    #[serde(default)]
    pub serves: Vec<CallerKind>,
    /// Address of the machine.
    pub ip: IpAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine.
    #[serde(default)]
    pub region: String,
    /// Ports that may be used for connections within the cluster. The first is the internal port on all machines.
    pub port_range: PortRange,
    /// `control_plane` addresses of the seeds: core members through which a process finds the others.
    #[serde(default)]
    pub seed_nodes: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, with empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the machine is one of those that `fault_tolerance.machines` counts.
    #[serde(default)]
    pub counts_for_quorum: bool,
    /// Folder on the machine's disk; `None` on machines without a disk.
    #[serde(default, deserialize_with = "lenient::path")]
    pub data_dir: Option<PathBuf>,
    /// Interval between a worker's heartbeats, in milliseconds.
    #[serde(
        default = "default_heartbeat_ms",
        deserialize_with = "lenient::rounded"
    )]
    pub heartbeat_ms: u64,
    /// Names of the contracts in force: the parts of the system's rules that apply.
    #[serde(default)]
    pub contracts: Vec<String>,
    /// How orders are delivered to the workers.
    #[serde(default)]
    pub commands: OrderDelivery,
    /// On `side` machines, the address of the worker.
    #[serde(default, deserialize_with = "lenient::address")]
    pub app: Option<SocketAddr>,
    /// On `side` machines, the service that the worker belongs to.
    #[serde(default, deserialize_with = "lenient::text")]
    pub backend: Option<String>,
    /// Region of each zone, by the name of the zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Addresses that the process listens on.
    #[serde(default)]
    pub bind_addrs: BindAddresses,
    /// Resources that the process may use.
    #[serde(default)]
    pub limits: Limits,
    /// Losses that the system must tolerate.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// Time limits and tolerances of the contracts in force.
    #[serde(default)]
    pub bounds: Bounds,
}

/// Default of [`Settings::heartbeat_ms`].
fn default_heartbeat_ms() -> u64 {
    1_500
}

impl Settings {
    /// Reads the file that [`CONFIG_VARIABLE`] names.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the variable is not set, or for the reasons given at [`Settings::from_file`].
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
    /// [`SettingsError`] if the file cannot be read, or for the reasons given at [`Settings::from_toml`].
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

    /// Returns the address on which this process accepts connections within the cluster.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port_range.first)
    }

    /// Returns the addresses of the seeds. Their internal port is taken from this machine's `port_range`, as it is the same on
    /// all machines.
    pub fn seed_internal_addresses(&self) -> Vec<SeedAddress> {
        let internal_port = self.port_range.first;
        let seed = |control: &SocketAddr| SeedAddress {
            control: *control,
            internal: SocketAddr::new(control.ip(), internal_port),
        };
        self.seed_nodes.iter().map(seed).collect()
    }

    /// Whether the role serves this kind of caller.
    pub fn serves(&self, callers: CallerKind) -> bool {
        self.serves.contains(&callers)
    }

    /// Checks the constraints that the types do not express.
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

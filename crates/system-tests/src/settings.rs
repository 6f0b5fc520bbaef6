//! Settings files (`boot.toml`) as the platform writes them, with the platform's key names.

use crate::network::Ports;
use std::fmt::Write;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// Class of a machine, which decides what runs on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MachineClass {
    /// Accepts clients' requests.
    Edge,
    /// Runs the node agent of a worker.
    Side,
    /// Runs a core member.
    Core,
}

impl MachineClass {
    /// The class's name in the settings.
    pub fn name(self) -> &'static str {
        match self {
            MachineClass::Edge => "edge",
            MachineClass::Side => "side",
            MachineClass::Core => "core",
        }
    }

    /// The name in the settings of the role that the machine serves.
    fn serves(self) -> &'static str {
        match self {
            MachineClass::Edge => "edge",
            MachineClass::Side => "side",
            MachineClass::Core => "control",
        }
    }
}

/// Time bounds of the deployment, in the settings files; the stand-ins and the checks use the same bounds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Interval of a worker's heartbeats.
    pub heartbeat: Duration,
    /// Longest run lease of a worker (`max_hold_ms`).
    pub max_run_lease: Duration,
    /// Longest time that the stop of a run takes.
    pub stop: Duration,
    /// How long a member of a gang waits for the others.
    pub gang: Duration,
    /// Time after the acknowledgement of a cancellation after which no task of the job starts.
    pub cancel: Duration,
    /// Time after the acceptance of a job after which its state can be read.
    pub visible: Duration,
    /// Longest time before its due time that a repetition may start.
    pub early: Duration,
    /// Time after the acknowledgement of a worker's draining after which no run starts on it.
    pub drain: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Longest time from a request to the loss of its connection in which the request may have remained unread.
    pub loss_slack: Duration,
    /// Longest time from the acknowledgement of a configuration until it is in force everywhere.
    pub config_apply: Duration,
    /// Longest time until a valid request of the operator is acknowledged.
    pub acknowledgement: Duration,
    /// Time without faults after which machines have found each other.
    pub liveness: Duration,
    /// Work between two checkpoints of a run (`save_s`).
    pub checkpoint_interval: Duration,
    /// Time that a run needs to resume from a checkpoint (`restore_ms`).
    pub restore: Duration,
}

impl Default for Bounds {
    /// The bounds of deployments, but with faster heartbeats, stops and checkpoints.
    fn default() -> Self {
        Bounds {
            heartbeat: Duration::from_millis(400),
            max_run_lease: Duration::from_millis(6_000),
            stop: Duration::from_millis(300),
            gang: Duration::from_millis(3_000),
            cancel: Duration::from_millis(3_000),
            visible: Duration::from_millis(3_000),
            early: Duration::from_millis(250),
            drain: Duration::from_millis(2_000),
            grace: Duration::from_secs(6),
            loss_slack: Duration::from_millis(200),
            config_apply: Duration::from_millis(2_000),
            acknowledgement: Duration::from_millis(4_000),
            liveness: Duration::from_millis(3_000),
            checkpoint_interval: Duration::from_secs(1),
            restore: Duration::from_millis(100),
        }
    }
}

/// The settings of one machine's process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the machine.
    pub node_name: String,
    /// The machine's class.
    pub class: MachineClass,
    /// The machine's address.
    pub ip: IpAddr,
    /// The machine's zone.
    pub zone: String,
    /// All zones of the deployment.
    pub zones: Vec<String>,
    /// The ports that the machine uses.
    pub ports: Ports,
    /// `control_plane` addresses of up to three machines.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the system.
    pub bootstrap: bool,
    /// The machine's disk; `None` if it has none.
    pub data_dir: Option<PathBuf>,
    /// The time bounds of the deployment.
    pub bounds: Bounds,
}

impl Settings {
    /// Socket address of one of the machine's ports.
    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// The text of the settings file.
    pub fn to_toml(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = self.write_machine(&mut text);
        let _ = self.write_addresses(&mut text);
        let _ = self.write_limits(&mut text);
        let _ = self.write_bounds(&mut text);
        text
    }

    fn write_machine(&self, text: &mut String) -> std::fmt::Result {
        let class = self.class.name();
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        writeln!(text, "node_name = \"{}\"", self.node_name)?;
        writeln!(text, "role = \"{class}\"\nmachine_class = \"{class}\"")?;
        writeln!(text, "serves = [\"{}\"]", self.class.serves())?;
        writeln!(
            text,
            "ip = \"{}\"\nzone = \"{}\"\nregion = \"test\"",
            self.ip, self.zone
        )?;
        writeln!(
            text,
            "port_range = [{},{}]",
            self.ports.internal_first, self.ports.internal_last
        )?;
        writeln!(text, "seed_nodes = [{}]", seeds.join(","))?;
        writeln!(text, "bootstrap = {}", self.bootstrap)?;
        writeln!(
            text,
            "counts_for_quorum = {}",
            self.class == MachineClass::Core
        )?;
        writeln!(text, "discovery = \"local\"\nentry = \"vip\"")?;
        writeln!(text, "heartbeat_ms = {}", self.bounds.heartbeat.as_millis())?;
        if let Some(folder) = &self.data_dir {
            writeln!(text, "data_dir = \"{}\"", folder.display())?;
        }
        writeln!(
            text,
            "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]"
        )?;
        writeln!(text, "commands = \"heartbeat\"\nnot_explained_anywhere = 1")?;
        writeln!(text, "[zones]")?;
        self.zones
            .iter()
            .try_for_each(|zone| writeln!(text, "{zone} = \"test\""))
    }

    fn write_addresses(&self, text: &mut String) -> std::fmt::Result {
        writeln!(text, "[bind_addrs]")?;
        if self.class == MachineClass::Edge {
            writeln!(text, "frontend = \"{}\"", self.address(self.ports.frontend))?;
            writeln!(
                text,
                "readiness = \"{}\"",
                self.address(self.ports.readiness)
            )
        } else {
            writeln!(
                text,
                "control_plane = \"{}\"",
                self.address(self.ports.control_plane)
            )
        }
    }

    fn write_limits(&self, text: &mut String) -> std::fmt::Result {
        let disk = if self.data_dir.is_some() { 128 } else { 0 };
        writeln!(
            text,
            "[limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 256\nmax_fds = 4096"
        )?;
        writeln!(text, "link_mbps = 1000.0\ndisk_mb = {disk}")?;
        writeln!(
            text,
            "[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0"
        )
    }

    fn write_bounds(&self, text: &mut String) -> std::fmt::Result {
        let bounds = &self.bounds;
        writeln!(
            text,
            "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncatch_up_s = 4\nrecovery_s = 12"
        )?;
        writeln!(
            text,
            "rollback_slack_ms = 250\nmax_skew_ms = 5000\nfinish_s = 14\nstatus_s = 120\nfar_x = 1.5"
        )?;
        writeln!(text, "grace_s = {}", bounds.grace.as_secs())?;
        writeln!(text, "save_s = {}", bounds.checkpoint_interval.as_secs())?;
        let in_milliseconds = [
            ("liveness_ms", bounds.liveness),
            ("ack_timeout_ms", bounds.acknowledgement),
            ("config_apply_ms", bounds.config_apply),
            ("loss_slack_ms", bounds.loss_slack),
            ("drain_ms", bounds.drain),
            ("max_hold_ms", bounds.max_run_lease),
            ("stop_ms", bounds.stop),
            ("gang_ms", bounds.gang),
            ("cancel_ms", bounds.cancel),
            ("visible_ms", bounds.visible),
            ("early_ms", bounds.early),
            ("restore_ms", bounds.restore),
        ];
        in_milliseconds
            .iter()
            .try_for_each(|(key, bound)| writeln!(text, "{key} = {}", bound.as_millis()))
    }
}

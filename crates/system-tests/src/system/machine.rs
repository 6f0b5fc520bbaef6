//! A machine with its settings file, its process and, for a core machine, its disk.

use super::{FilesSnafu, SystemError};
use crate::network::Ports;
use crate::process::Process;
use crate::settings::{Bounds, MachineClass, Settings};
use crate::wait::Signal;
use snafu::ResultExt;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use tempfile::TempDir;

/// Zones, over which the machines of a class are spread in turn.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// A machine and its process.
#[derive(Debug)]
pub(super) struct Machine {
    /// Written to `settings_path` at each start of the process.
    pub(super) settings: Settings,
    pub(super) settings_path: PathBuf,
    pub(super) process: Process,
}

/// Settings of machine `number` of a class for its first start, without seeds and disk.
pub(super) fn first_settings(
    class: MachineClass,
    number: usize,
    ip: IpAddr,
    ports: Ports,
    bounds: Bounds,
) -> Settings {
    Settings {
        node_name: format!("{}-{number}", class.name()),
        class,
        ip,
        zone: ZONES[number % ZONES.len()].to_owned(),
        zones: ZONES.map(str::to_owned).to_vec(),
        ports,
        seeds: Vec::new(),
        bootstrap: true,
        data_dir: None,
        bounds,
    }
}

/// Creates a machine with its folder and, for a core machine, its disk.
pub(super) fn prepare(
    mut settings: Settings,
    folder: &TempDir,
    signal: &Arc<Signal>,
) -> Result<Machine, SystemError> {
    let home = folder.path().join(&settings.node_name);
    std::fs::create_dir(&home).context(FilesSnafu { path: &home })?;
    if settings.class == MachineClass::Core {
        let disk = home.join("disk");
        std::fs::create_dir(&disk).context(FilesSnafu { path: &disk })?;
        settings.data_dir = Some(disk);
    }
    let process = Process::new(settings.node_name.clone(), signal.clone());
    Ok(Machine {
        settings,
        settings_path: home.join("boot.toml"),
        process,
    })
}

/// The `control_plane` addresses of the core machines.
pub(super) fn control_addresses(machines: &[Machine]) -> impl Iterator<Item = SocketAddr> {
    let cores = machines
        .iter()
        .filter(|machine| machine.settings.class == MachineClass::Core);
    cores.map(|machine| {
        machine
            .settings
            .address(machine.settings.ports.control_plane)
    })
}

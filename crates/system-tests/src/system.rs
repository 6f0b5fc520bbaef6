//! A small system: machines with settings files and disks, and the processes on them.

use crate::network::Network;
use crate::process::{Process, ProcessError};
use crate::settings::{Bounds, MachineClass, Settings};
use crate::wait::Signal;
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::Arc;
use tempfile::TempDir;

/// So many core machines are named as seeds at most.
const SEEDS_MAX: usize = 3;
/// Zones; machines of a class are spread over them in turn.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// The files of a core machine's database.
const DATABASE_FILES: [&str; 2] = ["control.sqlite", "control.sqlite-wal"];
/// So many of its bytes are overwritten by [`System::damage`].
const DAMAGED_BYTES: usize = 64;
/// So many of each process's last lines are printed when a test fails.
const LINES_SHOWN: usize = 60;

/// The programs under test.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The data plane: edges and companions.
    pub data: PathBuf,
    /// The control plane: core members.
    pub control: PathBuf,
}

/// How many machines there are of each class.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Core machines.
    pub cores: usize,
    /// Edge machines.
    pub edges: usize,
    /// Side machines, each with a worker.
    pub sides: usize,
}

impl Default for Shape {
    fn default() -> Self {
        Shape {
            cores: 3,
            edges: 2,
            sides: 3,
        }
    }
}

/// Number of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineId(usize);

/// A system that cannot be set up, or a process that does not do what it is told.
#[derive(Debug, Snafu)]
pub enum SystemError {
    /// A file or folder cannot be written.
    #[snafu(display("cannot write {}: {source}", path.display()))]
    Files {
        /// Which.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A process cannot be handled.
    #[snafu(transparent)]
    Process {
        /// Why.
        source: ProcessError,
    },
}

#[derive(Debug)]
struct Machine {
    settings: Settings,
    settings_path: PathBuf,
    process: Process,
}

/// The machines of one test.
#[derive(Debug)]
pub struct System {
    programs: Programs,
    machines: Vec<Machine>,
    // Both go last: the processes use them.
    _folder: TempDir,
    _network: Network,
}

impl System {
    /// Machines with empty disks on which nothing has been started.
    pub fn new(
        programs: Programs,
        shape: Shape,
        bounds: Bounds,
        signal: &Arc<Signal>,
    ) -> Result<Self, SystemError> {
        let folder = tempfile::tempdir().context(FilesSnafu {
            path: std::env::temp_dir(),
        })?;
        let network = Network::take();
        let classes = [
            (MachineClass::Core, shape.cores),
            (MachineClass::Edge, shape.edges),
            (MachineClass::Side, shape.sides),
        ];
        let plan = classes
            .iter()
            .flat_map(|(class, count)| (0..*count).map(move |number| (*class, number)));
        let mut machines = Vec::new();
        for (at, (class, number)) in plan.enumerate() {
            let settings = Settings {
                node_name: format!("{}-{number}", class.word()),
                class,
                ip: network.machine(at),
                zone: ZONES[number % ZONES.len()].to_owned(),
                zones: ZONES.map(str::to_owned).to_vec(),
                ports: network.ports(),
                seeds: Vec::new(),
                bootstrap: true,
                data_dir: None,
                bounds,
            };
            machines.push(prepare(settings, &folder, signal)?);
        }
        let seeds: Vec<SocketAddr> = control_addresses(&machines).take(SEEDS_MAX).collect();
        machines
            .iter_mut()
            .for_each(|machine| machine.settings.seeds = seeds.clone());
        Ok(System {
            programs,
            machines,
            _folder: folder,
            _network: network,
        })
    }

    /// All machines of a class.
    pub fn of_class(&self, class: MachineClass) -> Vec<MachineId> {
        let machines = self.machines.iter().enumerate();
        machines
            .filter(|(_, machine)| machine.settings.class == class)
            .map(|(at, _)| MachineId(at))
            .collect()
    }

    /// The core machines.
    pub fn cores(&self) -> Vec<MachineId> {
        self.of_class(MachineClass::Core)
    }

    /// The edge machines.
    pub fn edges(&self) -> Vec<MachineId> {
        self.of_class(MachineClass::Edge)
    }

    /// The side machines.
    pub fn sides(&self) -> Vec<MachineId> {
        self.of_class(MachineClass::Side)
    }

    /// A machine's settings.
    pub fn settings(&self, machine: MachineId) -> &Settings {
        &self.machines[machine.0].settings
    }

    /// Where an edge takes clients' calls.
    pub fn frontend(&self, machine: MachineId) -> SocketAddr {
        let settings = self.settings(machine);
        settings.address(settings.ports.frontend)
    }

    /// Where an edge says whether it is ready.
    pub fn readiness(&self, machine: MachineId) -> SocketAddr {
        let settings = self.settings(machine);
        settings.address(settings.ports.readiness)
    }

    /// Where a core member takes the operator's calls, and a companion its worker's.
    pub fn control_plane(&self, machine: MachineId) -> SocketAddr {
        let settings = self.settings(machine);
        settings.address(settings.ports.control_plane)
    }

    /// The core machine with this address.
    pub fn core_at(&self, control_plane: SocketAddr) -> Option<MachineId> {
        self.cores()
            .into_iter()
            .find(|core| self.control_plane(*core) == control_plane)
    }

    /// Starts a machine's process.
    pub fn start(&mut self, machine: MachineId) -> Result<(), SystemError> {
        let Machine {
            settings,
            settings_path,
            process,
        } = &mut self.machines[machine.0];
        std::fs::write(&*settings_path, settings.to_toml()).context(FilesSnafu {
            path: &*settings_path,
        })?;
        let program = match settings.class {
            MachineClass::Core => &self.programs.control,
            MachineClass::Edge | MachineClass::Side => &self.programs.data,
        };
        process.start(program, settings_path)?;
        // Only the first start of the whole system is one.
        settings.bootstrap = false;
        Ok(())
    }

    /// The machine's settings say again that the whole system starts for the first time.
    pub fn claim_first_start(&mut self, machine: MachineId) {
        self.machines[machine.0].settings.bootstrap = true;
    }

    /// Overwrites the beginning of a core machine's database and of its log.
    pub fn damage(&self, machine: MachineId) -> Result<(), SystemError> {
        let Some(folder) = &self.machines[machine.0].settings.data_dir else {
            return Ok(());
        };
        for name in DATABASE_FILES {
            let path = folder.join(name);
            let mut bytes = std::fs::read(&path).context(FilesSnafu { path: &path })?;
            bytes
                .iter_mut()
                .take(DAMAGED_BYTES)
                .for_each(|byte| *byte = !*byte);
            std::fs::write(&path, bytes).context(FilesSnafu { path: &path })?;
        }
        Ok(())
    }

    /// The machine joins a system that has started before.
    pub fn enter_later(&mut self, machine: MachineId) {
        self.machines[machine.0].settings.bootstrap = false;
    }

    /// Kills a machine's process, and waits until it is gone.
    pub fn kill(&mut self, machine: MachineId) {
        self.machines[machine.0].process.kill();
    }

    /// Removes all that is on a machine's disk.
    pub fn wipe(&mut self, machine: MachineId) -> Result<(), SystemError> {
        let Some(path) = &self.machines[machine.0].settings.data_dir else {
            return Ok(());
        };
        std::fs::remove_dir_all(path).context(FilesSnafu { path })?;
        std::fs::create_dir(path).context(FilesSnafu { path })
    }

    /// Sends SIGTERM to a machine's process.
    pub fn terminate(&mut self, machine: MachineId) -> Result<(), SystemError> {
        Ok(self.machines[machine.0].process.terminate()?)
    }

    /// Waits for the end of a process that was sent SIGTERM, for as long as the platform does.
    pub fn wait_end(&mut self, machine: MachineId) -> Result<ExitStatus, SystemError> {
        let Machine {
            settings, process, ..
        } = &mut self.machines[machine.0];
        Ok(process.wait_end(settings.bounds.grace)?)
    }

    /// Stops a machine's process from running.
    pub fn freeze(&mut self, machine: MachineId) -> Result<(), SystemError> {
        Ok(self.machines[machine.0].process.freeze()?)
    }

    /// Lets a machine's process run again.
    pub fn thaw(&mut self, machine: MachineId) -> Result<(), SystemError> {
        Ok(self.machines[machine.0].process.thaw()?)
    }

    /// Names of the machines whose processes have ended by themselves.
    pub fn ended_by_themselves(&mut self) -> Vec<String> {
        let processes = self.machines.iter_mut().map(|machine| &mut machine.process);
        let ended = processes.filter_map(|process| {
            process
                .has_ended_by_itself()
                .then(|| process.name().to_owned())
        });
        ended.collect()
    }

    /// The last lines of all processes.
    pub fn print_logs(&self) {
        for machine in &self.machines {
            eprintln!("== {} ({})", machine.process.name(), machine.settings.ip);
            let lines = machine.process.log().lines();
            for line in &lines[lines.len().saturating_sub(LINES_SHOWN)..] {
                eprintln!("   {line}");
            }
        }
    }
}

/// Writes what a machine needs on disk.
fn prepare(
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

fn control_addresses(machines: &[Machine]) -> impl Iterator<Item = SocketAddr> {
    let cores = machines
        .iter()
        .filter(|machine| machine.settings.class == MachineClass::Core);
    cores.map(|machine| {
        machine
            .settings
            .address(machine.settings.ports.control_plane)
    })
}

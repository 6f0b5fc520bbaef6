//! A small deployment: machines with settings files and disks, and their processes.

mod machine;
mod relays;

use crate::network::Network;
use crate::process::ProcessError;
use crate::settings::{Bounds, MachineClass, Settings};
use crate::wait::Signal;
use machine::{Machine, control_addresses, first_settings, prepare};
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::Arc;
use tempfile::TempDir;

/// Upper bound of the number of core machines that are used as seeds.
const SEEDS_MAX: usize = 3;
/// File names of a core machine's database and its write-ahead log.
const DATABASE_FILES: [&str; 2] = ["control.sqlite", "control.sqlite-wal"];
/// Number of bytes at the start of each file that [`System::corrupt_database`] overwrites.
const CORRUPTED_BYTES: usize = 64;
/// Number of last output lines of each process that are printed when a test fails.
const LOG_LINES_SHOWN: usize = 60;

/// Paths of the programs under test.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Program of the data plane: edges and node agents.
    pub data: PathBuf,
    /// Program of the control plane: core members.
    pub control: PathBuf,
}

/// Number of machines of each class.
#[derive(Clone, Copy, Debug)]
pub struct MachineCounts {
    /// Number of core machines.
    pub cores: usize,
    /// Number of edge machines.
    pub edges: usize,
    /// Number of side machines, each with a node agent for one worker.
    pub sides: usize,
}

impl MachineCounts {
    /// The default number of machines of each class, except for the core machines.
    pub fn with_cores(cores: usize) -> Self {
        MachineCounts {
            cores,
            ..MachineCounts::default()
        }
    }

    /// The default number of machines of each class, except for the side machines.
    pub fn with_sides(sides: usize) -> Self {
        MachineCounts {
            sides,
            ..MachineCounts::default()
        }
    }
}

impl Default for MachineCounts {
    fn default() -> Self {
        MachineCounts {
            cores: 3,
            edges: 2,
            sides: 3,
        }
    }
}

/// Index of a machine among those of its system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineId(usize);

/// Error in the set-up or control of a machine.
#[derive(Debug, Snafu)]
pub enum SystemError {
    /// A file or folder cannot be read or written.
    #[snafu(display("cannot access {}: {source}", path.display()))]
    Files {
        /// The file or folder.
        path: PathBuf,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// A process cannot be started, signalled or awaited.
    #[snafu(transparent)]
    Process {
        /// The error of the process.
        source: ProcessError,
    },
}

/// The machines of one test.
#[derive(Debug)]
pub struct System {
    programs: Programs,
    machines: Vec<Machine>,
    // Dropped last, because the processes use both.
    _folder: TempDir,
    network: Network,
    /// Number of relays that were started.
    relay_count: usize,
}

impl System {
    /// Sets up machines with empty disks, without starting a process.
    ///
    /// # Errors
    ///
    /// [`SystemError`] if a folder cannot be created.
    pub fn new(
        programs: Programs,
        counts: MachineCounts,
        bounds: Bounds,
        signal: &Arc<Signal>,
    ) -> Result<Self, SystemError> {
        let folder = tempfile::tempdir().context(FilesSnafu {
            path: std::env::temp_dir(),
        })?;
        let network = Network::reserve();
        let classes = [
            (MachineClass::Core, counts.cores),
            (MachineClass::Edge, counts.edges),
            (MachineClass::Side, counts.sides),
        ];
        let mut machines = Vec::new();
        for (class, count) in classes {
            for number in 0..count {
                let ip = network.machine_address(machines.len());
                let settings = first_settings(class, number, ip, network.ports(), bounds);
                machines.push(prepare(settings, &folder, signal)?);
            }
        }
        let seeds: Vec<SocketAddr> = control_addresses(&machines).take(SEEDS_MAX).collect();
        for machine in &mut machines {
            machine.settings.seeds = seeds.clone();
        }
        Ok(System {
            programs,
            machines,
            _folder: folder,
            network,
            relay_count: 0,
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

    /// Address at which an edge accepts clients' requests.
    pub fn frontend(&self, machine: MachineId) -> SocketAddr {
        let settings = self.settings(machine);
        settings.address(settings.ports.frontend)
    }

    /// Address at which an edge reports whether it is ready.
    pub fn readiness(&self, machine: MachineId) -> SocketAddr {
        let settings = self.settings(machine);
        settings.address(settings.ports.readiness)
    }

    /// Address at which a core member accepts the operator's requests, and a node agent its worker's heartbeats.
    pub fn control_plane(&self, machine: MachineId) -> SocketAddr {
        let settings = self.settings(machine);
        settings.address(settings.ports.control_plane)
    }

    /// The core machine with this `control_plane` address; `None` if there is none.
    pub fn core_at(&self, control_plane: SocketAddr) -> Option<MachineId> {
        self.cores()
            .into_iter()
            .find(|core| self.control_plane(*core) == control_plane)
    }

    /// Starts a machine's process.
    ///
    /// # Errors
    ///
    /// [`SystemError`] if the process cannot be started.
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
        // `bootstrap` is set only for the first start of the system.
        settings.bootstrap = false;
        Ok(())
    }

    /// Sets the name in the machine's settings.
    pub fn set_node_name(&mut self, machine: MachineId, node_name: &str) {
        node_name.clone_into(&mut self.machines[machine.0].settings.node_name);
    }

    /// Sets `bootstrap` in the machine's settings, as for the first start of the system.
    pub fn set_bootstrap(&mut self, machine: MachineId) {
        self.machines[machine.0].settings.bootstrap = true;
    }

    /// Overwrites the first bytes of a core machine's database and of its write-ahead log.
    ///
    /// # Errors
    ///
    /// [`SystemError`] if the files cannot be overwritten.
    pub fn corrupt_database(&self, machine: MachineId) -> Result<(), SystemError> {
        let Some(folder) = &self.machines[machine.0].settings.data_dir else {
            return Ok(());
        };
        for name in DATABASE_FILES {
            let path = folder.join(name);
            let mut bytes = std::fs::read(&path).context(FilesSnafu { path: &path })?;
            bytes
                .iter_mut()
                .take(CORRUPTED_BYTES)
                .for_each(|byte| *byte = !*byte);
            std::fs::write(&path, bytes).context(FilesSnafu { path: &path })?;
        }
        Ok(())
    }

    /// Clears `bootstrap` in the machine's settings, so that it joins a system that has started before.
    pub fn join_existing(&mut self, machine: MachineId) {
        self.machines[machine.0].settings.bootstrap = false;
    }

    /// Kills a machine's process, and waits until it has exited.
    pub fn kill(&mut self, machine: MachineId) {
        self.machines[machine.0].process.kill();
    }

    /// Removes all files on a machine's disk, if it has one.
    ///
    /// # Errors
    ///
    /// [`SystemError`] if the files cannot be removed.
    pub fn wipe(&mut self, machine: MachineId) -> Result<(), SystemError> {
        let Some(path) = &self.machines[machine.0].settings.data_dir else {
            return Ok(());
        };
        std::fs::remove_dir_all(path).context(FilesSnafu { path })?;
        std::fs::create_dir(path).context(FilesSnafu { path })
    }

    /// Sends SIGTERM to a machine's process.
    ///
    /// # Errors
    ///
    /// [`SystemError`] if the process cannot be signalled.
    pub fn terminate(&mut self, machine: MachineId) -> Result<(), SystemError> {
        Ok(self.machines[machine.0].process.terminate()?)
    }

    /// Waits for the exit of a process after SIGTERM, at most for the platform's grace time.
    ///
    /// # Errors
    ///
    /// [`SystemError`] if the process does not exit in time.
    pub fn wait_exit(&mut self, machine: MachineId) -> Result<ExitStatus, SystemError> {
        let Machine {
            settings, process, ..
        } = &mut self.machines[machine.0];
        Ok(process.wait_exit(settings.bounds.grace)?)
    }

    /// Suspends a machine's process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// [`SystemError`] if the process cannot be signalled.
    pub fn freeze(&mut self, machine: MachineId) -> Result<(), SystemError> {
        Ok(self.machines[machine.0].process.freeze()?)
    }

    /// Resumes a machine's process with SIGCONT.
    ///
    /// # Errors
    ///
    /// [`SystemError`] if the process cannot be signalled.
    pub fn thaw(&mut self, machine: MachineId) -> Result<(), SystemError> {
        Ok(self.machines[machine.0].process.thaw()?)
    }

    /// Names of the machines whose processes have exited without being killed or awaited.
    pub fn unexpectedly_exited(&mut self) -> Vec<String> {
        let processes = self.machines.iter_mut().map(|machine| &mut machine.process);
        let ended = processes.filter_map(|process| {
            process
                .has_exited_unexpectedly()
                .then(|| process.name().to_owned())
        });
        ended.collect()
    }

    /// Prints the last output lines of all processes to standard error.
    pub fn print_logs(&self) {
        for machine in &self.machines {
            eprintln!("== {} ({})", machine.process.name(), machine.settings.ip);
            let lines = machine.process.log().last_lines();
            for line in &lines[lines.len().saturating_sub(LOG_LINES_SHOWN)..] {
                eprintln!("   {line}");
            }
        }
    }
}

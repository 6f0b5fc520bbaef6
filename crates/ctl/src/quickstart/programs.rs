//! Locates the programs of the daemons.

use super::error::{NoProgramSnafu, QuickstartError};
use super::layout::MachineClass;
use snafu::ensure;
use std::path::{Path, PathBuf};

/// Paths of the daemons' programs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Programs {
    /// Program of the control plane, which core members run.
    pub control: PathBuf,
    /// Program of the data plane, which edges and node agents run.
    pub data: PathBuf,
    /// Both paths are this tool, which runs as a daemon if its first argument is [`DAEMON_ARGUMENT`].
    pub are_this_program: bool,
}

/// First argument that makes this tool run as a daemon. The second argument selects the daemon, which gets the rest.
pub const DAEMON_ARGUMENT: &str = "daemon";
/// Second argument that selects the control plane.
pub const CONTROL_DAEMON: &str = "control";
/// Second argument that selects the data plane.
pub const DATA_DAEMON: &str = "data";

impl Programs {
    /// Programs in a folder, under their usual names.
    pub fn in_folder(folder: &Path) -> Programs {
        Programs {
            control: folder.join("indigofold-control"),
            data: folder.join("indigofold-data"),
            are_this_program: false,
        }
    }

    /// Programs in the folder of this tool; if one is missing there, this tool itself in place of both.
    pub fn beside_this_program() -> Programs {
        let this_program = std::env::current_exe().unwrap_or_default();
        let beside = Programs::in_folder(this_program.parent().unwrap_or(Path::new(".")));
        if beside.check().is_ok() {
            return beside;
        }
        Programs {
            control: this_program.clone(),
            data: this_program,
            are_this_program: true,
        }
    }

    /// The program to run on a machine of this class, and its arguments.
    pub(super) fn command_for(&self, class: MachineClass) -> (&Path, Vec<&'static str>) {
        let (path, daemon) = match class {
            MachineClass::Core => (&self.control, CONTROL_DAEMON),
            MachineClass::Edge | MachineClass::Side => (&self.data, DATA_DAEMON),
        };
        let arguments = if self.are_this_program {
            vec![DAEMON_ARGUMENT, daemon]
        } else {
            Vec::new()
        };
        (path, arguments)
    }

    /// Fails if one of the programs is missing.
    pub(super) fn check(&self) -> Result<(), QuickstartError> {
        for path in [&self.control, &self.data] {
            ensure!(path.is_file(), NoProgramSnafu { path });
        }
        Ok(())
    }
}

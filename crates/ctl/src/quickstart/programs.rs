//! Where the daemons' programs are.

use super::error::{NoProgramSnafu, QuickstartError};
use super::layout::MachineClass;
use snafu::ensure;
use std::path::{Path, PathBuf};

/// The daemons' programs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Programs {
    /// The control plane.
    pub control: PathBuf,
    /// The data plane.
    pub data: PathBuf,
    /// Both are this tool, which runs as a daemon if its first argument is [`DAEMON`].
    pub are_this_program: bool,
}

/// First argument with which this tool runs as the daemon that the second one names, with the arguments behind it.
pub const DAEMON: &str = "daemon";
/// The control plane, as the second argument.
pub const CONTROL: &str = "control";
/// The data plane, as the second argument.
pub const DATA: &str = "data";

impl Programs {
    /// Those of a folder.
    pub fn in_folder(folder: &Path) -> Programs {
        Programs {
            control: folder.join("indigofold-control"),
            data: folder.join("indigofold-data"),
            are_this_program: false,
        }
    }

    /// Those in the folder of this program; without them, this program itself.
    pub fn beside_this_program() -> Programs {
        let this = std::env::current_exe().unwrap_or_default();
        let beside = Programs::in_folder(this.parent().unwrap_or(Path::new(".")));
        if beside.check().is_ok() {
            return beside;
        }
        Programs {
            control: this.clone(),
            data: this,
            are_this_program: true,
        }
    }

    /// The program of a kind of machine, and the arguments that make it that daemon.
    pub(super) fn of(&self, class: MachineClass) -> (&Path, Vec<&'static str>) {
        let (path, daemon) = match class {
            MachineClass::Core => (&self.control, CONTROL),
            MachineClass::Edge | MachineClass::Side => (&self.data, DATA),
        };
        let arguments = if self.are_this_program {
            vec![DAEMON, daemon]
        } else {
            Vec::new()
        };
        (path, arguments)
    }

    /// Fails if one is missing.
    pub(super) fn check(&self) -> Result<(), QuickstartError> {
        for path in [&self.control, &self.data] {
            ensure!(path.is_file(), NoProgramSnafu { path });
        }
        Ok(())
    }
}

//! Where the daemons' programs are.

use super::error::{NoProgramSnafu, QuickstartError};
use snafu::ensure;
use std::path::{Path, PathBuf};

/// The daemons' programs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Programs {
    /// The control plane.
    pub control: PathBuf,
    /// The data plane.
    pub data: PathBuf,
}

impl Programs {
    /// Those of a folder.
    pub fn in_folder(folder: &Path) -> Programs {
        Programs {
            control: folder.join("indigofold-control"),
            data: folder.join("indigofold-data"),
        }
    }

    /// Those in the folder of this program.
    pub fn beside_this_program() -> Programs {
        let this = std::env::current_exe().unwrap_or_default();
        Programs::in_folder(this.parent().unwrap_or(Path::new(".")))
    }

    /// Fails if one is missing.
    pub(super) fn check(&self) -> Result<(), QuickstartError> {
        for path in [&self.control, &self.data] {
            ensure!(path.is_file(), NoProgramSnafu { path });
        }
        Ok(())
    }
}

//! Reading of the files that are checked.

use snafu::{ResultExt, Snafu};
use std::io;
use std::path::{Path, PathBuf};

/// A file that cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("{} cannot be read: {source}", path.display()))]
pub struct FileError {
    /// The file.
    path: PathBuf,
    /// Why it cannot be read.
    source: io::Error,
}

/// All bytes of a file.
///
/// # Errors
///
/// [`FileError`] if the file cannot be read.
pub fn read(path: &Path) -> Result<Vec<u8>, FileError> {
    std::fs::read(path).context(FileSnafu { path })
}

/// A file's text.
///
/// # Errors
///
/// [`FileError`] if the file cannot be read or is not UTF-8.
pub fn read_text(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).context(FileSnafu { path })
}

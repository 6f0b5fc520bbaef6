//! Reads the files that the verbs check.

use snafu::{ResultExt, Snafu};
use std::io;
use std::path::{Path, PathBuf};

/// A file that cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("{} cannot be read: {source}", path.display()))]
pub struct FileError {
    /// Path of the file.
    path: PathBuf,
    /// The I/O error; also for a text that is not UTF-8.
    source: io::Error,
}

/// Reads a whole file.
///
/// # Errors
///
/// [`FileError`] if the file cannot be read.
pub fn read(path: &Path) -> Result<Vec<u8>, FileError> {
    std::fs::read(path).context(FileSnafu { path })
}

/// Reads a whole file as text.
///
/// # Errors
///
/// [`FileError`] if the file cannot be read or is not UTF-8.
pub fn read_text(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).context(FileSnafu { path })
}

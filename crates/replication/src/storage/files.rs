//! Paths of the files of a member's database, and the quarantine of an unusable database.

use super::error::{FilesSnafu, StorageError};
use snafu::ResultExt;
use std::fs::{self, File};
use std::path::{Path, PathBuf};

/// Name of the database file.
const FILE_NAME: &str = "control.sqlite";
/// Suffixes that `SQLite` appends to the name of the database for its other files.
const SIDE_FILES: [&str; 3] = [LOG_SUFFIX, "-shm", "-journal"];
/// Suffix of the write-ahead log.
const LOG_SUFFIX: &str = "-wal";
/// Highest number of a quarantined database; when it is taken, that database is replaced.
const QUARANTINED_MAX: u32 = 8;

/// Returns the path of the database in the folder `dir`.
pub(super) fn database_path(dir: &Path) -> PathBuf {
    dir.join(FILE_NAME)
}

/// Returns the path of the write-ahead log of the database `path`.
pub(super) fn log_path(path: &Path) -> PathBuf {
    with_suffix(path, LOG_SUFFIX)
}

/// Renames the files of the database so that a new one can be created; returns the new path of the database.
pub(super) fn quarantine(dir: &Path, path: &Path) -> Result<PathBuf, StorageError> {
    let mut number = 1;
    while number < QUARANTINED_MAX && quarantine_path(path, number).exists() {
        number += 1;
    }
    let target = quarantine_path(path, number);
    fs::rename(path, &target).context(FilesSnafu { path })?;
    for suffix in SIDE_FILES {
        let side_file = with_suffix(path, suffix);
        if side_file.exists() {
            fs::rename(&side_file, with_suffix(&target, suffix))
                .context(FilesSnafu { path: side_file })?;
        }
    }
    sync_folder(dir)?;
    Ok(target)
}

/// Returns true if a quarantined database exists next to the database `path`.
pub(super) fn has_quarantined(path: &Path) -> bool {
    (1..=QUARANTINED_MAX).any(|number| quarantine_path(path, number).exists())
}

fn quarantine_path(path: &Path, number: u32) -> PathBuf {
    with_suffix(path, &format!(".bad-{number}"))
}

fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(suffix);
    PathBuf::from(name)
}

/// Syncs the folder, so that new file names in it survive a power loss.
pub(super) fn sync_folder(dir: &Path) -> Result<(), StorageError> {
    File::open(dir)
        .and_then(|folder| folder.sync_all())
        .context(FilesSnafu { path: dir })
}

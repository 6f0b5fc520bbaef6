//! Errors of the database.

use rusqlite::ErrorCode;
use snafu::Snafu;
use std::path::PathBuf;

/// Reason why a database cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StorageError {
    /// `SQLite` reported an error.
    #[snafu(display("the database {} cannot be used: {source}", path.display()))]
    Database {
        /// Path of the database file.
        path: PathBuf,
        /// Error of `SQLite`.
        source: rusqlite::Error,
    },
    /// `SQLite`'s integrity check has found an inconsistency.
    #[snafu(display("the database {} is damaged: {finding}", path.display()))]
    Damaged {
        /// Path of the database file.
        path: PathBuf,
        /// First finding of the integrity check.
        finding: String,
    },
    /// The checksum of a row does not match, or the row is missing from the index.
    #[snafu(display("the database {} is damaged: the checksum or the index entry of the row `{key}` does not match", path.display()))]
    DamagedRow {
        /// Path of the database file.
        path: PathBuf,
        /// Key of the row.
        key: String,
    },
    /// The checksum of the member's record does not match.
    #[snafu(display("the database {} is damaged: the checksum of the member's record does not match", path.display()))]
    DamagedRecord {
        /// Path of the database file.
        path: PathBuf,
    },
    /// The write-ahead log is damaged before its end, so that synced writes cannot be read.
    #[snafu(display("the database {} is damaged: checksums of synced writes in its log do not match", path.display()))]
    DamagedLog {
        /// Path of the database file.
        path: PathBuf,
    },
    /// The database has been written by a later release of this program.
    #[snafu(display("the database {} has format version {found}; this program supports versions up to {known}", path.display()))]
    NewerFormat {
        /// Path of the database file.
        path: PathBuf,
        /// Format version of the database.
        found: u32,
        /// Newest format version that this program supports.
        known: u32,
    },
    /// The member's record cannot be encoded or decoded.
    #[snafu(display("the record in the database {} cannot be encoded or decoded: {source}", path.display()))]
    Record {
        /// Path of the database file.
        path: PathBuf,
        /// Error of the encoding.
        source: postcard::Error,
    },
    /// The folder or a file in it cannot be read, written or renamed.
    #[snafu(display("{} cannot be used: {source}", path.display()))]
    Files {
        /// Path of the folder or file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

impl StorageError {
    /// Returns true if the database itself is unusable, so that a retry when it is opened does not help.
    pub(super) fn is_damage(&self) -> bool {
        match self {
            StorageError::Database { source, .. } => is_damage_code(source),
            StorageError::Files { .. } => false,
            StorageError::Damaged { .. }
            | StorageError::DamagedRow { .. }
            | StorageError::DamagedRecord { .. }
            | StorageError::DamagedLog { .. }
            | StorageError::NewerFormat { .. }
            | StorageError::Record { .. } => true,
        }
    }

    /// Returns true if the error proves that a database in use is damaged. I/O errors are no proof, because the disk
    /// may recover.
    pub fn proves_damage(&self) -> bool {
        match self {
            StorageError::DamagedRow { .. } => true,
            StorageError::Database { source, .. } => match source {
                rusqlite::Error::InvalidColumnType(..) => true,
                other => other
                    .sqlite_error_code()
                    .is_some_and(|code| DAMAGE_CODES.contains(&code)),
            },
            StorageError::Damaged { .. }
            | StorageError::DamagedRecord { .. }
            | StorageError::DamagedLog { .. }
            | StorageError::NewerFormat { .. }
            | StorageError::Record { .. }
            | StorageError::Files { .. } => false,
        }
    }
}

/// Error codes of `SQLite` that mean damage of the database file.
const DAMAGE_CODES: [ErrorCode; 2] = [ErrorCode::DatabaseCorrupt, ErrorCode::NotADatabase];

fn is_damage_code(error: &rusqlite::Error) -> bool {
    match error.sqlite_error_code() {
        Some(code) => DAMAGE_CODES.contains(&code) || code == ErrorCode::Unknown,
        None => true,
    }
}

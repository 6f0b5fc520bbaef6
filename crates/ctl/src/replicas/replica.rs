//! Reads the replica in a member's database without changing the member's folder.

use super::history::WriteHistory;
use indigofold_replication::{Row, Storage, StorageError, ViewNumber, ViewStart};
use serde::{Serialize, Serializer};
use snafu::{ResultExt, Snafu, ensure};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Name of the database file. `SQLite` adds a suffix to it for the write-ahead log and the journal.
const DATABASE: &str = "control.sqlite";

/// Why a replica cannot be opened.
#[derive(Debug, Snafu)]
pub enum ReplicaError {
    /// The folder contains no database.
    #[snafu(display("{} holds no {DATABASE}: is it the data_dir of a core member?", folder.display()))]
    NoDatabase {
        /// The data folder.
        folder: PathBuf,
    },
    /// The database files cannot be copied to a temporary folder.
    #[snafu(display("{} cannot be read: {source}", folder.display()))]
    Files {
        /// The data folder.
        folder: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The database cannot be opened or read.
    #[snafu(display("the database in {} cannot be read: {source}", folder.display()))]
    Storage {
        /// The data folder.
        folder: PathBuf,
        /// The error of the storage.
        source: StorageError,
    },
    /// The database is damaged or has a newer format, so a member would quarantine it at its start.
    #[snafu(display("the database in {} cannot be used: {reason}", folder.display()))]
    Damaged {
        /// The data folder.
        folder: PathBuf,
        /// The damage that was found.
        reason: String,
    },
}

impl ReplicaError {
    /// Whether the input is at fault: the folder has no database, or its files cannot be read.
    pub fn is_input(&self) -> bool {
        matches!(
            self,
            ReplicaError::NoDatabase { .. } | ReplicaError::Files { .. }
        )
    }
}

/// The rows in one member's database, and the writes that they include.
#[derive(Debug, Serialize)]
pub struct Replica {
    /// The data folder from which it was read.
    pub folder: PathBuf,
    /// The member's internal address; `None` if the database is empty.
    pub member: Option<SocketAddr>,
    /// The view that the member accepted last; `None` before the first one.
    pub view: Option<ViewNumber>,
    /// Number of the view that ordered the last write.
    pub stored_view: ViewNumber,
    /// Sequence number of the last write.
    pub stored_seq: u64,
    /// Sequence number up to which the tombstones of deleted rows may have been dropped.
    pub trimmed: u64,
    /// The views that led to the state of the rows, oldest first.
    #[serde(skip)]
    pub history: Vec<ViewStart>,
    /// All rows by key, including tombstones of deleted rows. The JSON has only their number.
    #[serde(serialize_with = "row_count")]
    pub rows: BTreeMap<Vec<u8>, Row>,
}

fn row_count<S: Serializer>(
    rows: &BTreeMap<Vec<u8>, Row>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(rows.len() as u64)
}

impl Replica {
    /// Reads the database in a folder. Its files are copied to a temporary folder first, because opening a database
    /// changes its files.
    ///
    /// # Errors
    ///
    /// [`ReplicaError`] if the folder has no database, its files cannot be copied, or the database cannot be used.
    pub fn open(folder: &Path) -> Result<Replica, ReplicaError> {
        let scratch = tempfile::tempdir().context(FilesSnafu { folder })?;
        let found = clone_database_files(folder, scratch.path()).context(FilesSnafu { folder })?;
        ensure!(found, NoDatabaseSnafu { folder });
        let opened = Storage::open(scratch.path()).context(StorageSnafu { folder })?;
        if let Some(quarantined) = opened.quarantined {
            let reason = quarantined.reason;
            return DamagedSnafu { folder, reason }.fail();
        }
        let chunk = opened
            .storage
            .rows_since(0, usize::MAX)
            .context(StorageSnafu { folder })?;
        let record = opened.record;
        let member = record.as_ref().map(|record| record.member.internal);
        let view = record.as_ref().and_then(|record| record.view.as_ref());
        let view = view.map(|view| view.number);
        let rows = chunk.rows.into_iter().map(|row| (row.key.clone(), row));
        Ok(Replica {
            folder: folder.to_owned(),
            member,
            view,
            stored_view: chunk.viewstamp.view,
            stored_seq: chunk.viewstamp.seq,
            trimmed: record.map_or(0, |record| record.trimmed),
            history: chunk.history,
            rows: rows.collect(),
        })
    }

    /// The writes that the replica has applied.
    pub(super) fn write_history(&self) -> WriteHistory<'_> {
        WriteHistory {
            views: &self.history,
            last_seq: self.stored_seq,
        }
    }
}

/// Copies the database file with its log and journal, as far as they exist. Returns false if `from` has no database.
fn clone_database_files(from: &Path, to: &Path) -> io::Result<bool> {
    for suffix in ["", "-wal", "-journal"] {
        let name = format!("{DATABASE}{suffix}");
        let source = from.join(&name);
        if source.exists() {
            std::fs::copy(source, to.join(name))?;
        }
    }
    Ok(to.join(DATABASE).exists())
}

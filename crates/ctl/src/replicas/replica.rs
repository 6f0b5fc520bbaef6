//! The replica in one member's database, read without a change to its folder.

use super::history::WriteHistory;
use indigofold_replication::{Row, Storage, StorageError, ViewNumber, ViewStart};
use serde::{Serialize, Serializer};
use snafu::{ResultExt, Snafu, ensure};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Name of the database file; its log and journal have a suffix to it.
const DATABASE: &str = "control.sqlite";

/// A replica that cannot be opened.
#[derive(Debug, Snafu)]
pub enum ReplicaError {
    /// The folder holds no database.
    #[snafu(display("{} holds no {DATABASE}: is it the data_dir of a core member?", folder.display()))]
    NoDatabase {
        /// The folder.
        folder: PathBuf,
    },
    /// Its files cannot be copied.
    #[snafu(display("{} cannot be read: {source}", folder.display()))]
    Files {
        /// The folder.
        folder: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The database cannot be read.
    #[snafu(display("the database in {} cannot be read: {source}", folder.display()))]
    Storage {
        /// The folder.
        folder: PathBuf,
        /// Why.
        source: StorageError,
    },
    /// The database is damaged.
    #[snafu(display("the database in {} cannot be used: {reason}", folder.display()))]
    Damaged {
        /// The folder.
        folder: PathBuf,
        /// Why.
        reason: String,
    },
}

impl ReplicaError {
    /// Whether the folder is not what was meant.
    pub fn is_input(&self) -> bool {
        matches!(
            self,
            ReplicaError::NoDatabase { .. } | ReplicaError::Files { .. }
        )
    }
}

/// The replica in one member's database.
#[derive(Debug, Serialize)]
pub struct Replica {
    /// Its folder.
    pub folder: PathBuf,
    /// The member's internal address; none in an empty database.
    pub member: Option<SocketAddr>,
    /// The view that it accepted last.
    pub view: Option<ViewNumber>,
    /// Number of the view that ordered its last write.
    pub stored_view: ViewNumber,
    /// Sequence number of its last write.
    pub stored_seq: u64,
    /// Up to this sequence number the tombstones of deleted rows may have been dropped.
    pub trimmed: u64,
    /// The views that led to its state.
    #[serde(skip)]
    pub history: Vec<ViewStart>,
    /// All rows by key, with the tombstones of those deleted. JSON has their number.
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
    /// Reads the database of a folder. Its files are cloned first: to open a database changes it.
    ///
    /// # Errors
    ///
    /// [`ReplicaError`] if the files cannot be cloned, or are no database of a member.
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

    /// Which writes it has taken.
    pub(super) fn write_history(&self) -> WriteHistory<'_> {
        WriteHistory {
            views: &self.history,
            last_seq: self.stored_seq,
        }
    }
}

/// Clones the database's files; false if there are none.
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

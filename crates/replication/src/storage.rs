//! One member's rows and record in a `SQLite` database.
//!
//! Each row and the record have their own checksum, because `SQLite` has none for the pages of a database.

mod checksum;
mod error;
mod files;
mod log;
mod rows;
mod schema;

pub use error::StorageError;

use crate::durable::{MemberRecord, StoreOperation, StoreRequest};
use crate::types::{RowsChunk, ViewStart, Viewstamp};
use error::DatabaseSnafu;
use rusqlite::{Connection, TransactionBehavior};
use schema::Loaded;
use snafu::ResultExt;
use std::path::{Path, PathBuf};

/// Result of opening a database.
#[derive(Debug)]
pub struct Opened {
    /// The database.
    pub storage: Storage,
    /// The member's record; `None` if the database is empty.
    pub record: Option<MemberRecord>,
    /// The unusable database that this opening has quarantined, if any.
    pub quarantined: Option<Quarantined>,
    /// Whether this or an earlier opening has quarantined a database, so that the member's earlier promises are lost.
    pub has_quarantined: bool,
}

/// A database that cannot be used and has been moved aside.
#[derive(Debug)]
pub struct Quarantined {
    /// Current path of the database file.
    pub path: PathBuf,
    /// Reason why the database cannot be used, for the log.
    pub reason: String,
}

/// The open database of a member.
#[derive(Debug)]
pub struct Storage {
    connection: Connection,
    path: PathBuf,
    viewstamp: Viewstamp,
    history: Vec<ViewStart>,
}

impl Storage {
    /// Opens the database in the folder `dir`, or creates an empty one. A database that is damaged or has a newer
    /// format is quarantined, and the member starts with an empty one.
    ///
    /// # Errors
    ///
    /// The folder or its files cannot be used, or `SQLite` fails for a reason other than damage.
    pub fn open(dir: &Path) -> Result<Opened, StorageError> {
        let path = files::database_path(dir);
        let (loaded, quarantined) = match schema::load(dir, &path) {
            Ok(loaded) => (loaded, None),
            Err(error) if error.is_damage() => {
                let quarantined_path = files::quarantine(dir, &path)?;
                let reason = error.to_string();
                (
                    schema::load(dir, &path)?,
                    Some(Quarantined {
                        path: quarantined_path,
                        reason,
                    }),
                )
            }
            Err(error) => return Err(error),
        };
        let Loaded { connection, record } = loaded;
        let (viewstamp, history) = record
            .as_ref()
            .map(|record| (record.viewstamp, record.history.clone()))
            .unwrap_or_default();
        let has_quarantined = files::has_quarantined(&path);
        Ok(Opened {
            storage: Storage {
                connection,
                path,
                viewstamp,
                history,
            },
            record,
            quarantined,
            has_quarantined,
        })
    }

    /// Writes the changes and the record in one transaction, with one sync.
    ///
    /// # Errors
    ///
    /// The record cannot be encoded or `SQLite` fails; in both cases none of the changes is on disk.
    pub fn apply(&mut self, request: &StoreRequest) -> Result<(), StorageError> {
        let encoded =
            postcard::to_allocvec(&request.record).map_err(|source| StorageError::Record {
                path: self.path.clone(),
                source,
            })?;
        write_transaction(&mut self.connection, encoded, &request.operations)
            .context(DatabaseSnafu { path: &self.path })?;
        self.viewstamp = request.record.viewstamp;
        if self.history != request.record.history {
            self.history.clone_from(&request.record.history);
        }
        Ok(())
    }

    /// Returns rows that changed after `since_seq`, about `bytes_max` bytes of them, with the viewstamp of the table.
    ///
    /// # Errors
    ///
    /// `SQLite` fails, or the checksum of a row does not match.
    pub fn rows_since(&self, since_seq: u64, bytes_max: usize) -> Result<RowsChunk, StorageError> {
        let (rows, more) = rows::rows_since(&self.connection, &self.path, since_seq, bytes_max)?;
        Ok(RowsChunk {
            rows,
            more,
            viewstamp: self.viewstamp,
            history: self.history.clone(),
        })
    }

    /// Calls `visitor` with the key and value of each row that is not deleted, ordered by key.
    ///
    /// # Errors
    ///
    /// `SQLite` fails, or the checksum of a row does not match; the rows before it have been visited.
    pub fn all_rows(&self, visitor: impl FnMut(&[u8], &[u8])) -> Result<(), StorageError> {
        rows::visit(&self.connection, &self.path, visitor)
    }

    /// Verifies the checksums and index entries of `count` rows after the key `after_key`. Returns the key of the last
    /// one, or `None` if the end of the table was reached.
    ///
    /// # Errors
    ///
    /// `SQLite` fails, the checksum of a row does not match, or a row is missing from the index.
    pub fn scrub(&self, after_key: &[u8], count: usize) -> Result<Option<Vec<u8>>, StorageError> {
        rows::check(&self.connection, &self.path, after_key, count)
    }
}

fn write_transaction(
    connection: &mut Connection,
    record: Vec<u8>,
    operations: &[StoreOperation],
) -> rusqlite::Result<()> {
    let transaction = connection.transaction_with_behavior(TransactionBehavior::Immediate)?;
    for operation in operations {
        write_operation(&transaction, operation)?;
    }
    schema::write_record(&transaction, record)?;
    transaction.commit()
}

fn write_operation(connection: &Connection, operation: &StoreOperation) -> rusqlite::Result<()> {
    match operation {
        StoreOperation::Clear => rows::clear(connection),
        StoreOperation::Write(batch) => batch.changes.iter().try_for_each(|change| {
            rows::put(connection, &change.key, change.value.as_deref(), batch.seq)
        }),
        StoreOperation::Put(new) => new
            .iter()
            .try_for_each(|row| rows::put(connection, &row.key, row.value.as_deref(), row.seq)),
        StoreOperation::Trim(seq) => rows::trim(connection, *seq),
    }
}

//! Reads and writes the table of rows; each row that is read is verified against its checksum.

use super::checksum;
use super::error::{DamagedRowSnafu, DatabaseSnafu, StorageError};
use crate::types::Row;
use rusqlite::{Connection, params};
use snafu::{ResultExt, ensure};
use std::path::Path;

/// A row as read from the table, with the stored checksum.
struct StoredRow<'a> {
    key: &'a [u8],
    value: Option<&'a [u8]>,
    seq: u64,
    crc: u32,
}

impl<'a> StoredRow<'a> {
    /// Reads a row with the columns key, value, seq, crc.
    fn read(row: &'a rusqlite::Row<'_>) -> rusqlite::Result<StoredRow<'a>> {
        Ok(StoredRow {
            key: row.get_ref(0)?.as_blob()?,
            value: row.get_ref(1)?.as_blob_or_null()?,
            seq: row.get::<_, i64>(2)? as u64,
            crc: row.get::<_, i64>(3)? as u32,
        })
    }

    fn check(self, path: &Path) -> Result<StoredRow<'a>, StorageError> {
        let agrees = self.crc == checksum::of_row(self.key, self.value, self.seq);
        ensure!(
            agrees,
            DamagedRowSnafu {
                path,
                key: String::from_utf8_lossy(self.key)
            }
        );
        Ok(self)
    }
}

/// Calls `visitor` with the key and value of each row that is not deleted, ordered by key.
pub(super) fn visit(
    connection: &Connection,
    path: &Path,
    mut visitor: impl FnMut(&[u8], &[u8]),
) -> Result<(), StorageError> {
    let context = DatabaseSnafu { path };
    let query = "SELECT key, value, seq, crc FROM rows WHERE value IS NOT NULL ORDER BY key";
    let mut statement = connection.prepare_cached(query).context(context)?;
    let mut result_rows = statement.query([]).context(context)?;
    while let Some(row) = result_rows.next().context(context)? {
        let row = StoredRow::read(row).context(context)?.check(path)?;
        visitor(row.key, row.value.unwrap_or_default());
    }
    Ok(())
}

/// Returns rows that changed after `since_seq`, about `bytes_max` bytes of them and whole writes only, and whether more
/// follow.
pub(super) fn rows_since(
    connection: &Connection,
    path: &Path,
    since_seq: u64,
    bytes_max: usize,
) -> Result<(Vec<Row>, bool), StorageError> {
    let context = DatabaseSnafu { path };
    let query = "SELECT key, value, seq, crc FROM rows WHERE seq > ?1 ORDER BY seq";
    let mut statement = connection.prepare_cached(query).context(context)?;
    let mut result_rows = statement.query([since_seq as i64]).context(context)?;
    let mut rows: Vec<Row> = Vec::new();
    let mut bytes = 0;
    while let Some(row) = result_rows.next().context(context)? {
        let StoredRow {
            key, value, seq, ..
        } = StoredRow::read(row).context(context)?.check(path)?;
        if bytes >= bytes_max && rows.last().is_some_and(|last_row| last_row.seq != seq) {
            return Ok((rows, true));
        }
        bytes += key.len() + value.map_or(0, <[u8]>::len);
        rows.push(Row {
            key: key.to_vec(),
            value: value.map(<[u8]>::to_vec),
            seq,
        });
    }
    Ok((rows, false))
}

/// Verifies the checksums and index entries of `count` rows after the key `after_key`; returns the key of the last one,
/// or `None` if the end of the table was reached.
pub(super) fn check(
    connection: &Connection,
    path: &Path,
    after_key: &[u8],
    count: usize,
) -> Result<Option<Vec<u8>>, StorageError> {
    let context = DatabaseSnafu { path };
    let query = "SELECT key, value, seq, crc FROM rows WHERE key > ?1 ORDER BY key LIMIT ?2";
    let mut statement = connection.prepare_cached(query).context(context)?;
    let mut result_rows = statement
        .query(params![after_key, count as i64])
        .context(context)?;
    let (mut last_key, mut checked_count) = (None, 0);
    while let Some(row) = result_rows.next().context(context)? {
        let row = StoredRow::read(row).context(context)?.check(path)?;
        ensure!(
            is_indexed(connection, &row).context(context)?,
            DamagedRowSnafu {
                path,
                key: String::from_utf8_lossy(row.key)
            }
        );
        last_key = Some(row.key.to_vec());
        checked_count += 1;
    }
    Ok(last_key.filter(|_| checked_count == count))
}

/// Returns true if the index by sequence number, which transfers use, contains the row.
fn is_indexed(connection: &Connection, row: &StoredRow<'_>) -> rusqlite::Result<bool> {
    let query =
        "SELECT EXISTS (SELECT 1 FROM rows INDEXED BY rows_by_seq WHERE seq = ?1 AND key = ?2)";
    connection
        .prepare_cached(query)?
        .query_row(params![row.seq as i64, row.key], |result_row| {
            result_row.get(0)
        })
}

/// Verifies the checksums of all rows; `SQLite`'s integrity check covers the index.
pub(super) fn check_all(connection: &Connection, path: &Path) -> Result<(), StorageError> {
    let context = DatabaseSnafu { path };
    let query = "SELECT key, value, seq, crc FROM rows";
    let mut statement = connection.prepare(query).context(context)?;
    let mut result_rows = statement.query([]).context(context)?;
    while let Some(row) = result_rows.next().context(context)? {
        StoredRow::read(row).context(context)?.check(path)?;
    }
    Ok(())
}

/// Writes a row, or the tombstone of a deleted one.
pub(super) fn put(
    connection: &Connection,
    key: &[u8],
    value: Option<&[u8]>,
    seq: u64,
) -> rusqlite::Result<()> {
    connection
        .prepare_cached(
            "INSERT INTO rows (key, value, seq, crc) VALUES (?1, ?2, ?3, ?4)
             ON CONFLICT (key) DO UPDATE SET value = excluded.value, seq = excluded.seq, crc = excluded.crc",
        )?
        .execute(params![key, value, seq as i64, checksum::of_row(key, value, seq)])?;
    Ok(())
}

/// Drops all rows.
pub(super) fn clear(connection: &Connection) -> rusqlite::Result<()> {
    connection.execute("DELETE FROM rows", [])?;
    Ok(())
}

/// Drops the tombstones of rows deleted at or before `seq`.
pub(super) fn trim(connection: &Connection, seq: u64) -> rusqlite::Result<()> {
    connection
        .prepare_cached("DELETE FROM rows WHERE seq <= ?1 AND value IS NULL")?
        .execute([seq as i64])?;
    Ok(())
}

/// Computes and stores the checksum of each row, in a database that had none.
pub(super) fn write_checksums(connection: &Connection) -> rusqlite::Result<()> {
    let mut statement = connection.prepare("SELECT key, value, seq FROM rows")?;
    let read_row = |row: &rusqlite::Row<'_>| {
        let (key, value): (Vec<u8>, Option<Vec<u8>>) = (row.get(0)?, row.get(1)?);
        Ok(Row {
            key,
            value,
            seq: row.get::<_, i64>(2)? as u64,
        })
    };
    let rows: Vec<Row> = statement
        .query_map([], read_row)?
        .collect::<rusqlite::Result<_>>()?;
    rows.iter()
        .try_for_each(|row| put(connection, &row.key, row.value.as_deref(), row.seq))
}

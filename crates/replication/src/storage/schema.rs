//! Tables and record of the database, and how a database is opened.

use super::error::{
    DamagedLogSnafu, DamagedRecordSnafu, DamagedSnafu, DatabaseSnafu, FilesSnafu, NewerFormatSnafu,
    RecordSnafu, StorageError,
};
use super::files::{log_path, sync_folder};
use super::{checksum, log, rows};
use crate::durable::MemberRecord;
use rusqlite::{Connection, OptionalExtension, params};
use snafu::{OptionExt, ResultExt, ensure};
use std::fs;
use std::path::Path;

/// Version of the format of the tables, stored as `SQLite`'s `user_version`. Version 0 is a database without tables.
const FORMAT: u32 = 2;
/// Version of the format without checksums.
const FORMAT_WITHOUT_CHECKSUMS: u32 = 1;

/// Settings of the connection: each commit is synced, and only one process has the database open.
const SETTINGS: &str = "
    PRAGMA locking_mode = EXCLUSIVE;
    PRAGMA journal_mode = WAL;
    PRAGMA synchronous = FULL;
    PRAGMA cache_size = -512;
    PRAGMA temp_store = MEMORY;
    PRAGMA mmap_size = 0;
    PRAGMA journal_size_limit = 8388608;
    PRAGMA wal_autocheckpoint = 1000;
";

const TABLES: &str = "
    BEGIN IMMEDIATE;
    CREATE TABLE rows (key BLOB PRIMARY KEY NOT NULL, value BLOB, seq INTEGER NOT NULL, crc INTEGER NOT NULL)
        WITHOUT ROWID;
    CREATE INDEX rows_by_seq ON rows (seq);
    CREATE TABLE meta (name TEXT PRIMARY KEY NOT NULL, value BLOB NOT NULL) WITHOUT ROWID;
    PRAGMA user_version = 2;
    COMMIT;
";

/// An open database and its record.
pub(super) struct Loaded {
    pub connection: Connection,
    pub record: Option<MemberRecord>,
}

/// Opens and verifies the database and reads its record; creates the tables if there are none.
pub(super) fn load(dir: &Path, path: &Path) -> Result<Loaded, StorageError> {
    fs::create_dir_all(dir).context(FilesSnafu { path: dir })?;
    let lost = log::has_lost_writes(&log_path(path)).context(FilesSnafu { path })?;
    ensure!(!lost, DamagedLogSnafu { path });
    let mut connection = Connection::open(path).context(DatabaseSnafu { path })?;
    connection
        .execute_batch(SETTINGS)
        .context(DatabaseSnafu { path })?;
    let format = read_format(&connection).context(DatabaseSnafu { path })?;
    ensure!(
        format <= FORMAT,
        NewerFormatSnafu {
            path,
            found: format,
            known: FORMAT
        }
    );
    if format == 0 {
        connection
            .execute_batch(TABLES)
            .context(DatabaseSnafu { path })?;
        sync_folder(dir)?;
    } else {
        check(&connection, path)?;
        if format == FORMAT_WITHOUT_CHECKSUMS {
            add_checksums(&mut connection).context(DatabaseSnafu { path })?;
        }
        rows::check_all(&connection, path)?;
    }
    let record = read_record(&connection, path)?;
    Ok(Loaded { connection, record })
}

fn read_format(connection: &Connection) -> rusqlite::Result<u32> {
    connection.query_row("PRAGMA user_version", [], |row| row.get(0))
}

fn check(connection: &Connection, path: &Path) -> Result<(), StorageError> {
    let finding: String = connection
        .query_row("PRAGMA integrity_check(1)", [], |row| row.get(0))
        .context(DatabaseSnafu { path })?;
    ensure!(finding == "ok", DamagedSnafu { path, finding });
    Ok(())
}

fn read_record(connection: &Connection, path: &Path) -> Result<Option<MemberRecord>, StorageError> {
    let bytes: Option<Vec<u8>> = connection
        .query_row("SELECT value FROM meta WHERE name = 'record'", [], |row| {
            row.get(0)
        })
        .optional()
        .context(DatabaseSnafu { path })?;
    bytes.map(|bytes| decode_record(&bytes, path)).transpose()
}

fn decode_record(sealed: &[u8], path: &Path) -> Result<MemberRecord, StorageError> {
    let record = checksum::open_record(sealed).context(DamagedRecordSnafu { path })?;
    postcard::from_bytes(record).context(RecordSnafu { path })
}

/// Upgrades a database of the format without checksums.
fn add_checksums(connection: &mut Connection) -> rusqlite::Result<()> {
    let transaction = connection.transaction()?;
    transaction.execute_batch("ALTER TABLE rows ADD COLUMN crc INTEGER NOT NULL DEFAULT 0")?;
    rows::write_checksums(&transaction)?;
    let record: Option<Vec<u8>> = transaction
        .query_row("SELECT value FROM meta WHERE name = 'record'", [], |row| {
            row.get(0)
        })
        .optional()?;
    if let Some(record) = record {
        write_record(&transaction, record)?;
    }
    transaction.pragma_update(None, "user_version", FORMAT)?;
    transaction.commit()
}

/// Replaces the record.
pub(super) fn write_record(connection: &Connection, record: Vec<u8>) -> rusqlite::Result<()> {
    connection
        .prepare_cached(
            "INSERT INTO meta (name, value) VALUES ('record', ?1)
             ON CONFLICT (name) DO UPDATE SET value = excluded.value",
        )?
        .execute(params![checksum::seal_record(record)])?;
    Ok(())
}

//! The database's files and tables, and how they are opened.

use super::error::{DamagedRecordSnafu, DatabaseSnafu, FilesSnafu, RecordSnafu, StorageError};
use super::{checksum, log, rows};
use crate::durable::Durable;
use rusqlite::{Connection, OptionalExtension, params};
use snafu::{OptionExt, ResultExt, ensure};
use std::fs::{self, File};
use std::path::{Path, PathBuf};

/// The database's file.
const FILE_NAME: &str = "control.sqlite";
/// What SQLite adds to the names of its other files.
const SIDE_FILES: [&str; 3] = [LOG_SUFFIX, "-shm", "-journal"];
/// What it adds to the name of the log.
const LOG_SUFFIX: &str = "-wal";
/// Version of the tables' format; SQLite's `user_version`. 0 is a database without tables.
const FORMAT: u32 = 2;
/// The format without checksums.
const FORMAT_WITHOUT_CHECKSUMS: u32 = 1;
/// Quarantined databases are numbered up to here; the last one is replaced.
const QUARANTINED_MAX: u32 = 8;

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
    pub durable: Option<Durable>,
}

/// Where the database of the folder `dir` is.
pub(super) fn database_path(dir: &Path) -> PathBuf {
    dir.join(FILE_NAME)
}

/// Opens the database and reads its record; makes the tables where there are none.
pub(super) fn load(dir: &Path, path: &Path) -> Result<Loaded, StorageError> {
    fs::create_dir_all(dir).context(FilesSnafu { path: dir })?;
    let lost = log::has_lost_writes(&with_suffix(path, LOG_SUFFIX)).context(FilesSnafu { path })?;
    ensure!(!lost, super::error::DamagedLogSnafu { path });
    let mut connection = Connection::open(path).context(DatabaseSnafu { path })?;
    connection
        .execute_batch(SETTINGS)
        .context(DatabaseSnafu { path })?;
    let format = read_format(&connection).context(DatabaseSnafu { path })?;
    ensure!(
        format <= FORMAT,
        super::error::NewerFormatSnafu {
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
    let durable = read_record(&connection, path)?;
    Ok(Loaded {
        connection,
        durable,
    })
}

fn read_format(connection: &Connection) -> rusqlite::Result<u32> {
    connection.query_row("PRAGMA user_version", [], |row| row.get(0))
}

fn check(connection: &Connection, path: &Path) -> Result<(), StorageError> {
    let finding: String = connection
        .query_row("PRAGMA integrity_check(1)", [], |row| row.get(0))
        .context(DatabaseSnafu { path })?;
    ensure!(
        finding == "ok",
        super::error::DamagedSnafu { path, finding }
    );
    Ok(())
}

fn read_record(connection: &Connection, path: &Path) -> Result<Option<Durable>, StorageError> {
    let bytes: Option<Vec<u8>> = connection
        .query_row("SELECT value FROM meta WHERE name = 'record'", [], |row| {
            row.get(0)
        })
        .optional()
        .context(DatabaseSnafu { path })?;
    bytes.map(|bytes| decode_record(&bytes, path)).transpose()
}

fn decode_record(sealed: &[u8], path: &Path) -> Result<Durable, StorageError> {
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

/// Renames the database's files so that a new one can be made; returns where the database is now.
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

/// A database of this folder has been quarantined before.
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

fn sync_folder(dir: &Path) -> Result<(), StorageError> {
    File::open(dir)
        .and_then(|folder| folder.sync_all())
        .context(FilesSnafu { path: dir })
}

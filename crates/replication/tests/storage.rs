//! Tests of the storage of a member: which data it keeps, and how it handles a database that it cannot use.

mod stored;

use indigofold_replication::{
    Batch, Row, RowChange, Storage, StoreOperation, StoreRequest, ViewNumber, Viewstamp,
};
use rstest::rstest;
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use stored::{DATABASE, record};
use tempfile::TempDir;

fn change(key: &str, value: Option<&str>) -> RowChange {
    RowChange {
        key: key.as_bytes().to_vec(),
        value: value.map(|v| v.as_bytes().to_vec()),
    }
}

fn write(seq: u64, changes: Vec<RowChange>) -> StoreRequest {
    let operations = vec![StoreOperation::Write(Arc::new(Batch { seq, changes }))];
    StoreRequest {
        record: record(seq),
        operations,
    }
}

fn table(storage: &Storage) -> BTreeMap<String, String> {
    let mut table = BTreeMap::new();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    storage
        .all_rows(|key, value| {
            table.insert(text(key), text(value));
        })
        .expect("the rows can be read");
    table
}

fn filled(dir: &Path) -> Storage {
    let mut storage = Storage::open(dir)
        .expect("an empty folder can be used")
        .storage;
    for seq in 1..=20 {
        let key = format!("row-{seq}");
        storage
            .apply(&write(seq, vec![change(&key, Some("value"))]))
            .expect("the write can be stored");
    }
    storage
}

#[test]
fn an_empty_folder_has_no_record() {
    let dir = TempDir::new().expect("a temporary folder can be created");
    let opened = Storage::open(dir.path()).expect("the database can be opened");
    assert_eq!(opened.record, None);
    assert!(opened.quarantined.is_none());
    assert!(table(&opened.storage).is_empty());
}

#[test]
fn writes_and_the_record_survive_reopening() {
    let dir = TempDir::new().expect("a temporary folder can be created");
    let mut storage = filled(dir.path());
    storage
        .apply(&write(
            21,
            vec![change("row-1", None), change("row-2", Some("new"))],
        ))
        .expect("the request can be stored");
    drop(storage);
    let opened = Storage::open(dir.path()).expect("the database can be opened");
    assert_eq!(opened.record, Some(record(21)));
    let table = table(&opened.storage);
    assert_eq!(table.len(), 19);
    assert_eq!(table.get("row-1"), None);
    assert_eq!(table.get("row-2").map(String::as_str), Some("new"));
}

#[test]
fn rows_are_read_in_write_order_and_writes_are_never_split() {
    let dir = TempDir::new().expect("a temporary folder can be created");
    let mut storage = Storage::open(dir.path())
        .expect("the database can be opened")
        .storage;
    for seq in 1..=5 {
        let changes = (0..3)
            .map(|n| change(&format!("{n}-{seq}"), Some("value")))
            .collect();
        storage
            .apply(&write(seq, changes))
            .expect("the request can be stored");
    }
    let mut after = 0;
    let mut seqs = Vec::new();
    loop {
        let chunk = storage.rows_since(after, 10).expect("the data can be read");
        assert_eq!(
            chunk.viewstamp,
            Viewstamp {
                view: ViewNumber(3),
                seq: 5
            }
        );
        assert_eq!(chunk.rows.len() % 3, 0, "a write is split between chunks");
        seqs.extend(chunk.rows.iter().map(|row| row.seq));
        after = chunk.rows.last().map_or(after, |row| row.seq);
        if !chunk.more {
            break;
        }
    }
    assert_eq!(seqs, [1, 1, 1, 2, 2, 2, 3, 3, 3, 4, 4, 4, 5, 5, 5]);
    assert!(
        storage
            .rows_since(5, 10)
            .expect("the data can be read")
            .rows
            .is_empty()
    );
}

#[test]
fn deleted_rows_leave_a_tombstone_until_it_is_trimmed() {
    let dir = TempDir::new().expect("a temporary folder can be created");
    let mut storage = filled(dir.path());
    storage
        .apply(&write(21, vec![change("row-3", None)]))
        .expect("the request can be stored");
    let tombstones = |storage: &Storage| {
        let rows = storage
            .rows_since(20, 1_000)
            .expect("the data can be read")
            .rows;
        rows.into_iter().filter(|row| row.value.is_none()).count()
    };
    assert_eq!(tombstones(&storage), 1);
    let trim = StoreRequest {
        record: record(21),
        operations: vec![StoreOperation::Trim(21)],
    };
    storage.apply(&trim).expect("the request can be stored");
    assert_eq!(tombstones(&storage), 0);
    assert_eq!(table(&storage).len(), 19);
}

#[test]
fn a_transfer_replaces_all_rows() {
    let dir = TempDir::new().expect("a temporary folder can be created");
    let mut storage = filled(dir.path());
    let row = Row {
        key: b"other".to_vec(),
        value: Some(b"value".to_vec()),
        seq: 40,
    };
    let operations = vec![StoreOperation::Clear, StoreOperation::Put(vec![row])];
    storage
        .apply(&StoreRequest {
            record: record(40),
            operations,
        })
        .expect("the request can be stored");
    assert_eq!(table(&storage).into_keys().collect::<Vec<_>>(), ["other"]);
}

/// Copies the database as a power loss leaves it when the newest `lost` bytes of its log never reached the disk.
fn after_power_loss(from: &Path, lost: usize) -> TempDir {
    let dir = TempDir::new().expect("a temporary folder can be created");
    for name in [DATABASE.to_owned(), format!("{DATABASE}-wal")] {
        let mut bytes = fs::read(from.join(&name)).unwrap_or_default();
        if name.ends_with("-wal") {
            let kept = bytes.len().saturating_sub(lost);
            bytes.truncate(kept);
        }
        fs::write(dir.path().join(name), bytes).expect("the file can be written");
    }
    dir
}

#[rstest]
fn a_torn_log_contains_complete_writes_only(
    #[values(0, 1, 100, 4_095, 4_120, 9_000, 20_000, 50_000)] lost: usize,
) {
    let dir = TempDir::new().expect("a temporary folder can be created");
    let storage = filled(dir.path());
    let damaged_dir = after_power_loss(dir.path(), lost);
    drop(storage);
    let opened = Storage::open(damaged_dir.path()).expect("a torn log can be opened");
    assert!(opened.quarantined.is_none());
    let seq = opened.record.map_or(0, |record| record.viewstamp.seq);
    assert_eq!(
        table(&opened.storage).len() as u64,
        seq,
        "the number of rows does not match the record"
    );
    assert!(lost > 0 || seq == 20);
}

fn close(dir: &Path) -> PathBuf {
    drop(filled(dir));
    dir.join(DATABASE)
}

#[rstest]
#[case::no_database(0, b"this is no database at all, and never was")]
#[case::overwritten_pages(4_096, &[0xa5; 8_192])]
fn a_damaged_database_is_quarantined(#[case] offset: usize, #[case] damage: &[u8]) {
    let dir = TempDir::new().expect("a temporary folder can be created");
    let path = close(dir.path());
    let mut bytes = fs::read(&path).expect("the data can be read");
    bytes[offset..offset + damage.len()].copy_from_slice(damage);
    fs::write(&path, bytes).expect("the file can be written");
    let opened = Storage::open(dir.path()).expect("a member with a damaged database starts empty");
    let quarantined = opened.quarantined.expect("the database is quarantined");
    assert!(quarantined.path.exists());
    assert!(
        quarantined.reason.contains("control.sqlite"),
        "{}",
        quarantined.reason
    );
    assert_eq!(opened.record, None);
    assert!(table(&opened.storage).is_empty());
}

#[test]
fn a_database_of_a_newer_format_is_quarantined() {
    let dir = TempDir::new().expect("a temporary folder can be created");
    let path = close(dir.path());
    let connection = rusqlite::Connection::open(&path).expect("the database can be opened");
    connection
        .execute_batch("PRAGMA user_version = 99")
        .expect("the statement can be executed");
    drop(connection);
    let opened = Storage::open(dir.path()).expect("the database can be opened");
    let reason = opened
        .quarantined
        .expect("the database is quarantined")
        .reason;
    assert!(reason.contains("format version 99"), "{reason}");
    assert_eq!(opened.record, None);
}

#[test]
fn a_database_with_an_unreadable_record_is_quarantined() {
    let dir = TempDir::new().expect("a temporary folder can be created");
    let path = close(dir.path());
    let connection = rusqlite::Connection::open(&path).expect("the database can be opened");
    connection
        .execute("UPDATE meta SET value = X'ff'", [])
        .expect("the statement can be executed");
    drop(connection);
    let opened = Storage::open(dir.path()).expect("the database can be opened");
    assert!(opened.quarantined.is_some());
}

#[test]
fn a_path_that_is_a_file_is_an_error() {
    let dir = TempDir::new().expect("a temporary folder can be created");
    let path = dir.path().join("file");
    fs::write(&path, "").expect("the file can be written");
    let error = Storage::open(&path).expect_err("a file in place of the folder is refused");
    assert!(error.to_string().contains("cannot be used"), "{error}");
}

/// Creates a database of the format without checksums, with the rows that [`filled`] writes, of which `row-5` is
/// deleted.
fn write_without_checksums(dir: &Path) {
    let connection =
        rusqlite::Connection::open(dir.join(DATABASE)).expect("the database can be opened");
    connection
        .execute_batch(
            "CREATE TABLE rows (key BLOB PRIMARY KEY NOT NULL, value BLOB, seq INTEGER NOT NULL) WITHOUT ROWID;
             CREATE INDEX rows_by_seq ON rows (seq);
             CREATE TABLE meta (name TEXT PRIMARY KEY NOT NULL, value BLOB NOT NULL) WITHOUT ROWID;
             PRAGMA user_version = 1;",
        )
        .expect("the tables can be created");
    for seq in 1..=20_i64 {
        let value = (seq != 5).then_some(b"value".as_slice());
        let insert = "INSERT INTO rows (key, value, seq) VALUES (?1, ?2, ?3)";
        connection
            .execute(insert, (format!("row-{seq}").as_bytes(), value, seq))
            .expect("the row can be inserted");
    }
    let record = postcard::to_allocvec(&record(20)).expect("the record can be encoded");
    connection
        .execute(
            "INSERT INTO meta (name, value) VALUES ('record', ?1)",
            [record],
        )
        .expect("the record can be inserted");
}

#[test]
fn a_database_without_checksums_is_upgraded_without_loss() {
    let dir = TempDir::new().expect("a temporary folder can be created");
    write_without_checksums(dir.path());
    for _ in 0..2 {
        let opened = Storage::open(dir.path()).expect("the database can be opened");
        assert!(opened.quarantined.is_none(), "{:?}", opened.quarantined);
        assert_eq!(opened.record, Some(record(20)));
        let table = table(&opened.storage);
        assert_eq!((table.len(), table.get("row-5")), (19, None));
        assert_eq!(
            opened
                .storage
                .rows_since(4, 1_000)
                .expect("the data can be read")
                .rows
                .len(),
            16,
            "rows after write 4, including the tombstone of row-5"
        );
        assert_eq!(
            opened
                .storage
                .scrub(b"", 100)
                .expect("the rows are undamaged"),
            None
        );
    }
}

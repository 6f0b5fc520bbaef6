//! Simulates power loss between any two syncs of the database, where each sector written since the last sync is
//! present, missing or torn, and bits that change on disk, in every kind of page.

mod stored;

use indigofold_replication::{Batch, RowChange, Storage, StoreOperation, StoreRequest};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::sync::Arc;
use stored::{DATABASE, record};
use tempfile::TempDir;

const LOG: &str = "control.sqlite-wal";
/// Sector size of the simulated disk. A sector is written as a whole or not at all, except a torn one, of which only
/// the first part is written.
const SECTOR: usize = 512;
/// Size of the header of the log, which `SQLite` syncs before it writes frames after it.
const LOG_HEADER: usize = 32;
const KEYS: u64 = 24;
const VALUE_BYTES: usize = 9_000;
/// Number of writes: enough for several checkpoints, at which the log is copied into the database and restarted.
const WRITES: u64 = 700;
/// Number of power losses simulated within each write.
const LOSSES_A_WRITE: usize = 2;

type Table = BTreeMap<Vec<u8>, Vec<u8>>;

/// Contents of both files on disk after a sync.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Image {
    database: Vec<u8>,
    log: Vec<u8>,
}

impl Image {
    fn of(dir: &Path) -> Image {
        let read = |name: &str| fs::read(dir.join(name)).unwrap_or_default();
        Image {
            database: read(DATABASE),
            log: read(LOG),
        }
    }

    fn write(&self, dir: &Path) {
        fs::write(dir.join(DATABASE), &self.database).expect("the file can be written");
        if !self.log.is_empty() {
            fs::write(dir.join(LOG), &self.log).expect("the file can be written");
        }
    }
}

/// Returns write number `seq`, which sets three rows or deletes some of them.
fn write(seq: u64) -> StoreRequest {
    let change = |offset: u64| {
        let key = format!("row-{}", (seq * 5 + offset) % KEYS).into_bytes();
        let value = vec![(seq % 251) as u8; VALUE_BYTES / (1 + offset as usize)];
        RowChange {
            key,
            value: (!(seq + offset).is_multiple_of(7)).then_some(value),
        }
    };
    write_of(seq, (0..3).map(change).collect())
}

/// Returns write number `seq` with these changes and the matching record.
fn write_of(seq: u64, changes: Vec<RowChange>) -> StoreRequest {
    StoreRequest {
        record: record(seq),
        operations: vec![StoreOperation::Write(Arc::new(Batch { seq, changes }))],
    }
}

/// Like [`write`], with values short enough for all rows to fit into a few pages.
fn small_write(seq: u64) -> StoreRequest {
    let mut request = write(seq);
    if let StoreOperation::Write(batch) = &request.operations[0] {
        let mut changes = batch.changes.clone();
        for value in changes
            .iter_mut()
            .filter_map(|change| change.value.as_mut())
        {
            value.truncate(40 + value.len() / 40);
        }
        request = write_of(seq, changes);
    }
    request
}

fn open(dir: &Path) -> Storage {
    Storage::open(dir)
        .expect("the database can be opened")
        .storage
}

/// Creates a folder with a closed database that contains these writes.
fn folder_with(requests: impl Iterator<Item = StoreRequest>) -> TempDir {
    let dir = TempDir::new().expect("a temporary folder can be created");
    let mut storage = open(dir.path());
    for request in requests {
        storage.apply(&request).expect("the write can be stored");
    }
    dir
}

fn table(storage: &Storage) -> Table {
    let mut table = Table::new();
    storage
        .all_rows(|key, value| {
            table.insert(key.to_vec(), value.to_vec());
        })
        .expect("the rows can be read");
    table
}

/// Returns the rows as a transfer to another member reads them.
fn transfer(storage: &Storage) -> Table {
    let rows = storage
        .rows_since(0, usize::MAX)
        .expect("the rows can be read")
        .rows;
    rows.into_iter()
        .filter_map(|row| Some((row.key, row.value?)))
        .collect()
}

/// Returns `before` with a random part of the differing sectors taken from `after`, from the byte `start` up
/// to the byte `end_limit`.
fn torn(
    random: &mut Pcg64Mcg,
    before: &[u8],
    after: &[u8],
    start: usize,
    end_limit: usize,
) -> Vec<u8> {
    let chance = random.next_u64() % 101;
    let mut bytes = before.to_vec();
    let mut offset = start;
    while offset < end_limit {
        let end = (offset / SECTOR + 1) * SECTOR;
        let end = end.min(end_limit);
        let differs = before.get(offset..end) != after.get(offset..end);
        if differs && random.next_u64() % 100 < chance {
            let is_torn = random.next_u64().is_multiple_of(8);
            let end = if is_torn {
                offset + random.next_u64() as usize % (end - offset)
            } else {
                end
            };
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[offset..end].copy_from_slice(&after[offset..end]);
        }
        offset = (offset / SECTOR + 1) * SECTOR;
    }
    bytes
}

/// Returns possible contents of the disk when power is lost between two synced states. `SQLite` first syncs a new
/// header of the log, then the frames; later it copies the log into the database.
fn lost_power(random: &mut Pcg64Mcg, before: &Image, after: &Image) -> Image {
    let has_new_header = before.log.get(..LOG_HEADER) != after.log.get(..LOG_HEADER);
    let is_database_changed = before.database != after.database;
    let stage = random.next_u64() % 4;
    if is_database_changed && stage == 0 {
        let database_length = after.database.len();
        let database = torn(
            random,
            &before.database,
            &after.database,
            0,
            database_length,
        );
        return Image {
            database,
            log: after.log.clone(),
        };
    }
    if has_new_header && stage == 1 {
        let log = torn(random, &before.log, &after.log, 0, LOG_HEADER);
        return Image {
            database: before.database.clone(),
            log,
        };
    }
    let mut log = before.log.clone();
    if log.len() < LOG_HEADER {
        log.resize(LOG_HEADER, 0);
    }
    log[..LOG_HEADER].copy_from_slice(&after.log[..LOG_HEADER]);
    let log = torn(random, &log, &after.log, LOG_HEADER, after.log.len());
    Image {
        database: before.database.clone(),
        log,
    }
}

/// Checks that all writes synced before are present, and that the write under way is present completely or not at all.
fn check_image(image: &Image, seq: u64, before: &Table, after: &Table) {
    let dir = TempDir::new().expect("a temporary folder can be created");
    image.write(dir.path());
    let opened = Storage::open(dir.path()).expect("the database can be opened");
    assert!(
        opened.quarantined.is_none(),
        "write {seq}: {:?}",
        opened.quarantined
    );
    let found_seq = opened
        .record
        .expect("the database contains the record")
        .viewstamp
        .seq;
    let expected = match found_seq {
        found_seq if found_seq == seq => after,
        found_seq if found_seq + 1 == seq => before,
        _ => panic!(
            "after a power loss within write {seq} the database has the state of write {found_seq}"
        ),
    };
    assert!(
        table(&opened.storage) == *expected,
        "write {seq}: the rows of write {found_seq} are incomplete"
    );
}

#[rstest]
fn power_loss_at_any_point_loses_no_synced_write(#[values(0, 1, 2, 3)] shard: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(shard);
    let dir = TempDir::new().expect("a temporary folder can be created");
    let mut storage = open(dir.path());
    storage.apply(&write(1)).expect("the write can be stored");
    let (mut image_before, mut rows_before) = (Image::of(dir.path()), table(&storage));
    let (mut loss_points, mut checkpoints) = (0, 0);
    for seq in 2..=WRITES {
        storage.apply(&write(seq)).expect("the write can be stored");
        let (image_after, rows_after) = (Image::of(dir.path()), table(&storage));
        let is_database_changed = image_before.database != image_after.database;
        checkpoints += u64::from(is_database_changed);
        // Few writes copy or restart the log, so more power losses are simulated in these.
        let is_special = is_database_changed
            || image_before.log.get(..LOG_HEADER) != image_after.log.get(..LOG_HEADER);
        let loss_count = if is_special {
            20 * LOSSES_A_WRITE
        } else {
            LOSSES_A_WRITE
        };
        if is_special || seq % 4 == shard {
            for _ in 0..loss_count {
                check_image(
                    &lost_power(&mut random, &image_before, &image_after),
                    seq,
                    &rows_before,
                    &rows_after,
                );
                loss_points += 1;
            }
        }
        (image_before, rows_before) = (image_after, rows_after);
    }
    println!("{loss_points} power losses, {checkpoints} checkpoints");
    assert!(
        loss_points >= 350 && checkpoints >= 2,
        "{loss_points} power losses, expected at least 350; {checkpoints} checkpoints, expected at least 2"
    );
}

/// Power is lost while the database is created: the member starts empty.
#[test]
fn after_power_loss_during_creation_the_database_is_empty() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let dir = TempDir::new().expect("a temporary folder can be created");
    let storage = open(dir.path());
    let made = Image::of(dir.path());
    drop(storage);
    for _ in 0..200 {
        let database = torn(&mut random, &[], &made.database, 0, made.database.len());
        let log = torn(&mut random, &[], &made.log, 0, made.log.len());
        let dir = TempDir::new().expect("a temporary folder can be created");
        Image { database, log }.write(dir.path());
        let opened = Storage::open(dir.path()).expect("a partly created database can be opened");
        assert_eq!(opened.record, None);
        assert!(table(&opened.storage).is_empty());
    }
}

/// A bit that has changed on disk is detected when the database is opened, or does not affect the data that is read.
#[rstest]
fn a_flipped_bit_is_detected_or_has_no_effect(#[values(0, 1, 2, 3)] shard: usize) {
    let dir = folder_with((1..=60).map(small_write));
    let rows = table(&open(dir.path()));
    let bytes = fs::read(dir.path().join(DATABASE)).expect("the file can be read");
    let (mut found, mut tried) = (0, 0);
    for at in (shard..bytes.len()).step_by(4 * 13) {
        let mut damaged = bytes.clone();
        damaged[at] ^= 1 << (at % 8);
        let dir = TempDir::new().expect("a temporary folder can be created");
        Image {
            database: damaged,
            log: Vec::new(),
        }
        .write(dir.path());
        let opened =
            Storage::open(dir.path()).expect("a damaged database is quarantined without an error");
        tried += 1;
        if opened.quarantined.is_some() {
            found += 1;
            assert_eq!(opened.record, None);
        } else if opened.record.is_some() {
            assert!(
                table(&opened.storage) == rows,
                "byte {at}: rows have changed undetected"
            );
            assert!(
                transfer(&opened.storage) == rows,
                "byte {at}: a transfer has changed undetected"
            );
            assert_eq!(
                opened.record,
                Some(record(60)),
                "byte {at}: the record has changed undetected"
            );
        }
    }
    println!("{found} of {tried} flipped bits detected");
    assert!(
        found * 5 > tried,
        "{found} of {tried} flipped bits detected, expected more than a fifth"
    );
}

/// A bit changes in the log before its last two writes. `SQLite` alone would read the log only up to that bit and lose
/// all later writes. In the last two writes such a bit cannot be distinguished from a power loss.
#[rstest]
fn a_flipped_bit_in_the_log_loses_no_write_undetected(#[values(0, 1, 2, 3)] shard: usize) {
    let dir = TempDir::new().expect("a temporary folder can be created");
    let mut storage = open(dir.path());
    (1..=6).for_each(|seq| storage.apply(&write(seq)).expect("the write can be stored"));
    let until = Image::of(dir.path()).log.len();
    (7..=8).for_each(|seq| storage.apply(&write(seq)).expect("the write can be stored"));
    let intact = Image::of(dir.path());
    let mut found = 0;
    for at in (LOG_HEADER + shard..until).step_by(4 * 97) {
        let mut image = intact.clone();
        image.log[at] ^= 1 << (at % 8);
        let dir = TempDir::new().expect("a temporary folder can be created");
        image.write(dir.path());
        let opened = Storage::open(dir.path())
            .expect("a database with a damaged log is quarantined without an error");
        found += usize::from(opened.quarantined.is_some());
        let seq = opened.record.map(|record| record.viewstamp.seq);
        assert!(
            opened.quarantined.is_some() || seq == Some(8),
            "byte {at}: without quarantine the database has the state of write {seq:?}, expected 8"
        );
    }
    assert!(
        found > 100,
        "{found} flipped bits detected, expected more than 100"
    );
}

/// A damaged index entry no longer leads to its row: a transfer would omit the row.
#[test]
fn scrub_detects_a_row_that_is_missing_from_the_index() {
    let long_key = |seq: u64| {
        let key = format!("row-{seq:>6}-{}", "x".repeat(200)).into_bytes();
        let value = Some(vec![1]);
        write_of(seq, vec![RowChange { key, value }])
    };
    let dir = folder_with((1..=6_000).map(long_key));
    let storage = open(dir.path());
    let path = dir.path().join(DATABASE);
    let mut bytes = fs::read(&path).expect("the file can be read");
    let text = b"row-  3000-";
    let found: Vec<usize> = (0..bytes.len() - text.len())
        .filter(|&at| bytes[at..].starts_with(text))
        .collect();
    assert!(
        found.len() >= 2,
        "{} places with the key, expected the row and its index entry",
        found.len()
    );
    // In the index the key follows the sequence number, so the byte before the key is the last one of that number.
    let entry = found
        .into_iter()
        .find(|&at| bytes[at - 2..at] == 3_000_u16.to_be_bytes());
    bytes[entry.expect("the index contains an entry for the row") - 1] ^= 1;
    fs::write(&path, bytes).expect("the file can be written");
    let mut after = Some(Vec::new());
    let mut result = Ok(None);
    while let (Some(key), Ok(_)) = (&after, &result) {
        result = storage.scrub(key, 500);
        after = result.as_ref().ok().and_then(Clone::clone);
    }
    let error = result.expect_err("scrub detects the changed index entry");
    assert!(error.proves_damage(), "{error}");
}

/// A row changes on disk while the database is in use: no read returns it, and the scrub detects it.
#[test]
fn a_row_changed_on_disk_is_not_read_and_scrub_detects_it() {
    let long_value = |seq: u64| {
        let key = format!("row-{seq:>6}").into_bytes();
        let value = Some(format!("value {seq:>6} ").repeat(300).into_bytes());
        write_of(seq, vec![RowChange { key, value }])
    };
    let dir = folder_with((1..=400).map(long_value));
    let storage = open(dir.path());
    let path = dir.path().join(DATABASE);
    let mut bytes = fs::read(&path).expect("the file can be read");
    let text = b"value     17 ";
    let at = bytes
        .windows(text.len())
        .position(|window| window == text)
        .expect("the file contains the value");
    bytes[at] ^= 4;
    fs::write(&path, bytes).expect("the file can be written");
    let assert_damaged = |result: Result<(), indigofold_replication::StorageError>| {
        let error = result.expect_err("the changed row is detected");
        assert!(
            error.proves_damage() && error.to_string().contains("row-    17"),
            "{error}"
        );
    };
    assert_damaged(storage.all_rows(|key, _| assert_ne!(key, b"row-    17")));
    assert_damaged(storage.rows_since(0, usize::MAX).map(drop));
    assert_damaged(storage.scrub(b"", 100).map(drop));
    let rest = storage
        .scrub(b"row-    17", 100)
        .expect("the rows after the changed one are undamaged");
    assert_eq!(rest, Some(b"row-   117".to_vec()));
}

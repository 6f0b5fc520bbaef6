//! Tests of `compare-copies`: the comparison of replicas on members' disks.

use indigofold_ctl::error::ToolError;
use indigofold_ctl::exit_code::{EXIT_FINDINGS, EXIT_INPUT, EXIT_OK};
use indigofold_ctl::replicas::{Replica, WriteHistory, common_seq, compare, run};
use indigofold_protocol::internal::MemberAddress;
use indigofold_replication::{
    Batch, Member, MemberRecord, RowChange, Storage, StoreOperation, StoreRequest, ViewNumber,
    ViewStart, Viewstamp,
};
use rstest::rstest;
use std::sync::Arc;
use tempfile::TempDir;

fn change(key: &str, value: Option<&str>) -> RowChange {
    RowChange {
        key: key.as_bytes().to_vec(),
        value: value.map(|text| text.as_bytes().to_vec()),
    }
}

/// A write of one row.
#[derive(Clone, Copy)]
struct Write {
    seq: u64,
    key: &'static str,
    /// `None` deletes the row.
    value: Option<&'static str>,
}

const fn put(seq: u64, key: &'static str, value: &'static str) -> Write {
    let value = Some(value);
    Write { seq, key, value }
}

const fn delete(seq: u64, key: &'static str) -> Write {
    let value = None;
    Write { seq, key, value }
}

/// Creates a data folder whose database has these writes, all ordered by view 1.
fn data_dir_with(writes: &[Write]) -> TempDir {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let seq = writes.last().map_or(0, |write| write.seq);
    let operations = writes.iter().map(|write| {
        StoreOperation::Write(Arc::new(Batch {
            seq: write.seq,
            changes: vec![change(write.key, write.value)],
        }))
    });
    let internal = ([10, 0, 0, 1], 7380).into();
    let record = MemberRecord {
        member: Member { internal, disk: 0 },
        promised: ViewNumber(1),
        view: None,
        agreed: false,
        viewstamp: Viewstamp {
            view: ViewNumber(1),
            seq,
        },
        history: vec![ViewStart {
            view: ViewNumber(1),
            seq: 0,
        }],
        trimmed: 0,
        addresses: Vec::<MemberAddress>::new(),
    };
    let mut storage = Storage::open(folder.path())
        .expect("the database can be created")
        .storage;
    storage
        .apply(&StoreRequest {
            record,
            operations: operations.collect(),
        })
        .expect("the writes can be stored");
    folder
}

const WRITES: [Write; 3] = [put(1, "a", "1"), put(2, "b", "2"), delete(3, "a")];

/// Compares two data folders. Returns the exit code and the number of rows that differ.
fn compare_folders(left: &TempDir, right: &TempDir) -> (u8, usize) {
    let report = run(&[left.path().to_owned(), right.path().to_owned()])
        .expect("both replicas can be opened");
    assert_eq!(report.data["copies"].as_array().map(Vec::len), Some(2));
    let pairs = report.data["pairs"]
        .as_array()
        .expect("`pairs` is an array");
    (
        report.exit_code(),
        pairs[0]["differences"]
            .as_array()
            .expect("`differences` is an array")
            .len(),
    )
}

#[test]
fn equal_replicas_do_not_differ_and_stay_unchanged() {
    let (left, right) = (data_dir_with(&WRITES), data_dir_with(&WRITES));
    let files = |folder: &TempDir| {
        let mut all: Vec<(String, Vec<u8>)> = std::fs::read_dir(folder.path())
            .expect("the folder can be listed")
            .map(|entry| entry.expect("the folder can be listed"))
            .map(|entry| {
                (
                    entry.file_name().to_string_lossy().into_owned(),
                    std::fs::read(entry.path()).expect("the file can be read"),
                )
            })
            .collect();
        all.sort();
        all
    };
    let before = files(&left);
    assert_eq!(compare_folders(&left, &right), (EXIT_OK, 0));
    assert_eq!(files(&left), before);
}

#[test]
fn a_replica_that_lacks_the_newest_writes_is_no_finding() {
    assert_eq!(
        compare_folders(&data_dir_with(&WRITES), &data_dir_with(&WRITES[..2])),
        (EXIT_OK, 1)
    );
}

#[test]
fn a_row_that_differs_in_common_writes_is_a_finding() {
    let other = [put(1, "a", "1"), put(2, "b", "other"), delete(3, "a")];
    assert_eq!(
        compare_folders(&data_dir_with(&WRITES), &data_dir_with(&other)),
        (EXIT_FINDINGS, 1)
    );
}

#[test]
fn a_row_that_one_replica_lacks_despite_common_writes_is_wrong() {
    let other = [put(1, "a", "1"), delete(3, "a")];
    let (left, right) = (data_dir_with(&WRITES), data_dir_with(&other));
    let [left, right] = [&left, &right]
        .map(|folder| Replica::open(folder.path()).expect("the replica can be opened"));
    let pair = compare(&left, &right);
    assert_eq!((pair.common_seq, pair.differences.len()), (3, 1));
    assert_eq!(
        (
            pair.differences[0].key.as_str(),
            pair.differences[0].right_seq
        ),
        ("b", None)
    );
    assert!(pair.differences[0].wrong);
}

#[rstest]
#[case::same(&[(1, 0)], 7, &[(1, 0)], 5, 5)]
#[case::left_has_an_earlier_successor(&[(1, 0), (3, 4)], 9, &[(1, 0)], 6, 4)]
#[case::two_successors(&[(1, 0), (3, 4)], 9, &[(1, 0), (4, 6)], 8, 4)]
#[case::later_view_shared(&[(3, 4)], 9, &[(1, 0), (3, 4)], 8, 8)]
#[case::nothing_shared(&[(3, 4)], 9, &[(1, 0)], 8, 0)]
fn common_writes_are_found_from_the_shared_views(
    #[case] left: &[(u64, u64)],
    #[case] left_end: u64,
    #[case] right: &[(u64, u64)],
    #[case] right_end: u64,
    #[case] common: u64,
) {
    let history = |views: &[(u64, u64)]| -> Vec<ViewStart> {
        views
            .iter()
            .map(|&(view, seq)| ViewStart {
                view: ViewNumber(view),
                seq,
            })
            .collect()
    };
    let (left, right) = (history(left), history(right));
    let left = WriteHistory {
        views: &left,
        last_seq: left_end,
    };
    let right = WriteHistory {
        views: &right,
        last_seq: right_end,
    };
    assert_eq!(common_seq(left, right), common);
}

#[test]
fn a_folder_without_a_database_is_bad_input() {
    let empty = TempDir::new().expect("a temporary folder can be created");
    let error = run(&[empty.path().to_owned()]).expect_err("the folder has no database");
    assert_eq!(ToolError::from(error).exit_code(), EXIT_INPUT);
    assert_eq!(
        std::fs::read_dir(empty.path())
            .expect("the folder can be listed")
            .count(),
        0
    );
}

#[test]
fn a_damaged_database_is_a_finding() {
    let damaged = TempDir::new().expect("a temporary folder can be created");
    std::fs::write(
        damaged.path().join("control.sqlite"),
        "no database at all".repeat(99),
    )
    .expect("the damaged file can be written");
    let error = run(&[damaged.path().to_owned()]).expect_err("the database is damaged");
    assert_eq!(ToolError::from(error).exit_code(), EXIT_FINDINGS);
}

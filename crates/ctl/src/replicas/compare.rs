//! Comparison of two replicas.

use super::history::common_seq;
use super::replica::Replica;
use indigofold_replication::Row;
use serde::Serialize;
use std::collections::BTreeSet;
use std::path::PathBuf;

/// How two replicas differ.
#[derive(Debug, Serialize)]
pub struct Comparison {
    /// Folder of the left replica.
    pub left: PathBuf,
    /// Folder of the right replica.
    pub right: PathBuf,
    /// Both have taken the same writes up to this sequence number.
    pub common_seq: u64,
    /// Rows that differ.
    pub differences: Vec<Difference>,
}

/// A row that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Its key.
    pub key: String,
    /// Sequence number of the left replica's row; none if it has no such row.
    pub left_seq: Option<u64>,
    /// The same of the right replica.
    pub right_seq: Option<u64>,
    /// Both replicas should agree on it: neither lacks the write that set it.
    pub wrong: bool,
}

impl Difference {
    /// As it is printed.
    pub fn sentence(&self) -> String {
        let side = |seq: Option<u64>| seq.map_or("no row".to_owned(), |seq| format!("write {seq}"));
        let (left, right) = (side(self.left_seq), side(self.right_seq));
        let verdict = if self.wrong { "WRONG" } else { "one is behind" };
        format!("{}: {left} against {right} ({verdict})", self.key)
    }
}

impl Comparison {
    /// What is wrong.
    pub fn findings(&self) -> Vec<String> {
        let wrong = self
            .differences
            .iter()
            .filter(|difference| difference.wrong);
        let (left, right) = (self.left.display(), self.right.display());
        wrong
            .map(|difference| format!("{left} and {right}: {}", difference.sentence()))
            .collect()
    }
}

/// Compares two replicas.
pub fn compare(left: &Replica, right: &Replica) -> Comparison {
    let common_seq = common_seq(left.write_history(), right.write_history());
    let trimmed = left.trimmed.max(right.trimmed);
    let dropped_later =
        |row: Option<&Row>, replica: &Replica| row.is_none() && replica.trimmed > common_seq;
    let keys: BTreeSet<&Vec<u8>> = left.rows.keys().chain(right.rows.keys()).collect();
    let differences = keys.into_iter().filter_map(|key| {
        let (left_row, right_row) = (left.rows.get(key), right.rows.get(key));
        let mut difference = difference(key, left_row, right_row, common_seq, trimmed)?;
        difference.wrong &= !dropped_later(left_row, left) && !dropped_later(right_row, right);
        Some(difference)
    });
    Comparison {
        left: left.folder.clone(),
        right: right.folder.clone(),
        common_seq,
        differences: differences.collect(),
    }
}

fn difference(
    key: &[u8],
    left: Option<&Row>,
    right: Option<&Row>,
    common_seq: u64,
    trimmed: u64,
) -> Option<Difference> {
    if left == right || (is_tombstone(left, trimmed) && is_tombstone(right, trimmed)) {
        return None;
    }
    let (left_seq, right_seq) = (left.map(|row| row.seq), right.map(|row| row.seq));
    let newest = left_seq.max(right_seq).unwrap_or(0);
    let key = String::from_utf8_lossy(key).into_owned();
    Some(Difference {
        key,
        left_seq,
        right_seq,
        wrong: newest <= common_seq,
    })
}

/// Whether this is the tombstone of a deleted row, or none where it may have been dropped.
fn is_tombstone(row: Option<&Row>, trimmed: u64) -> bool {
    row.is_none_or(|row| row.value.is_none() && row.seq <= trimmed)
}

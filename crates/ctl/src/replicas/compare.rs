//! Row-by-row comparison of two replicas.

use super::history::common_seq;
use super::replica::Replica;
use indigofold_replication::Row;
use serde::Serialize;
use std::collections::BTreeSet;
use std::path::PathBuf;

/// Result of the comparison of two replicas.
#[derive(Debug, Serialize)]
pub struct Comparison {
    /// Folder of the left replica.
    pub left: PathBuf,
    /// Folder of the right replica.
    pub right: PathBuf,
    /// Sequence number up to which both replicas have applied the same writes; 0 if they share none.
    pub common_seq: u64,
    /// Rows that differ, ordered by key.
    pub differences: Vec<Difference>,
}

/// A row that differs between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Key of the row; bytes that are not UTF-8 are replaced.
    pub key: String,
    /// Sequence number of the write that set the row in the left replica; `None` if that replica has no such row.
    pub left_seq: Option<u64>,
    /// Sequence number of the write that set the row in the right replica; `None` if that replica has no such row.
    pub right_seq: Option<u64>,
    /// The row must not differ, as both replicas have applied the write that set it last. False if one of them is
    /// merely behind.
    pub wrong: bool,
}

impl Difference {
    /// One line that describes the difference.
    pub fn sentence(&self) -> String {
        let side = |seq: Option<u64>| seq.map_or("no row".to_owned(), |seq| format!("write {seq}"));
        let (left, right) = (side(self.left_seq), side(self.right_seq));
        let verdict = if self.wrong { "WRONG" } else { "one is behind" };
        format!("{}: {left} against {right} ({verdict})", self.key)
    }
}

impl Comparison {
    /// A finding for each difference that is [`wrong`](Difference::wrong).
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

/// Compares the rows of two replicas.
///
/// A replica may have dropped the tombstones of deleted rows up to its `trimmed`. A missing row therefore equals an old
/// tombstone, and is not wrong if the tombstone may belong to a write after the common ones.
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

/// Whether the row is absent, or is a tombstone so old that another replica may have dropped it.
fn is_tombstone(row: Option<&Row>, trimmed: u64) -> bool {
    row.is_none_or(|row| row.value.is_none() && row.seq <= trimmed)
}

//! Two copies against each other.

use super::replica::Replica;
use indigofold_replication::{Row, ViewStart};
use serde::Serialize;
use std::collections::BTreeSet;
use std::path::PathBuf;

/// How two copies differ.
#[derive(Debug, Serialize)]
pub struct Comparison {
    /// Folder of the one.
    pub left: PathBuf,
    /// Folder of the other.
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
    /// Sequence number of the one's row; none if it has no such row.
    pub left_seq: Option<u64>,
    /// The same of the other's.
    pub right_seq: Option<u64>,
    /// Both copies should agree on it: neither lacks the write that set it.
    pub wrong: bool,
}

impl Difference {
    /// In words.
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

/// Compares two copies.
pub fn compare(left: &Replica, right: &Replica) -> Comparison {
    let common_seq = common_seq(
        (&left.history, left.stored_seq),
        (&right.history, right.stored_seq),
    );
    let trimmed = left.trimmed.max(right.trimmed);
    let dropped_later =
        |row: Option<&Row>, replica: &Replica| row.is_none() && replica.trimmed > common_seq;
    let keys: BTreeSet<&Vec<u8>> = left.rows.keys().chain(right.rows.keys()).collect();
    let differences = keys.into_iter().filter_map(|key| {
        let (ours, theirs) = (left.rows.get(key), right.rows.get(key));
        let mut found = difference(key, ours, theirs, common_seq, trimmed)?;
        found.wrong &= !dropped_later(ours, left) && !dropped_later(theirs, right);
        Some(found)
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
    if left == right || (is_trace(left, trimmed) && is_trace(right, trimmed)) {
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

/// Whether this is the trace of a deleted row, or none where it may have been dropped.
fn is_trace(row: Option<&Row>, trimmed: u64) -> bool {
    row.is_none_or(|row| row.value.is_none() && row.seq <= trimmed)
}

/// Up to which sequence number two copies have taken the same writes: each by its views and its last write. Views share
/// their writes up to where the first of two different successors took over.
pub fn common_seq(left: (&[ViewStart], u64), right: (&[ViewStart], u64)) -> u64 {
    let (left_history, left_end) = left;
    let (right_history, right_end) = right;
    let shared = left_history
        .iter()
        .rev()
        .find(|start| right_history.contains(start));
    let Some(shared) = shared else {
        return 0;
    };
    let end = |history: &[ViewStart], last: u64| {
        let next = history.iter().find(|start| start.view > shared.view);
        next.map_or(last, |next| next.seq.min(last))
    };
    end(left_history, left_end).min(end(right_history, right_end))
}

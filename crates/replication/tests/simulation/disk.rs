//! The synced contents of a member's disk.

use indigofold_replication::{MemberRecord, Row, RowsChunk, StoreOperation, StoreRequest};
use std::collections::BTreeMap;

/// A row on disk; without a value it is a tombstone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredRow {
    pub value: Option<Vec<u8>>,
    pub seq: u64,
}

/// Rows and record on disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    pub record: Option<MemberRecord>,
    pub rows: BTreeMap<Vec<u8>, StoredRow>,
}

impl Disk {
    /// Applies the changes of one store.
    pub(crate) fn apply(&mut self, request: &StoreRequest) {
        for operation in &request.operations {
            match operation {
                StoreOperation::Clear => self.rows.clear(),
                StoreOperation::Write(batch) => {
                    for change in &batch.changes {
                        self.put(&change.key, change.value.as_ref(), batch.seq);
                    }
                }
                StoreOperation::Put(rows) => {
                    for row in rows {
                        self.put(&row.key, row.value.as_ref(), row.seq);
                    }
                }
                StoreOperation::Trim(seq) => {
                    self.rows
                        .retain(|_, row| row.value.is_some() || row.seq > *seq);
                }
            }
        }
        self.record = Some(request.record.clone());
    }

    fn put(&mut self, key: &[u8], value: Option<&Vec<u8>>, seq: u64) {
        let row = StoredRow {
            value: value.cloned(),
            seq,
        };
        self.rows.insert(key.to_vec(), row);
    }

    /// Returns about `rows_max` rows that changed after `since`, in whole writes.
    pub(crate) fn rows_since(&self, since: u64, rows_max: usize) -> RowsChunk {
        let mut all: Vec<Row> = self
            .rows
            .iter()
            .filter(|(_, row)| row.seq > since)
            .map(|(key, row)| Row {
                key: key.clone(),
                value: row.value.clone(),
                seq: row.seq,
            })
            .collect();
        all.sort_by_key(|row| row.seq);
        let mut end = all.len().min(rows_max);
        while end > 0 && end < all.len() && all[end].seq == all[end - 1].seq {
            end += 1;
        }
        let more = end < all.len();
        all.truncate(end);
        let record = self.record.as_ref();
        RowsChunk {
            rows: all,
            more,
            viewstamp: record.map(|record| record.viewstamp).unwrap_or_default(),
            history: record
                .map(|record| record.history.clone())
                .unwrap_or_default(),
        }
    }

    /// Returns the value of a key; `None` if there is no row or it is deleted.
    pub(crate) fn value(&self, key: &[u8]) -> Option<&[u8]> {
        self.rows.get(key).and_then(|row| row.value.as_deref())
    }

    /// Returns all rows that are not deleted.
    pub(crate) fn table(&self) -> BTreeMap<&[u8], &[u8]> {
        let live = self
            .rows
            .iter()
            .filter_map(|(key, row)| Some((key.as_slice(), row.value.as_deref()?)));
        live.collect()
    }
}

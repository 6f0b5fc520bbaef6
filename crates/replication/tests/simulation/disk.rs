//! A member's disk: what has been synced.

use indigofold_replication::{Durable, Row, RowsChunk, StoreOperation, StoreRequest};
use std::collections::BTreeMap;

/// Rows and record as they are on disk.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub durable: Option<Durable>,
    pub rows: BTreeMap<Vec<u8>, (Option<Vec<u8>>, u64)>,
}

impl Disk {
    /// Makes the changes of one store.
    pub fn apply(&mut self, request: &StoreRequest) {
        for operation in &request.operations {
            match operation {
                StoreOperation::Clear => self.rows.clear(),
                StoreOperation::Write(batch) => {
                    for change in &batch.changes {
                        self.rows
                            .insert(change.key.clone(), (change.value.clone(), batch.seq));
                    }
                }
                StoreOperation::Put(rows) => {
                    for row in rows {
                        self.rows
                            .insert(row.key.clone(), (row.value.clone(), row.seq));
                    }
                }
                StoreOperation::Trim(seq) => {
                    self.rows
                        .retain(|_, (value, row_seq)| value.is_some() || *row_seq > *seq);
                }
            }
        }
        self.durable = Some(request.durable.clone());
    }

    /// Rows after `since`, a few at a time.
    pub fn rows_since(&self, since: u64, rows_max: usize) -> RowsChunk {
        let mut all: Vec<Row> = self
            .rows
            .iter()
            .filter(|(_, (_, seq))| *seq > since)
            .map(|(key, (value, seq))| Row {
                key: key.clone(),
                value: value.clone(),
                seq: *seq,
            })
            .collect();
        all.sort_by_key(|row| row.seq);
        let mut end = all.len().min(rows_max);
        while end > 0 && end < all.len() && all[end].seq == all[end - 1].seq {
            end += 1;
        }
        let more = end < all.len();
        all.truncate(end);
        let durable = self.durable.as_ref();
        RowsChunk {
            rows: all,
            more,
            viewstamp: durable.map(|d| d.viewstamp).unwrap_or_default(),
            history: durable.map(|d| d.history.clone()).unwrap_or_default(),
        }
    }

    /// The value of a key.
    pub fn value(&self, key: &[u8]) -> Option<&[u8]> {
        self.rows.get(key).and_then(|(value, _)| value.as_deref())
    }

    /// All rows that are not deleted.
    pub fn table(&self) -> BTreeMap<&[u8], &[u8]> {
        let live = self
            .rows
            .iter()
            .filter_map(|(key, (value, _))| Some((key.as_slice(), value.as_deref()?)));
        live.collect()
    }
}

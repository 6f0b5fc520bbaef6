//! The writes of a head: those that wait for the next batch, and the batches that are not committed yet.

use crate::timing::PENDING_BYTES_MAX;
use crate::types::{Batch, RowChange, SubmissionId, ViewNumber, Viewstamp};
use std::collections::VecDeque;
use std::sync::Arc;

/// A submitted write that waits for the next batch.
#[derive(Debug)]
struct Pending {
    write_id: SubmissionId,
    changes: Vec<RowChange>,
}

/// A batch that is not committed: not all members of the chain have stored it.
#[derive(Debug)]
pub(super) struct Outstanding {
    pub batch: Arc<Batch>,
    pub write_ids: Vec<SubmissionId>,
    /// When it was sent down the chain.
    pub sent_ms: u64,
}

/// Writes that were submitted but not committed when the leadership ended.
#[derive(Debug)]
pub(super) struct Unfinished {
    /// Writes sent down the chain; they may or may not be kept.
    pub unknown: Vec<SubmissionId>,
    /// Writes that were never sent.
    pub unsent: Vec<SubmissionId>,
}

/// The writes of a head, in the order in which they were submitted.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    pending: VecDeque<Pending>,
    pending_bytes: usize,
    outstanding: VecDeque<Outstanding>,
}

impl WriteQueue {
    /// Adds a write to the next batch; returns false if more than [`PENDING_BYTES_MAX`] would wait.
    pub(super) fn submit(&mut self, write_id: SubmissionId, changes: Vec<RowChange>) -> bool {
        let bytes: usize = changes.iter().map(change_bytes).sum();
        if self.pending_bytes + bytes > PENDING_BYTES_MAX {
            return false;
        }
        self.pending_bytes += bytes;
        self.pending.push_back(Pending { write_id, changes });
        true
    }

    /// Returns true if a write waits for the next batch.
    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns true if all submitted writes are committed.
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty() && self.outstanding.is_empty()
    }

    /// Makes a batch of all waiting writes and returns it.
    pub(super) fn next_batch(&mut self, seq: u64, now_ms: u64) -> Arc<Batch> {
        self.pending_bytes = 0;
        let (write_ids, changes): (Vec<SubmissionId>, Vec<Vec<RowChange>>) = self
            .pending
            .drain(..)
            .map(|pending| (pending.write_id, pending.changes))
            .unzip();
        let changes = changes.into_iter().flatten().collect();
        let batch = Arc::new(Batch { seq, changes });
        self.outstanding.push_back(Outstanding {
            batch: Arc::clone(&batch),
            write_ids,
            sent_ms: now_ms,
        });
        batch
    }

    /// Returns the oldest batch that is not committed.
    pub(super) fn oldest(&self) -> Option<&Outstanding> {
        self.outstanding.front()
    }

    /// Returns the oldest batch of the view `number` that a member with the state `viewstamp` has not stored.
    pub(super) fn oldest_missing(
        &self,
        viewstamp: Viewstamp,
        number: ViewNumber,
    ) -> Option<&Outstanding> {
        self.outstanding
            .iter()
            .find(|o| viewstamp.view != number || o.batch.seq > viewstamp.seq)
    }

    /// Returns the uncommitted batches with sequence numbers above `after_seq`.
    pub(super) fn batches_after(&self, after_seq: u64) -> Vec<Arc<Batch>> {
        let later_batches = self.outstanding.iter().filter(|o| o.batch.seq > after_seq);
        later_batches.map(|o| Arc::clone(&o.batch)).collect()
    }

    /// Removes the batches up to the sequence number `stored_seq` and returns their writes.
    pub(super) fn commit(&mut self, stored_seq: u64) -> Vec<SubmissionId> {
        let is_later = |o: &Outstanding| o.batch.seq > stored_seq;
        let count = self.outstanding.iter().position(is_later);
        let committed_batches = self
            .outstanding
            .drain(..count.unwrap_or(self.outstanding.len()));
        committed_batches.flat_map(|o| o.write_ids).collect()
    }

    /// Returns the writes that are not committed at the end of the leadership.
    pub(super) fn into_unfinished(self) -> Unfinished {
        let outstanding = self.outstanding.into_iter();
        Unfinished {
            unknown: outstanding.flat_map(|o| o.write_ids).collect(),
            unsent: self.pending.into_iter().map(|p| p.write_id).collect(),
        }
    }
}

fn change_bytes(change: &RowChange) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, Vec::len)
}

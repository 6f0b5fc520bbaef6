//! When tombstones of deleted rows may be dropped.
//!
//! A deleted row leaves a tombstone, so that a member that was away learns of the deletion from a transfer of later rows.
//! The schedule samples how far the table has come; a tombstone may go once it is [`TRIM_AFTER_MS`] old.

use crate::timing::{TRIM_AFTER_MS, TRIM_INTERVAL_MS};
use std::collections::VecDeque;

/// How far the table had come at an earlier time.
#[derive(Debug)]
struct Sample {
    at_ms: u64,
    seq: u64,
}

/// Samples of the table's sequence number, oldest first.
#[derive(Debug)]
pub(super) struct TrimSchedule {
    samples: VecDeque<Sample>,
    due_ms: u64,
}

impl TrimSchedule {
    /// The first sample is due one interval after the start.
    pub(super) fn new(now_ms: u64) -> TrimSchedule {
        TrimSchedule {
            samples: VecDeque::new(),
            due_ms: now_ms + TRIM_INTERVAL_MS,
        }
    }

    /// When [`TrimSchedule::run`] is due.
    pub(super) fn due_ms(&self) -> u64 {
        self.due_ms
    }

    /// Takes a sample when it is due; `seq` is the last write on disk. Returns the sequence number up to which tombstones
    /// may
    /// be dropped now.
    pub(super) fn run(&mut self, now_ms: u64, seq: u64) -> Option<u64> {
        if now_ms < self.due_ms {
            return None;
        }
        self.due_ms = now_ms + TRIM_INTERVAL_MS;
        self.samples.push_back(Sample { at_ms: now_ms, seq });
        let is_old = |sample: &&Sample| sample.at_ms + TRIM_AFTER_MS <= now_ms;
        let seq = self.samples.front().filter(is_old)?.seq;
        self.samples.pop_front();
        Some(seq)
    }
}

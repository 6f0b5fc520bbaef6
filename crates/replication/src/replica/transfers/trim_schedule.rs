//! Decides when tombstones of deleted rows may be dropped.
//!
//! A deleted row leaves a tombstone, so that a member that was away learns of the deletion from a transfer of later
//! rows. The schedule samples the sequence number on disk at intervals; a tombstone may be dropped once it is
//! [`TRIM_AFTER_MS`] old.

use crate::timing::{TRIM_AFTER_MS, TRIM_INTERVAL_MS};
use std::collections::VecDeque;

/// The sequence number on disk at an earlier time.
#[derive(Debug)]
struct Sample {
    sampled_ms: u64,
    seq: u64,
}

/// Samples of the sequence number on disk, oldest first.
#[derive(Debug)]
pub(super) struct TrimSchedule {
    samples: VecDeque<Sample>,
    due_ms: u64,
}

impl TrimSchedule {
    /// Creates a schedule whose first sample is due one interval after `now_ms`.
    pub(super) fn new(now_ms: u64) -> TrimSchedule {
        TrimSchedule {
            samples: VecDeque::new(),
            due_ms: now_ms + TRIM_INTERVAL_MS,
        }
    }

    /// Returns when [`TrimSchedule::run`] is due.
    pub(super) fn due_ms(&self) -> u64 {
        self.due_ms
    }

    /// Takes a sample when it is due; `seq` is the sequence number of the last write on disk. Returns the sequence
    /// number up to which tombstones may be dropped now, if any.
    pub(super) fn run(&mut self, now_ms: u64, seq: u64) -> Option<u64> {
        if now_ms < self.due_ms {
            return None;
        }
        self.due_ms = now_ms + TRIM_INTERVAL_MS;
        self.samples.push_back(Sample {
            sampled_ms: now_ms,
            seq,
        });
        let is_old = |sample: &&Sample| sample.sampled_ms + TRIM_AFTER_MS <= now_ms;
        let seq = self.samples.front().filter(is_old)?.seq;
        self.samples.pop_front();
        Some(seq)
    }
}

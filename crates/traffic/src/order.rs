//! Attempts in the order in which they were made, whatever order they were logged in, in bounded memory; and those whose
//! time is known to the second only spread inside it.

mod run_file;
mod sorter;
mod spread;

pub use sorter::{Sorted, Sorter};
pub use spread::{Spread, unit};

use crate::job::{Job, Micros};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// One request of a client: a first attempt or a retry, which of them is not known yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// The job, as if this were its first attempt.
    pub job: Job,
    /// How exactly its time is known: the true one lies in `[at, at + resolution)`.
    pub resolution: Micros,
    /// Its position in what was read.
    pub seq: u64,
    /// Its request id as a number; 0: none.
    pub id: u64,
    /// The client marked it as a retry.
    pub marked: bool,
    /// Index of the file that it was read from.
    pub file: u32,
}

/// What attempts are sorted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SortKey {
    /// When the attempt was made.
    at: Micros,
    /// Its position in what was read.
    seq: u64,
}

impl Attempt {
    fn sort_key(&self) -> SortKey {
        SortKey {
            at: self.job.at,
            seq: self.seq,
        }
    }
}

/// An attempt in a heap: ordered by run and key.
struct HeapEntry {
    /// Number of the run that it goes to.
    run: u32,
    key: SortKey,
    attempt: Box<Attempt>,
}

impl HeapEntry {
    fn new(run: u32, attempt: Attempt) -> Self {
        HeapEntry {
            run,
            key: attempt.sort_key(),
            attempt: Box::new(attempt),
        }
    }
}

impl PartialEq for HeapEntry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for HeapEntry {}

impl PartialOrd for HeapEntry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for HeapEntry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.run, self.key).cmp(&(other.run, other.key))
    }
}

//! Sorts attempts by the time at which they were made, in bounded memory, and spreads attempts with coarse timestamps over
//! the interval that their timestamp covers.

mod run_file;
mod sorter;
mod spread;

pub use sorter::{Sorted, Sorter};
pub use spread::{Spread, unit};

use crate::job::{Job, Micros};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// One request of a client, before folding decides whether it is a first attempt or a retry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// The job, as if this were its first attempt.
    pub job: Job,
    /// Resolution of its time: the true time lies in `[at, at + resolution)`.
    pub resolution: Micros,
    /// Position in the order of reading, over all files; orders attempts of equal time.
    pub seq: u64,
    /// Hash of the request id; 0: none.
    pub id: u64,
    /// Whether the client marked it as a retry.
    pub marked: bool,
    /// Index of the source file, in the order of reading.
    pub file: u32,
}

/// The key by which attempts are sorted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SortKey {
    /// When the attempt was made.
    at: Micros,
    /// [`Attempt::seq`].
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

/// An attempt in a heap, ordered by run, then by sort key.
struct HeapEntry {
    /// Number of the run that the attempt is written to.
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

//! Metrics: each event is counted once, where it happens, and counters are never reset.

use indigofold_decisions::api::ClassId;
use indigofold_decisions::dispatcher::WorkerCounts;
use std::cell::{Cell, RefCell};

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The job was done.
    Served,
    /// The job was rejected without effect; the client may retry.
    Refused,
    /// The job failed; it may have had an effect.
    Failed,
}

/// The metrics of one front since the program's start.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Counts of jobs by class and by [`End`].
    ends: RefCell<Vec<[u64; 3]>>,
    /// Jobs whose client left before there was an answer.
    pub clients_left: Cell<u64>,
    /// Jobs that are neither answered nor released and whose client has not left.
    pub open: Cell<u64>,
    /// Attempts that were sent completely.
    pub attempts_sent: Cell<u64>,
    /// The number of workers in the membership, and how many of them the module avoids.
    pub workers: Cell<WorkerCounts>,
    /// The numbers of configuration files applied and rejected at SIGHUP.
    pub config_files: Cell<(u64, u64)>,
}

impl Metrics {
    /// Counts a job of this class that has ended.
    pub fn count(&self, class: ClassId, end: End) {
        let (mut ends, n) = (self.ends.borrow_mut(), class as usize);
        if ends.len() <= n {
            ends.resize(n + 1, [0; 3]);
        }
        ends[n][end as usize] += 1;
    }

    /// The numbers of jobs of this class by their end: served, refused, failed.
    pub fn ends_of_class(&self, class: ClassId) -> [u64; 3] {
        self.ends
            .borrow()
            .get(class as usize)
            .copied()
            .unwrap_or_default()
    }

    /// The numbers of jobs of all classes by their end: served, refused, failed.
    pub fn total_ends(&self) -> [u64; 3] {
        self.ends
            .borrow()
            .iter()
            .fold([0; 3], |sum, ends| [0, 1, 2].map(|n| sum[n] + ends[n]))
    }
}

/// Adds `count` to a counter.
pub fn add(counter: &Cell<u64>, count: u64) {
    counter.set(counter.get() + count);
}

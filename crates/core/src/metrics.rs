//! Metrics: each event is counted once, where it happens, and no counter is reset.

use indigofold_decisions::api::ClassId;
use indigofold_decisions::dispatcher::WorkerCounts;
use std::cell::{Cell, RefCell};

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Done.
    Served,
    /// Refused: trying again is harmless.
    Refused,
    /// Failed.
    Failed,
}

/// The metrics of one front since the program's start.
#[derive(Debug, Default)]
pub struct Metrics {
    ends: RefCell<Vec<[u64; 3]>>,
    /// Jobs whose client left before there was an answer.
    pub clients_left: Cell<u64>,
    /// Jobs taken and not ended.
    pub open: Cell<u64>,
    /// Attempts whose last byte was sent.
    pub attempts_sent: Cell<u64>,
    /// Workers of the membership list, and those of them that the module avoids.
    pub workers: Cell<WorkerCounts>,
    /// Configuration files applied, and rejected, at SIGHUP.
    pub config_files: Cell<(u64, u64)>,
}

impl Metrics {
    /// A job of this class has ended.
    pub fn count(&self, class: ClassId, end: End) {
        let (mut ends, n) = (self.ends.borrow_mut(), class as usize);
        if ends.len() <= n {
            ends.resize(n + 1, [0; 3]);
        }
        ends[n][end as usize] += 1;
    }

    /// The jobs of this class by their end: served, refused, failed.
    pub fn of(&self, class: ClassId) -> [u64; 3] {
        self.ends
            .borrow()
            .get(class as usize)
            .copied()
            .unwrap_or_default()
    }

    /// The jobs of all classes by their end.
    pub fn all(&self) -> [u64; 3] {
        self.ends
            .borrow()
            .iter()
            .fold([0; 3], |sum, ends| [0, 1, 2].map(|n| sum[n] + ends[n]))
    }
}

/// Adds to a counter.
pub fn add(counter: &Cell<u64>, count: u64) {
    counter.set(counter.get() + count);
}

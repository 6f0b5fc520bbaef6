//! The load on workers that are warming up, in a sliding window over all schedulers.

use crate::scenario::{Micros, Scenario};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};

/// An attempt that was sent to a worker.
struct Sent {
    at: Micros,
    /// Running time at speed 1 times slots, in microseconds.
    work: f64,
    /// Equal to `work` if the sending scheduler knew of the worker's restart, otherwise 0.
    informed_work: f64,
}

/// A worker that is warming up.
#[derive(Default)]
struct WarmingWorker {
    /// Work that the worker does per microsecond.
    capacity: f64,
    /// Attempts sent within the window, oldest first.
    sent: VecDeque<Sent>,
    /// Sum of `work` over `sent`.
    work: f64,
    /// Sum of `informed_work` over `sent`.
    informed_work: f64,
    /// Schedulers that know of the worker's restart.
    informed_schedulers: BTreeSet<u32>,
}

impl WarmingWorker {
    fn record(&mut self, sent: Sent, window: Micros) {
        let now = sent.at;
        self.work += sent.work;
        self.informed_work += sent.informed_work;
        self.sent.push_back(sent);
        while let Some(oldest) = self.sent.front()
            && oldest.at + window < now
        {
            self.work -= oldest.work;
            self.informed_work -= oldest.informed_work;
            self.sent.pop_front();
        }
    }
}

/// The load on a worker after an attempt was sent to it.
pub(super) struct WarmUpVerdict {
    /// Work in the window, in multiples of what the worker can do in that time.
    pub(super) multiple: f64,
    /// Whether the load breaks the rule.
    pub(super) overloaded: bool,
}

/// All workers that are warming up.
pub(super) struct WarmUpLoad {
    window: Micros,
    /// Multiple of a worker's capacity that the rule allows within the window.
    allowed_multiple: f64,
    /// Mean work of a job, in microseconds at speed 1 times slots.
    mean_work: f64,
    workers: FxHashMap<u32, WarmingWorker>,
}

impl WarmUpLoad {
    pub(super) fn new(scenario: &Scenario) -> Self {
        WarmUpLoad {
            window: scenario.rules.tip_window_ms * 1000,
            allowed_multiple: scenario.rules.tip_multiple,
            mean_work: scenario.mean_total_work().max(1.0),
            workers: FxHashMap::default(),
        }
    }

    /// Sets the capacity of a worker that is warming up, in work per microsecond.
    pub(super) fn set_capacity(&mut self, worker: u32, capacity: f64) {
        self.workers.entry(worker).or_default().capacity = capacity;
    }

    /// Records that a scheduler knows of a worker's restart. Ignored if the worker is not warming up.
    pub(super) fn add_informed_scheduler(&mut self, worker: u32, scheduler: u32) {
        if let Some(warming) = self.workers.get_mut(&worker) {
            warming.informed_schedulers.insert(scheduler);
        }
    }

    /// Removes a worker that is warm or has ended.
    pub(super) fn remove(&mut self, worker: u32) {
        self.workers.remove(&worker);
    }

    /// Records an attempt and returns the resulting load, or `None` if the worker is not warming up.
    ///
    /// Let N be the number of jobs of mean work that the rule allows in the window. The worker is overloaded if the work in
    /// the window exceeds N + 3 * sqrt(N) + 3 such jobs and more than two thirds of it came from schedulers that knew of the
    /// restart.
    pub(super) fn record_send(
        &mut self,
        scheduler: u32,
        worker: u32,
        at: Micros,
        work: Micros,
    ) -> Option<WarmUpVerdict> {
        let warming = self.workers.get_mut(&worker)?;
        let work = work as f64;
        let informed = warming.informed_schedulers.contains(&scheduler);
        let informed_work = if informed { work } else { 0.0 };
        let sent = Sent {
            at,
            work,
            informed_work,
        };
        warming.record(sent, self.window);
        let possible = warming.capacity * self.window as f64;
        let allowed_jobs =
            self.allowed_multiple * warming.capacity * self.window as f64 / self.mean_work;
        let limit = (allowed_jobs + 3.0 * allowed_jobs.sqrt() + 3.0) * self.mean_work;
        Some(WarmUpVerdict {
            multiple: warming.work / possible.max(1e-9),
            overloaded: warming.work > limit && 3.0 * warming.informed_work > 2.0 * warming.work,
        })
    }
}

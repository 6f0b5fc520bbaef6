//! The load on workers that are warming up, in a sliding window over all schedulers.

use crate::scenario::{Micros, Scenario};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};

/// One attempt that was sent to a worker.
struct Sent {
    at: Micros,
    work: f64,
    /// The part of `work` that came from a scheduler that knew of the start: all or nothing.
    informed_work: f64,
}

/// A worker that is warming up.
#[derive(Default)]
struct WarmingWorker {
    /// Work that it does in a microsecond.
    capacity: f64,
    /// What was sent in the window, and its sums.
    sent: VecDeque<Sent>,
    work: f64,
    informed_work: f64,
    /// Schedulers that know of its start.
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

/// What a send makes of the load on a worker.
pub(super) struct WarmUpVerdict {
    /// Work in the window, in multiples of what the worker can do in it.
    pub(super) multiple: f64,
    /// The rule is broken.
    pub(super) overloaded: bool,
}

/// All workers that are warming up.
pub(super) struct WarmUpLoad {
    window: Micros,
    /// The rule allows so many times what a worker can do in the window.
    allowed_multiple: f64,
    /// Mean work of a job.
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

    /// A worker is warming up, and does so much work in a microsecond.
    pub(super) fn set_capacity(&mut self, worker: u32, capacity: f64) {
        self.workers.entry(worker).or_default().capacity = capacity;
    }

    /// A scheduler knows of the start of a worker.
    pub(super) fn add_informed_scheduler(&mut self, worker: u32, scheduler: u32) {
        if let Some(warming) = self.workers.get_mut(&worker) {
            warming.informed_schedulers.insert(scheduler);
        }
    }

    /// A worker is warm.
    pub(super) fn remove(&mut self, worker: u32) {
        self.workers.remove(&worker);
    }

    /// Records an attempt; `None` where the worker is not warming up.
    ///
    /// A worker is overloaded at N + 3 roots of N + 3 jobs of mean work in the window, N being what the rule allows it
    /// then, if over two thirds of that came from schedulers that knew of the start.
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

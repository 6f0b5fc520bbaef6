//! Headroom: while small urgent tasks keep coming, work of lower priority that has time leaves a part of the service's
//! processors free, so that the urgent start without waiting for stops.

use crate::queue::QueueKey;
use crate::scheduler::Scheduler;
use crate::workers::Worker;

/// Part of the service's processors that is left free.
const HEADROOM_FRACTION: f64 = 0.10;
/// Urgent tasks have come within this time.
const RECENT_MS: u64 = 10_000;
/// A task that takes at most this part of the largest worker is small.
const SMALL_DIVISOR: u64 = 16;
/// Work that need not start sooner than this leaves headroom.
const TIME_LEFT_MS: i64 = 1_500;

impl Scheduler {
    /// Notes whether small tasks wait, and their priority.
    pub(crate) fn observe_urgent(&mut self, service: &str, keys: &[QueueKey]) {
        let Some(first) = keys.iter().find(|key| !key.hopeless) else {
            return;
        };
        let Some(step) = self
            .jobs
            .get(&first.at.job)
            .and_then(|job| job.step(first.at.step))
        else {
            return;
        };
        let small = step.cpu * SMALL_DIVISOR <= self.largest_capacity(service)
            && !step.gang
            && !step.long_running;
        let now_ms = self.now_ms;
        let state = self.service(service);
        let known = state
            .urgent
            .filter(|(_, observed_ms)| now_ms < observed_ms + RECENT_MS);
        if small && known.is_none_or(|(priority, _)| first.priority <= priority) {
            state.urgent = Some((first.priority, now_ms));
        }
    }

    /// Whether the step has to leave headroom: it is less urgent, and has time.
    pub(crate) fn must_leave_headroom(&self, service: &str, key: QueueKey) -> bool {
        let Some((priority, observed_ms)) =
            self.services.get(service).and_then(|state| state.urgent)
        else {
            return false;
        };
        let recent = self.now_ms < observed_ms + RECENT_MS;
        recent
            && key.priority > priority
            && (key.hopeless || key.latest_start_ms > self.now_ms as i64 + TIME_LEFT_MS)
    }

    /// Processors, in thousandths of a core, that are free beyond the headroom.
    pub(crate) fn beyond_headroom(&self, service: &str) -> f64 {
        let Some(state) = self.services.get(service) else {
            return 0.0;
        };
        let workers = state.kinds.workers().filter_map(|id| self.workers.get(id));
        let beyond = |worker: &Worker| {
            worker.free().cpu as f64 - HEADROOM_FRACTION * worker.capacity.cpu as f64
        };
        workers
            .filter(|worker| worker.accepts_starts(self.now_ms))
            .map(beyond)
            .sum()
    }

    fn largest_capacity(&self, service: &str) -> u64 {
        let Some(state) = self.services.get(service) else {
            return 0;
        };
        let capacities = state
            .kinds
            .workers()
            .filter_map(|id| self.workers.get(id))
            .map(|w| w.capacity.cpu);
        capacities.max().unwrap_or(0)
    }
}

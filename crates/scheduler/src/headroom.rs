//! Headroom: while small urgent tasks keep coming, work of lower priority that has time leaves a fraction of the
//! service's processors free, so that urgent tasks start without waiting for stops.

use crate::cluster_view::ClusterView;
use crate::queue::QueueKey;
use crate::services::ServiceState;
use crate::worker::Worker;

/// Fraction of the service's processors that is left free.
const HEADROOM_FRACTION: f64 = 0.10;
/// A task is small if it takes at most the largest worker's processors divided by this.
const SMALL_DIVISOR: u64 = 16;
/// Work that need not start sooner than this leaves headroom.
const TIME_LEFT_MS: i64 = 1_500;

impl ClusterView<'_> {
    /// Priority of the first step in the queue, if its tasks are small and urgent ones need headroom.
    pub(crate) fn small_task_priority(
        &self,
        service: &ServiceState,
        keys: &[QueueKey],
    ) -> Option<u32> {
        let first = keys.iter().find(|key| !key.hopeless)?;
        let step = self.jobs.step(first.at)?;
        let small = step.cpu * SMALL_DIVISOR <= self.largest_capacity(service)
            && !step.gang
            && !step.long_running;
        small.then_some(first.priority)
    }

    /// Whether the step has to leave headroom: it is less urgent than recent small tasks, and has time.
    pub(crate) fn must_leave_headroom(&self, service: &ServiceState, key: QueueKey) -> bool {
        let Some(urgent_priority) = service.recent().urgent_priority(self.now_ms) else {
            return false;
        };
        key.priority > urgent_priority
            && (key.hopeless || key.latest_start_ms > self.now_ms as i64 + TIME_LEFT_MS)
    }

    /// Processors, in thousandths of a core, that are free beyond the headroom.
    pub(crate) fn free_beyond_headroom(&self, service: &ServiceState) -> f64 {
        let beyond = |worker: &Worker| {
            worker.free().cpu as f64 - HEADROOM_FRACTION * worker.capacity().cpu as f64
        };
        self.workers_of(service)
            .filter(|worker| worker.accepts_starts(self.now_ms))
            .map(beyond)
            .sum()
    }

    /// Processors of the service's largest worker, in thousandths of a core.
    fn largest_capacity(&self, service: &ServiceState) -> u64 {
        let capacities = self.workers_of(service).map(|worker| worker.capacity().cpu);
        capacities.max().unwrap_or(0)
    }
}

//! Headroom: while small urgent tasks keep coming, steps of lower priority that need not start soon leave a fraction of
//! the service's CPU capacity free, so that urgent tasks start without waiting for preempted runs to stop.

use crate::cluster_view::ClusterView;
use crate::queue::QueueKey;
use crate::services::ServiceState;
use crate::worker::Worker;

/// Fraction of the service's CPU capacity that is left free.
const HEADROOM_FRACTION: f64 = 0.10;
/// A task is small if it takes at most the CPU capacity of the service's largest worker divided by this.
const SMALL_DIVISOR: u64 = 16;
/// A step whose latest start is further ahead than this leaves headroom.
const TIME_LEFT_MS: i64 = 1_500;

impl ClusterView<'_> {
    /// Priority of the first step in the queue that is not hopeless; `None` if its tasks are not small, form a gang or
    /// are long-running.
    pub(crate) fn small_task_priority(
        &self,
        service: &ServiceState,
        keys: &[QueueKey],
    ) -> Option<u32> {
        let first_key = keys.iter().find(|key| !key.hopeless)?;
        let step = self.jobs.step(first_key.step_ref)?;
        let is_small = step.cpu * SMALL_DIVISOR <= self.largest_capacity(service)
            && !step.gang
            && !step.long_running;
        is_small.then_some(first_key.priority)
    }

    /// Whether the step has to leave headroom: recent small tasks have a higher priority, and the step is hopeless or
    /// need not start soon.
    pub(crate) fn must_leave_headroom(&self, service: &ServiceState, key: QueueKey) -> bool {
        let Some(urgent_priority) = service.recent().urgent_priority(self.now_ms) else {
            return false;
        };
        key.priority > urgent_priority
            && (key.hopeless || key.latest_start_ms > self.now_ms as i64 + TIME_LEFT_MS)
    }

    /// CPU capacity that is free beyond the headroom, in thousandths of a core; negative if the headroom is partly
    /// used.
    pub(crate) fn free_beyond_headroom(&self, service: &ServiceState) -> f64 {
        let free_cpu_beyond = |worker: &Worker| {
            worker.free().cpu as f64 - HEADROOM_FRACTION * worker.capacity().cpu as f64
        };
        self.workers_of(service)
            .filter(|worker| worker.accepts_starts(self.now_ms))
            .map(free_cpu_beyond)
            .sum()
    }

    /// CPU capacity of the service's largest worker, in thousandths of a core; 0 if there is no worker.
    fn largest_capacity(&self, service: &ServiceState) -> u64 {
        let capacities = self.workers_of(service).map(|worker| worker.capacity().cpu);
        capacities.max().unwrap_or(0)
    }
}

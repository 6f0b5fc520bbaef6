//! Backlog of a service, and the time after which a client whose job was rejected should retry.

use crate::cluster_view::ClusterView;
use crate::services::ServiceState;
use indigofold_protocol::job::{Resources, Step};

/// A rejected client should retry after the time to work off the backlog divided by this.
const RETRY_DIVISOR: u64 = 10;
/// Minimum time until the retry.
const RETRY_MIN_MS: u64 = 500;
/// Maximum time until the retry.
const RETRY_MAX_MS: u64 = 15_000;

/// Time after which a client whose job was rejected should retry, in milliseconds.
pub(crate) fn retry_after_ms(backlog_ms: u64) -> u64 {
    (backlog_ms / RETRY_DIVISOR).clamp(RETRY_MIN_MS, RETRY_MAX_MS)
}

impl ClusterView<'_> {
    /// Estimated time for the service's responsive workers to run all tasks that wait in its queue, in milliseconds.
    pub(crate) fn backlog_ms(&self, service: &ServiceState) -> u64 {
        let capacity = self
            .workers_of(service)
            .filter(|worker| worker.is_responsive(self.now_ms))
            .fold(Resources::default(), |sum, worker| {
                sum.plus(&worker.capacity())
            });
        let steps = service.queue().iter().filter_map(|key| {
            let job = self.jobs.get(&key.step_ref.job)?;
            let step = job.step(key.step_ref.step)?;
            let waiting_tasks = job.step_state(key.step_ref)?.waiting().len();
            let class = job.class(key.step_ref.step);
            let run_ms = service
                .kinds()
                .expected_at_mean_speed_ms(&class, step.estimate_ms);
            Some(waiting_tasks as f64 * run_ms * fraction_of_service(step, &capacity))
        });
        steps.sum::<f64>() as u64
    }
}

/// Dominant share of the service's capacity that one task takes. A resource of which there is none counts as one unit.
fn fraction_of_service(step: &Step, capacity: &Resources) -> f64 {
    let fraction = |task_amount: u64, total_amount: u64| {
        if task_amount > 0 {
            task_amount as f64 / total_amount.max(1) as f64
        } else {
            0.0
        }
    };
    fraction(step.cpu, capacity.cpu)
        .max(fraction(step.mem_mb, capacity.mem_mb))
        .max(fraction(step.gpu, capacity.gpu))
}

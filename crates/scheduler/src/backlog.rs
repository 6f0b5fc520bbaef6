//! How much work waits for a service: what clients are told when they are refused.

use crate::scheduler::Scheduler;
use indigofold_protocol::job::{Resources, Step};

/// The backlog is worked out anew after this time.
const BACKLOG_CACHE_MS: u64 = 250;
/// A client that was refused is to come back once this part of the backlog is done.
const RETRY_DIVISOR: u64 = 10;
/// Bounds on the time after which it comes back.
const RETRY_MS: (u64, u64) = (500, 15_000);

impl Scheduler {
    /// When a client is to come back whose job was refused.
    pub(crate) fn retry_after_ms(&mut self, service: &str) -> u64 {
        let (least_ms, most_ms) = RETRY_MS;
        (self.backlog_ms(service) / RETRY_DIVISOR).clamp(least_ms, most_ms)
    }

    /// How long the service's workers will take for all that waits in its queue.
    fn backlog_ms(&mut self, service: &str) -> u64 {
        let now_ms = self.now_ms;
        let Some(state) = self.services.get(service) else {
            return 0;
        };
        if let Some((ms, _)) = state
            .backlog
            .filter(|(_, at_ms)| now_ms < at_ms + BACKLOG_CACHE_MS)
        {
            return ms;
        }
        let workers = state.kinds.workers().filter_map(|id| self.workers.get(id));
        let capacity = workers
            .filter(|worker| worker.is_responsive(now_ms))
            .fold(Resources::default(), |sum, worker| {
                sum.plus(&worker.capacity)
            });
        let steps = state.queue.iter().filter_map(|key| {
            let job = self.jobs.get(&key.at.job)?;
            let (step, waiting) = (
                job.step(key.at.step)?,
                job.step_state(key.at)?.waiting.len(),
            );
            let class = (job.definition.route.clone(), key.at.step);
            let run_ms = state
                .kinds
                .expected_at_mean_speed_ms(&class, step.estimate_ms);
            Some(waiting as f64 * run_ms * share(step, &capacity))
        });
        let ms = steps.sum::<f64>() as u64;
        self.service(service).backlog = Some((ms, now_ms));
        ms
    }
}

/// Part of the whole service that one task takes, by the resource of which it takes most.
fn share(step: &Step, capacity: &Resources) -> f64 {
    let fraction = |taken: u64, all: u64| {
        if taken > 0 {
            taken as f64 / all.max(1) as f64
        } else {
            0.0
        }
    };
    fraction(step.cpu, capacity.cpu)
        .max(fraction(step.mem_mb, capacity.mem_mb))
        .max(fraction(step.gpu, capacity.gpu))
}

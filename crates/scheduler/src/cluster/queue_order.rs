//! Updates of the queue positions of waiting steps, which change as time passes.

use crate::cluster::Cluster;
use crate::queue::QueueKey;

/// Maximum number of steps at the head of each queue that are repositioned in one call.
const REPOSITIONED_MAX: usize = 2_000;

impl Cluster {
    /// Recomputes the keys of the first steps of all queues and moves the steps accordingly.
    pub(crate) fn reorder_queues(&mut self) {
        let now_ms = self.clock.now_ms();
        for service in self.services.iter_mut() {
            let steps = service.queue().iter().take(REPOSITIONED_MAX);
            let keys = steps.filter_map(|key| {
                Some(
                    self.jobs
                        .get(&key.step_ref.job)?
                        .queue_key(key.step_ref, now_ms),
                )
            });
            let keys: Vec<QueueKey> = keys.collect();
            for key in keys {
                if let Some(former_key) = self.jobs.reposition(key) {
                    service.reposition(&former_key, key);
                }
            }
        }
    }
}

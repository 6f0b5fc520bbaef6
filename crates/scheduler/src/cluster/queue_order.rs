//! Keeps the positions of waiting steps in the queues up to date.

use crate::cluster::Cluster;
use crate::queue::QueueKey;

/// Most steps of one queue that are repositioned at a time.
const REPOSITIONED_MAX: usize = 2_000;

impl Cluster {
    /// Repositions the steps of all queues by their present keys.
    pub(crate) fn reorder_queues(&mut self) {
        let now_ms = self.clock.now_ms();
        for service in self.services.iter_mut() {
            let steps = service.queue().iter().take(REPOSITIONED_MAX);
            let keys =
                steps.filter_map(|key| Some(self.jobs.get(&key.at.job)?.queue_key(key.at, now_ms)));
            let keys: Vec<QueueKey> = keys.collect();
            for key in keys {
                if let Some(before) = self.jobs.reposition(key) {
                    service.reposition(&before, key);
                }
            }
        }
    }
}

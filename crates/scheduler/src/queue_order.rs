//! Keeps the order of admission up to date: values of jobs, and positions of waiting steps.

use crate::queue::QueueKey;
use crate::state::ClusterState;
use indigofold_protocol::task::JobId;

/// Most steps of one queue that are repositioned at a time.
const REPOSITIONED_MAX: usize = 2_000;

impl ClusterState {
    /// Works out the value of a job in relation to the others of its queue.
    pub(crate) fn update_value(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (work, route) = (job.work(), job.definition.route.clone());
        let value = self.queue_values.value(&route, work);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.value = value;
        }
    }

    /// Repositions the steps of all queues by their present keys.
    pub(crate) fn reorder_queues(&mut self) {
        let now_ms = self.now_ms;
        for name in self.services.names_where(|_| true) {
            let Some(service) = self.services.get(&name) else {
                continue;
            };
            let steps = service.queue().iter().take(REPOSITIONED_MAX);
            let keys =
                steps.filter_map(|key| Some(self.jobs.get(&key.at.job)?.queue_key(key.at, now_ms)));
            let keys: Vec<QueueKey> = keys.collect();
            keys.into_iter()
                .for_each(|key| self.update_queue_key(&name, key));
        }
    }

    fn update_queue_key(&mut self, service: &str, key: QueueKey) {
        let Some(job) = self.jobs.get_mut(&key.at.job) else {
            return;
        };
        let Some(state) = job.step_state_mut(key.at) else {
            return;
        };
        let Some(before) = state.queued.replace(key).filter(|before| *before != key) else {
            return;
        };
        self.services.entry(service).reposition(&before, key);
    }
}

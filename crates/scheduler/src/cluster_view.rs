//! A read-only view of the cluster, on which decisions are based.

use crate::api::Bounds;
use crate::jobs::{Jobs, Run};
use crate::services::{ServiceState, Services};
use crate::worker::{Worker, WorkerId};
use crate::workers::Workers;
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::TaskName;

/// The state of the cluster at the time of the current event.
#[derive(Clone, Copy)]
pub(crate) struct ClusterView<'a> {
    /// Time of the current event on the monotonic clock.
    pub now_ms: u64,
    /// Limits from the settings.
    pub bounds: &'a Bounds,
    /// All open jobs, and ended ones whose state clients may still query.
    pub jobs: &'a Jobs,
    /// All worker instances and connections of node agents.
    pub workers: &'a Workers,
    /// All services, with their queues and kinds of workers.
    pub services: &'a Services,
}

impl<'a> ClusterView<'a> {
    /// The outstanding run of the task on this worker.
    pub(crate) fn run_at(&self, worker: WorkerId, task: &TaskName) -> Option<&'a Run> {
        self.jobs.get(&task.job)?.task(task)?.run_at(worker)
    }

    /// The resources that a task takes; none if the task is unknown.
    pub(crate) fn resources(&self, task: TaskName) -> Resources {
        let step = self.jobs.get(&task.job).and_then(|job| job.step(task.step));
        step.map(indigofold_protocol::job::Step::resources)
            .unwrap_or_default()
    }

    /// The workers that are grouped into the kinds of a service.
    pub(crate) fn workers_of(&self, service: &'a ServiceState) -> impl Iterator<Item = &'a Worker> {
        let workers = self.workers;
        service.kinds().workers().filter_map(|id| workers.get(id))
    }
}

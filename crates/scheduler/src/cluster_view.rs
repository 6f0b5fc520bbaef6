//! A read-only view of the parts on which decisions are based.

use crate::api::Bounds;
use crate::jobs::{Jobs, Run};
use crate::services::{ServiceState, Services};
use crate::worker::{Worker, WorkerId};
use crate::workers::Workers;
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::TaskName;

/// The state at the time of the present event.
#[derive(Clone, Copy)]
pub(crate) struct ClusterView<'a> {
    /// Time of the present event on the steady clock.
    pub now_ms: u64,
    /// Limits from the settings.
    pub bounds: &'a Bounds,
    /// All jobs.
    pub jobs: &'a Jobs,
    /// All worker instances.
    pub workers: &'a Workers,
    /// All services.
    pub services: &'a Services,
}

impl<'a> ClusterView<'a> {
    /// The task's run on this worker.
    pub(crate) fn run_at(&self, worker: WorkerId, task: &TaskName) -> Option<&'a Run> {
        self.jobs.get(&task.job)?.task(task)?.run_at(worker)
    }

    /// What a task takes.
    pub(crate) fn resources(&self, task: TaskName) -> Resources {
        let step = self.jobs.get(&task.job).and_then(|job| job.step(task.step));
        step.map(indigofold_protocol::job::Step::resources)
            .unwrap_or_default()
    }

    /// The workers of a service.
    pub(crate) fn workers_of(&self, service: &'a ServiceState) -> impl Iterator<Item = &'a Worker> {
        let workers = self.workers;
        service.kinds().workers().filter_map(|id| workers.get(id))
    }
}

//! Free capacity of the workers that node agents report, and the reason why tasks of a step wait.

use super::rows::StepRow;
use indigofold_protocol::inspection::{ServiceStatus, WaitReason};
use indigofold_protocol::internal::InstanceReport;
use indigofold_protocol::job::{Resources, Step};
use indigofold_protocol::worker::WorkerState;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// The parts of a node agent's report about its worker that seldom change.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerProfile {
    /// ID of the worker's instance.
    pub instance: String,
    /// Service that the worker belongs to.
    pub backend: String,
    /// Whether the worker takes new work or drains.
    pub state: WorkerState,
    /// Total capacity of the worker, whether used or free.
    pub capacity: Resources,
    /// Labels that steps can require.
    pub labels: Vec<String>,
}

impl WorkerProfile {
    /// Whether a report has the same values as this profile.
    pub fn matches_report(&self, report: &InstanceReport) -> bool {
        self.instance == report.id
            && self.state == report.state
            && self.capacity == report.capacity
            && self.backend == report.backend
            && self.labels == report.labels
    }

    fn is_ready_for(&self, service: &str) -> bool {
        self.backend == service && self.state == WorkerState::Ready
    }

    /// Whether a task of the step would fit if nothing else ran on this worker.
    fn fits(&self, step: &Step) -> bool {
        let has_label = step.requirements.is_empty() || self.labels.contains(&step.requirements);
        has_label && self.capacity.can_fit(&step.resources())
    }
}

impl From<&InstanceReport> for WorkerProfile {
    fn from(report: &InstanceReport) -> Self {
        WorkerProfile {
            instance: report.id.clone(),
            backend: report.backend.clone(),
            state: report.state,
            capacity: report.capacity,
            labels: report.labels.clone(),
        }
    }
}

/// The workers, and the resources in use on them.
pub struct ClusterCapacity<'a> {
    /// Workers whose node agents are connected.
    pub workers: Vec<&'a WorkerProfile>,
    /// Resources that outstanding runs use, by instance.
    pub used: &'a FxHashMap<String, Resources>,
}

impl ClusterCapacity<'_> {
    /// Returns the number of ready and of draining workers of each service, in the order of the services' names.
    pub fn services(&self) -> Vec<ServiceStatus> {
        let mut services: BTreeMap<&str, ServiceStatus> = BTreeMap::new();
        for worker in &self.workers {
            let status = services.entry(&worker.backend).or_default();
            status.service.clone_from(&worker.backend);
            match worker.state {
                WorkerState::Ready => status.ready += 1,
                WorkerState::Draining => status.draining += 1,
            }
        }
        services.into_values().collect()
    }

    /// Returns why tasks of a step wait, as far as the capacity tells. The step must have no unfinished dependencies.
    /// `instances` is the list that the runs in `row` index.
    pub fn wait(
        &self,
        service: &str,
        step: &Step,
        row: &StepRow,
        instances: &[String],
    ) -> WaitReason {
        let ready = self
            .workers
            .iter()
            .filter(|worker| worker.is_ready_for(service));
        let ready: Vec<&WorkerProfile> = ready.copied().collect();
        if ready.is_empty() {
            return WaitReason::NoWorkers;
        }
        let fitting: Vec<&WorkerProfile> = ready
            .into_iter()
            .filter(|worker| worker.fits(step))
            .collect();
        if fitting.is_empty() {
            return WaitReason::NoWorkerFits;
        }
        let needed = if step.gang { u64::from(step.count) } else { 1 };
        let slots = |worker: &&WorkerProfile| self.free_slots(worker, step, row, instances);
        match fitting.iter().map(slots).sum() {
            slots if slots < needed => WaitReason::InsufficientCapacity {
                fitting_tasks: slots,
                needed,
            },
            slots => WaitReason::Deferred {
                fitting_tasks: slots,
            },
        }
    }

    /// Returns how many more tasks of the step fit on a worker: limited by the free resources and, if it is set, by the limit of
    /// tasks per worker (`anti_affinity`).
    fn free_slots(
        &self,
        worker: &WorkerProfile,
        step: &Step,
        row: &StepRow,
        instances: &[String],
    ) -> u64 {
        let used = self.used.get(&worker.instance).copied().unwrap_or_default();
        let (free, task) = (worker.capacity.minus(&used), step.resources());
        let amounts = [
            (free.cpu, task.cpu),
            (free.mem_mb, task.mem_mb),
            (free.gpu, task.gpu),
        ];
        let by_resources = amounts
            .into_iter()
            .filter_map(|(free, each)| free.checked_div(each))
            .min();
        let by_resources = by_resources.unwrap_or(u64::from(step.count));
        if step.anti_affinity == 0 {
            return by_resources;
        }
        let on_worker = row
            .runs()
            .filter(|run| instances.get(run.instance as usize) == Some(&worker.instance))
            .count() as u64;
        by_resources.min(u64::from(step.anti_affinity).saturating_sub(on_worker))
    }
}

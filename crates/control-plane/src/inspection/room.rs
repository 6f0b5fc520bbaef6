//! Room at the workers that companions report, and why a step finds none.

use super::rows::StepRow;
use indigofold_protocol::inspection::{ServiceStatus, Wait};
use indigofold_protocol::internal::InstanceReport;
use indigofold_protocol::job::{Resources, Step};
use indigofold_protocol::worker::WorkerState;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// What a companion's reports tell about its worker, as far as it seldom changes.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerAccount {
    /// Its life.
    pub instance: String,
    /// Its service.
    pub backend: String,
    /// Whether it takes new work.
    pub state: WorkerState,
    /// What it has.
    pub capacity: Resources,
    /// Its labels.
    pub labels: Vec<String>,
}

impl WorkerAccount {
    /// Whether a report says the same.
    pub fn agrees(&self, report: &InstanceReport) -> bool {
        self.instance == report.id
            && self.state == report.state
            && self.capacity == report.capacity
            && self.backend == report.backend
            && self.labels == report.labels
    }
}

impl From<&InstanceReport> for WorkerAccount {
    fn from(report: &InstanceReport) -> Self {
        WorkerAccount {
            instance: report.id.clone(),
            backend: report.backend.clone(),
            state: report.state,
            capacity: report.capacity,
            labels: report.labels.clone(),
        }
    }
}

/// The workers and what runs take there.
pub struct Room<'a> {
    /// The workers connected through their companions.
    pub workers: Vec<&'a WorkerAccount>,
    /// What outstanding runs take, by life.
    pub used: &'a FxHashMap<String, Resources>,
}

impl Room<'_> {
    /// The workers of each service.
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

    /// Why tasks of a step whose turn has come wait, as far as the room tells.
    pub fn wait(&self, service: &str, step: &Step, row: &StepRow, instances: &[String]) -> Wait {
        let ready = |worker: &&&WorkerAccount| {
            worker.backend == service && worker.state == WorkerState::Ready
        };
        let ready: Vec<&WorkerAccount> = self.workers.iter().filter(ready).copied().collect();
        if ready.is_empty() {
            return Wait::NoWorkers;
        }
        let fits = |worker: &&WorkerAccount| {
            let labelled =
                step.requirements.is_empty() || worker.labels.contains(&step.requirements);
            labelled && worker.capacity.can_fit(&step.resources())
        };
        let fitting: Vec<&WorkerAccount> = ready.into_iter().filter(fits).collect();
        if fitting.is_empty() {
            return Wait::NoWorkerFits;
        }
        let needed = if step.gang { u64::from(step.count) } else { 1 };
        let places = |worker: &&WorkerAccount| self.places(worker, step, row, instances);
        match fitting.iter().map(places).sum() {
            fitting_tasks if fitting_tasks < needed => Wait::InsufficientCapacity {
                fitting_tasks,
                needed,
            },
            fitting_tasks => Wait::Deferred { fitting_tasks },
        }
    }

    /// How many more tasks of the step fit on a worker.
    fn places(
        &self,
        worker: &WorkerAccount,
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
        let by_size = amounts
            .into_iter()
            .filter_map(|(free, each)| free.checked_div(each))
            .min();
        let by_size = by_size.unwrap_or(u64::from(step.count));
        if step.anti_affinity == 0 {
            return by_size;
        }
        let here = |run: &(u32, u32)| instances.get(run.0 as usize) == Some(&worker.instance);
        let there = row
            .tasks()
            .iter()
            .filter_map(|task| task.run)
            .filter(here)
            .count() as u64;
        by_size.min(u64::from(step.anti_affinity).saturating_sub(there))
    }
}

//! Placement requirements of a step, and the relaxation of soft requirements with the time that the step has waited.

use crate::health::HealthStatus;
use crate::jobs::{Job, Task};
use crate::kinds::Class;
use crate::queue::StepRef;
use crate::worker::{Worker, WorkerId};
use indigofold_protocol::job::Resources;
use rustc_hash::FxHashMap;

/// A step that has waited for this time may also use suspected workers, and while the service has spare capacity it is
/// not held back by blocked steps ahead of it.
pub(crate) const ANY_WORKER_MS: u64 = 1_500;
/// A step that has waited for this time may use the worker where the task failed last.
const FAILED_WORKER_WAIT_MS: u64 = 600;
/// Maximum time that a step waits for a worker on the rack of its data.
const RACK_WAIT_MAX_MS: u64 = 1_000;

/// Placement requirements of a step's tasks at a point in time.
pub(crate) struct StepDemand {
    /// The step.
    pub step_ref: StepRef,
    /// Resources that each task takes.
    pub resources: Resources,
    /// Label that workers must have; empty for any worker.
    pub label: String,
    /// Label of the rack that has the data; empty if the tasks run equally fast on all racks.
    pub affinity: String,
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    pub anti_affinity: u32,
    /// Number of the step's outstanding runs on each worker; filled only if `anti_affinity` is set.
    pub runs_by_worker: FxHashMap<WorkerId, u32>,
    /// Class of the tasks, whose run times are learned together.
    pub class: Class,
    /// The client's estimate of a task's run time, in milliseconds; 0 for none.
    pub estimate_ms: u64,
    /// Time that the step has waited for placement, in milliseconds.
    pub waited_ms: u64,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Priority of the job; 0 goes first.
    pub priority: u32,
    /// Whether the tasks may run on a rack other than that of their data.
    pub locality: Locality,
    /// Whether idle workers are left to steps with large tasks, as long as other workers have capacity.
    pub avoids_idle_workers: bool,
}

/// Which workers an attempt to place a task considers; [`Preferred`](Self::Preferred) is tried first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Warm workers that are healthy or on probation, local to the step's data, and not the one where the task failed
    /// last.
    Preferred,
    /// All workers that the step's waiting time so far allows.
    Allowed,
}

/// On which racks tasks may be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Locality {
    /// Only on the rack that has the data; rack-local gangs only within one rack.
    LocalOnly,
    /// On any rack, once the step has waited long enough.
    Anywhere,
}

impl StepDemand {
    /// Returns the requirements of a step of the job, for placement on any rack; `None` if there is no such step.
    pub(crate) fn for_step(job: &Job, step_ref: StepRef, now_ms: u64) -> Option<StepDemand> {
        let (step, state) = (job.step(step_ref.step)?, job.step_state(step_ref)?);
        let mut runs_by_worker = FxHashMap::default();
        if step.anti_affinity > 0 {
            for run in state.tasks().iter().flat_map(Task::runs) {
                *runs_by_worker.entry(run.worker()).or_default() += 1;
            }
        }
        Some(StepDemand {
            step_ref,
            resources: step.resources(),
            label: step.requirements.clone(),
            affinity: step.affinity.clone(),
            anti_affinity: step.anti_affinity,
            runs_by_worker,
            class: job.class(step_ref.step),
            estimate_ms: step.estimate_ms,
            waited_ms: now_ms.saturating_sub(state.waiting_since_ms()),
            long_running: step.long_running,
            priority: job.terms().priority,
            locality: Locality::Anywhere,
            avoids_idle_workers: false,
        })
    }

    /// Whether the hard requirements (label, `anti_affinity`, free capacity) allow one more task on this worker, after
    /// `planned_tasks` tasks of the step that are already planned there.
    pub(crate) fn permits(&self, id: WorkerId, worker: &Worker, planned_tasks: u32) -> bool {
        let tasks_there = self.runs_by_worker.get(&id).copied().unwrap_or(0) + planned_tasks;
        let is_below_limit = self.anti_affinity == 0 || tasks_there < self.anti_affinity;
        self.is_label_met(worker)
            && is_below_limit
            && worker.has_capacity(&multiply(&self.resources, u64::from(planned_tasks) + 1))
    }

    /// Whether the worker has the label that the step requires; `true` if it requires none.
    pub(crate) fn is_label_met(&self, worker: &Worker) -> bool {
        self.label.is_empty() || worker.labels().contains(&self.label)
    }

    /// Whether the worker is on the rack of the step's data; `true` if the step names no rack.
    pub(crate) fn is_local(&self, worker: &Worker) -> bool {
        self.affinity.is_empty() || worker.rack() == Some(&self.affinity)
    }

    /// Whether the soft requirements (health, locality, warm-up, former failure) allow this worker in this scope.
    /// `failed_there`: the task failed last on this worker.
    pub(crate) fn considers(
        &self,
        scope: Scope,
        worker: &Worker,
        remote_slowdown: f64,
        failed_there: bool,
        now_ms: u64,
    ) -> bool {
        let status = worker.health().status(now_ms);
        let may_use_suspected = self.waited_ms >= ANY_WORKER_MS;
        let is_health_allowed = match status {
            HealthStatus::Healthy | HealthStatus::OnProbation => true,
            HealthStatus::Suspected => may_use_suspected,
        };
        match scope {
            Scope::Preferred => {
                is_health_allowed
                    && status != HealthStatus::Suspected
                    && self.is_local(worker)
                    && !failed_there
                    && worker.is_warm(now_ms)
                    && !(self.avoids_idle_workers && worker.runs().is_empty())
            }
            Scope::Allowed => {
                let rack_wait_ms = (self.estimate_ms as f64 * (remote_slowdown - 1.0)) as u64;
                let has_waited = self.locality == Locality::Anywhere
                    && self.waited_ms >= rack_wait_ms.min(RACK_WAIT_MAX_MS);
                let is_rack_allowed = has_waited || self.is_local(worker);
                is_health_allowed
                    && is_rack_allowed
                    && (!failed_there || self.waited_ms >= FAILED_WORKER_WAIT_MS)
            }
        }
    }
}

/// Resources of `count` tasks that take `resources` each.
pub(crate) fn multiply(resources: &Resources, count: u64) -> Resources {
    Resources {
        cpu: resources.cpu * count,
        mem_mb: resources.mem_mb * count,
        gpu: resources.gpu * count,
    }
}

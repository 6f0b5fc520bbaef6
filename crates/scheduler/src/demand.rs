//! What a step requires of workers, and which of them it may use by now.

use crate::health::HealthStatus;
use crate::jobs::{Job, Task};
use crate::kinds::Class;
use crate::queue::StepRef;
use crate::worker::{Worker, WorkerId};
use indigofold_protocol::job::Resources;
use rustc_hash::FxHashMap;

/// A step that has waited for this time may use any worker that its rules allow.
pub(crate) const ANY_WORKER_MS: u64 = 1_500;
/// A task may go back to the worker where it failed after this time.
const FAILED_THERE_MS: u64 = 600;
/// Longest time that a step waits for the rack of its data.
const RACK_WAIT_MAX_MS: u64 = 1_000;

/// What a step requires of workers.
pub(crate) struct StepDemand {
    /// The step.
    pub at: StepRef,
    /// What each task takes.
    pub resources: Resources,
    /// Label that workers must have; empty for none.
    pub label: String,
    /// Label of the rack that has the data; empty for none.
    pub affinity: String,
    /// Most tasks of the step on one worker; 0 for no limit.
    pub anti_affinity: u32,
    /// Tasks of the step on each worker.
    pub on_worker: FxHashMap<WorkerId, u32>,
    /// Class of its tasks.
    pub class: Class,
    /// The client's estimate of a task's run time, in milliseconds; 0 for none.
    pub estimate_ms: u64,
    /// For how long the step has waited, in milliseconds.
    pub waited_ms: u64,
    /// Tasks run until they are cancelled.
    pub long_running: bool,
    /// Priority of its job; 0 goes first.
    pub priority: u32,
    /// Whether the tasks may run on a rack that does not have their data.
    pub locality: Locality,
    /// Idle workers are left to steps that need most of one, as long as others have capacity.
    pub avoids_idle_workers: bool,
}

/// Which workers an attempt to place a task considers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Healthy workers, local ones if the step has data.
    Preferred,
    /// Any worker that the time waited so far allows.
    Allowed,
}

/// Where tasks may run in relation to their data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Locality {
    /// Only on the rack that has the data, gangs in one rack.
    LocalOnly,
    /// On any rack, once they have waited.
    Anywhere,
}

impl StepDemand {
    /// What this step of the job requires; `None` if there is no such step.
    pub(crate) fn of(job: &Job, at: StepRef, now_ms: u64) -> Option<StepDemand> {
        let (step, state) = (job.step(at.step)?, job.step_state(at)?);
        let mut on_worker = FxHashMap::default();
        if step.anti_affinity > 0 {
            for run in state.tasks().iter().flat_map(Task::runs) {
                *on_worker.entry(run.worker()).or_default() += 1;
            }
        }
        Some(StepDemand {
            at,
            resources: step.resources(),
            label: step.requirements.clone(),
            affinity: step.affinity.clone(),
            anti_affinity: step.anti_affinity,
            on_worker,
            class: job.class(at.step),
            estimate_ms: step.estimate_ms,
            waited_ms: now_ms.saturating_sub(state.waiting_since_ms()),
            long_running: step.long_running,
            priority: job.terms().priority,
            locality: Locality::Anywhere,
            avoids_idle_workers: false,
        })
    }

    /// Whether label, `anti_affinity` and free capacity (beside `extra` more tasks of this step) allow this worker.
    pub(crate) fn permits(&self, id: WorkerId, worker: &Worker, extra: u32) -> bool {
        let there = self.on_worker.get(&id).copied().unwrap_or(0) + extra;
        let spread = self.anti_affinity == 0 || there < self.anti_affinity;
        self.is_label_met(worker)
            && spread
            && worker.has_capacity(&times(&self.resources, u64::from(extra) + 1))
    }

    /// Whether this worker has the label that the step asks for.
    pub(crate) fn is_label_met(&self, worker: &Worker) -> bool {
        self.label.is_empty() || worker.labels().contains(&self.label)
    }

    /// Whether this worker is on the rack of the data, or the step has none.
    pub(crate) fn is_local(&self, worker: &Worker) -> bool {
        self.affinity.is_empty() || worker.rack() == Some(&self.affinity)
    }

    /// Whether a worker is to be considered in this scope.
    pub(crate) fn considers(
        &self,
        scope: Scope,
        worker: &Worker,
        remote_slowdown: f64,
        failed_there: bool,
        now_ms: u64,
    ) -> bool {
        let status = worker.health().status(now_ms);
        let any = self.waited_ms >= ANY_WORKER_MS;
        let usable = match status {
            HealthStatus::Healthy | HealthStatus::OnProbation => true,
            HealthStatus::Suspected => any,
        };
        match scope {
            Scope::Preferred => {
                usable
                    && status != HealthStatus::Suspected
                    && self.is_local(worker)
                    && !failed_there
                    && worker.is_warm(now_ms)
                    && !(self.avoids_idle_workers && worker.runs().is_empty())
            }
            Scope::Allowed => {
                let rack_ms = (self.estimate_ms as f64 * (remote_slowdown - 1.0)) as u64;
                let waited = self.locality == Locality::Anywhere
                    && self.waited_ms >= rack_ms.min(RACK_WAIT_MAX_MS);
                let placed_well = waited || self.is_local(worker);
                usable && placed_well && (!failed_there || self.waited_ms >= FAILED_THERE_MS)
            }
        }
    }
}

/// These resources `count` times.
pub(crate) fn times(resources: &Resources, count: u64) -> Resources {
    Resources {
        cpu: resources.cpu * count,
        mem_mb: resources.mem_mb * count,
        gpu: resources.gpu * count,
    }
}

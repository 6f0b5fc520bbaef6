//! What a pass over a queue reads of the cluster: which steps it visits, what they require and why they wait.

use crate::cluster_view::ClusterView;
use crate::demand::ANY_WORKER_MS;
use crate::kinds::dominant_share;
use crate::latency::Cause;
use crate::queue::{QueueKey, StepNeed, StepRef};
use crate::services::ServiceState;
use crate::worker::Worker;
use indigofold_protocol::job::Resources;

/// Maximum number of steps at the head of a queue that one pass visits, and of those behind them that a worker could take.
const PASS_STEPS: usize = 400;
/// A task is large if its dominant share of a worker exceeds this fraction.
const LARGE_FRACTION: f64 = 0.5;

/// What a task of a step requires of a worker.
pub(super) struct TaskShape {
    /// Resources of each task.
    pub(super) resources: Resources,
    /// Whether anything but capacity limits the choice of workers: a label, a rack, `anti_affinity`, a gang, a
    /// long-running step, or a worker that a task failed on.
    pub(super) is_constrained: bool,
    /// Whether the tasks run until the job is cancelled.
    pub(super) long_running: bool,
}

impl ClusterView<'_> {
    /// The steps of the queue that a pass visits, in their order.
    pub(super) fn steps_to_visit(&self, service: &ServiceState) -> Vec<QueueKey> {
        let can_meet = |need: &StepNeed| self.can_meet(service, need);
        service.queue().first_steps(PASS_STEPS, can_meet)
    }

    /// Whether workers of the service with the label have the free capacity for as many tasks as have to start together.
    /// Reservations, racks and limits of tasks for each worker are left out.
    pub(super) fn can_meet(&self, service: &ServiceState, need: &StepNeed) -> bool {
        let workers = self.workers_of(service).filter(|worker| {
            let has_label = need.label.is_empty() || worker.labels().contains(&need.label);
            has_label && worker.accepts_starts(self.now_ms)
        });
        let mut missing_tasks = u64::from(need.tasks_at_once.max(1));
        for worker in workers {
            let fitting_tasks = worker.free().count_of(&need.resources);
            missing_tasks = missing_tasks.saturating_sub(fitting_tasks);
            if missing_tasks == 0 {
                return true;
            }
        }
        false
    }

    /// The cause of a step's wait after it was visited: the queue if it is `blocked_by_earlier` steps, capacity if it
    /// `cannot_fit` on any worker, and locality if it would fit but needs a certain rack or has to start as a gang.
    pub(super) fn wait_cause(
        &self,
        step_ref: StepRef,
        blocked_by_earlier: bool,
        cannot_fit: bool,
    ) -> Cause {
        let gang = self.jobs.step(step_ref).is_some_and(|step| step.gang);
        if blocked_by_earlier {
            Cause::Queue
        } else if !cannot_fit && (gang || self.has_locality(step_ref)) {
            Cause::Locality
        } else {
            Cause::Capacity
        }
    }

    /// Whether the step's tasks run faster in some racks than in others: on the rack of their data, or all in one rack.
    pub(super) fn has_locality(&self, step_ref: StepRef) -> bool {
        let step = self.jobs.step(step_ref);
        step.is_some_and(|step| !step.affinity.is_empty() || step.rack_local)
    }

    /// Whether a task of this size takes more than [`LARGE_FRACTION`] of every worker of the service that could run it
    /// when idle; `false` if there is no such worker.
    pub(super) fn needs_most_of_worker(
        &self,
        service: &ServiceState,
        resources: &Resources,
    ) -> bool {
        let capacities = self.workers_of(service).map(Worker::capacity);
        let fractions = capacities
            .filter(|capacity| capacity.can_fit(resources))
            .map(|capacity| dominant_share(resources, &capacity));
        fractions
            .min_by(f64::total_cmp)
            .is_some_and(|least| least > LARGE_FRACTION)
    }

    /// What a task of the step requires of a worker; `None` if there is no such step.
    pub(super) fn task_shape(&self, step_ref: StepRef) -> Option<TaskShape> {
        let job = self.jobs.get(&step_ref.job)?;
        let (step, state) = (job.step(step_ref.step)?, job.step_state(step_ref)?);
        let has_failed_task = state.tasks().iter().any(|task| task.failed_on().is_some());
        let is_constrained = step.gang
            || has_failed_task
            || step.anti_affinity > 0
            || step.long_running
            || !step.requirements.is_empty()
            || !step.affinity.is_empty();
        Some(TaskShape {
            resources: step.resources(),
            is_constrained,
            long_running: step.long_running,
        })
    }

    /// Whether the step has waited for [`ANY_WORKER_MS`], so that it may use workers which newer steps ahead of it may
    /// not.
    pub(super) fn has_waited_long(&self, step_ref: StepRef) -> bool {
        let state = self.jobs.step_state(step_ref);
        state.is_some_and(|state| self.now_ms >= state.waiting_since_ms() + ANY_WORKER_MS)
    }

    /// Whether any task of the step waits for placement.
    pub(super) fn has_waiting_tasks(&self, step_ref: StepRef) -> bool {
        let state = self.jobs.step_state(step_ref);
        state.is_some_and(|state| !state.waiting().is_empty())
    }

    /// Per resource, the largest amount that is free on any single worker.
    pub(super) fn largest_free(&self, service: &str) -> Resources {
        let Some(state) = self.services.get(service) else {
            return Resources::default();
        };
        self.workers_of(state)
            .filter(|worker| worker.accepts_starts(self.now_ms))
            .fold(Resources::default(), |largest, worker| {
                let free = worker.free();
                Resources {
                    cpu: largest.cpu.max(free.cpu),
                    mem_mb: largest.mem_mb.max(free.mem_mb),
                    gpu: largest.gpu.max(free.gpu),
                }
            })
    }
}

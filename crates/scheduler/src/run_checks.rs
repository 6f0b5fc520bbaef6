//! Regular look at what runs: orders that got lost, runs that cannot end before their worker leaves, runs that hang.

use crate::health::Health;
use crate::job::Run;
use crate::queue::StepRef;
use crate::runs::RunResult;
use crate::scheduler::Scheduler;
use crate::workers::WorkerId;
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::{RunId, TaskName};
use indigofold_protocol::worker::WorkerState;

/// Time between two looks.
const CHECK_MS: u64 = 300;
/// The order of a run that is not listed for so long is sent again.
const ORDER_RETRY_MS: u64 = 3_000;
/// A run that no list has named for so long, though the worker is in touch and was told again, is over.
const ABSENT_MS: u64 = 20_000;
/// A run without any progress for so long may hang.
const STALL_MIN_MS: u64 = 3_000;
/// ... and for such a part of its expected run time.
const STALL_FRACTION: f64 = 0.5;
/// Kept free at the end of a worker's drain.
const DRAIN_MARGIN_MS: u64 = 300;
/// Percents from which on they say when a run ends.
const TELLING_PERCENT: u32 = 10;

impl Scheduler {
    /// Looks at all runs, now and then.
    pub(crate) fn check_runs(&mut self) {
        if self.now_ms < self.next_check_ms {
            return;
        }
        self.next_check_ms = self.now_ms + CHECK_MS;
        let is_responsive = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.agent.is_some() && worker.full_report_received);
        let tasks_by_worker: Vec<(WorkerId, Vec<TaskName>)> = is_responsive
            .map(|(id, worker)| (id, worker.runs.iter().copied().collect()))
            .collect();
        for (id, tasks) in tasks_by_worker {
            let slowdown = self.slowdown(id);
            tasks
                .into_iter()
                .for_each(|task| self.check_run(id, task, slowdown));
        }
        self.speculate();
    }

    fn check_run(&mut self, id: WorkerId, task: TaskName, slowdown: Option<f64>) {
        let now_ms = self.now_ms;
        let ended = self
            .jobs
            .get(&task.job)
            .is_some_and(|job| job.end.is_some());
        let Some(run) = self.run_at(id, &task).filter(|run| run.sent) else {
            return;
        };
        let absent_ms = now_ms.saturating_sub(run.listed_ms);
        let (order, stopping) = (
            RunId {
                task,
                attempt: run.attempt,
            },
            run.stop.is_some() || ended,
        );
        if absent_ms >= ABSENT_MS {
            return self.finish_run(order, RunResult::NotStarted, "");
        }
        if stopping {
            return;
        }
        if absent_ms >= ORDER_RETRY_MS && absent_ms % ORDER_RETRY_MS < CHECK_MS {
            self.order_start(order);
        }
        if self.outlasts_drain(id, &task) {
            self.stop_run(order);
        } else if self.hangs(id, &task) {
            self.move_run(id, order, |health| health.failed(now_ms, false));
        } else if slowdown.is_some_and(|slowdown| self.is_straggling(id, &task, slowdown)) {
            self.move_run(id, order, |health| health.too_slow(now_ms));
        }
    }

    /// Stops a run that gets nowhere; the task goes to another worker.
    fn move_run(&mut self, id: WorkerId, run: RunId, note: impl Fn(&mut Health)) {
        if let Some(worker) = self.workers.get_mut(id) {
            note(&mut worker.health);
        }
        if let Some(entry) = self
            .jobs
            .get_mut(&run.task.job)
            .and_then(|job| job.task_mut(&run.task))
        {
            entry.failed_on = Some(id);
        }
        self.stop_run(run);
    }

    /// The worker leaves before the run can end.
    fn outlasts_drain(&self, id: WorkerId, task: &TaskName) -> bool {
        let Some(worker) = self
            .workers
            .get(id)
            .filter(|w| w.state == WorkerState::Draining)
        else {
            return false;
        };
        let Some(traits) = self.traits(StepRef::of(task)) else {
            return false;
        };
        let left_ms = worker
            .drain_end_ms
            .map_or(0, |drain_end_ms| drain_end_ms.saturating_sub(self.now_ms));
        traits.long_running || self.remaining_ms(id, task) + DRAIN_MARGIN_MS > left_ms
    }

    /// What a task takes.
    pub(crate) fn resources(&self, task: TaskName) -> Resources {
        let step = self.jobs.get(&task.job).and_then(|job| job.step(task.step));
        step.map(|step| step.resources()).unwrap_or_default()
    }

    /// How long a run will still take.
    pub(crate) fn remaining_ms(&self, id: WorkerId, task: &TaskName) -> u64 {
        let Some(run) = self.run_at(id, task) else {
            return 0;
        };
        if let Some(stop) = run.stop {
            let stopping_ms = self.now_ms.saturating_sub(stop.sent_ms);
            return self.bounds.stop_ms.saturating_sub(stopping_ms);
        }
        let elapsed_ms = self.now_ms.saturating_sub(run.placed_ms);
        let expected_ms = self.expected_run_ms(id, task);
        if let Some(total_ms) = projected_total_ms(run) {
            return total_ms.saturating_sub(elapsed_ms);
        }
        let left_ms = expected_ms * f64::from(100 - run.percent.min(100)) / 100.0;
        let unheard_ms = if run.percent == 0 { elapsed_ms } else { 0 };
        (left_ms as u64).saturating_sub(unheard_ms)
    }

    /// How long the task is expected to run on this worker as a whole.
    pub(crate) fn expected_run_ms(&self, id: WorkerId, task: &TaskName) -> f64 {
        let at = StepRef::of(task);
        let Some(traits) = self.traits(at) else {
            return 0.0;
        };
        let remote_factor = self.run_at(id, task).map_or(1.0, |run| run.remote_factor);
        let kinds = self
            .services
            .get(&traits.service)
            .map(|service| &service.kinds);
        kinds.map_or(0.0, |kinds| {
            kinds.expected_ms(id, &traits.class, traits.estimate_ms)
        }) * remote_factor
    }

    /// The run stands still for much longer than it takes to make any progress.
    fn hangs(&self, id: WorkerId, task: &TaskName) -> bool {
        let Some(step) = self.jobs.get(&task.job).and_then(|job| job.step(task.step)) else {
            return false;
        };
        let Some(run) = self.run_at(id, task) else {
            return false;
        };
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        let listed = self.now_ms.saturating_sub(run.listed_ms) < STALL_MIN_MS
            && worker.since_heartbeat_ms < 1_000;
        if step.long_running || !listed {
            return false;
        }
        let limit_ms = STALL_MIN_MS.max((self.expected_run_ms(id, task) * STALL_FRACTION) as u64);
        let resume_cost_ms = if run.resumed {
            self.bounds.resume_cost_ms
        } else {
            0
        };
        let gang_ms = if step.gang { self.bounds.gang_ms } else { 0 };
        self.now_ms.saturating_sub(run.percent_ms) > limit_ms + resume_cost_ms + gang_ms
    }
}

/// How long a run will have taken as a whole, by its progress; `None` if that does not tell yet.
pub(crate) fn projected_total_ms(run: &Run) -> Option<u64> {
    let conclusive = (TELLING_PERCENT..100).contains(&run.percent) && !run.resumed;
    let elapsed_ms = run.percent_ms.saturating_sub(run.placed_ms);
    conclusive.then(|| elapsed_ms * 100 / u64::from(run.percent))
}

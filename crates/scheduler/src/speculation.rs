//! Second runs of `speculative` tasks: while the first one's worker is silent or suspected, or the run takes far longer
//! than expected, and the job's objective is at stake. Whichever run ends first counts, the other is stopped.

use crate::health::Standing;
use crate::job::Run;
use crate::need::{Need, Scope};
use crate::queue::{Prospect, QueueKey, StepRef};
use crate::runs::Placement;
use crate::scheduler::Scheduler;
use crate::workers::{Worker, WorkerId};
use indigofold_protocol::task::TaskName;

/// A worker from which nothing was heard for so long is silent.
const SILENT_MS: u64 = 600;
/// A copy is started once the step would be late if it began so much later.
const NEAR_MS: i64 = 600;
/// A run is overdue after so many times the time expected ...
const OVERDUE_FACTOR: f64 = 2.0;
/// ... or so many times on a suspected worker ...
const OVERDUE_FACTOR_SUSPECTED: f64 = 1.2;
/// ... and so much more, in milliseconds.
const OVERDUE_MIN_MS: f64 = 300.0;
/// Percents older than this say nothing about when a run ends.
const PERCENT_FRESH_MS: u64 = 1_500;

/// A run that is to get a copy.
#[derive(Clone, Copy, Debug)]
struct Doubtful {
    key: QueueKey,
    task: TaskName,
    worker: WorkerId,
}

impl Scheduler {
    /// Starts copies of runs that may not end in time, where there is room that nothing else waits for.
    pub(crate) fn speculate(&mut self) {
        let mut doubtful: Vec<Doubtful> = Vec::new();
        for (id, worker) in self.workers.iter() {
            let runs = worker
                .runs
                .iter()
                .filter_map(|task| self.doubtful(id, worker, *task));
            doubtful.extend(runs);
        }
        doubtful.sort_by_key(|run| (run.key, run.task));
        doubtful.into_iter().for_each(|run| self.place_copy(run));
    }

    /// The task's run on this worker, if it is to get a copy.
    fn doubtful(&self, id: WorkerId, worker: &Worker, task: TaskName) -> Option<Doubtful> {
        let job = self.jobs.get(&task.job).filter(|job| job.end.is_none())?;
        job.step(task.step)
            .filter(|step| step.speculative && !step.gang && !step.long_running)?;
        let entry = job
            .task(&task)
            .filter(|entry| !entry.done && entry.copy.is_none())?;
        let run = entry.run_at(id).filter(|run| run.sent)?;
        let key = job.queue_key(StepRef::of(&task), self.now_ms);
        let at_stake = key.prospect != Prospect::Hopeless
            && self.now_ms as i64 + NEAR_MS >= key.latest_start_ms;
        let silent = worker.agent.is_none()
            || self.now_ms.saturating_sub(worker.heard_ms) > SILENT_MS
            || worker.since_heartbeat_ms > SILENT_MS;
        let stopping = run.stop.is_some();
        let doubtful = at_stake && (silent || !stopping && self.overdue(id, worker, &task, run));
        doubtful.then_some(Doubtful {
            key,
            task,
            worker: id,
        })
    }

    /// The run takes far longer than expected, and not for its own length: it stands still, or its worker is slow and
    /// another one would be done first even if it began anew.
    fn overdue(&self, id: WorkerId, worker: &Worker, task: &TaskName, run: &Run) -> bool {
        let suspected = worker.health.standing(self.now_ms) != Standing::Sound;
        let factor = if suspected {
            OVERDUE_FACTOR_SUSPECTED
        } else {
            OVERDUE_FACTOR
        };
        let resume_cost_ms = if run.resumed {
            self.bounds.resume_cost_ms as f64
        } else {
            0.0
        };
        let expected_ms = self.expected_run_ms(id, task);
        let elapsed_ms = self.now_ms.saturating_sub(run.placed_ms) as f64;
        let stands = self.now_ms.saturating_sub(run.percent_ms) > PERCENT_FRESH_MS;
        elapsed_ms > factor * expected_ms + OVERDUE_MIN_MS + resume_cost_ms
            && (stands
                || self.slowdown(id).is_some() && self.remaining_ms(id, task) as f64 > expected_ms)
    }

    fn place_copy(&mut self, run: Doubtful) {
        let Some(job) = self.jobs.get(&run.task.job) else {
            return;
        };
        let service = job.service.clone();
        let Some(state) = self.services.get(&service) else {
            return;
        };
        let others_wait = |key: &QueueKey| !key.hopeless && key.priority <= run.key.priority;
        if state.queue.first().is_some_and(others_wait) {
            return;
        }
        let (Some(need), Some(entry)) =
            (Need::of(job, run.key.at, self.now_ms), job.task(&run.task))
        else {
            return;
        };
        let (attempt, failed_on) = (entry.last_attempt + 1, entry.failed_on);
        let (now_ms, remote_slowdown) = (self.now_ms, self.bounds.remote_slowdown);
        let choice = state
            .kinds
            .choose(&mut self.rng, &self.workers, &need.label, |id, worker| {
                let kept = state.reserved.get(&id);
                id != run.worker
                    && worker.takes_starts(now_ms)
                    && need.permits(id, worker, 0)
                    && need.considers(
                        Scope::Preferred,
                        worker,
                        remote_slowdown,
                        failed_on == Some(id),
                        now_ms,
                    )
                    && kept
                        .is_none_or(|kept| worker.has_room(&need.resources.plus(&kept.resources)))
            });
        let Some(choice) = choice else { return };
        if let Some(traces) = &mut self.traces {
            traces.push(state.kinds.trace(run.task, &choice, &self.workers));
        }
        self.place(
            run.task,
            attempt,
            Placement {
                worker: choice.worker,
                bound: choice.bound,
                far: 1.0,
            },
        );
    }
}

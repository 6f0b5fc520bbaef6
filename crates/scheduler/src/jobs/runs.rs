//! Runs of jobs' tasks, from placement to end. The end of a run completes its task, fails its job or puts the task back
//! into the queue.

use crate::clock::Clock;
use crate::jobs::{JobEvent, Jobs, Placement, Run, RunEnded, StopOrder, Task};
use crate::queue::StepRef;
use crate::run_result::RunResult;
use crate::worker::WorkerId;
use indigofold_protocol::internal::StartOrder;
use indigofold_protocol::job::{JobState, Resources, Step};
use indigofold_protocol::task::{RunId, TaskName};
use indigofold_protocol::worker::RunEnd;

impl Jobs {
    /// A run by its ID; `None` if it has ended or is unknown.
    pub(crate) fn run(&self, run: &RunId) -> Option<&Run> {
        let task = self.get(&run.task.job)?.task(&run.task)?;
        task.runs()
            .find(|outstanding| outstanding.attempt() == run.attempt)
    }

    /// Attempt numbers of a task's runs that have not ended.
    pub(crate) fn attempts(&self, task: &TaskName) -> Vec<u32> {
        let entry = self.get(&task.job).and_then(|job| job.task(task));
        let runs = entry.into_iter().flat_map(Task::runs);
        runs.map(Run::attempt).collect()
    }

    /// Records the placement of a run of a waiting task, or of a speculative run; returns the resources that it takes on
    /// its worker, or `None` if the task is unknown.
    pub(crate) fn record_placement(
        &mut self,
        task: TaskName,
        attempt: u32,
        placement: &Placement,
        now_ms: u64,
    ) -> Option<Resources> {
        let job = self.by_id.get_mut(&task.job)?;
        let resources = job.step(task.step).map(Step::resources)?;
        let state = job.step_state_mut(StepRef::of(&task))?;
        state.record_placement(task.index, attempt, placement, now_ms);
        job.run_placed();
        self.progress_changed(task.job);
        Some(resources)
    }

    /// Prepares a gang for its start: all members will resume from its newest checkpoint. Returns the attempt number that
    /// they share.
    pub(crate) fn prepare_gang(&mut self, step_ref: StepRef) -> Option<u32> {
        let state = self
            .by_id
            .get_mut(&step_ref.job)?
            .step_state_mut(step_ref)?;
        state.align_checkpoints();
        Some(state.last_attempt() + 1)
    }

    /// The start order of a run and its worker; `None` if the run or its job has ended or its task is done.
    pub(crate) fn start_order(&self, run: RunId) -> Option<(WorkerId, StartOrder)> {
        let worker = self.run(&run)?.worker();
        let job = self.get(&run.task.job).filter(|job| !job.has_ended())?;
        let task = job.task(&run.task).filter(|task| !task.is_done())?;
        let order = StartOrder {
            run,
            resources: job.step(run.task.step)?.resources(),
            spec: job.definition().spec.spec.clone(),
            checkpoint: task.checkpoint().to_owned(),
        };
        Some((worker, order))
    }

    /// Records that the run's start order is sent now.
    pub(crate) fn record_sent(&mut self, run: &RunId, now_ms: u64) {
        if let Some(run) = self.run_mut(run) {
            run.record_sent(now_ms);
        }
    }

    /// Records the stop order of a run, when it is first sent or sent again.
    pub(crate) fn record_stop(&mut self, run: &RunId, stop: StopOrder) {
        if let Some(run) = self.run_mut(run) {
            run.record_stop(stop);
        }
    }

    /// Records that a report of this worker lists the run's start order as in flight; returns `false` if the run is not
    /// outstanding there.
    pub(crate) fn record_in_flight(&mut self, run: &RunId, worker: WorkerId, now_ms: u64) -> bool {
        let run = self.run_on_mut(run, worker);
        run.map(|run| run.record_in_flight(now_ms)).is_some()
    }

    /// Records that a report of this worker lists the run as running, with its progress in percent; returns `false` if
    /// the run is not outstanding there.
    pub(crate) fn record_listed(
        &mut self,
        run: &RunId,
        worker: WorkerId,
        percent: u32,
        now_ms: u64,
    ) -> bool {
        let run = self.run_on_mut(run, worker);
        run.map(|run| run.record_listed(percent, now_ms)).is_some()
    }

    /// Stores a checkpoint of a run; empty for none. The newest checkpoint of any member is kept as that of its gang.
    /// Returns whether it differs from the task's former one.
    pub(crate) fn store_checkpoint(&mut self, task: &TaskName, checkpoint: &str) -> bool {
        if checkpoint.is_empty() {
            return false;
        }
        let Some(job) = self.by_id.get_mut(&task.job) else {
            return false;
        };
        let gang = job.step(task.step).is_some_and(|step| step.gang);
        job.step_state_mut(StepRef::of(task))
            .is_some_and(|state| state.store_checkpoint(task.index, gang, checkpoint))
    }

    /// Makes the next run of the task avoid this worker, if another one is available.
    pub(crate) fn avoid_worker(&mut self, task: &TaskName, worker: WorkerId) {
        let job = self.by_id.get_mut(&task.job);
        if let Some(entry) = job.and_then(|job| job.task_mut(task)) {
            entry.avoid_worker(worker);
        }
    }

    /// Ends a run and updates its task and job; `checkpoint` is its last one, or empty. Returns `None` if the run was not
    /// outstanding.
    pub(crate) fn end_run(
        &mut self,
        run: RunId,
        result: RunResult,
        checkpoint: &str,
        clock: &Clock,
    ) -> Option<RunEnded> {
        let task = run.task;
        let job = self.by_id.get_mut(&task.job)?;
        let traits = job.traits(task.step)?;
        let run = job.task_mut(&task)?.take_run(run.attempt)?;
        job.run_finished();
        self.store_checkpoint(&task, checkpoint);
        let job = self.by_id.get_mut(&task.job)?;
        let failed_elsewhere =
            result == RunResult::Ended(RunEnd::Failed) && job.record_failed_on(run.worker());
        if let Some(entry) = job.task_mut(&task) {
            entry.add_run_latency(&run, result, clock.now_ms());
        }
        let ended_run = RunEnded {
            run,
            result,
            traits,
            failed_elsewhere,
        };
        self.progress_changed(task.job);
        self.apply_run_end(task, &ended_run, clock);
        Some(ended_run)
    }

    /// Handles a `done` of a run that was treated as lost: it completes the task unless the task is already done.
    pub(crate) fn handle_late_done(&mut self, task: TaskName, clock: &Clock) {
        let Some(job) = self.get(&task.job).filter(|job| !job.has_ended()) else {
            return;
        };
        let Some(step) = job.step(task.step).filter(|step| !step.long_running) else {
            return;
        };
        let step_ref = StepRef::of(&task);
        let Some(state) = job.step_state(step_ref) else {
            return;
        };
        if state.task(task.index).is_none_or(Task::is_done) {
            return;
        }
        let members = state.members(task.index, step.gang);
        self.complete_task(task, clock);
        let stops = members.map(|index| JobEvent::StopTask(step_ref.task(index)));
        self.events.extend(stops);
        self.close_repeat_if_finished(task.job, task.repeat, clock);
    }

    /// Updates the job after the end of a run: completes, fails or requeues the task, or closes the repetition or job.
    fn apply_run_end(&mut self, task: TaskName, ended_run: &RunEnded, clock: &Clock) {
        let Some(job) = self.get(&task.job) else {
            return;
        };
        let Some(entry) = job.task(&task) else {
            return;
        };
        let long_running = ended_run.traits.long_running;
        match ended_run.result {
            _ if job.has_ended() => self.close_if_idle(task.job),
            _ if entry.is_done() => self.close_repeat_if_finished(task.job, task.repeat, clock),
            RunResult::Ended(RunEnd::Done) if !long_running => {
                self.run_done(task, ended_run.traits.gang, clock);
            }
            RunResult::Ended(RunEnd::Failed) if !long_running => {
                self.task_failed(task, ended_run, clock);
            }
            _ => self.requeue_unless_running(task, clock),
        }
    }

    /// Handles a run that ended `done`: completes its task and stops the other run of the task, if any.
    fn run_done(&mut self, task: TaskName, gang: bool, clock: &Clock) {
        self.complete_task(task, clock);
        if !gang {
            self.events.push_back(JobEvent::StopTask(task));
        }
        self.close_repeat_if_finished(task.job, task.repeat, clock);
    }

    /// Counts a failed run; the job fails when the task, or its gang, has failed `max_retries` times.
    fn task_failed(&mut self, task: TaskName, ended_run: &RunEnded, clock: &Clock) {
        let Some(job) = self.by_id.get_mut(&task.job) else {
            return;
        };
        let max_failures = job.terms().max_retries.max(1);
        let Some(state) = job.step_state_mut(StepRef::of(&task)) else {
            return;
        };
        let failures = state.record_failure(task.index, &ended_run.run, ended_run.traits.gang);
        if failures >= max_failures {
            self.record_late_end(&task, JobState::Failed, clock);
            return self.end(task.job, JobState::Failed, clock);
        }
        self.requeue_unless_running(task, clock);
    }

    /// Puts a task back into the queue unless it has another outstanding run.
    fn requeue_unless_running(&mut self, task: TaskName, clock: &Clock) {
        let entry = self.get(&task.job).and_then(|job| job.task(&task));
        if entry.is_none_or(|entry| entry.run().is_none()) {
            self.requeue_task(task, clock);
        }
    }

    /// A run for changes; `None` if it has ended or is unknown.
    fn run_mut(&mut self, run: &RunId) -> Option<&mut Run> {
        self.by_id
            .get_mut(&run.task.job)?
            .task_mut(&run.task)?
            .run_mut(run.attempt)
    }

    /// A run for changes; `None` unless it is outstanding on this worker.
    fn run_on_mut(&mut self, run: &RunId, worker: WorkerId) -> Option<&mut Run> {
        self.run_mut(run)
            .filter(|outstanding| outstanding.worker() == worker)
    }
}

//! Lifecycle of a job: acceptance, opening of due repetitions, steps becoming ready, completion of tasks, end of the job
//! and removal of its state.

use crate::clock::Clock;
use crate::definition::{JobEnd, Terms};
use crate::jobs::due_jobs::DueJob;
use crate::jobs::late_ends::latency_before_opening;
use crate::jobs::{Job, JobEvent, Jobs, StepState};
use crate::latency::{Cause, LatencyBreakdown};
use crate::queue::{QueueKey, StepNeed, StepRef};
use indigofold_protocol::job::JobState;
use indigofold_protocol::task::{JobId, TaskName};

/// Added to the time for which the state of an ended job has to be kept, since clocks differ.
const RETENTION_MARGIN_MS: u64 = 30_000;

/// How long the state of an ended job is kept, in milliseconds, if `status_s` seconds are required.
pub(crate) fn retention_ms(status_s: u64) -> u64 {
    status_s * 1_000 + RETENTION_MARGIN_MS
}

impl Jobs {
    /// Adds an accepted job. A job without a due time is opened at once; for others, the first repetition is scheduled.
    pub(crate) fn accept(&mut self, id: JobId, job: Job, clock: &Clock) {
        self.load.job_pending(job.route());
        self.by_id.insert(id, job);
        self.update_value(id);
        self.load.job_opened();
        self.events.push_back(JobEvent::Accepted(id));
        self.progress_changed(id);
        self.schedule_next_repeat(id, clock);
    }

    /// Adds a job that was restored from its rows after a change of heads.
    pub(crate) fn restore(&mut self, id: JobId, job: Job, clock: &Clock) {
        self.by_id.insert(id, job);
        let Some(job) = self.by_id.get(&id) else {
            return;
        };
        if let Some(end) = job.end() {
            // Runs that are still outstanding are stopped when their workers report.
            if !job.has_outstanding_runs() {
                self.schedule_expiry(id, end.wall_ms);
            }
            return;
        }
        self.load.job_opened();
        self.load.tasks_opened(job.open_tasks());
        if !job.has_begun() {
            self.load.job_pending(job.route());
        }
        let repeats = job
            .repeats()
            .map(|(number, repeat)| (number, repeat.due_ms()));
        let repeats: Vec<(u32, i64)> = repeats.collect();
        self.update_value(id);
        for (repeat, due_ms) in repeats {
            self.make_steps_ready(id, repeat, latency_before_opening(due_ms, clock), clock);
        }
        self.schedule_next_repeat(id, clock);
    }

    /// Opens all repetitions that are due.
    pub(crate) fn open_due_repeats(&mut self, clock: &Clock) {
        while let Some(due) = self.due.pop_repetition(clock.wall_ms()) {
            self.open_repeat(due.job, clock.steady_ms(due.wall_ms), clock);
        }
    }

    /// Removes ended jobs whose retention time is over.
    pub(crate) fn remove_ended(&mut self, clock: &Clock) {
        while let Some(due) = self.due.pop_expiry(clock.wall_ms()) {
            self.by_id.remove(&due.job);
            self.events.push_back(JobEvent::Removed(due.job));
        }
    }

    /// Moves the job, and its queued steps, to this service and these terms.
    pub(crate) fn reroute(&mut self, id: JobId, service: &str, terms: Terms, clock: &Clock) {
        let queued_steps = self.leave_queue(id);
        if let Some(job) = self.by_id.get_mut(&id) {
            job.reroute(service, terms);
        }
        queued_steps
            .into_iter()
            .for_each(|step_ref| self.enqueue(step_ref, clock));
    }

    /// Ends a job. Unless it has completed, its outstanding runs are stopped once the end is committed.
    pub(crate) fn end(&mut self, id: JobId, state: JobState, clock: &Clock) {
        let _ = self.leave_queue(id);
        let Some(job) = self.by_id.get_mut(&id) else {
            return;
        };
        job.set_end(JobEnd {
            state,
            wall_ms: clock.wall_ms(),
        });
        if let Some(wall_ms) = job.due_wall_ms(job.next_repeat()) {
            self.due.remove_repetition(DueJob { wall_ms, job: id });
        }
        self.load.job_ended(job.open_tasks());
        if !job.has_begun() {
            self.load.job_no_longer_pending(job.route());
        }
        if state != JobState::Completed {
            let runs = job.outstanding_runs(id).into_iter();
            let stops = runs.map(|outstanding| JobEvent::StopOnceCommitted(outstanding.run));
            self.events.extend(stops);
        }
        self.progress_changed(id);
        self.close_if_idle(id);
    }

    /// Records that a pass over the queue considered the step, and why its tasks still wait.
    pub(crate) fn record_wait(&mut self, step_ref: StepRef, cause: Cause, now_ms: u64) {
        if let Some(state) = self
            .by_id
            .get_mut(&step_ref.job)
            .and_then(|job| job.step_state_mut(step_ref))
        {
            state.add_wait_cause(cause, now_ms);
        }
    }

    /// Sets the position of a step in the queue; returns the former one if it differs.
    pub(crate) fn reposition(&mut self, key: QueueKey) -> Option<QueueKey> {
        let state = self
            .by_id
            .get_mut(&key.step_ref.job)?
            .step_state_mut(key.step_ref)?;
        state.enter_queue(key).filter(|before| *before != key)
    }

    /// Takes a step out of the queue; no effect if it is not queued.
    pub(crate) fn dequeue(&mut self, step_ref: StepRef) {
        let Some(job) = self.by_id.get_mut(&step_ref.job) else {
            return;
        };
        if let Some(key) = job
            .step_state_mut(step_ref)
            .and_then(StepState::leave_queue)
        {
            let service = job.service().to_owned();
            self.events
                .push_back(JobEvent::StepDequeued { service, key });
        }
    }

    /// Requests that the job's progress row be written.
    pub(super) fn progress_changed(&mut self, id: JobId) {
        self.events.push_back(JobEvent::ProgressChanged(id));
    }

    /// Puts a step into the queue if it has waiting tasks and is not queued yet.
    pub(super) fn enqueue(&mut self, step_ref: StepRef, clock: &Clock) {
        let now_ms = clock.now_ms();
        let Some(job) = self.by_id.get_mut(&step_ref.job) else {
            return;
        };
        let Some(state) = job
            .step_state_mut(step_ref)
            .filter(|state| state.needs_queueing())
        else {
            return;
        };
        state.begin_wait(now_ms);
        let key = job.queue_key(step_ref, now_ms);
        if let Some(state) = job.step_state_mut(step_ref) {
            state.enter_queue(key);
        }
        let need = job.step(step_ref.step).map(StepNeed::of);
        self.events.push_back(JobEvent::StepEnqueued {
            service: job.service().to_owned(),
            key,
            need: need.unwrap_or_default(),
        });
    }

    /// Makes a task wait for placement again. A gang is requeued as a whole once no member runs; until then, members that
    /// still run are stopped.
    pub(super) fn requeue_task(&mut self, task: TaskName, clock: &Clock) {
        let (step_ref, now_ms) = (StepRef::of(&task), clock.now_ms());
        let Some(job) = self.by_id.get_mut(&step_ref.job) else {
            return;
        };
        let is_gang = job.step(step_ref.step).is_some_and(|step| step.gang);
        let Some(state) = job.step_state_mut(step_ref) else {
            return;
        };
        if !is_gang {
            state.mark_waiting(task.index, now_ms);
            return self.enqueue(step_ref, clock);
        }
        let running_tasks = state.running_tasks();
        if running_tasks.is_empty() {
            state.mark_all_waiting(now_ms);
            return self.enqueue(step_ref, clock);
        }
        let stops = running_tasks
            .into_iter()
            .map(|index| JobEvent::StopTask(step_ref.task(index)));
        self.events.extend(stops);
    }

    /// Completes a task of which a run has ended `done`; for a gang, one such end completes all members.
    pub(super) fn complete_task(&mut self, task: TaskName, clock: &Clock) {
        let step_ref = StepRef::of(&task);
        let Some(job) = self.by_id.get_mut(&step_ref.job) else {
            return;
        };
        let is_gang = job.step(step_ref.step).is_some_and(|step| step.gang);
        let Some(state) = job.step_state_mut(step_ref) else {
            return;
        };
        let newly_done = state.complete(state.members(task.index, is_gang));
        let (step_done, nothing_waits) = (state.is_done(), state.waiting().is_empty());
        self.load.tasks_closed(u64::from(newly_done));
        self.progress_changed(step_ref.job);
        if nothing_waits {
            self.dequeue(step_ref);
        }
        if step_done && newly_done > 0 {
            self.make_steps_ready(
                step_ref.job,
                step_ref.repeat,
                self.latency_until(&task),
                clock,
            );
            self.record_repeat_end(&task, clock);
            self.close_repeat_if_finished(step_ref.job, step_ref.repeat, clock);
        }
    }

    /// Completes the job if all its tasks are done; otherwise removes the repetition if it has finished.
    pub(super) fn close_repeat_if_finished(&mut self, id: JobId, repeat: u32, clock: &Clock) {
        let Some(job) = self.by_id.get_mut(&id) else {
            return;
        };
        if !job.has_ended() && job.is_complete() {
            return self.end(id, JobState::Completed, clock);
        }
        if job.remove_finished_repeat(repeat) {
            self.progress_changed(id);
            self.schedule_next_repeat(id, clock);
        }
    }

    /// Closes an ended job without outstanding runs: discards all but its end, and schedules its removal.
    pub(super) fn close_if_idle(&mut self, id: JobId) {
        let Some(job) = self.by_id.get_mut(&id) else {
            return;
        };
        let Some(end) = job.end().filter(|_| !job.has_outstanding_runs()) else {
            return;
        };
        job.discard_progress();
        self.events.push_back(JobEvent::Closed(id));
        self.progress_changed(id);
        self.schedule_expiry(id, end.wall_ms);
    }

    /// Computes the value of a job relative to the other jobs of its route.
    fn update_value(&mut self, id: JobId) {
        if let Some(job) = self.by_id.get_mut(&id) {
            job.set_value(self.queue_values.value(job.route(), job.work()));
        }
    }

    /// Schedules the opening of the job's next repetition, or opens it at once if it has no due time. Does nothing while
    /// too many repetitions are open; the end of one of them calls this again.
    fn schedule_next_repeat(&mut self, id: JobId, clock: &Clock) {
        let Some(job) = self.by_id.get(&id).filter(|job| job.may_open_repeat()) else {
            return;
        };
        match job.due_wall_ms(job.next_repeat()) {
            Some(wall_ms) => self.due.add_repetition(DueJob { wall_ms, job: id }),
            None => self.open_repeat(id, clock.now_ms() as i64, clock),
        }
    }

    /// Opens the next repetition, which was due at `due_ms` of the monotonic clock.
    fn open_repeat(&mut self, id: JobId, due_ms: i64, clock: &Clock) {
        let Some(job) = self.by_id.get_mut(&id) else {
            return;
        };
        let number = job.open_repeat(due_ms);
        let steps = job.steps().iter();
        let opened_tasks = steps.map(|step| u64::from(step.count)).sum();
        self.load.tasks_opened(opened_tasks);
        self.progress_changed(id);
        self.make_steps_ready(id, number, latency_before_opening(due_ms, clock), clock);
        self.schedule_next_repeat(id, clock);
    }

    /// Makes the idle tasks of all ready steps of a repetition wait for placement. `latency` is the latency breakdown from
    /// the due time of the repetition until now.
    fn make_steps_ready(
        &mut self,
        id: JobId,
        repeat: u32,
        latency: LatencyBreakdown,
        clock: &Clock,
    ) {
        let Some(job) = self.by_id.get(&id) else {
            return;
        };
        for step in job.ready_steps(repeat) {
            let step_ref = StepRef {
                job: id,
                repeat,
                step,
            };
            self.make_step_ready(step_ref, latency, clock);
        }
    }

    /// Makes the idle tasks of a ready step wait for placement; those of a gang only if no member runs.
    fn make_step_ready(&mut self, step_ref: StepRef, latency: LatencyBreakdown, clock: &Clock) {
        let Some(job) = self.by_id.get_mut(&step_ref.job) else {
            return;
        };
        let is_gang = job.step(step_ref.step).is_some_and(|step| step.gang);
        let Some(state) = job.step_state_mut(step_ref) else {
            return;
        };
        if is_gang && !state.is_idle() {
            return;
        }
        state.make_ready(latency, clock.now_ms());
        self.enqueue(step_ref, clock);
    }

    /// Takes all steps of a job out of the queue; returns those that were queued.
    fn leave_queue(&mut self, id: JobId) -> Vec<StepRef> {
        let Some(job) = self.by_id.get(&id) else {
            return Vec::new();
        };
        let steps = job.queued_steps(id);
        steps.iter().for_each(|step_ref| self.dequeue(*step_ref));
        steps
    }

    /// Schedules the removal of a job that ended at `end_wall_ms` (Unix time) for the end of its retention time.
    fn schedule_expiry(&mut self, id: JobId, end_wall_ms: u64) {
        let wall_ms = end_wall_ms + self.retention_ms;
        self.due.add_expiry(DueJob { wall_ms, job: id });
    }
}

//! Lifecycle of a job: it is accepted, repetitions fall due, steps become ready, tasks wait and are done, the job ends
//! and is forgotten.

use crate::clock::Clock;
use crate::definition::{JobEnd, Terms};
use crate::jobs::due_jobs::DueJob;
use crate::jobs::late_ends::latency_before_opening;
use crate::jobs::{Job, JobEvent, Jobs, StepState};
use crate::latency::{Cause, LatencyBreakdown};
use crate::queue::{QueueKey, StepRef};
use indigofold_protocol::job::JobState;
use indigofold_protocol::task::{JobId, TaskName};

/// Ended jobs are shown for so much longer than required, since clocks differ.
const KEEP_MARGIN_MS: u64 = 30_000;

/// How long the end of a job is shown, if `status_s` seconds are required.
pub(crate) fn shown_ms(status_s: u64) -> u64 {
    status_s * 1_000 + KEEP_MARGIN_MS
}

impl Jobs {
    /// Accepts a job. Its first repetition is opened if it has no set times.
    pub(crate) fn accept(&mut self, id: JobId, job: Job, clock: &Clock) {
        self.load.job_pending(job.route());
        self.by_id.insert(id, job);
        self.update_value(id);
        self.load.job_opened();
        self.events.push_back(JobEvent::Accepted(id));
        self.progress_changed(id);
        self.await_next_repeat(id, clock);
    }

    /// Takes over a job as its rows have it.
    pub(crate) fn restore(&mut self, id: JobId, job: Job, clock: &Clock) {
        self.by_id.insert(id, job);
        let Some(job) = self.by_id.get(&id) else {
            return;
        };
        if let Some(end) = job.end() {
            // Runs that are left are stopped as their workers report.
            if !job.has_outstanding_runs() {
                self.await_expiry(id, end.wall_ms);
            }
            return;
        }
        self.load.job_opened();
        self.load.tasks_opened(job.open_tasks());
        if !job.is_started() {
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
        self.await_next_repeat(id, clock);
    }

    /// Opens all repetitions that are due.
    pub(crate) fn open_due_repeats(&mut self, clock: &Clock) {
        while let Some(due) = self.due.pop_repetition(clock.wall_ms()) {
            self.open_repeat(due.job, clock.steady_ms(due.wall_ms), clock);
        }
    }

    /// Forgets jobs that ended long ago.
    pub(crate) fn forget_ended(&mut self, clock: &Clock) {
        while let Some(due) = self.due.pop_expiry(clock.wall_ms()) {
            self.by_id.remove(&due.job);
            self.events.push_back(JobEvent::Forgotten(due.job));
        }
    }

    /// The job's tasks run at this service and on these terms from now on.
    pub(crate) fn reroute(&mut self, id: JobId, service: &str, terms: Terms, clock: &Clock) {
        let queued = self.leave_queue(id);
        if let Some(job) = self.by_id.get_mut(&id) {
            job.reroute(service, terms);
        }
        queued.into_iter().for_each(|at| self.enqueue(at, clock));
    }

    /// Ends a job. What still runs is stopped once that is committed.
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
        if !job.is_started() {
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

    /// A step was looked at and still waits.
    pub(crate) fn record_wait(&mut self, at: StepRef, cause: Cause, now_ms: u64) {
        if let Some(state) = self
            .by_id
            .get_mut(&at.job)
            .and_then(|job| job.step_state_mut(at))
        {
            state.waited_for(cause, now_ms);
        }
    }

    /// A step has another position in the queue; returns the former one if it differs.
    pub(crate) fn reposition(&mut self, key: QueueKey) -> Option<QueueKey> {
        let state = self.by_id.get_mut(&key.at.job)?.step_state_mut(key.at)?;
        state.enter_queue(key).filter(|before| *before != key)
    }

    /// Takes a step out of the queue.
    pub(crate) fn dequeue(&mut self, at: StepRef) {
        let Some(job) = self.by_id.get_mut(&at.job) else {
            return;
        };
        if let Some(key) = job.step_state_mut(at).and_then(StepState::leave_queue) {
            let service = job.service().to_owned();
            self.events.push_back(JobEvent::StepLeft { service, key });
        }
    }

    /// The job's progress is to be written.
    pub(super) fn progress_changed(&mut self, id: JobId) {
        self.events.push_back(JobEvent::ProgressChanged(id));
    }

    /// Puts a step into the queue if tasks of it wait.
    pub(super) fn enqueue(&mut self, at: StepRef, clock: &Clock) {
        let now_ms = clock.now_ms();
        let Some(job) = self.by_id.get_mut(&at.job) else {
            return;
        };
        let Some(state) = job
            .step_state_mut(at)
            .filter(|state| state.needs_queueing())
        else {
            return;
        };
        state.begin_wait(now_ms);
        let key = job.queue_key(at, now_ms);
        if let Some(state) = job.step_state_mut(at) {
            state.enter_queue(key);
        }
        let service = job.service().to_owned();
        self.events.push_back(JobEvent::StepReady { service, key });
    }

    /// A task is to be placed (again). A gang waits until no member runs; those that do are stopped.
    pub(super) fn requeue_task(&mut self, task: TaskName, clock: &Clock) {
        let (at, now_ms) = (StepRef::of(&task), clock.now_ms());
        let Some(job) = self.by_id.get_mut(&at.job) else {
            return;
        };
        let gang = job.step(at.step).is_some_and(|step| step.gang);
        let Some(state) = job.step_state_mut(at) else {
            return;
        };
        if !gang {
            state.wait(task.index, now_ms);
            return self.enqueue(at, clock);
        }
        let running = state.running_tasks();
        if running.is_empty() {
            state.wait_all(now_ms);
            return self.enqueue(at, clock);
        }
        let stops = running
            .into_iter()
            .map(|index| JobEvent::StopTask(at.task(index)));
        self.events.extend(stops);
    }

    /// A run of the task has ended `done`; one such end counts for a whole gang.
    pub(super) fn complete_task(&mut self, task: TaskName, clock: &Clock) {
        let at = StepRef::of(&task);
        let Some(job) = self.by_id.get_mut(&at.job) else {
            return;
        };
        let gang = job.step(at.step).is_some_and(|step| step.gang);
        let Some(state) = job.step_state_mut(at) else {
            return;
        };
        let newly = state.complete(state.members(task.index, gang));
        let (step_done, nothing_waits) = (state.is_done(), state.waiting().is_empty());
        self.load.tasks_closed(u64::from(newly));
        self.progress_changed(at.job);
        if nothing_waits {
            self.dequeue(at);
        }
        if step_done && newly > 0 {
            self.make_steps_ready(at.job, at.repeat, self.latency_until(&task), clock);
            self.record_repeat_end(&task, clock);
            self.close_repeat_if_finished(at.job, at.repeat, clock);
        }
    }

    /// Removes a repetition that has ended; ends the job if it was the last.
    pub(super) fn close_repeat_if_finished(&mut self, id: JobId, repeat: u32, clock: &Clock) {
        let Some(job) = self.by_id.get_mut(&id) else {
            return;
        };
        if !job.has_ended() && job.is_complete() {
            return self.end(id, JobState::Completed, clock);
        }
        if job.remove_finished_repeat(repeat) {
            self.progress_changed(id);
            self.await_next_repeat(id, clock);
        }
    }

    /// Keeps of an ended job without outstanding runs its end alone.
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
        self.await_expiry(id, end.wall_ms);
    }

    /// Works out the value of a job in relation to the others of its queue.
    fn update_value(&mut self, id: JobId) {
        if let Some(job) = self.by_id.get_mut(&id) {
            job.set_value(self.queue_values.value(job.route(), job.work()));
        }
    }

    /// Lets the job's next repetition be opened when it is due, unless so many are open that others have to end first.
    fn await_next_repeat(&mut self, id: JobId, clock: &Clock) {
        let Some(job) = self.by_id.get(&id).filter(|job| job.may_open_repeat()) else {
            return;
        };
        match job.due_wall_ms(job.next_repeat()) {
            Some(wall_ms) => self.due.add_repetition(DueJob { wall_ms, job: id }),
            None => self.open_repeat(id, clock.now_ms() as i64, clock),
        }
    }

    /// Opens the next repetition, which was due at this time of the steady clock.
    fn open_repeat(&mut self, id: JobId, due_ms: i64, clock: &Clock) {
        let Some(job) = self.by_id.get_mut(&id) else {
            return;
        };
        let number = job.open_repeat(due_ms);
        let steps = job.steps().iter();
        let opened = steps.map(|step| u64::from(step.count)).sum();
        self.load.tasks_opened(opened);
        self.progress_changed(id);
        self.make_steps_ready(id, number, latency_before_opening(due_ms, clock), clock);
        self.await_next_repeat(id, clock);
    }

    /// Makes all tasks wait whose steps are ready and that neither wait, run nor are done. `latency`: where the time
    /// went until now.
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
            let at = StepRef {
                job: id,
                repeat,
                step,
            };
            self.make_step_ready(at, latency, clock);
        }
    }

    /// Makes the tasks of a ready step wait that neither wait, run nor are done; of a gang only if no member runs.
    fn make_step_ready(&mut self, at: StepRef, latency: LatencyBreakdown, clock: &Clock) {
        let Some(job) = self.by_id.get_mut(&at.job) else {
            return;
        };
        let gang = job.step(at.step).is_some_and(|step| step.gang);
        let Some(state) = job.step_state_mut(at) else {
            return;
        };
        if gang && !state.is_idle() {
            return;
        }
        state.make_ready(latency, clock.now_ms());
        self.enqueue(at, clock);
    }

    /// Takes all steps of a job out of the queue; returns which were in.
    fn leave_queue(&mut self, id: JobId) -> Vec<StepRef> {
        let Some(job) = self.by_id.get(&id) else {
            return Vec::new();
        };
        let steps = job.queued_steps(id);
        steps.iter().for_each(|at| self.dequeue(*at));
        steps
    }

    /// The job, which ended at this time of day, is forgotten once its end has been shown for long enough.
    fn await_expiry(&mut self, id: JobId, end_wall_ms: u64) {
        let wall_ms = end_wall_ms + self.shown_ms;
        self.due.add_expiry(DueJob { wall_ms, job: id });
    }
}

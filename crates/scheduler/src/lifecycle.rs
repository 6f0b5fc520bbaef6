//! Lifecycle of a job: repetitions fall due, steps become ready, tasks wait and are done, the job
//! ends and is forgotten.

use crate::definition::JobEnd;
use crate::due_jobs::DueJob;
use crate::job::Job;
use crate::latency::LatencyBreakdown;
use crate::queue::StepRef;
use crate::state::ClusterState;
use indigofold_protocol::job::JobState;
use indigofold_protocol::task::{JobId, TaskName};

/// Ended jobs are shown for so much longer than required, since clocks differ.
const KEEP_MARGIN_MS: u64 = 30_000;

impl ClusterState {
    /// Lets the job's next repetition be opened when it is due, unless so many are open that others have to end first.
    pub(crate) fn await_next_repeat(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.end.is_some() || job.next_repeat >= job.repeat_total() {
            return;
        }
        if job.repeats.len() >= job.repeats_open_max() {
            return;
        }
        match job.due_wall_ms(job.next_repeat) {
            Some(wall_ms) => {
                self.due.add_repetition(DueJob { wall_ms, job: id });
            }
            None => self.open_repeat(id, self.now_ms as i64),
        }
    }

    /// Opens all repetitions that are due.
    pub(crate) fn open_due_repeats(&mut self) {
        let wall_ms = self.clock.wall_ms(self.now_ms);
        while let Some(due) = self.due.pop_repetition(wall_ms) {
            self.open_repeat(due.job, self.clock.steady_ms(due.wall_ms));
        }
    }

    /// Opens the next repetition, which was due at this time of the steady clock.
    fn open_repeat(&mut self, id: JobId, due_ms: i64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let repeat = job.next_repeat;
        job.next_repeat += 1;
        let fresh = job.fresh_repeat(due_ms);
        let opened = fresh
            .steps
            .iter()
            .map(|step| step.tasks.len() as u64)
            .sum::<u64>();
        self.load.tasks_opened(opened);
        job.repeats.insert(repeat, fresh);
        self.set_dirty(id);
        self.ready_steps(id, repeat, self.latency_before_opening(due_ms));
        self.await_next_repeat(id);
    }

    /// Makes all tasks wait whose steps are ready and that neither wait, run nor are done. `latency`: where the time
    /// went until now.
    pub(crate) fn ready_steps(&mut self, id: JobId, repeat: u32, latency: LatencyBreakdown) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        for step in job.ready_steps(repeat) {
            let at = StepRef {
                job: id,
                repeat,
                step,
            };
            self.await_idle_tasks(at, latency);
        }
    }

    /// Makes the tasks of a ready step wait that neither wait, run nor are done; of a gang only if no member runs.
    fn await_idle_tasks(&mut self, at: StepRef, latency: LatencyBreakdown) {
        let now_ms = self.now_ms;
        let gang = self.jobs.step(at).is_some_and(|step| step.gang);
        let state = self
            .jobs
            .get_mut(&at.job)
            .and_then(|job| job.step_state_mut(at));
        let Some(state) = state else {
            return;
        };
        if gang && !state.running_tasks().is_empty() {
            return;
        }
        let idle = state.idle_tasks();
        if state.queued.is_none() && !idle.is_empty() {
            state.latency_until_ready = latency;
        }
        idle.into_iter().for_each(|index| state.wait(index, now_ms));
        self.enqueue(at);
    }

    /// Puts a step into its service's queue if tasks of it wait.
    pub(crate) fn enqueue(&mut self, at: StepRef) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&at.job) else {
            return;
        };
        let Some(state) = job.step_state_mut(at) else {
            return;
        };
        if state.waiting.is_empty() || state.queued.is_some() {
            return;
        }
        state.waiting_since_ms = now_ms;
        state.waits = LatencyBreakdown::default();
        let (key, service) = (job.queue_key(at, now_ms), job.service.clone());
        let Some(state) = job.step_state_mut(at) else {
            return;
        };
        state.queued = Some(key);
        self.services.entry(&service).enqueue(key);
    }

    /// Takes a step out of its service's queue.
    pub(crate) fn dequeue(&mut self, at: StepRef) {
        let Some(job) = self.jobs.get_mut(&at.job) else {
            return;
        };
        let service = job.service.clone();
        if let Some(key) = job.step_state_mut(at).and_then(|state| state.queued.take()) {
            self.services.entry(&service).dequeue(&key);
        }
    }

    /// Takes all steps of a job out of its service's queue; returns which were in.
    pub(crate) fn dequeue_job(&mut self, id: JobId) -> Vec<StepRef> {
        let Some(job) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let steps = job.repeats.iter().flat_map(|(&repeat, state)| {
            let queued = state
                .steps
                .iter()
                .enumerate()
                .filter(|(_, step)| step.queued.is_some());
            queued.map(move |(step, _)| StepRef {
                job: id,
                repeat,
                step: step as u32,
            })
        });
        let steps: Vec<StepRef> = steps.collect();
        steps.iter().for_each(|at| self.dequeue(*at));
        steps
    }

    /// A task is to be placed (again). A gang waits until no member runs; those that do are stopped.
    pub(crate) fn requeue_task(&mut self, task: TaskName) {
        let (at, now_ms) = (StepRef::of(&task), self.now_ms);
        let Some(job) = self.jobs.get_mut(&at.job) else {
            return;
        };
        if !job.step(at.step).is_some_and(|step| step.gang) {
            if let Some(state) = job.step_state_mut(at) {
                state.wait(task.index, now_ms);
            }
            return self.enqueue(at);
        }
        let Some(state) = job.step_state_mut(at) else {
            return;
        };
        let running = state.running_tasks();
        if running.is_empty() {
            (0..state.tasks.len() as u32).for_each(|index| state.wait(index, now_ms));
            return self.enqueue(at);
        }
        running
            .into_iter()
            .for_each(|index| self.stop_task(at.task(index)));
    }

    /// A run of the task has ended `done`; one such end counts for a whole gang.
    pub(crate) fn task_done(&mut self, task: TaskName) {
        let at = StepRef::of(&task);
        let Some(job) = self.jobs.get_mut(&at.job) else {
            return;
        };
        let gang = job.step(at.step).is_some_and(|step| step.gang);
        let Some(state) = job.step_state_mut(at) else {
            return;
        };
        let newly = state.complete(state.members(task.index, gang));
        let (step_done, idle) = (state.is_done(), state.waiting.is_empty());
        self.load.tasks_closed(u64::from(newly));
        self.set_dirty(at.job);
        if idle {
            self.dequeue(at);
        }
        if step_done && newly > 0 {
            self.ready_steps(at.job, at.repeat, self.latency_until(&task));
            self.record_repeat_end(&task);
            self.close_repeat_if_finished(at.job, at.repeat);
        }
    }

    /// Reports a repetition that this task has completed late.
    fn record_repeat_end(&mut self, task: &TaskName) {
        let repeat = self
            .jobs
            .get(&task.job)
            .and_then(|job| job.repeats.get(&task.repeat));
        if repeat.is_some_and(super::job::Repetition::is_done) {
            self.record_late_end(task, JobState::Completed);
        }
    }

    /// Removes a repetition that has ended; ends the job if it was the last.
    pub(crate) fn close_repeat_if_finished(&mut self, id: JobId, repeat: u32) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.end.is_none() && job.is_complete() {
            return self.end_job(id, JobState::Completed);
        }
        if job
            .repeats
            .get(&repeat)
            .is_some_and(super::job::Repetition::is_finished)
        {
            job.repeats.remove(&repeat);
            self.set_dirty(id);
            self.await_next_repeat(id);
        }
    }

    /// Ends a job. What still runs is stopped once that is committed.
    pub(crate) fn end_job(&mut self, id: JobId, state: JobState) {
        let wall_ms = self.clock.wall_ms(self.now_ms);
        let _ = self.dequeue_job(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.end = Some(JobEnd { state, wall_ms });
        if let Some(wall_ms) = job.due_wall_ms(job.next_repeat) {
            self.due.remove_repetition(DueJob { wall_ms, job: id });
        }
        self.load.job_ended(open_tasks(job));
        if !job.started {
            self.no_longer_pending(id);
        }
        self.set_dirty(id);
        let runs = self
            .jobs
            .get(&id)
            .map(|job| job.outstanding_runs(id))
            .unwrap_or_default();
        if state != JobState::Completed {
            runs.into_iter()
                .for_each(|outstanding| self.stop_ended(outstanding.run));
        }
        self.close_job_if_idle(id);
    }

    /// Something of the job has been started, or it has ended.
    pub(crate) fn no_longer_pending(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get(&id) {
            self.load.job_no_longer_pending(&job.definition.route);
        }
    }

    /// Keeps of an ended job without outstanding runs its end alone.
    pub(crate) fn close_job_if_idle(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(end) = job.end.filter(|_| job.outstanding == 0) else {
            return;
        };
        job.discard_progress();
        self.outbox.job_closed(id);
        self.set_dirty(id);
        self.await_expiry(id, end.wall_ms);
    }

    /// The job, which ended at this time of day, is forgotten once its end has been shown for long enough.
    pub(crate) fn await_expiry(&mut self, id: JobId, end_wall_ms: u64) {
        let wall_ms = end_wall_ms + self.bounds.status_s * 1_000 + KEEP_MARGIN_MS;
        self.due.add_expiry(DueJob { wall_ms, job: id });
    }

    /// Forgets jobs that ended long ago.
    pub(crate) fn forget_ended(&mut self) {
        let wall_ms = self.clock.wall_ms(self.now_ms);
        while let Some(due) = self.due.pop_expiry(wall_ms) {
            self.jobs.remove(&due.job);
            self.outbox.job_forgotten(due.job);
        }
    }
}

/// Tasks of a job that are not done, in the repetitions that have been opened.
pub(crate) fn open_tasks(job: &Job) -> u64 {
    let steps = job.repeats.values().flat_map(|repeat| &repeat.steps);
    steps
        .map(|step| step.tasks.len() as u64 - u64::from(step.done))
        .sum()
}

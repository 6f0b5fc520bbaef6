//! Where the time of a job went that ended after its objective, or failed: along the chain of tasks that decided its
//! end, each of which was the last of its step to be done.

use crate::job::{Run, StepState};
use crate::queue::StepRef;
use crate::runs::RunResult;
use crate::scheduler::Scheduler;
use indigofold_protocol::job::JobState;
use indigofold_protocol::task::{JobId, TaskName};
use indigofold_protocol::worker::RunEnd;
use std::fmt::{self, Display, Formatter};

/// What a part of a job's time was spent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Due, but not in the hands of this scheduler.
    Predecessor,
    /// Waiting behind other steps.
    Queue,
    /// First in turn, waiting for room on any worker.
    Capacity,
    /// Waiting for room near the data, in one rack, or for a whole gang.
    Locality,
    /// Placed, waiting for the write.
    Commit,
    /// Ordered, not yet listed by the worker.
    Dispatch,
    /// At work, done in the end.
    Run,
    /// The part of such work that being away from the data or the rack has cost.
    Remote,
    /// Work that failed.
    Failed,
    /// Work that was stopped, or never started.
    Stopped,
    /// Work that was lost with its worker.
    Lost,
}

/// All causes, in the order of the job's way.
const CAUSES: [(Cause, &str); 11] = [
    (Cause::Predecessor, "before"),
    (Cause::Queue, "turn"),
    (Cause::Capacity, "room"),
    (Cause::Locality, "place"),
    (Cause::Commit, "commit"),
    (Cause::Dispatch, "way"),
    (Cause::Run, "run"),
    (Cause::Remote, "away"),
    (Cause::Failed, "failed"),
    (Cause::Stopped, "stopped"),
    (Cause::Lost, "lost"),
];

/// Milliseconds by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencyBreakdown([u32; CAUSES.len()]);

/// A job, or one of its repetitions, that ended after its objective or failed.
#[derive(Clone, Debug, PartialEq)]
pub struct LateEnd {
    /// The job.
    pub job: JobId,
    /// Repetition.
    pub repeat: u32,
    /// Name of its queue's route.
    pub route: String,
    /// `Completed` or `Failed`.
    pub state: JobState,
    /// Time from when it was due to its end, in milliseconds.
    pub took_ms: u64,
    /// Its objective on that, in milliseconds.
    pub latency_target_ms: u64,
    /// Where the time went.
    pub breakdown: LatencyBreakdown,
}

impl LatencyBreakdown {
    /// Time spent on one cause, in milliseconds.
    pub fn of(&self, cause: Cause) -> u64 {
        u64::from(self.0[cause as usize])
    }

    fn total_ms(&self) -> u64 {
        self.0.iter().copied().map(u64::from).sum()
    }

    fn add(&mut self, cause: Cause, ms: u64) {
        let sum = &mut self.0[cause as usize];
        *sum = sum.saturating_add(u32::try_from(ms).unwrap_or(u32::MAX));
    }

    fn add_all(&mut self, other: &LatencyBreakdown) {
        CAUSES
            .iter()
            .for_each(|(cause, _)| self.add(*cause, other.of(*cause)));
    }

    /// Adds a wait of `ms`, shared among causes as `observed` is; with nothing seen it was for its turn.
    fn add_wait(&mut self, ms: u64, observed: &LatencyBreakdown) {
        let total_ms = observed.total_ms();
        if total_ms == 0 {
            return self.add(Cause::Queue, ms);
        }
        CAUSES
            .iter()
            .for_each(|(cause, _)| self.add(*cause, ms * observed.of(*cause) / total_ms));
    }

    /// Adds a run that is over.
    fn add_run(&mut self, run: &Run, result: RunResult, now_ms: u64) {
        let spent_ms = now_ms.saturating_sub(run.placed_ms);
        match result {
            RunResult::Ended(RunEnd::Done) => {}
            RunResult::Ended(RunEnd::Failed) => return self.add(Cause::Failed, spent_ms),
            RunResult::Lost => return self.add(Cause::Lost, spent_ms),
            RunResult::Ended(_) | RunResult::NotStarted => {
                return self.add(Cause::Stopped, spent_ms);
            }
        }
        let sent_ms = run.sent_ms.max(run.placed_ms);
        let began_ms = run.began_ms.unwrap_or(sent_ms).max(sent_ms);
        let ran_ms = now_ms.saturating_sub(began_ms);
        let local_ms = (ran_ms as f64 / run.remote_factor.max(1.0)) as u64;
        self.add(Cause::Commit, sent_ms - run.placed_ms);
        self.add(Cause::Dispatch, began_ms - sent_ms);
        self.add(Cause::Run, local_ms);
        self.add(Cause::Remote, ran_ms - local_ms);
    }
}

impl Display for LatencyBreakdown {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let spent = CAUSES.iter().filter(|(cause, _)| self.of(*cause) > 0);
        for (number, (cause, name)) in spent.enumerate() {
            let comma = if number > 0 { ", " } else { "" };
            write!(formatter, "{comma}{name} {}", self.of(*cause))?;
        }
        Ok(())
    }
}

impl Display for LateEnd {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let end = if self.state == JobState::Failed {
            "failed"
        } else {
            "ended late"
        };
        let LateEnd {
            job,
            repeat,
            route,
            took_ms,
            latency_target_ms,
            breakdown,
            ..
        } = self;
        write!(
            formatter,
            "job {job}.{repeat} of {route} {end} after {took_ms} ms, objective {latency_target_ms} ms: {breakdown}"
        )
    }
}

impl StepState {
    /// The step has waited for this since it was looked at last.
    pub(crate) fn waited_for(&mut self, cause: Cause, now_ms: u64) {
        let since_ms = self.looked_at_ms.max(self.waiting_since_ms);
        self.waits.add(cause, now_ms.saturating_sub(since_ms));
        self.looked_at_ms = now_ms;
    }

    /// A task has waited until now.
    pub(crate) fn end_wait(&mut self, index: u32, now_ms: u64) {
        let waits = self.waits;
        if let Some(task) = self.tasks.get_mut(index as usize) {
            task.latency
                .add_wait(now_ms.saturating_sub(task.waits_since_ms), &waits);
        }
    }
}

impl Scheduler {
    /// A step was looked at and still waits.
    pub(crate) fn record_wait(&mut self, at: StepRef, cause: Cause) {
        let now_ms = self.now_ms;
        if let Some(state) = self
            .jobs
            .get_mut(&at.job)
            .and_then(|job| job.step_state_mut(at))
        {
            state.waited_for(cause, now_ms);
        }
    }

    /// A run of a task is over.
    pub(crate) fn record_run_latency(&mut self, task: &TaskName, run: &Run, result: RunResult) {
        let now_ms = self.now_ms;
        if let Some(entry) = self
            .jobs
            .get_mut(&task.job)
            .and_then(|job| job.task_mut(task))
        {
            entry.latency.add_run(run, result, now_ms);
        }
    }

    /// Time that went before a repetition was opened here.
    pub(crate) fn latency_before_opening(&self, due_ms: i64) -> LatencyBreakdown {
        let mut latency = LatencyBreakdown::default();
        latency.add(
            Cause::Predecessor,
            (self.now_ms as i64).saturating_sub(due_ms).max(0) as u64,
        );
        latency
    }

    /// Where the time went from the repetition's due time to the end of this task.
    pub(crate) fn latency_until(&self, task: &TaskName) -> LatencyBreakdown {
        let job = self.jobs.get(&task.job);
        let mut latency = job
            .and_then(|job| job.step_state(StepRef::of(task)))
            .map_or_else(LatencyBreakdown::default, |s| s.chain);
        if let Some(entry) = job.and_then(|job| job.task(task)) {
            latency.add_all(&entry.latency);
        }
        latency
    }

    /// A repetition has ended with this task; if that is late, or it has failed, its delays are told.
    pub(crate) fn record_late_end(&mut self, task: &TaskName, state: JobState) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(repeat) = job.repeats.get(&task.repeat) else {
            return;
        };
        let took_ms = (self.now_ms as i64).saturating_sub(repeat.due_ms).max(0) as u64;
        let latency_target_ms = job.latency_target_ms();
        if state == JobState::Completed && took_ms <= latency_target_ms {
            return;
        }
        let (job_id, repeat, route) = (task.job, task.repeat, job.definition.route.clone());
        let breakdown = self.latency_until(task);
        self.late.push(LateEnd {
            job: job_id,
            repeat,
            route,
            state,
            took_ms,
            latency_target_ms,
            breakdown,
        });
    }
}

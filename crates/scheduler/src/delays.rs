//! Where the time of a job went that ended after its objective, or failed: along the chain of tasks that decided its
//! end, each of which was the last of its step to be done.

use crate::job::{Run, StepState};
use crate::queue::StepRef;
use crate::runs::Over;
use crate::scheduler::Scheduler;
use indigofold_protocol::job::JobState;
use indigofold_protocol::task::{JobId, TaskName};
use indigofold_protocol::worker::RunEnd;
use std::fmt::{self, Display, Formatter};

/// What a part of a job's time was spent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Due, but not in the hands of this scheduler.
    Before,
    /// Waiting behind other steps.
    Turn,
    /// First in turn, waiting for room on any worker.
    Room,
    /// Waiting for room near the data, in one rack, or for a whole gang.
    Place,
    /// Placed, waiting for the write.
    Commit,
    /// Ordered, not yet listed by the worker.
    Way,
    /// At work, done in the end.
    Run,
    /// The part of such work that being away from the data or the rack has cost.
    Away,
    /// Work that failed.
    Failed,
    /// Work that was stopped, or never started.
    Stopped,
    /// Work that was lost with its worker.
    Lost,
}

/// All causes, in the order of the job's way.
const CAUSES: [(Cause, &str); 11] = [
    (Cause::Before, "before"),
    (Cause::Turn, "turn"),
    (Cause::Room, "room"),
    (Cause::Place, "place"),
    (Cause::Commit, "commit"),
    (Cause::Way, "way"),
    (Cause::Run, "run"),
    (Cause::Away, "away"),
    (Cause::Failed, "failed"),
    (Cause::Stopped, "stopped"),
    (Cause::Lost, "lost"),
];

/// Milliseconds by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Delays([u32; CAUSES.len()]);

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
    pub objective_ms: u64,
    /// Where the time went.
    pub delays: Delays,
}

impl Delays {
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

    fn add_all(&mut self, other: &Delays) {
        CAUSES
            .iter()
            .for_each(|(cause, _)| self.add(*cause, other.of(*cause)));
    }

    /// Adds a wait of `ms`, shared among causes as `seen` is; with nothing seen it was for its turn.
    fn add_wait(&mut self, ms: u64, seen: &Delays) {
        let total_ms = seen.total_ms();
        if total_ms == 0 {
            return self.add(Cause::Turn, ms);
        }
        CAUSES
            .iter()
            .for_each(|(cause, _)| self.add(*cause, ms * seen.of(*cause) / total_ms));
    }

    /// Adds a run that is over.
    fn add_run(&mut self, run: &Run, over: Over, now_ms: u64) {
        let spent_ms = now_ms.saturating_sub(run.placed_ms);
        match over {
            Over::Ended(RunEnd::Done) => {}
            Over::Ended(RunEnd::Failed) => return self.add(Cause::Failed, spent_ms),
            Over::Gone => return self.add(Cause::Lost, spent_ms),
            Over::Ended(_) | Over::NotStarted => return self.add(Cause::Stopped, spent_ms),
        }
        let sent_ms = run.sent_ms.max(run.placed_ms);
        let began_ms = run.began_ms.unwrap_or(sent_ms).max(sent_ms);
        let ran_ms = now_ms.saturating_sub(began_ms);
        let near_ms = (ran_ms as f64 / run.far.max(1.0)) as u64;
        self.add(Cause::Commit, sent_ms - run.placed_ms);
        self.add(Cause::Way, began_ms - sent_ms);
        self.add(Cause::Run, near_ms);
        self.add(Cause::Away, ran_ms - near_ms);
    }
}

impl Display for Delays {
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
            objective_ms,
            delays,
            ..
        } = self;
        write!(
            formatter,
            "job {job}.{repeat} of {route} {end} after {took_ms} ms, objective {objective_ms} ms: {delays}"
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
            task.delays
                .add_wait(now_ms.saturating_sub(task.waits_since_ms), &waits);
        }
    }
}

impl Scheduler {
    /// A step was looked at and still waits.
    pub(crate) fn note_wait(&mut self, at: StepRef, cause: Cause) {
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
    pub(crate) fn note_run(&mut self, task: &TaskName, run: &Run, over: Over) {
        let now_ms = self.now_ms;
        if let Some(entry) = self
            .jobs
            .get_mut(&task.job)
            .and_then(|job| job.task_mut(task))
        {
            entry.delays.add_run(run, over, now_ms);
        }
    }

    /// Time that went before a repetition was opened here.
    pub(crate) fn delays_before(&self, due_ms: i64) -> Delays {
        let mut delays = Delays::default();
        delays.add(
            Cause::Before,
            (self.now_ms as i64).saturating_sub(due_ms).max(0) as u64,
        );
        delays
    }

    /// Where the time went from the repetition's due time to the end of this task.
    pub(crate) fn delays_until(&self, task: &TaskName) -> Delays {
        let job = self.jobs.get(&task.job);
        let mut delays = job
            .and_then(|job| job.step_state(StepRef::of(task)))
            .map_or_else(Delays::default, |s| s.chain);
        if let Some(entry) = job.and_then(|job| job.task(task)) {
            delays.add_all(&entry.delays);
        }
        delays
    }

    /// A repetition has ended with this task; if that is late, or it has failed, its delays are told.
    pub(crate) fn note_end(&mut self, task: &TaskName, state: JobState) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(repeat) = job.repeats.get(&task.repeat) else {
            return;
        };
        let took_ms = (self.now_ms as i64).saturating_sub(repeat.due_ms).max(0) as u64;
        let objective_ms = job.objective_ms();
        if state == JobState::Completed && took_ms <= objective_ms {
            return;
        }
        let (job_id, repeat, route) = (task.job, task.repeat, job.definition.route.clone());
        let delays = self.delays_until(task);
        self.late.push(LateEnd {
            job: job_id,
            repeat,
            route,
            state,
            took_ms,
            objective_ms,
            delays,
        });
    }
}

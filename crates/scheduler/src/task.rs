//! Steps of a repetition, their tasks and runs.

use crate::api::AgentId;
use crate::latency::{Cause, LatencyBreakdown};
use crate::queue::QueueKey;
use crate::run_result::RunResult;
use crate::worker::WorkerId;
use indigofold_protocol::worker::RunEnd;
use std::collections::BTreeSet;
use std::ops::Range;

/// One step of a repetition.
#[derive(Debug, Default)]
pub(crate) struct StepState {
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Number of tasks done.
    pub done: u32,
    /// Tasks that are to be placed.
    pub waiting: BTreeSet<u32>,
    /// Position in the queue while something waits.
    pub queued: Option<QueueKey>,
    /// Since when something waits.
    pub waiting_since_ms: u64,
    /// What it has waited for since then, as observed at each pass.
    pub waits: LatencyBreakdown,
    /// When it was looked at last.
    pub looked_at_ms: u64,
    /// Where the time went until the step was ready.
    pub latency_until_ready: LatencyBreakdown,
    /// Checkpoint of the gang as reported last.
    pub gang_checkpoint: String,
    /// Attempts of the gang that have failed.
    pub gang_failures: u32,
    /// The newest of these attempts.
    pub gang_failed_attempt: u32,
}

/// One task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    /// Highest number of a run so far.
    pub last_attempt: u32,
    /// Runs that ended `failed`.
    pub failures: u32,
    /// It is done.
    pub done: bool,
    /// Progress to resume from; empty for none.
    pub checkpoint: String,
    /// Its run that has not ended.
    pub run: Option<Run>,
    /// A speculative run, on another worker; only while `run` is there, and only of `speculative` steps.
    pub speculative_run: Option<Run>,
    /// Worker on which it failed last.
    pub failed_on: Option<WorkerId>,
    /// Since when it waits to be placed.
    pub waits_since_ms: u64,
    /// Where its time went since its step was ready.
    pub latency: LatencyBreakdown,
}

/// A run that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Its number.
    pub attempt: u32,
    /// Where it runs.
    pub worker: WorkerId,
    /// Its order may have left this process.
    pub sent: bool,
    /// When its order left.
    pub sent_ms: u64,
    /// When its worker listed it first.
    pub began_ms: Option<u64>,
    /// Its stop order: where and when it was sent last, if it was.
    pub stop: Option<StopOrder>,
    /// When it was placed.
    pub placed_ms: u64,
    /// It resumes from a checkpoint, or was placed by a predecessor: how long it takes says nothing about its class.
    pub resumed: bool,
    /// It was bound to one kind of workers.
    pub bound: bool,
    /// Factor on its run time on this worker (data or gang on other racks).
    pub remote_factor: f64,
    /// Percentage done, as listed last.
    pub percent: u32,
    /// When that changed last.
    pub percent_ms: u64,
    /// When a report listed it last.
    pub listed_ms: u64,
}

/// A stop that was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopOrder {
    /// Connection on which it was sent.
    pub sent_to: Option<AgentId>,
    /// When it was sent last.
    pub sent_ms: u64,
}

impl Task {
    /// Its runs that have not ended.
    pub(crate) fn runs(&self) -> impl Iterator<Item = &Run> {
        self.run.iter().chain(&self.speculative_run)
    }

    /// Its run on this worker.
    pub(crate) fn run_at(&self, worker: WorkerId) -> Option<&Run> {
        self.runs().find(|run| run.worker == worker)
    }

    /// Its run of this number.
    pub(crate) fn run_mut(&mut self, attempt: u32) -> Option<&mut Run> {
        self.run
            .iter_mut()
            .chain(&mut self.speculative_run)
            .find(|run| run.attempt == attempt)
    }

    /// Takes its run of this number out; a speculative run that is left replaces the run.
    pub(crate) fn take_run(&mut self, attempt: u32) -> Option<Run> {
        if self
            .speculative_run
            .as_ref()
            .is_some_and(|speculative_run| speculative_run.attempt == attempt)
        {
            return self.speculative_run.take();
        }
        let speculative_run = self.speculative_run.take();
        let run = self.run.take_if(|run| run.attempt == attempt);
        match run {
            Some(_) => self.run = speculative_run,
            None => self.speculative_run = speculative_run,
        }
        run
    }
}

impl StepState {
    /// A task is to be placed (again).
    pub(crate) fn wait(&mut self, index: u32, now_ms: u64) {
        let newly = self.waiting.insert(index);
        if let Some(task) = self.tasks.get_mut(index as usize).filter(|_| newly) {
            task.waits_since_ms = now_ms;
        }
    }

    /// All its tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Tasks whose ends count together: all of a gang, or the task alone.
    pub(crate) fn members(&self, index: u32, gang: bool) -> Range<u32> {
        if gang {
            0..self.tasks.len() as u32
        } else {
            index..index + 1
        }
    }

    /// Tasks with a run that has not ended.
    pub(crate) fn running_tasks(&self) -> Vec<u32> {
        self.tasks_where(|task| task.run.is_some())
    }

    /// Tasks that are not done and have no run.
    pub(crate) fn idle_tasks(&self) -> Vec<u32> {
        self.tasks_where(|task| !task.done && task.run.is_none())
    }

    fn tasks_where(&self, condition: impl Fn(&Task) -> bool) -> Vec<u32> {
        let tasks = self.tasks.iter().enumerate();
        tasks
            .filter(|(_, task)| condition(task))
            .map(|(index, _)| index as u32)
            .collect()
    }

    /// These tasks are done; returns for how many that is new.
    pub(crate) fn complete(&mut self, members: Range<u32>) -> u32 {
        let mut newly = 0;
        for index in members {
            let Some(member) = self.tasks.get_mut(index as usize) else {
                continue;
            };
            newly += u32::from(!std::mem::replace(&mut member.done, true));
            self.waiting.remove(&index);
        }
        self.done += newly;
        newly
    }

    /// A run of a task has failed; returns how many attempts of the task, or of its gang, have failed.
    pub(crate) fn record_failure(&mut self, index: u32, run: &Run, gang: bool) -> u32 {
        if gang && run.attempt > self.gang_failed_attempt {
            self.gang_failures += 1;
            self.gang_failed_attempt = run.attempt;
        }
        let mut failures = 0;
        if let Some(task) = self.tasks.get_mut(index as usize) {
            task.failures += 1;
            task.failed_on = Some(run.worker);
            failures = task.failures;
        }
        if gang { self.gang_failures } else { failures }
    }

    /// A run has a checkpoint; any member's serves for its gang, and the newest stays. Returns whether it is new.
    pub(crate) fn store_checkpoint(&mut self, index: u32, gang: bool, checkpoint: &str) -> bool {
        let task = self.tasks.get_mut(index as usize);
        let Some(task) = task.filter(|task| task.checkpoint != checkpoint) else {
            return false;
        };
        checkpoint.clone_into(&mut task.checkpoint);
        if gang {
            checkpoint.clone_into(&mut self.gang_checkpoint);
        }
        true
    }

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

impl Run {
    /// A report lists the run as running.
    pub(crate) fn listed(&mut self, percent: u32, now_ms: u64) {
        self.listed_ms = now_ms;
        self.began_ms.get_or_insert(now_ms);
        if self.percent != percent {
            (self.percent, self.percent_ms) = (percent, now_ms);
        }
    }

    /// Adds the time that the run took, now that it has ended, to the breakdown of its task.
    pub(crate) fn add_latency(
        &self,
        breakdown: &mut LatencyBreakdown,
        result: RunResult,
        now_ms: u64,
    ) {
        let spent_ms = now_ms.saturating_sub(self.placed_ms);
        match result {
            RunResult::Ended(RunEnd::Done) => {}
            RunResult::Ended(RunEnd::Failed) => return breakdown.add(Cause::Failed, spent_ms),
            RunResult::Lost => return breakdown.add(Cause::Lost, spent_ms),
            RunResult::Ended(_) | RunResult::NotStarted => {
                return breakdown.add(Cause::Stopped, spent_ms);
            }
        }
        let sent_ms = self.sent_ms.max(self.placed_ms);
        let began_ms = self.began_ms.unwrap_or(sent_ms).max(sent_ms);
        let ran_ms = now_ms.saturating_sub(began_ms);
        let local_ms = (ran_ms as f64 / self.remote_factor.max(1.0)) as u64;
        breakdown.add(Cause::Commit, sent_ms - self.placed_ms);
        breakdown.add(Cause::Dispatch, began_ms - sent_ms);
        breakdown.add(Cause::Run, local_ms);
        breakdown.add(Cause::Remote, ran_ms - local_ms);
    }
}

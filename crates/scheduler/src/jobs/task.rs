//! One task: its runs, its failures and its checkpoint.

use crate::jobs::run::Run;
use crate::latency::LatencyBreakdown;
use crate::run_result::RunResult;
use crate::worker::WorkerId;

/// One task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    /// Highest number of a run so far.
    last_attempt: u32,
    /// Runs that ended `failed`.
    failures: u32,
    done: bool,
    /// Progress to resume from; empty for none.
    checkpoint: String,
    /// Its run that has not ended.
    run: Option<Run>,
    /// A speculative run, on another worker; only while `run` is there, and only of `speculative` steps.
    speculative_run: Option<Run>,
    /// Worker on which it failed last.
    failed_on: Option<WorkerId>,
    /// Since when it waits to be placed.
    waits_since_ms: u64,
    /// Where its time went since its step was ready.
    latency: LatencyBreakdown,
}

/// A task as its job's row has it.
#[derive(Debug)]
pub(crate) struct RestoredTask {
    /// Highest number of a run so far.
    pub last_attempt: u32,
    /// Runs that ended `failed`.
    pub failures: u32,
    /// Whether it is done.
    pub done: bool,
    /// Progress to resume from; empty for none.
    pub checkpoint: String,
    /// Its run that has not ended.
    pub run: Option<Run>,
}

impl From<RestoredTask> for Task {
    fn from(row: RestoredTask) -> Self {
        Task {
            last_attempt: row.last_attempt,
            failures: row.failures,
            done: row.done,
            checkpoint: row.checkpoint,
            run: row.run,
            ..Task::default()
        }
    }
}

impl Task {
    /// A task of a step that was written as done.
    pub(crate) fn restored_done() -> Self {
        Task {
            last_attempt: 1,
            done: true,
            ..Task::default()
        }
    }

    /// Highest number of a run so far.
    pub(crate) fn last_attempt(&self) -> u32 {
        self.last_attempt
    }

    /// Runs that ended `failed`.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether it is done.
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    /// Progress to resume from; empty for none.
    pub(crate) fn checkpoint(&self) -> &str {
        &self.checkpoint
    }

    /// Worker on which it failed last.
    pub(crate) fn failed_on(&self) -> Option<WorkerId> {
        self.failed_on
    }

    /// Where its time went since its step was ready.
    pub(crate) fn latency(&self) -> &LatencyBreakdown {
        &self.latency
    }

    /// Its run that has not ended.
    pub(crate) fn run(&self) -> Option<&Run> {
        self.run.as_ref()
    }

    /// Its speculative run that has not ended.
    pub(crate) fn speculative_run(&self) -> Option<&Run> {
        self.speculative_run.as_ref()
    }

    /// Its runs that have not ended.
    pub(crate) fn runs(&self) -> impl Iterator<Item = &Run> {
        self.run.iter().chain(&self.speculative_run)
    }

    /// Its run on this worker.
    pub(crate) fn run_at(&self, worker: WorkerId) -> Option<&Run> {
        self.runs().find(|run| run.worker() == worker)
    }

    /// Its run of this number.
    pub(crate) fn run_mut(&mut self, attempt: u32) -> Option<&mut Run> {
        self.run
            .iter_mut()
            .chain(&mut self.speculative_run)
            .find(|run| run.attempt() == attempt)
    }

    /// A run of it is placed; beside another run it is a speculative one.
    pub(crate) fn add_run(&mut self, run: Run) {
        self.last_attempt = run.attempt();
        if self.run.is_none() {
            self.run = Some(run);
        } else {
            self.speculative_run = Some(run);
        }
    }

    /// A speculative run of it was placed by a predecessor; returns whether the task has the run that it needs beside it.
    pub(crate) fn restore_speculative_run(&mut self, run: Run) -> bool {
        if self.run.is_none() {
            return false;
        }
        self.speculative_run = Some(run);
        true
    }

    /// Takes its run of this number out; a speculative run that is left replaces the run.
    pub(crate) fn take_run(&mut self, attempt: u32) -> Option<Run> {
        let of_this_number = |run: &mut Run| run.attempt() == attempt;
        if let Some(run) = self.speculative_run.take_if(of_this_number) {
            return Some(run);
        }
        let run = self.run.take_if(of_this_number)?;
        self.run = self.speculative_run.take();
        Some(run)
    }

    /// It waits to be placed from now on.
    pub(crate) fn begin_wait(&mut self, now_ms: u64) {
        self.waits_since_ms = now_ms;
    }

    /// It has waited until now, for what was observed at its step.
    pub(crate) fn end_wait(&mut self, observed: &LatencyBreakdown, now_ms: u64) {
        let waited_ms = now_ms.saturating_sub(self.waits_since_ms);
        self.latency.add_wait(waited_ms, observed);
    }

    /// A run of it has ended: its time goes into the breakdown.
    pub(crate) fn add_run_latency(&mut self, run: &Run, result: RunResult, now_ms: u64) {
        run.add_latency(&mut self.latency, result, now_ms);
    }

    /// It is done; returns whether that is new.
    pub(crate) fn complete(&mut self) -> bool {
        !std::mem::replace(&mut self.done, true)
    }

    /// A run of it has failed on this worker; returns how many have.
    pub(crate) fn record_failure(&mut self, worker: WorkerId) -> u32 {
        self.failures += 1;
        self.failed_on = Some(worker);
        self.failures
    }

    /// It goes to another worker than this one, if there is one.
    pub(crate) fn avoid(&mut self, worker: WorkerId) {
        self.failed_on = Some(worker);
    }

    /// Progress to resume from; returns whether it is new.
    pub(crate) fn set_checkpoint(&mut self, checkpoint: &str) -> bool {
        if self.checkpoint == checkpoint {
            return false;
        }
        checkpoint.clone_into(&mut self.checkpoint);
        true
    }
}

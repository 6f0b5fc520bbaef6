//! The state of one task: its runs, failures and checkpoint.

use crate::jobs::run::Run;
use crate::latency::LatencyBreakdown;
use crate::run_result::RunResult;
use crate::worker::WorkerId;

/// The state of one task: its runs, failures, checkpoint and latency so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    /// Attempt number of the newest run; 0 if none has been placed.
    last_attempt: u32,
    /// Number of runs that ended `failed`.
    failures: u32,
    done: bool,
    /// Checkpoint to resume from; empty for none.
    checkpoint: String,
    /// The outstanding run.
    run: Option<Run>,
    /// An outstanding speculative run on another worker; only present together with `run`, and only in steps marked as
    /// `speculative`.
    speculative_run: Option<Run>,
    /// Worker that the next run avoids: a run of the task failed, hung or was too slow there.
    failed_on: Option<WorkerId>,
    /// When the task last began to wait for placement, on the monotonic clock.
    waiting_since_ms: u64,
    /// Latency breakdown since the step was ready.
    latency: LatencyBreakdown,
}

/// A task as it is stored in the progress row of its job.
#[derive(Debug)]
pub(crate) struct RestoredTask {
    /// Attempt number of the newest run; 0 if none has been placed.
    pub last_attempt: u32,
    /// Number of runs that ended `failed`.
    pub failures: u32,
    /// Whether a run of the task, or of another member of its gang, has ended `done`.
    pub done: bool,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// The outstanding run.
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
    /// Creates a task of a step that is stored as done.
    pub(crate) fn restored_done() -> Self {
        Task {
            last_attempt: 1,
            done: true,
            ..Task::default()
        }
    }

    /// Attempt number of the newest run; 0 if none has been placed.
    pub(crate) fn last_attempt(&self) -> u32 {
        self.last_attempt
    }

    /// Number of runs that ended `failed`.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether a run of the task, or of another member of its gang, has ended `done`.
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    /// Whether the state shows that a run of the task has begun: one has ended `done` or `failed`, or has made a checkpoint.
    pub(crate) fn shows_begin(&self) -> bool {
        self.done || self.failures > 0 || !self.checkpoint.is_empty()
    }

    /// Checkpoint to resume from; empty for none.
    pub(crate) fn checkpoint(&self) -> &str {
        &self.checkpoint
    }

    /// Worker that the next run avoids: a run of the task failed, hung or was too slow there.
    pub(crate) fn failed_on(&self) -> Option<WorkerId> {
        self.failed_on
    }

    /// Latency breakdown since the step was ready.
    pub(crate) fn latency(&self) -> &LatencyBreakdown {
        &self.latency
    }

    /// The outstanding run, other than the speculative one.
    pub(crate) fn run(&self) -> Option<&Run> {
        self.run.as_ref()
    }

    /// The outstanding speculative run.
    pub(crate) fn speculative_run(&self) -> Option<&Run> {
        self.speculative_run.as_ref()
    }

    /// All outstanding runs, at most two.
    pub(crate) fn runs(&self) -> impl Iterator<Item = &Run> {
        self.run.iter().chain(&self.speculative_run)
    }

    /// The outstanding run on this worker.
    pub(crate) fn run_at(&self, worker: WorkerId) -> Option<&Run> {
        self.runs().find(|run| run.worker() == worker)
    }

    /// The outstanding run with this attempt number, for changes.
    pub(crate) fn run_mut(&mut self, attempt: u32) -> Option<&mut Run> {
        self.run
            .iter_mut()
            .chain(&mut self.speculative_run)
            .find(|run| run.attempt() == attempt)
    }

    /// Adds a newly placed run; if another one is outstanding, the new run is speculative.
    pub(crate) fn add_run(&mut self, run: Run) {
        self.last_attempt = run.attempt();
        if self.run.is_none() {
            self.run = Some(run);
        } else {
            self.speculative_run = Some(run);
        }
    }

    /// Adds a speculative run that a previous head has placed. Returns `false` and drops it if the task has no regular run.
    pub(crate) fn restore_speculative_run(&mut self, run: Run) -> bool {
        if self.run.is_none() {
            return false;
        }
        self.speculative_run = Some(run);
        true
    }

    /// Removes and returns the run with this attempt number. A remaining speculative run becomes the regular one.
    pub(crate) fn take_run(&mut self, attempt: u32) -> Option<Run> {
        let has_attempt = |run: &mut Run| run.attempt() == attempt;
        if let Some(run) = self.speculative_run.take_if(has_attempt) {
            return Some(run);
        }
        let run = self.run.take_if(has_attempt)?;
        self.run = self.speculative_run.take();
        Some(run)
    }

    /// Starts the wait for placement.
    pub(crate) fn begin_wait(&mut self, now_ms: u64) {
        self.waiting_since_ms = now_ms;
    }

    /// Ends the wait for placement and adds it to the latency breakdown, divided among causes in proportion to
    /// `observed_waits`, the causes recorded for the step.
    pub(crate) fn end_wait(&mut self, observed_waits: &LatencyBreakdown, now_ms: u64) {
        let waited_ms = now_ms.saturating_sub(self.waiting_since_ms);
        self.latency.add_wait(waited_ms, observed_waits);
    }

    /// Adds the time of an ended run to the latency breakdown.
    pub(crate) fn add_run_latency(&mut self, run: &Run, result: RunResult, now_ms: u64) {
        run.add_latency(&mut self.latency, result, now_ms);
    }

    /// Marks the task as done; returns whether it was not done before.
    pub(crate) fn complete(&mut self) -> bool {
        !std::mem::replace(&mut self.done, true)
    }

    /// Counts a failed run on this worker; returns the number of failed runs.
    pub(crate) fn record_failure(&mut self, worker: WorkerId) -> u32 {
        self.failures += 1;
        self.failed_on = Some(worker);
        self.failures
    }

    /// Makes the next run avoid this worker, if another one is available.
    pub(crate) fn avoid_worker(&mut self, worker: WorkerId) {
        self.failed_on = Some(worker);
    }

    /// Sets the checkpoint to resume from; returns whether it differs from the former one.
    pub(crate) fn set_checkpoint(&mut self, checkpoint: &str) -> bool {
        if self.checkpoint == checkpoint {
            return false;
        }
        checkpoint.clone_into(&mut self.checkpoint);
        true
    }
}

//! Jobs that have begun: a worker has begun one of their tasks. The count of pending jobs and the state that clients are told
//! follow from it. That a run was placed, or that its start was ordered, shows nothing; reports do.

use crate::jobs::{Job, Jobs};
use indigofold_protocol::task::{JobId, RunId};
use std::collections::VecDeque;

/// The rows of a job that has begun are written after this time, unless another change has written them before. With the
/// scheduler's tick and the commit, a new head counts the job as pending for less than 2 s after its beginning.
const WRITE_DELAY_MS: u64 = 1_500;

/// Jobs that have begun and whose rows may not show it yet, in the order in which they have begun.
#[derive(Debug, Default)]
pub(crate) struct UnwrittenBegins {
    begins: VecDeque<Begin>,
}

/// The beginning of a job.
#[derive(Clone, Copy, Debug)]
struct Begin {
    job: JobId,
    /// When a report first showed it, on the monotonic clock.
    reported_ms: u64,
}

impl UnwrittenBegins {
    /// Adds a job that has begun now.
    fn add(&mut self, job: JobId, now_ms: u64) {
        self.begins.push_back(Begin {
            job,
            reported_ms: now_ms,
        });
    }

    /// Removes and returns the oldest job whose rows are due to be written.
    fn pop_due(&mut self, now_ms: u64) -> Option<JobId> {
        let oldest = self.begins.front()?;
        if now_ms < oldest.reported_ms + WRITE_DELAY_MS {
            return None;
        }
        self.begins.pop_front().map(|begin| begin.job)
    }
}

impl Jobs {
    /// Records that a report shows that this run has begun, whether it is outstanding or not. A run of a task that was never
    /// placed under this attempt number shows nothing.
    pub(crate) fn record_begun(&mut self, run: &RunId, now_ms: u64) {
        let Some(job) = self.by_id.get_mut(&run.task.job) else {
            return;
        };
        let was_placed = job
            .task(&run.task)
            .is_some_and(|task| run.attempt <= task.last_attempt());
        if job.has_ended() || !was_placed || !job.set_begun() {
            return;
        }
        self.load.job_no_longer_pending(job.route());
        self.unwritten_begins.add(run.task.job, now_ms);
    }

    /// Requests the writes of rows that have not shown for a while that their jobs have begun.
    pub(crate) fn write_due_begins(&mut self, now_ms: u64) {
        while let Some(id) = self.unwritten_begins.pop_due(now_ms) {
            self.write_begin(id);
        }
    }

    /// Requests the write of an open job's rows if they do not show that the job has begun.
    pub(crate) fn write_begin(&mut self, id: JobId) {
        let is_unwritten = |job: &&Job| !job.has_ended() && job.has_unwritten_begin();
        if self.get(&id).filter(is_unwritten).is_some() {
            self.progress_changed(id);
        }
    }
}

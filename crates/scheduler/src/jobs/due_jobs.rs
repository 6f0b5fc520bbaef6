//! Timers of jobs by wall-clock time: when repetitions fall due and when ended jobs are removed.

use indigofold_protocol::task::JobId;
use std::collections::BTreeSet;

/// A job and the wall-clock time of its timer; ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DueJob {
    /// When the timer fires, as Unix time in milliseconds.
    pub wall_ms: u64,
    /// The job whose timer it is.
    pub job: JobId,
}

/// Timers of all jobs, in order of time.
#[derive(Debug, Default)]
pub(crate) struct DueJobs {
    /// When the next repetition of each repeating job falls due.
    repetitions: BTreeSet<DueJob>,
    /// When ended jobs are removed.
    expiries: BTreeSet<DueJob>,
}

impl DueJobs {
    /// Schedules the opening of the job's next repetition.
    pub(crate) fn add_repetition(&mut self, due: DueJob) {
        self.repetitions.insert(due);
    }

    /// Cancels the opening of the job's next repetition.
    pub(crate) fn remove_repetition(&mut self, due: DueJob) {
        self.repetitions.remove(&due);
    }

    /// When the earliest repetition is due, as Unix time in milliseconds.
    pub(crate) fn next_repetition_wall_ms(&self) -> Option<u64> {
        self.repetitions.first().map(|due| due.wall_ms)
    }

    /// Removes and returns the earliest repetition if it is due by `wall_ms`.
    pub(crate) fn pop_repetition(&mut self, wall_ms: u64) -> Option<DueJob> {
        pop_due(&mut self.repetitions, wall_ms)
    }

    /// Schedules the removal of an ended job.
    pub(crate) fn add_expiry(&mut self, due: DueJob) {
        self.expiries.insert(due);
    }

    /// Removes and returns the earliest expiry of an ended job if it is due by `wall_ms`.
    pub(crate) fn pop_expiry(&mut self, wall_ms: u64) -> Option<DueJob> {
        pop_due(&mut self.expiries, wall_ms)
    }
}

fn pop_due(jobs: &mut BTreeSet<DueJob>, wall_ms: u64) -> Option<DueJob> {
    jobs.first().filter(|due| due.wall_ms <= wall_ms)?;
    jobs.pop_first()
}

#[cfg(test)]
mod tests;

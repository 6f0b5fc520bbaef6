//! What happens to jobs at set times of day: repetitions fall due, ended jobs are forgotten.

use indigofold_protocol::task::JobId;
use std::collections::BTreeSet;

/// A job at a time of day; ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DueJob {
    /// When, in milliseconds since 1970.
    pub wall_ms: u64,
    /// The job.
    pub job: JobId,
}

/// Jobs by the times at which something is due.
#[derive(Debug, Default)]
pub(crate) struct DueJobs {
    repetitions: BTreeSet<DueJob>,
    expiries: BTreeSet<DueJob>,
}

impl DueJobs {
    /// The job's next repetition is to be opened at this time.
    pub(crate) fn add_repetition(&mut self, due: DueJob) {
        self.repetitions.insert(due);
    }

    /// The job's next repetition is not to be opened any more.
    pub(crate) fn remove_repetition(&mut self, due: DueJob) {
        self.repetitions.remove(&due);
    }

    /// When the next repetition is due, in milliseconds since 1970.
    pub(crate) fn next_repetition_wall_ms(&self) -> Option<u64> {
        self.repetitions.first().map(|due| due.wall_ms)
    }

    /// Takes the first repetition that is due at this time.
    pub(crate) fn pop_repetition(&mut self, wall_ms: u64) -> Option<DueJob> {
        pop_due(&mut self.repetitions, wall_ms)
    }

    /// The ended job is to be forgotten at this time.
    pub(crate) fn add_expiry(&mut self, due: DueJob) {
        self.expiries.insert(due);
    }

    /// Takes the first ended job that is to be forgotten at this time.
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

//! How many jobs and tasks are open: beyond the limits further jobs are rejected.

use rustc_hash::FxHashMap;

/// With so many tasks open no further job is accepted.
const OPEN_TASKS_MAX: u64 = 20_000;
/// With so many jobs open no further job is accepted, whatever the number of their tasks.
const OPEN_JOBS_MAX: u64 = 8_000;
/// With so many jobs in the table, ended ones included, no further job is accepted.
const JOBS_MAX: usize = 30_000;

/// Numbers of open jobs and tasks.
#[derive(Debug, Default)]
pub(crate) struct AdmissionLoad {
    /// Jobs that have not ended.
    open_jobs: u64,
    /// Tasks of open jobs that are not done.
    open_tasks: u64,
    /// Jobs of each route of which nothing has been started.
    pending: FxHashMap<String, u64>,
}

impl AdmissionLoad {
    /// Whether no further job is accepted while `jobs` are in the table.
    pub(crate) fn is_full(&self, jobs: usize) -> bool {
        self.open_tasks >= OPEN_TASKS_MAX || self.open_jobs >= OPEN_JOBS_MAX || jobs >= JOBS_MAX
    }

    /// Whether any job is open.
    pub(crate) fn has_open_jobs(&self) -> bool {
        self.open_jobs > 0
    }

    /// Number of jobs of a route of which nothing has been started.
    pub(crate) fn pending(&self, route: &str) -> u64 {
        self.pending.get(route).copied().unwrap_or(0)
    }

    /// A job is open from now on.
    pub(crate) fn job_opened(&mut self) {
        self.open_jobs += 1;
    }

    /// An open job has ended; `open_tasks` of its tasks are not done.
    pub(crate) fn job_ended(&mut self, open_tasks: u64) {
        self.open_jobs = self.open_jobs.saturating_sub(1);
        self.tasks_closed(open_tasks);
    }

    /// A job of this route waits for its first start.
    pub(crate) fn job_pending(&mut self, route: &str) {
        *self.pending.entry(route.to_owned()).or_default() += 1;
    }

    /// A job of this route waits for its first start no longer.
    pub(crate) fn job_no_longer_pending(&mut self, route: &str) {
        if let Some(count) = self.pending.get_mut(route) {
            *count = count.saturating_sub(1);
        }
    }

    /// So many tasks are open from now on.
    pub(crate) fn tasks_opened(&mut self, count: u64) {
        self.open_tasks += count;
    }

    /// So many open tasks are done, or their job has ended.
    pub(crate) fn tasks_closed(&mut self, count: u64) {
        self.open_tasks = self.open_tasks.saturating_sub(count);
    }
}

#[cfg(test)]
mod tests;

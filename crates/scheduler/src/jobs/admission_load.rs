//! Counts of open jobs and tasks for admission control: new jobs are rejected once a limit is reached.

use rustc_hash::FxHashMap;

/// New jobs are rejected while at least this many tasks are open.
const OPEN_TASKS_MAX: u64 = 20_000;
/// New jobs are rejected while at least this many jobs are open, however few tasks they have.
const OPEN_JOBS_MAX: u64 = 8_000;
/// New jobs are rejected while the table holds at least this many jobs, including ended ones.
const JOBS_MAX: usize = 30_000;

/// Counts of open jobs and tasks, and of pending jobs by route.
#[derive(Debug, Default)]
pub(crate) struct AdmissionLoad {
    /// Jobs that have not ended.
    open_jobs: u64,
    /// Tasks of open jobs that are not done.
    open_tasks: u64,
    /// Number of open jobs of each route of which no task has begun.
    pending: FxHashMap<String, u64>,
}

impl AdmissionLoad {
    /// Whether new jobs are rejected while the table holds `jobs` jobs.
    pub(crate) fn is_full(&self, jobs: usize) -> bool {
        self.open_tasks >= OPEN_TASKS_MAX || self.open_jobs >= OPEN_JOBS_MAX || jobs >= JOBS_MAX
    }

    /// Whether any job is open.
    pub(crate) fn has_open_jobs(&self) -> bool {
        self.open_jobs > 0
    }

    /// Number of open jobs of a route of which no task has begun.
    pub(crate) fn pending(&self, route: &str) -> u64 {
        self.pending.get(route).copied().unwrap_or(0)
    }

    /// Counts a job that becomes open.
    pub(crate) fn job_opened(&mut self) {
        self.open_jobs += 1;
    }

    /// Removes an ended job and its `open_tasks` unfinished tasks from the counts.
    pub(crate) fn job_ended(&mut self, open_tasks: u64) {
        self.open_jobs = self.open_jobs.saturating_sub(1);
        self.tasks_closed(open_tasks);
    }

    /// Counts an open job of this route of which no task has begun.
    pub(crate) fn job_pending(&mut self, route: &str) {
        *self.pending.entry(route.to_owned()).or_default() += 1;
    }

    /// Removes a job of this route from the pending count: a task of it has begun, or it has ended.
    pub(crate) fn job_no_longer_pending(&mut self, route: &str) {
        if let Some(count) = self.pending.get_mut(route) {
            *count = count.saturating_sub(1);
        }
    }

    /// Counts `count` more open tasks.
    pub(crate) fn tasks_opened(&mut self, count: u64) {
        self.open_tasks += count;
    }

    /// Removes `count` tasks that are done, or whose job has ended, from the count.
    pub(crate) fn tasks_closed(&mut self, count: u64) {
        self.open_tasks = self.open_tasks.saturating_sub(count);
    }
}

#[cfg(test)]
mod tests;

//! All open jobs, and ended ones that are still shown, by id.

use crate::job::Job;
use crate::queue::StepRef;
use indigofold_protocol::job::Step;
use indigofold_protocol::task::JobId;
use rustc_hash::FxHashMap;

/// Open jobs, and ended ones that are still shown.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    jobs: FxHashMap<JobId, Job>,
}

impl JobTable {
    /// A job.
    pub(crate) fn get(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// A job.
    pub(crate) fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }

    /// The description of a step.
    pub(crate) fn step(&self, at: StepRef) -> Option<&Step> {
        self.get(&at.job)?.step(at.step)
    }

    /// All jobs, in no particular order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter()
    }

    /// Number of jobs.
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Enters a job.
    pub(crate) fn insert(&mut self, id: JobId, job: Job) {
        self.jobs.insert(id, job);
    }

    /// Forgets a job.
    pub(crate) fn remove(&mut self, id: &JobId) {
        self.jobs.remove(id);
    }
}

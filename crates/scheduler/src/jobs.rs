//! All open jobs, and ended ones that are still shown: how far each has come. This is the one place where the end of a
//! run makes a step ready or ends a job. It knows no worker and no queue: what follows for them, for the stored rows and
//! for runs that are to be stopped is told by [`JobEvent`]s, which the cluster's state takes up.

mod admission_load;
mod due_jobs;
mod event;
mod job;
mod late_ends;
mod lifecycle;
mod repetition;
mod run;
mod runs;
mod step;
mod task;

pub(crate) use event::{JobEvent, RunEnded};
pub(crate) use job::Job;
pub(crate) use repetition::Repetition;
pub(crate) use run::{Placement, Run, StopOrder};
pub(crate) use step::{GangFailures, StepState};
pub(crate) use task::{RestoredTask, Task};

use crate::api::WriteId;
use crate::latency::LateEnd;
use crate::queue::StepRef;
use crate::step_traits::StepTraits;
use crate::value::QueueValues;
use admission_load::AdmissionLoad;
use due_jobs::DueJobs;
use indigofold_protocol::job::Step;
use indigofold_protocol::task::JobId;
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};

/// Open jobs, and ended ones that are still shown.
#[derive(Debug)]
pub(crate) struct Jobs {
    by_id: FxHashMap<JobId, Job>,
    /// Numbers of open jobs and tasks.
    load: AdmissionLoad,
    /// Repetitions that are to come, and ended jobs that are to be forgotten.
    due: DueJobs,
    /// Mean work of the jobs of each route.
    queue_values: QueueValues,
    /// Jobs with checkpoints that their rows do not have yet.
    unwritten_checkpoints: BTreeSet<JobId>,
    /// Late ends since they were last taken.
    late: Vec<LateEnd>,
    /// What follows for others, in the order in which it came up.
    events: VecDeque<JobEvent>,
    /// How long the end of a job is shown.
    shown_ms: u64,
}

impl Jobs {
    /// No jobs yet. The state of an ended job is shown for `status_s` seconds, and a margin.
    pub(crate) fn new(status_s: u64) -> Self {
        Jobs {
            by_id: FxHashMap::default(),
            load: AdmissionLoad::default(),
            due: DueJobs::default(),
            queue_values: QueueValues::default(),
            unwritten_checkpoints: BTreeSet::new(),
            late: Vec::new(),
            events: VecDeque::new(),
            shown_ms: lifecycle::shown_ms(status_s),
        }
    }

    /// A job.
    pub(crate) fn get(&self, id: &JobId) -> Option<&Job> {
        self.by_id.get(id)
    }

    /// All jobs, in no particular order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.by_id.iter()
    }

    /// The description of a step.
    pub(crate) fn step(&self, at: StepRef) -> Option<&Step> {
        self.get(&at.job)?.step(at.step)
    }

    /// How far a step has come.
    pub(crate) fn step_state(&self, at: StepRef) -> Option<&StepState> {
        self.get(&at.job)?.step_state(at)
    }

    /// What of a step matters for its runs.
    pub(crate) fn traits(&self, at: StepRef) -> Option<StepTraits> {
        self.get(&at.job)?.traits(at.step)
    }

    /// Whether no further job is accepted at present.
    pub(crate) fn is_full(&self) -> bool {
        self.load.is_full(self.by_id.len())
    }

    /// Whether any job is open.
    pub(crate) fn has_open_jobs(&self) -> bool {
        self.load.has_open_jobs()
    }

    /// Number of jobs of a route of which nothing has been started.
    pub(crate) fn pending(&self, route: &str) -> u64 {
        self.load.pending(route)
    }

    /// When the next repetition is due, in milliseconds since 1970.
    pub(crate) fn next_repetition_wall_ms(&self) -> Option<u64> {
        self.due.next_repetition_wall_ms()
    }

    /// The next thing that follows for others from what has happened; `None` once all of it is taken up.
    pub(crate) fn poll_event(&mut self) -> Option<JobEvent> {
        self.events.pop_front()
    }

    /// Takes the late ends since the last call.
    pub(crate) fn take_late(&mut self) -> Vec<LateEnd> {
        std::mem::take(&mut self.late)
    }

    /// The job's progress goes into this write, which is made now.
    pub(crate) fn record_write(&mut self, id: JobId, write: WriteId) {
        if let Some(job) = self.by_id.get_mut(&id) {
            job.set_last_write(write);
        }
    }

    /// The job's row is written now, checkpoints included.
    pub(crate) fn record_row(&mut self, id: JobId, now_ms: u64) {
        self.unwritten_checkpoints.remove(&id);
        if let Some(job) = self.by_id.get_mut(&id) {
            job.set_written(now_ms);
        }
    }

    /// A report has brought a checkpoint that is to be written, as its run takes long.
    pub(crate) fn add_unwritten_checkpoint(&mut self, id: JobId) {
        self.unwritten_checkpoints.insert(id);
    }

    /// Jobs whose checkpoints were written last `since_ms` ago or longer, and are not written yet.
    pub(crate) fn unwritten_checkpoints(
        &self,
        since_ms: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = JobId> {
        let age_ms = move |id: &JobId| {
            let job = self.by_id.get(id);
            job.map_or(0, |job| now_ms.saturating_sub(job.written_ms()))
        };
        let old = move |id: &&JobId| age_ms(id) >= since_ms;
        self.unwritten_checkpoints.iter().filter(old).copied()
    }
}

#[cfg(test)]
mod tests;

//! The table of all open jobs, and of ended jobs whose state clients may still query, with the progress of each. Only
//! this module makes a step ready or ends a job when a run ends. It does not access workers or queues: it emits
//! [`JobEvent`]s for changes to queues and stored rows and for runs to stop, and the `cluster` module processes them.

mod admission_load;
mod begun_jobs;
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
use begun_jobs::UnwrittenBegins;
use due_jobs::DueJobs;
use indigofold_protocol::job::Step;
use indigofold_protocol::task::JobId;
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};

/// Open jobs, and ended jobs whose state clients may still query.
#[derive(Debug)]
pub(crate) struct Jobs {
    by_id: FxHashMap<JobId, Job>,
    /// Counts of open jobs and tasks, for admission control.
    load: AdmissionLoad,
    /// When the next repetition of each job is due, and when ended jobs are removed.
    due: DueJobs,
    /// Mean work of the jobs of each route.
    queue_values: QueueValues,
    /// Jobs that have begun lately and whose rows may not show it yet.
    unwritten_begins: UnwrittenBegins,
    /// Jobs with checkpoints that are not in their stored rows yet.
    unwritten_checkpoints: BTreeSet<JobId>,
    /// Jobs and repetitions that ended late or failed since the last [`take_late_ends`](Self::take_late_ends).
    late_ends: Vec<LateEnd>,
    /// Events that the cluster has not processed yet, oldest first.
    events: VecDeque<JobEvent>,
    /// How long the state of an ended job is kept, in milliseconds.
    retention_ms: u64,
}

impl Jobs {
    /// Creates an empty table. The state of an ended job is kept for `status_s` seconds and a margin.
    pub(crate) fn new(status_s: u64) -> Self {
        Jobs {
            by_id: FxHashMap::default(),
            load: AdmissionLoad::default(),
            due: DueJobs::default(),
            queue_values: QueueValues::default(),
            unwritten_begins: UnwrittenBegins::default(),
            unwritten_checkpoints: BTreeSet::new(),
            late_ends: Vec::new(),
            events: VecDeque::new(),
            retention_ms: lifecycle::retention_ms(status_s),
        }
    }

    /// A job by its ID; `None` if it is unknown or was removed after its end.
    pub(crate) fn get(&self, id: &JobId) -> Option<&Job> {
        self.by_id.get(id)
    }

    /// All jobs, in no particular order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.by_id.iter()
    }

    /// The description of a step as the client submitted it.
    pub(crate) fn step(&self, step_ref: StepRef) -> Option<&Step> {
        self.get(&step_ref.job)?.step(step_ref.step)
    }

    /// The progress of a step; `None` unless its repetition is open.
    pub(crate) fn step_state(&self, step_ref: StepRef) -> Option<&StepState> {
        self.get(&step_ref.job)?.step_state(step_ref)
    }

    /// The properties of a step that matter for placing and evaluating its runs.
    pub(crate) fn traits(&self, step_ref: StepRef) -> Option<StepTraits> {
        self.get(&step_ref.job)?.traits(step_ref.step)
    }

    /// Whether new jobs are rejected because a limit on open tasks, open jobs or all jobs in the table is reached.
    pub(crate) fn is_full(&self) -> bool {
        self.load.is_full(self.by_id.len())
    }

    /// Whether any job is open.
    pub(crate) fn has_open_jobs(&self) -> bool {
        self.load.has_open_jobs()
    }

    /// Number of open jobs of a route of which no task has begun.
    pub(crate) fn pending(&self, route: &str) -> u64 {
        self.load.pending(route)
    }

    /// When the next repetition of any job is due, as Unix time in milliseconds.
    pub(crate) fn next_repetition_wall_ms(&self) -> Option<u64> {
        self.due.next_repetition_wall_ms()
    }

    /// Removes and returns the oldest unprocessed event; `None` once all are processed.
    pub(crate) fn poll_event(&mut self) -> Option<JobEvent> {
        self.events.pop_front()
    }

    /// Returns the jobs and repetitions that ended late or failed since the last call.
    pub(crate) fn take_late_ends(&mut self) -> Vec<LateEnd> {
        std::mem::take(&mut self.late_ends)
    }

    /// Records that this write, which is being assembled, contains the job's progress.
    pub(crate) fn record_write(&mut self, id: JobId, write: WriteId) {
        if let Some(job) = self.by_id.get_mut(&id) {
            job.set_last_write(write);
        }
    }

    /// Records that the job's rows, including its checkpoints, are being written now, by this write.
    pub(crate) fn record_rows_written(&mut self, id: JobId, write: WriteId, now_ms: u64) {
        self.unwritten_checkpoints.remove(&id);
        if let Some(job) = self.by_id.get_mut(&id) {
            job.set_written(write, now_ms);
        }
    }

    /// Marks a job with a newly reported checkpoint that has to be written, since the run is expected to be long.
    pub(crate) fn add_unwritten_checkpoint(&mut self, id: JobId) {
        self.unwritten_checkpoints.insert(id);
    }

    /// Jobs with unwritten checkpoints whose rows were last written at least `min_age_ms` ago.
    pub(crate) fn unwritten_checkpoints(
        &self,
        min_age_ms: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = JobId> {
        let age_ms = move |id: &JobId| {
            let job = self.by_id.get(id);
            job.map_or(0, |job| now_ms.saturating_sub(job.written_at_ms()))
        };
        let is_old = move |id: &&JobId| age_ms(id) >= min_age_ms;
        self.unwritten_checkpoints.iter().filter(is_old).copied()
    }
}

#[cfg(test)]
mod tests;

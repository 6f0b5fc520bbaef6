//! Periodic writes of reported checkpoints. If the head and a worker's machine fail together, the stored row is the only
//! source from which the new head learns the checkpoints of that worker's runs.

use crate::cluster::Cluster;
use crate::jobs::Task;
use crate::queue::StepRef;
use crate::worker::WorkerId;
use indigofold_protocol::task::{JobId, TaskName};

/// Checkpoints of runs with a shorter expected run time than this are not written.
const RUN_MIN_MS: f64 = 2_000.0;
/// Unwritten checkpoints cause a write of their own only if the job's rows were last written at least this long ago.
const OWN_WRITE_AGE_MS: u64 = 2_000;
/// Jobs with unwritten checkpoints whose rows were last written this long ago are included in any write that is made.
const JOIN_WRITE_AGE_MS: u64 = 1_000;

impl Cluster {
    /// Requests the writes of checkpoints that are due. No reply or order depends on them, so the jobs' last writes are
    /// not updated.
    pub(crate) fn write_checkpoints(&mut self) {
        let now_ms = self.clock.now_ms();
        let overdue_job = self
            .jobs
            .unwritten_checkpoints(OWN_WRITE_AGE_MS, now_ms)
            .next();
        if overdue_job.is_none() && !self.outbox.has_changes() {
            return;
        }
        let included_jobs: Vec<JobId> = self
            .jobs
            .unwritten_checkpoints(JOIN_WRITE_AGE_MS, now_ms)
            .collect();
        for id in included_jobs {
            self.outbox.progress_changed(id);
        }
    }

    /// Marks the job for a write if a reported checkpoint belongs to a long enough run of an unfinished task.
    pub(super) fn checkpoint_changed(&mut self, worker: WorkerId, task: &TaskName) {
        let Some(job) = self.jobs.get(&task.job).filter(|job| !job.has_ended()) else {
            return;
        };
        let done = job.task(task).is_none_or(Task::is_done);
        let traits = self.jobs.traits(StepRef::of(task));
        let long_running = traits.is_none_or(|traits| traits.long_running);
        if !done && !long_running && self.view().expected_run_ms(worker, task) >= RUN_MIN_MS {
            self.jobs.add_unwritten_checkpoint(task.job);
        }
    }
}

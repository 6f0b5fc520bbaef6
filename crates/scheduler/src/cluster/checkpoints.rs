//! Reported checkpoints of runs are written from time to time: if the head is lost together with a worker's machine, its
//! successor knows them from the row alone.

use crate::cluster::Cluster;
use crate::jobs::Task;
use crate::queue::StepRef;
use crate::worker::WorkerId;
use indigofold_protocol::task::{JobId, TaskName};

/// Checkpoints of runs that are expected to be shorter are not written.
const RUN_MIN_MS: f64 = 2_000.0;
/// A job is written for its checkpoints at most once in this time.
const WRITE_MS: u64 = 2_000;
/// Jobs last written this long ago join a write that is made anyway.
const JOIN_MS: u64 = 1_000;

impl Cluster {
    /// Writes checkpoints that are due. Nothing waits for this write, so the jobs' last writes stay what they are.
    pub(crate) fn write_checkpoints(&mut self) {
        let now_ms = self.clock.now_ms();
        let overdue = self.jobs.unwritten_checkpoints(WRITE_MS, now_ms).next();
        if overdue.is_none() && !self.outbox.has_changes() {
            return;
        }
        let joining: Vec<JobId> = self.jobs.unwritten_checkpoints(JOIN_MS, now_ms).collect();
        for id in joining {
            self.outbox.progress_changed(id);
        }
    }

    /// A report has brought a new checkpoint of a run.
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

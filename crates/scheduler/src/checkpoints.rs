//! Reported checkpoints of runs are written from time to time: if the head is lost together with a worker's machine, its
//! successor knows them from the row alone.

use crate::queue::StepRef;
use crate::state::ClusterState;
use crate::worker::WorkerId;
use indigofold_protocol::task::{JobId, TaskName};

/// Checkpoints of runs that are expected to be shorter are not written.
const RUN_MIN_MS: f64 = 2_000.0;
/// A job is written for its checkpoints at most once in this time.
const WRITE_MS: u64 = 2_000;
/// Jobs last written this long ago join a write that is made anyway.
const JOIN_MS: u64 = 1_000;

impl ClusterState {
    /// A report has brought a new checkpoint of a run.
    pub(crate) fn checkpoint_changed(&mut self, worker: WorkerId, task: &TaskName) {
        let Some(job) = self.jobs.get(&task.job).filter(|job| job.end.is_none()) else {
            return;
        };
        let done = job.task(task).is_none_or(|entry| entry.done);
        let lasting = self
            .view()
            .traits(StepRef::of(task))
            .is_none_or(|traits| traits.long_running);
        if !done && !lasting && self.view().expected_run_ms(worker, task) >= RUN_MIN_MS {
            self.unwritten_checkpoints.insert(task.job);
        }
    }

    /// Writes checkpoints that are due. Nothing waits for this write, so the jobs' last writes stay what they are.
    pub(crate) fn write_checkpoints(&mut self) {
        let since_ms = |state: &Self, id: &JobId| {
            state
                .jobs
                .get(id)
                .map_or(0, |job| state.now_ms.saturating_sub(job.written_ms))
        };
        let due = self.outbox.has_changes()
            || self
                .unwritten_checkpoints
                .iter()
                .any(|id| since_ms(self, id) >= WRITE_MS);
        if due {
            let joining = self
                .unwritten_checkpoints
                .iter()
                .filter(|id| since_ms(self, id) >= JOIN_MS);
            let joining: Vec<JobId> = joining.copied().collect();
            joining
                .into_iter()
                .for_each(|id| self.outbox.progress_changed(id));
        }
    }
}

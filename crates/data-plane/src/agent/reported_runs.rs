//! Tracks which list of running runs the head has received on the current connection.

use super::worker_instance::WorkerInstance;

/// Interval at which the progress of runs is reported while nothing else about them changes.
pub const PROGRESS_INTERVAL_MS: u64 = 1_000;

#[derive(Debug)]
struct ReportedRevision {
    instance: String,
    revision: u64,
    sent_ms: u64,
}

/// The newest list of runs sent on the current connection.
#[derive(Debug, Default)]
pub(super) struct ReportedRuns {
    newest: Option<ReportedRevision>,
}

impl ReportedRuns {
    /// Makes the next report carry the list, because the connection or the instance is new.
    pub(super) fn reset(&mut self) {
        self.newest = None;
    }

    /// Returns whether the report being sent must carry the instance's list of runs, and if so records it as sent.
    pub(super) fn needs_runs(&mut self, now_ms: u64, instance: &WorkerInstance) -> bool {
        if self.is_current(now_ms, instance) {
            return false;
        }
        self.newest = Some(ReportedRevision {
            instance: instance.id().to_owned(),
            revision: instance.runs_revision(),
            sent_ms: now_ms,
        });
        true
    }

    fn is_current(&self, now_ms: u64, instance: &WorkerInstance) -> bool {
        let Some(newest) = &self.newest else {
            return false;
        };
        let is_recent = now_ms < newest.sent_ms + PROGRESS_INTERVAL_MS || instance.is_idle();
        newest.instance == instance.id() && newest.revision == instance.runs_revision() && is_recent
    }
}

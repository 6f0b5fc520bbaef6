//! Tracks which list of running runs the head has received on the current connection.

use super::update_sequence::UpdateSequence;
use super::worker_instance::WorkerInstance;

/// Interval at which the progress of runs is reported while nothing else about them changes.
pub const PROGRESS_INTERVAL_MS: u64 = 1_000;

#[derive(Debug)]
struct ReportedRevision {
    instance: String,
    revision: u64,
    /// Number of the update that the list is.
    number: u64,
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

    /// Whether the next report must carry the instance's list of runs: it has changed since it was sent, or the progress
    /// of runs is due.
    pub(super) fn is_due(&self, now_ms: u64, instance: &WorkerInstance) -> bool {
        let Some(newest) = self.sent_revision(instance) else {
            return true;
        };
        now_ms >= newest.sent_ms + PROGRESS_INTERVAL_MS && !instance.is_idle()
    }

    /// Returns whether a report with updates must carry the instance's list of runs: it is due, or the head has not
    /// settled it. If so, records it as sent; a changed list gets a new number.
    pub(super) fn poll(
        &mut self,
        now_ms: u64,
        instance: &WorkerInstance,
        sequence: &mut UpdateSequence,
    ) -> bool {
        let is_due = self.is_due(now_ms, instance);
        let sent_number = self.sent_revision(instance).map(|newest| newest.number);
        let is_settled = sent_number.is_some_and(|number| number <= sequence.settled());
        if !is_due && is_settled {
            return false;
        }
        self.newest = Some(ReportedRevision {
            instance: instance.id().to_owned(),
            revision: instance.runs_revision(),
            number: sent_number.unwrap_or_else(|| sequence.next_number()),
            sent_ms: now_ms,
        });
        true
    }

    /// The list as it was sent last; `None` if it has changed since.
    fn sent_revision(&self, instance: &WorkerInstance) -> Option<&ReportedRevision> {
        self.newest.as_ref().filter(|newest| {
            newest.instance == instance.id() && newest.revision == instance.runs_revision()
        })
    }
}

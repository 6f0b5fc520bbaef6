//! Sequence numbers of the agent's updates, and which of them the head has handled.
//!
//! A report that carries any update carries all that the head has not settled, so a head that handles it has handled all
//! updates up to the newest number. Updates that the head leaves unanswered, and those whose effects it does not commit, are
//! reported again.

use std::collections::VecDeque;

/// Updates are reported again if the head has not answered a report that carries them after this time.
pub const UPDATE_RETRY_MS: u64 = 100;
/// Updates that the head has answered are reported again if it has not acknowledged them after this time. An
/// acknowledgement comes with the answer to the next report after the commit, and reports are at most
/// [`REPORT_INTERVAL_MS`](super::REPORT_INTERVAL_MS) apart.
pub const ACKNOWLEDGEMENT_TIMEOUT_MS: u64 = 1_000;

/// A report with updates that the head has not answered yet.
#[derive(Debug)]
struct UnansweredReport {
    sent_ms: u64,
    newest_update: u64,
}

/// Numbers of this process's updates. Each is higher than the one before; the first is 1.
#[derive(Debug, Default)]
pub(super) struct UpdateSequence {
    /// Number of the newest update; 0 before the first.
    newest: u64,
    /// Updates up to this number are handled and committed by a head; 0 for none.
    acknowledged: u64,
    /// Updates up to this number were in a report that the head has answered on this connection; 0 for none.
    answered: u64,
    /// Whether the connected head acknowledges updates; false until its first orders, and for heads of earlier builds.
    head_acknowledges: bool,
    /// Time of the newest report with updates on this connection; `None` before the first.
    last_sent_ms: Option<u64>,
    /// Oldest first.
    unanswered_reports: VecDeque<UnansweredReport>,
}

impl UpdateSequence {
    /// Returns the number for a new update.
    pub(super) fn next_number(&mut self) -> u64 {
        self.newest += 1;
        self.newest
    }

    /// Updates up to this number are handled and committed by a head.
    pub(super) fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Updates up to this number need not be reported on this connection any more. With a head that acknowledges none,
    /// these are all that it has answered.
    pub(super) fn settled(&self) -> u64 {
        if self.head_acknowledges {
            self.acknowledged
        } else {
            self.acknowledged.max(self.answered)
        }
    }

    /// Handles a new connection: all updates without an acknowledgement are reported again.
    pub(super) fn handle_connected(&mut self) {
        self.answered = 0;
        self.head_acknowledges = false;
        self.last_sent_ms = None;
        self.unanswered_reports.clear();
    }

    /// Records that a report with all updates is being sent. Returns the number of the newest one.
    pub(super) fn handle_sent(&mut self, now_ms: u64) -> u64 {
        self.last_sent_ms = Some(now_ms);
        self.unanswered_reports.push_back(UnansweredReport {
            sent_ms: now_ms,
            newest_update: self.newest,
        });
        self.newest
    }

    /// Handles the head's acknowledgement of the updates up to this number. Returns false, and changes nothing, if the
    /// number was never used.
    pub(super) fn handle_acknowledgement(&mut self, number: u64) -> bool {
        if number > self.newest {
            return false;
        }
        self.head_acknowledges = true;
        self.acknowledged = self.acknowledged.max(number);
        true
    }

    /// Records that the head has answered the report sent at `echo_ms`. It may have ignored earlier ones.
    pub(super) fn handle_echo(&mut self, echo_ms: u64) {
        let answered_report = self
            .unanswered_reports
            .iter()
            .find(|report| report.sent_ms == echo_ms);
        if let Some(report) = answered_report {
            self.answered = self.answered.max(report.newest_update);
        }
        self.unanswered_reports
            .retain(|report| report.sent_ms > echo_ms);
    }

    /// Time at which all updates are to be reported again, 0 for at once; `None` if the head has settled all of them.
    pub(super) fn retry_due_ms(&self) -> Option<u64> {
        if self.newest <= self.settled() {
            return None;
        }
        let timeout_ms = if self.answered >= self.newest {
            ACKNOWLEDGEMENT_TIMEOUT_MS
        } else {
            UPDATE_RETRY_MS
        };
        let due_ms = self
            .last_sent_ms
            .map_or(0, |last_sent_ms| last_sent_ms + timeout_ms);
        Some(due_ms)
    }
}

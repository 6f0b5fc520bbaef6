//! The head's knowledge of another member.

use crate::timing::{REJOIN_AFTER_MAX_MS, REJOIN_AFTER_MS, RESEND_AFTER_MS};
use crate::types::Viewstamp;

/// Report of a member in its answer to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerReport {
    /// Viewstamp of the rows on the member's disk.
    pub viewstamp: Viewstamp,
    /// Age of the member's oldest unfinished store, in milliseconds; 0 if there is none.
    pub store_age_ms: u64,
    /// Whether the member is about to stop.
    pub draining: bool,
}

/// The head's knowledge of another member.
#[derive(Debug)]
pub(super) struct Peer {
    /// `sent_ms` of the newest heartbeat that the member has answered; `None` before the first answer.
    answered_heartbeat_sent_ms: Option<u64>,
    last_received_ms: u64,
    report: PeerReport,
    /// Time before which the member is not taken into the chain.
    rejoin_due_ms: u64,
    /// Length of the member's next exclusion from the chain.
    next_exclusion_duration_ms: u64,
    /// Whether the member has promised a number above that of the view.
    has_promised_later: bool,
    /// Whether the head itself sends new writes to the member, because those relayed by its predecessor do not reach
    /// it.
    needs_direct_writes: bool,
    /// When writes were last resent to the member.
    last_resent_ms: u64,
}

impl Peer {
    /// Creates the entry of a member that the head has just learned of; `now_ms` counts as the time of its last
    /// message.
    pub(super) fn new(now_ms: u64) -> Peer {
        Peer {
            answered_heartbeat_sent_ms: None,
            last_received_ms: now_ms,
            report: PeerReport {
                viewstamp: Viewstamp::default(),
                store_age_ms: 0,
                draining: false,
            },
            rejoin_due_ms: 0,
            next_exclusion_duration_ms: REJOIN_AFTER_MS,
            has_promised_later: false,
            needs_direct_writes: false,
            last_resent_ms: 0,
        }
    }

    /// Keeps the member out of the chain for a time that doubles with each exclusion, up to [`REJOIN_AFTER_MAX_MS`].
    pub(super) fn exclude(&mut self, now_ms: u64) {
        self.rejoin_due_ms = now_ms + self.next_exclusion_duration_ms;
        self.next_exclusion_duration_ms =
            (2 * self.next_exclusion_duration_ms).min(REJOIN_AFTER_MAX_MS);
    }

    /// Returns the time since the last message from the member.
    pub(super) fn since_received_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_received_ms)
    }

    /// Records the viewstamp on the member's disk. Messages may overtake each other, so an older viewstamp changes
    /// nothing.
    pub(super) fn record_stored(&mut self, viewstamp: Viewstamp, now_ms: u64) {
        self.last_received_ms = now_ms;
        self.report.viewstamp = self.report.viewstamp.max(viewstamp);
    }

    /// Records the member's answer to the heartbeat sent at `sent_ms`.
    pub(super) fn record_grant(&mut self, sent_ms: u64, report: PeerReport, now_ms: u64) {
        self.answered_heartbeat_sent_ms = self.answered_heartbeat_sent_ms.max(Some(sent_ms));
        self.last_received_ms = now_ms;
        self.report = PeerReport {
            viewstamp: self.report.viewstamp.max(report.viewstamp),
            ..report
        };
    }

    /// Resets the flags that apply only to the previous view; called when the head leads a new one.
    pub(super) fn enter_view(&mut self) {
        self.has_promised_later = false;
        self.needs_direct_writes = false;
    }

    /// Records that the member has rejected a heartbeat because it has promised a higher number.
    pub(super) fn record_reject(&mut self, now_ms: u64) {
        self.has_promised_later = true;
        self.last_received_ms = now_ms;
    }

    /// Marks the member as one to which the head itself sends writes, including missed ones; returns false if writes
    /// were resent within the last half of [`RESEND_AFTER_MS`].
    pub(super) fn begin_resend(&mut self, now_ms: u64) -> bool {
        if now_ms < self.last_resent_ms + RESEND_AFTER_MS / 2 {
            return false;
        }
        self.last_resent_ms = now_ms;
        self.needs_direct_writes = true;
        true
    }

    /// Returns `sent_ms` of the newest heartbeat that the member has answered.
    pub(super) fn answered_heartbeat_sent_ms(&self) -> Option<u64> {
        self.answered_heartbeat_sent_ms
    }

    /// Returns the member's last report, with the newest state that it has reported.
    pub(super) fn report(&self) -> &PeerReport {
        &self.report
    }

    /// Returns true if the member's exclusion from the chain is over.
    pub(super) fn may_rejoin(&self, now_ms: u64) -> bool {
        now_ms >= self.rejoin_due_ms
    }

    /// Returns true if the member has promised a number above that of the view.
    pub(super) fn has_promised_later(&self) -> bool {
        self.has_promised_later
    }

    /// Returns true if the head itself sends new writes to the member.
    pub(super) fn needs_direct_writes(&self) -> bool {
        self.needs_direct_writes
    }
}

//! A member as the head knows it.

use crate::timing::{REJOIN_AFTER_MAX_MS, REJOIN_AFTER_MS, RESEND_MS};
use crate::types::Viewstamp;

/// What a member reports of itself with its answer to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerReport {
    /// State on its disk.
    pub viewstamp: Viewstamp,
    /// Age of its oldest store that is not done.
    pub store_age_ms: u64,
    /// It is about to stop.
    pub draining: bool,
}

/// A member as the head knows it.
#[derive(Debug)]
pub(super) struct Peer {
    /// `sent_ms` of the newest heartbeat that it has answered.
    granted_ms: Option<u64>,
    last_received_ms: u64,
    report: PeerReport,
    /// It is not taken into the chain before this time.
    rejoin_ms: u64,
    /// How long the next exclusion lasts.
    penalty_ms: u64,
    /// It has promised a number above the view's.
    has_promised_later: bool,
    /// The head sends writes to it itself, because its predecessor's do not reach it.
    is_direct: bool,
    /// When writes were sent to it again last.
    resent_ms: u64,
}

impl Peer {
    /// A member of which nothing is known but that it is there.
    pub(super) fn new(now_ms: u64) -> Peer {
        Peer {
            granted_ms: None,
            last_received_ms: now_ms,
            report: PeerReport {
                viewstamp: Viewstamp::default(),
                store_age_ms: 0,
                draining: false,
            },
            rejoin_ms: 0,
            penalty_ms: REJOIN_AFTER_MS,
            has_promised_later: false,
            is_direct: false,
            resent_ms: 0,
        }
    }

    /// Keeps the member out of the chain for a time that grows from one exclusion to the next.
    pub(super) fn exclude(&mut self, now_ms: u64) {
        self.rejoin_ms = now_ms + self.penalty_ms;
        self.penalty_ms = (2 * self.penalty_ms).min(REJOIN_AFTER_MAX_MS);
    }

    /// Time since the last message from it.
    pub(super) fn since_received_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_received_ms)
    }

    /// Takes a state that it has on disk. Messages may overtake each other: an older state changes nothing.
    pub(super) fn has_stored(&mut self, viewstamp: Viewstamp, now_ms: u64) {
        self.last_received_ms = now_ms;
        self.report.viewstamp = self.report.viewstamp.max(viewstamp);
    }

    /// Takes the answer to the heartbeat sent at `sent_ms`.
    pub(super) fn has_granted(&mut self, sent_ms: u64, report: PeerReport, now_ms: u64) {
        self.granted_ms = self.granted_ms.max(Some(sent_ms));
        self.last_received_ms = now_ms;
        self.report = PeerReport {
            viewstamp: self.report.viewstamp.max(report.viewstamp),
            ..report
        };
    }
    /// The head leads another view: what was known of the one before does not count.
    pub(super) fn enter_view(&mut self) {
        self.has_promised_later = false;
        self.is_direct = false;
    }

    /// It has rejected a heartbeat, because it has promised a higher number.
    pub(super) fn has_rejected(&mut self, now_ms: u64) {
        self.has_promised_later = true;
        self.last_received_ms = now_ms;
    }

    /// Writes are sent to it again by the head itself from now on; `false` if that was done just now.
    pub(super) fn begin_resend(&mut self, now_ms: u64) -> bool {
        if now_ms < self.resent_ms + RESEND_MS / 2 {
            return false;
        }
        self.resent_ms = now_ms;
        self.is_direct = true;
        true
    }

    /// `sent_ms` of the newest heartbeat that it has answered.
    pub(super) fn granted_ms(&self) -> Option<u64> {
        self.granted_ms
    }

    /// What it has reported of itself last.
    pub(super) fn report(&self) -> &PeerReport {
        &self.report
    }

    /// Its time of exclusion from the chain is over.
    pub(super) fn may_rejoin(&self, now_ms: u64) -> bool {
        now_ms >= self.rejoin_ms
    }

    /// It has promised a number above the view's.
    pub(super) fn has_promised_later(&self) -> bool {
        self.has_promised_later
    }

    /// The head sends writes to it itself.
    pub(super) fn is_direct(&self) -> bool {
        self.is_direct
    }
}

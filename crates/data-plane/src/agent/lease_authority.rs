//! Whether a companion may extend the worker's holds: only while an acting head has heard it recently.

use indigofold_protocol::internal::{LEASE_AUTHORITY_MS, RUN_LEASE_MS};

/// Right to extend holds, renewed by each answered report.
#[derive(Debug)]
pub struct LeaseAuthority {
    lease_ms: u64,
    first_sent_ms: Option<u64>,
    last_sent_ms: u64,
    answered_ms: Option<u64>,
}

impl LeaseAuthority {
    /// No report has been answered yet. `max_lease_ms`: longest hold that workers keep.
    pub fn new(max_lease_ms: u64) -> Self {
        LeaseAuthority {
            lease_ms: RUN_LEASE_MS.min(max_lease_ms),
            first_sent_ms: None,
            last_sent_ms: 0,
            answered_ms: None,
        }
    }

    /// A report with this reading of the steady clock is being sent.
    pub fn sent(&mut self, sent_ms: u64) {
        self.first_sent_ms.get_or_insert(sent_ms);
        self.last_sent_ms = sent_ms;
    }

    /// An acting head has answered the report sent at `echo_ms`. A reading that this process never sent is passed over.
    pub fn answered(&mut self, echo_ms: u64) -> bool {
        let ours = self
            .first_sent_ms
            .is_some_and(|first| (first..=self.last_sent_ms).contains(&echo_ms));
        if ours {
            self.answered_ms = self.answered_ms.max(Some(echo_ms));
        }
        ours
    }

    /// The hold that an answer given now may carry.
    pub fn lease_ms(&self, now_ms: u64) -> Option<u64> {
        let answered_ms = self.answered_ms?;
        (now_ms < answered_ms + LEASE_AUTHORITY_MS).then_some(self.lease_ms)
    }

    /// A head has answered once, but so long ago that another one may have given this companion's work to others.
    pub fn has_expired(&self, now_ms: u64) -> bool {
        self.answered_ms.is_some() && self.lease_ms(now_ms).is_none()
    }
}

/// When a hold of `lease_ms` given at `now_ms` has lapsed for certain, by this machine's clock. Workers count a hold from
/// when they sent the heartbeat, so the time that an answer takes does not add to it.
pub fn expires_by_ms(now_ms: u64, lease_ms: u64) -> u64 {
    now_ms + lease_ms * CLOCK_DRIFT_PERCENT / 100 + EXPIRY_MARGIN_MS
}

/// A worker's clock may run 2% slow; its hold may last so much longer by ours, in percent.
const CLOCK_DRIFT_PERCENT: u64 = 103;
/// Time a worker may take to kill what has lapsed.
const EXPIRY_MARGIN_MS: u64 = 200;

//! The node agent's authority to renew the worker's run leases, which it has only while an acting head has acknowledged
//! a recent report.

use indigofold_protocol::internal::{LEASE_AUTHORITY_MS, RUN_LEASE_MS};

/// Longest duration of a lease by this machine's clock, in percent of the granted duration: the worker's clock may run
/// 2% slow (1 / 0.98 is about 102.04%, rounded up).
const LEASE_DURATION_MAX_PERCENT: u64 = 103;
/// Maximum time that a worker takes to kill the runs whose lease has expired.
const EXPIRY_MARGIN_MS: u64 = 200;

/// Authority to renew run leases until [`LEASE_AUTHORITY_MS`] after the newest acknowledged report was sent.
#[derive(Debug)]
pub(super) struct LeaseAuthority {
    /// Duration of each granted lease.
    lease_duration_ms: u64,
    /// Time at which the first report was sent; `None` before it.
    first_sent_ms: Option<u64>,
    last_sent_ms: u64,
    /// Time at which the newest acknowledged report was sent; `None` before the first acknowledgement.
    acknowledged_sent_ms: Option<u64>,
}

impl LeaseAuthority {
    /// Creates the state before any report is acknowledged. `max_lease_ms`: the longest lease that workers accept.
    pub(super) fn new(max_lease_ms: u64) -> Self {
        LeaseAuthority {
            lease_duration_ms: RUN_LEASE_MS.min(max_lease_ms),
            first_sent_ms: None,
            last_sent_ms: 0,
            acknowledged_sent_ms: None,
        }
    }

    /// Records that a report with this reading of the monotonic clock is being sent.
    pub(super) fn handle_report_sent(&mut self, sent_ms: u64) {
        self.first_sent_ms.get_or_insert(sent_ms);
        self.last_sent_ms = sent_ms;
    }

    /// Records that an acting head acknowledged the report sent at `echo_ms`. Returns `false`, and changes nothing, if
    /// `echo_ms` is outside the times at which this process has sent reports.
    pub(super) fn handle_echo(&mut self, echo_ms: u64) -> bool {
        let is_own_report = self
            .first_sent_ms
            .is_some_and(|first_sent_ms| (first_sent_ms..=self.last_sent_ms).contains(&echo_ms));
        if is_own_report {
            self.acknowledged_sent_ms = self.acknowledged_sent_ms.max(Some(echo_ms));
        }
        is_own_report
    }

    /// Duration of the lease that a reply sent now may grant; `None` without authority.
    pub(super) fn lease_duration_ms(&self, now_ms: u64) -> Option<u64> {
        let acknowledged_sent_ms = self.acknowledged_sent_ms?;
        (now_ms < acknowledged_sent_ms + LEASE_AUTHORITY_MS).then_some(self.lease_duration_ms)
    }

    /// Whether the authority has expired: a report was acknowledged, but so long ago that another head may have
    /// reassigned this worker's runs.
    pub(super) fn has_expired(&self, now_ms: u64) -> bool {
        self.acknowledged_sent_ms.is_some() && self.lease_duration_ms(now_ms).is_none()
    }
}

/// Time by this machine's clock at which a lease of `lease_duration_ms` granted at `now_ms` has certainly expired.
/// Workers count a lease from the time at which they sent the heartbeat, so the delay of the reply does not extend it.
pub fn expires_by_ms(now_ms: u64, lease_duration_ms: u64) -> u64 {
    now_ms + lease_duration_ms * LEASE_DURATION_MAX_PERCENT / 100 + EXPIRY_MARGIN_MS
}

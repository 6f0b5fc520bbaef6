//! When the membership list is requested next.

use super::tuning::{MEMBERSHIP_BACKOFF_FIRST, MEMBERSHIP_BACKOFF_MAX};
use crate::api::{Scope, Time};

/// The next request, and the wait after its failure.
#[derive(Default)]
pub(super) struct MembershipRequest {
    due: Time,
    /// Wait after the next failure.
    backoff: Time,
}

impl MembershipRequest {
    /// Due at once, or never where updates come without a request.
    pub(super) fn new(now: Time, is_pushed: bool) -> Self {
        MembershipRequest {
            due: if is_pushed { Time::MAX } else { now },
            backoff: MEMBERSHIP_BACKOFF_FIRST,
        }
    }

    /// Takes the answer to a request: after a failure the next one waits, longer each time.
    pub(super) fn handle_answer(&mut self, now: Time, scope: Scope, refresh_within: Time) {
        let backoff = self.backoff;
        match scope {
            Scope::Failed => {
                self.due = now + backoff;
                self.backoff = (2 * backoff)
                    .min(MEMBERSHIP_BACKOFF_MAX)
                    .min(refresh_within);
            }
            Scope::Cached => {}
            _ => {
                self.due = Time::MAX;
                self.backoff = MEMBERSHIP_BACKOFF_FIRST;
            }
        }
    }

    /// Whether a request is due; the next one is, unless an answer comes, after `refresh_within`.
    pub(super) fn take_due(&mut self, now: Time, refresh_within: Time) -> bool {
        let is_due = now >= self.due;
        if is_due {
            self.due = now + refresh_within;
        }
        is_due
    }
}

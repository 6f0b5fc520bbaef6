//! Schedule of the requests for the membership list.

use super::tuning::{MEMBERSHIP_BACKOFF_FIRST, MEMBERSHIP_BACKOFF_MAX};
use crate::api::{Scope, Time};

/// Due time of the next request, and the backoff after a failure.
#[derive(Default)]
pub(super) struct MembershipRequest {
    due_at: Time,
    /// Delay of the request that follows the next failure.
    backoff: Time,
}

impl MembershipRequest {
    /// Creates the schedule. The first request is due at `now`, or never if updates are pushed without a request.
    pub(super) fn new(now: Time, is_pushed: bool) -> Self {
        MembershipRequest {
            due_at: if is_pushed { Time::MAX } else { now },
            backoff: MEMBERSHIP_BACKOFF_FIRST,
        }
    }

    /// Handles the answer to a request. After a failure the next request is delayed with exponential backoff; after a
    /// list other than a cached one no request is due.
    pub(super) fn handle_answer(&mut self, now: Time, scope: Scope, refresh_within: Time) {
        let backoff = self.backoff;
        match scope {
            Scope::Failed => {
                self.due_at = now + backoff;
                self.backoff = (2 * backoff)
                    .min(MEMBERSHIP_BACKOFF_MAX)
                    .min(refresh_within);
            }
            Scope::Cached => {}
            _ => {
                self.due_at = Time::MAX;
                self.backoff = MEMBERSHIP_BACKOFF_FIRST;
            }
        }
    }

    /// Whether a request is due. If so, the next one becomes due after `refresh_within`, unless an answer comes.
    pub(super) fn take_due(&mut self, now: Time, refresh_within: Time) -> bool {
        let is_due = now >= self.due_at;
        if is_due {
            self.due_at = now + refresh_within;
        }
        is_due
    }
}

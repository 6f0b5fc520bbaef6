//! Scheduled reviews of open requests: times at which a request is reconsidered (see `Dispatcher::review`).

use crate::api::{RequestId, Time};
use std::collections::BTreeSet;

/// Scheduled reviews, ordered by time. A request may have several.
#[derive(Default)]
pub(super) struct Reviews(BTreeSet<(Time, RequestId)>);

impl Reviews {
    /// Schedules a review of a request at this time.
    pub(super) fn schedule(&mut self, review_at: Time, id: RequestId) {
        self.0.insert((review_at, id));
    }

    /// Removes the earliest review that is due and returns its request; `None` if none is due.
    pub(super) fn take_due(&mut self, now: Time) -> Option<RequestId> {
        let first_review = self.0.first().filter(|(at, _)| *at <= now).copied()?;
        self.0.remove(&first_review);
        Some(first_review.1)
    }

    /// Removes all reviews of a request.
    pub(super) fn remove_all(&mut self, id: RequestId) {
        self.0.retain(|(_, other)| *other != id);
    }
}

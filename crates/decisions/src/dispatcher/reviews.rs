//! Scheduled reviews of open requests: times at which a request is reconsidered (see `Dispatcher::review`).

use crate::api::{RequestId, Time};
use std::collections::BTreeSet;

/// Scheduled reviews, ordered by time. A request may have several.
#[derive(Default)]
pub(super) struct Reviews(BTreeSet<(Time, RequestId)>);

impl Reviews {
    /// Schedules a review of a request at this time.
    pub(super) fn schedule(&mut self, at: Time, id: RequestId) {
        self.0.insert((at, id));
    }

    /// Removes the earliest review that is due and returns its request; `None` if none is due.
    pub(super) fn take_due(&mut self, now: Time) -> Option<RequestId> {
        let first = self.0.first().filter(|(at, _)| *at <= now).copied()?;
        self.0.remove(&first);
        Some(first.1)
    }

    /// Removes all reviews of a request.
    pub(super) fn remove_all(&mut self, id: RequestId) {
        self.0.retain(|(_, other)| *other != id);
    }
}

//! When open requests are looked at again.

use crate::api::{RequestId, Time};
use std::collections::BTreeSet;

/// Requests by the time of their next reviews. A request may have several.
#[derive(Default)]
pub(super) struct Reviews(BTreeSet<(Time, RequestId)>);

impl Reviews {
    /// Looks at a request again at this time.
    pub(super) fn schedule(&mut self, at: Time, id: RequestId) {
        self.0.insert((at, id));
    }

    /// Takes out the earliest review that is due.
    pub(super) fn take_due(&mut self, now: Time) -> Option<RequestId> {
        let first = self.0.first().filter(|(at, _)| *at <= now).copied()?;
        self.0.remove(&first);
        Some(first.1)
    }

    /// Removes the reviews of a request.
    pub(super) fn forget(&mut self, id: RequestId) {
        self.0.retain(|(_, other)| *other != id);
    }
}

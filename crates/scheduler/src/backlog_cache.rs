//! Cache of the latest estimate of a service's backlog.

/// An estimate is valid for this time.
const BACKLOG_CACHE_MS: u64 = 250;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    backlog_ms: u64,
    /// When the estimate was made, on the monotonic clock.
    estimated_at_ms: u64,
}

/// The latest estimate of the time to work off a service's queue; `None` before the first one.
#[derive(Debug, Default)]
pub(crate) struct BacklogCache {
    latest: Option<Estimate>,
}

impl BacklogCache {
    /// Returns the estimated time in milliseconds; `None` if there is no estimate or it is too old.
    pub(crate) fn get(&self, now_ms: u64) -> Option<u64> {
        self.latest
            .filter(|estimate| now_ms < estimate.estimated_at_ms + BACKLOG_CACHE_MS)
            .map(|estimate| estimate.backlog_ms)
    }

    /// Stores a new estimate.
    pub(crate) fn set(&mut self, backlog_ms: u64, now_ms: u64) {
        self.latest = Some(Estimate {
            backlog_ms,
            estimated_at_ms: now_ms,
        });
    }
}

#[cfg(test)]
mod tests;

//! The last estimate of a service's backlog, kept for a short time.

/// The backlog is estimated anew after this time.
const BACKLOG_CACHE_MS: u64 = 250;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    backlog_ms: u64,
    estimated_ms: u64,
}

/// How long all that waits for a service will take, and when this was estimated.
#[derive(Debug, Default)]
pub(crate) struct BacklogCache {
    latest: Option<Estimate>,
}

impl BacklogCache {
    /// The estimate, unless it is too old.
    pub(crate) fn get(&self, now_ms: u64) -> Option<u64> {
        self.latest
            .filter(|estimate| now_ms < estimate.estimated_ms + BACKLOG_CACHE_MS)
            .map(|estimate| estimate.backlog_ms)
    }

    /// Keeps a new estimate.
    pub(crate) fn set(&mut self, backlog_ms: u64, now_ms: u64) {
        self.latest = Some(Estimate {
            backlog_ms,
            estimated_ms: now_ms,
        });
    }
}

#[cfg(test)]
mod tests;

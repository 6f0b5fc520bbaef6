//! Work that is repeated at a fixed period.

/// A period of the steady clock, and when it ends next.
#[derive(Debug)]
pub(crate) struct Periodic {
    period_ms: u64,
    next_ms: u64,
}

impl Periodic {
    /// Due at once, and then every `period_ms`.
    pub(crate) fn new(period_ms: u64, now_ms: u64) -> Self {
        Periodic {
            period_ms,
            next_ms: now_ms,
        }
    }

    /// Whether the period has ended; if so, the next one begins now.
    pub(crate) fn take_due(&mut self, now_ms: u64) -> bool {
        if now_ms < self.next_ms {
            return false;
        }
        self.next_ms = now_ms + self.period_ms;
        true
    }
}

#[cfg(test)]
mod tests;

//! Timer for work that is repeated periodically.

/// Periodic timer on the monotonic clock.
#[derive(Debug)]
pub(crate) struct Periodic {
    period_ms: u64,
    /// When the timer is due next.
    next_due_ms: u64,
}

impl Periodic {
    /// Creates a timer that is due at once, and then `period_ms` after each time it was taken.
    pub(crate) fn new(period_ms: u64, now_ms: u64) -> Self {
        Periodic {
            period_ms,
            next_due_ms: now_ms,
        }
    }

    /// Returns whether the timer is due; if so, restarts the period now.
    pub(crate) fn take_due(&mut self, now_ms: u64) -> bool {
        if now_ms < self.next_due_ms {
            return false;
        }
        self.next_due_ms = now_ms + self.period_ms;
        true
    }
}

#[cfg(test)]
mod tests;

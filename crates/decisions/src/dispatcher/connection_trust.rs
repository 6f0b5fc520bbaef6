//! Limit on the idle time of connections that may still be used.

use super::tuning::{IDLE_GROWTH, IDLE_TRUSTED};
use crate::api::Time;

/// Longest idle time, in microseconds, after which a connection is still trusted.
pub(super) struct ConnectionTrust(f64);

impl Default for ConnectionTrust {
    /// Initially all connections are trusted.
    fn default() -> Self {
        ConnectionTrust(f64::MAX)
    }
}

impl ConnectionTrust {
    /// Whether a connection that has been idle for `idle` may be used.
    pub(super) fn is_trusted(&self, idle: Time) -> bool {
        idle as f64 <= self.0
    }

    /// Records that a connection that had been idle for `idle` was reset before the start of an attempt: from now on
    /// only connections with a shorter idle time are trusted.
    pub(super) fn record_reset(&mut self, idle: Time) {
        self.restrict(idle as f64 * IDLE_TRUSTED);
    }

    /// Increases the limit slightly. Called periodically, so that longer idle times are tried again.
    pub(super) fn grow(&mut self) {
        self.0 *= IDLE_GROWTH;
    }

    /// The longest trusted idle time, in microseconds.
    pub(super) fn longest_idle(&self) -> f64 {
        self.0
    }

    /// Reduces the limit to that of another dispatcher if that is shorter.
    pub(super) fn restrict(&mut self, longest: f64) {
        self.0 = self.0.min(longest);
    }
}

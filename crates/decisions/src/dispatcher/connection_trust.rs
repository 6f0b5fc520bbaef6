//! How long a connection may have been idle and still be used.

use super::tuning::{IDLE_GROWTH, IDLE_TRUSTED};
use crate::api::Time;

/// Connections idle for longer than this, in microseconds, are not trusted.
pub(super) struct ConnectionTrust(f64);

impl Default for ConnectionTrust {
    /// All are trusted.
    fn default() -> Self {
        ConnectionTrust(f64::MAX)
    }
}

impl ConnectionTrust {
    /// Whether a connection that has been idle for so long may be used.
    pub(super) fn includes(&self, idle: Time) -> bool {
        idle as f64 <= self.0
    }

    /// A connection that was idle for so long was reset before the start: shorter ones only are trusted.
    pub(super) fn record_reset(&mut self, idle: Time) {
        self.restrict(idle as f64 * IDLE_TRUSTED);
    }

    /// Trusts somewhat longer ones again.
    pub(super) fn grow(&mut self) {
        self.0 *= IDLE_GROWTH;
    }

    /// The longest trusted time, in microseconds.
    pub(super) fn longest(&self) -> f64 {
        self.0
    }

    /// Takes over the limit of another dispatcher where it is shorter.
    pub(super) fn restrict(&mut self, longest: f64) {
        self.0 = self.0.min(longest);
    }
}

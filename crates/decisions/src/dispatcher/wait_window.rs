//! How many own attempts may wait in workers' queues at once: additive increase, multiplicative decrease.

use super::tuning::WINDOW_DECREASE;

/// The window, in attempts.
pub(super) struct WaitWindow(f64);

impl Default for WaitWindow {
    /// Finite, and cut to the number of workers by the first start.
    fn default() -> Self {
        WaitWindow(f64::MAX)
    }
}

impl WaitWindow {
    /// Attempts that may wait.
    pub(super) fn attempts(&self) -> f64 {
        self.0
    }

    /// Adapts the window to a prompt or a late start, where there are so many workers.
    pub(super) fn record_start(&mut self, is_late: bool, workers: usize) {
        let change = if is_late {
            -WINDOW_DECREASE * self.0
        } else {
            1.0 / self.0
        };
        self.0 = (self.0 + change).clamp(1.0, workers as f64);
    }

    /// Takes over the window of another dispatcher where it is smaller.
    pub(super) fn restrict(&mut self, other: f64) {
        self.0 = self.0.min(other);
    }
}

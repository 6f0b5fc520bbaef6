//! Limit on the number of own attempts that wait in workers' queues at once: additive increase, multiplicative
//! decrease.

use super::tuning::WINDOW_DECREASE;

/// Size of the window, in attempts.
pub(super) struct WaitWindow(f64);

impl Default for WaitWindow {
    /// The initial window is practically unlimited but finite; the first start reduces it to the number of workers.
    fn default() -> Self {
        WaitWindow(f64::MAX)
    }
}

impl WaitWindow {
    /// Number of attempts that may wait.
    pub(super) fn attempts(&self) -> f64 {
        self.0
    }

    /// Adapts the window to a prompt or a late start; `workers` is its upper bound.
    pub(super) fn record_start(&mut self, is_late: bool, workers: usize) {
        let change = if is_late {
            -WINDOW_DECREASE * self.0
        } else {
            1.0 / self.0
        };
        self.0 = (self.0 + change).clamp(1.0, workers as f64);
    }

    /// Reduces the window to that of another dispatcher if that is smaller.
    pub(super) fn restrict(&mut self, other_window: f64) {
        self.0 = self.0.min(other_window);
    }
}

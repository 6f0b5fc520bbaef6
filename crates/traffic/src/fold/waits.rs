//! How long clients wait before they try again, learned from the log.

use crate::job::Micros;

/// Weight of each bin before anything is learned.
const PRIOR: f64 = 0.02;

/// A histogram of the times between the end of an attempt and the next, in bins of a quarter of an octave.
pub(super) struct WaitHistogram([f64; WaitHistogram::BINS]);

impl Default for WaitHistogram {
    fn default() -> Self {
        WaitHistogram([PRIOR; Self::BINS])
    }
}

impl WaitHistogram {
    const BINS: usize = 64;

    fn bin(wait: Micros) -> usize {
        // From 1 ms on; what is less, or seems negative, falls into the first bin.
        let quarters = (wait.max(1_000) as f64 / 1_000.0).log2() * 4.0;
        (quarters as usize).min(Self::BINS - 1)
    }

    /// Counts a wait.
    pub(super) fn learn(&mut self, wait: Micros) {
        self.0[Self::bin(wait)] += 1.0;
    }

    /// How likely such a wait is, for each microsecond of its bin, up to a factor.
    pub(super) fn density(&self, wait: Micros) -> f64 {
        let bin = Self::bin(wait);
        self.0[bin] / 2f64.powf(bin as f64 / 4.0)
    }
}

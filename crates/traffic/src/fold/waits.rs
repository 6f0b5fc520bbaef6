//! Distribution of the time that clients wait before a retry, learned from the log.

use crate::job::Micros;

/// Initial weight of each bin.
const PRIOR: f64 = 0.02;

/// Histogram of the time between the end of an attempt and its retry. The bins are logarithmic, four per factor of two,
/// starting at 1 ms.
pub(super) struct WaitHistogram([f64; WaitHistogram::BINS]);

impl Default for WaitHistogram {
    fn default() -> Self {
        WaitHistogram([PRIOR; Self::BINS])
    }
}

impl WaitHistogram {
    const BINS: usize = 64;

    fn bin(wait: Micros) -> usize {
        // Waits below 1 ms, and waits that appear negative, fall into the first bin.
        let quarters = (wait.max(1_000) as f64 / 1_000.0).log2() * 4.0;
        (quarters as usize).min(Self::BINS - 1)
    }

    /// Adds a wait to the histogram.
    pub(super) fn learn(&mut self, wait: Micros) {
        self.0[Self::bin(wait)] += 1.0;
    }

    /// Returns the probability density of a wait, up to a constant factor.
    pub(super) fn density(&self, wait: Micros) -> f64 {
        let bin = Self::bin(wait);
        self.0[bin] / 2f64.powf(bin as f64 / 4.0)
    }
}

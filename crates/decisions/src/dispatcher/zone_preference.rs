//! Preference for workers of the dispatcher's own zone, adapted by the rates of late starts there and in other zones.

use super::tuning::{CROSSING_LATE_STARTS, LATE_STEP};
use crate::statistics::LateStartRate;

/// The preference for the own zone, and the rates of late starts that determine it.
pub(super) struct ZonePreference {
    /// Fraction of requests that prefer workers of the own zone, 0 to 1.
    home: f64,
    /// Recent fractions of starts that came late.
    late_starts: LateStartRate,
}

impl Default for ZonePreference {
    /// Initially every request prefers the own zone, and no start has been observed.
    fn default() -> Self {
        ZonePreference {
            home: 1.0,
            late_starts: LateStartRate::default(),
        }
    }
}

impl ZonePreference {
    /// Fraction of requests that prefer workers of the own zone.
    pub(super) fn home(&self) -> f64 {
        self.home
    }

    /// Recent fractions of starts that came late.
    pub(super) fn late_starts(&self) -> LateStartRate {
        self.late_starts
    }

    /// Whether no late start has been recorded.
    pub(super) fn is_unobserved(&self) -> bool {
        self.late_starts == LateStartRate::default()
    }

    /// Sets the preference, at most 1, that is assumed until starts have been observed.
    pub(super) fn assume(&mut self, home: f64) {
        self.home = home.min(1.0);
    }

    /// Adapts the preference to a prompt or a late start. `crossing_price` is the price of an attempt that crosses
    /// zones.
    pub(super) fn record_start(&mut self, is_home: bool, is_late: bool, crossing_price: f64) {
        let fraction = self.late_starts.of_zone(is_home);
        *fraction += LATE_STEP * (f64::from(u8::from(is_late)) - *fraction);
        let LateStartRate { away, home } = self.late_starts;
        let late_rate_excess = home - away - CROSSING_LATE_STARTS * crossing_price;
        self.home = (self.home - LATE_STEP * late_rate_excess).clamp(0.0, 1.0);
    }

    /// Continues from the values of another dispatcher, whose deviation from the initial values is multiplied by
    /// `keep`.
    pub(super) fn resume(&mut self, home: f64, late_starts: LateStartRate, keep: f64) {
        self.home = 1.0 - (1.0 - home) * keep;
        self.late_starts = late_starts.faded(keep);
    }
}

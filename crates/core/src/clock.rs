//! A monotonic clock in Unix time, microseconds. A machine reports its start in Unix time, which can be compared with
//! this clock.

use indigofold_decisions::api::Time;
use std::time::{Instant, SystemTime};

/// Reads the system clock once, when created, and advances with the monotonic clock from there.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    from: Instant,
    unix: Time,
}

impl Clock {
    /// Creates a clock set to the present Unix time.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Clock {
            from: Instant::now(),
            unix: unix.map_or(0, |d| d.as_micros() as Time),
        }
    }

    /// The present Unix time in microseconds.
    pub fn now(&self) -> Time {
        self.unix + self.from.elapsed().as_micros() as Time
    }

    /// Returns the `Instant` at which this clock reads `at`; a time before the clock's start gives the start.
    pub fn instant(&self, at: Time) -> Instant {
        self.from + std::time::Duration::from_micros(at.saturating_sub(self.unix).min(1 << 50))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

//! The clock: Unix time in microseconds that never runs backwards, so that a machine's start, reported in
//! Unix time, can be compared with it.

use indigofold_decisions::api::Time;
use std::time::{Instant, SystemTime};

/// Reads the system's clock once and counts on from there.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    from: Instant,
    unix: Time,
}

impl Clock {
    /// A clock that shows Unix time now.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Clock {
            from: Instant::now(),
            unix: unix.map_or(0, |d| d.as_micros() as Time),
        }
    }

    /// The time.
    pub fn now(&self) -> Time {
        self.unix + self.from.elapsed().as_micros() as Time
    }

    /// The moment at which this clock shows a time.
    pub fn instant(&self, at: Time) -> Instant {
        self.from + std::time::Duration::from_micros(at.saturating_sub(self.unix).min(1 << 50))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

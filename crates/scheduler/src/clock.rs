//! Wall-clock time derived from the monotonic clock, so that a step of the system time does not move due times.

/// A change of the offset between the clocks up to this counts as drift and is adopted at once.
const DRIFT_MS: i64 = 100;
/// A larger change of the offset is adopted once the new offset has been stable for this time.
const STABLE_MS: u64 = 15_000;

/// Time of the current event: reading of the monotonic clock and wall-clock time.
#[derive(Debug)]
pub(crate) struct Clock {
    /// Latest reading of the monotonic clock.
    now_ms: u64,
    wall: WallClock,
}

impl Clock {
    /// Creates a clock from two readings taken at the same moment: `now_ms` of the monotonic clock, and `wall_ms`, the
    /// Unix time in milliseconds.
    pub(crate) fn new(now_ms: u64, wall_ms: u64) -> Self {
        Clock {
            now_ms,
            wall: WallClock::new(now_ms, wall_ms),
        }
    }

    /// Advances to the readings of both clocks at a new event. Monotonic time never goes back.
    pub(crate) fn advance(&mut self, now_ms: u64, wall_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        self.wall.observe(now_ms, wall_ms);
    }

    /// Time of the current event on the monotonic clock.
    pub(crate) fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Time of the current event, as Unix time in milliseconds.
    pub(crate) fn wall_ms(&self) -> u64 {
        self.wall.wall_ms(self.now_ms)
    }

    /// Converts a wall-clock time to a reading of the monotonic clock; negative for times before that clock's zero.
    pub(crate) fn steady_ms(&self, wall_ms: u64) -> i64 {
        self.wall.steady_ms(wall_ms)
    }

    /// Time since this reading of the monotonic clock, in milliseconds; 0 if it is in the future.
    pub(crate) fn since_ms(&self, steady_ms: i64) -> u64 {
        (self.now_ms as i64).saturating_sub(steady_ms).max(0) as u64
    }
}

/// Maps readings of the monotonic clock to the wall-clock time.
#[derive(Debug)]
struct WallClock {
    /// Wall-clock time minus the monotonic clock's reading.
    offset_ms: i64,
    /// Differing offset that is adopted once it has been stable.
    candidate: Option<OffsetCandidate>,
}

/// A differing offset, and since when it has been observed, on the monotonic clock.
#[derive(Clone, Copy, Debug)]
struct OffsetCandidate {
    offset_ms: i64,
    since_ms: u64,
}

impl WallClock {
    /// Creates the mapping from readings of both clocks taken at the same moment.
    fn new(now_ms: u64, wall_ms: u64) -> Self {
        WallClock {
            offset_ms: wall_ms as i64 - now_ms as i64,
            candidate: None,
        }
    }

    /// Updates the offset from readings of both clocks taken at the same moment.
    fn observe(&mut self, now_ms: u64, wall_ms: u64) {
        let offset_ms = wall_ms as i64 - now_ms as i64;
        if (offset_ms - self.offset_ms).abs() <= DRIFT_MS {
            (self.offset_ms, self.candidate) = (offset_ms, None);
            return;
        }
        let same_candidate = self
            .candidate
            .filter(|c| (c.offset_ms - offset_ms).abs() <= DRIFT_MS);
        let since_ms = same_candidate.map_or(now_ms, |c| c.since_ms);
        self.candidate = Some(OffsetCandidate {
            offset_ms,
            since_ms,
        });
        if now_ms.saturating_sub(since_ms) > STABLE_MS {
            (self.offset_ms, self.candidate) = (offset_ms, None);
        }
    }

    /// Converts a reading of the monotonic clock to the wall-clock time.
    fn wall_ms(&self, now_ms: u64) -> u64 {
        (now_ms as i64).saturating_add(self.offset_ms).max(0) as u64
    }

    /// Converts a wall-clock time to a reading of the monotonic clock; negative for times before that clock's zero.
    fn steady_ms(&self, wall_ms: u64) -> i64 {
        (wall_ms.min(i64::MAX as u64) as i64).saturating_sub(self.offset_ms)
    }
}

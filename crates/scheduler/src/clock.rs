//! Time of day derived from the steady clock, so that a step of the system's time does not move what is due.

/// A difference between the clocks up to this is drift, and followed at once.
const DRIFT_MS: i64 = 100;
/// A larger one is adopted once it has been stable for this time.
const STABLE_MS: u64 = 15_000;

/// The time of the present event, on both clocks.
#[derive(Debug)]
pub(crate) struct Clock {
    /// Latest reading of the steady clock.
    now_ms: u64,
    wall: WallClock,
}

impl Clock {
    /// Both clocks read at the same moment: the steady one, and the time of day since 1970.
    pub(crate) fn new(now_ms: u64, wall_ms: u64) -> Self {
        Clock {
            now_ms,
            wall: WallClock::new(now_ms, wall_ms),
        }
    }

    /// Both clocks read when an event comes. The time does not go back.
    pub(crate) fn advance(&mut self, now_ms: u64, wall_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        self.wall.observe(now_ms, wall_ms);
    }

    /// Time of the present event on the steady clock.
    pub(crate) fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Time of the present event as the time of day, in milliseconds since 1970.
    pub(crate) fn wall_ms(&self) -> u64 {
        self.wall.wall_ms(self.now_ms)
    }

    /// Reading of the steady clock at this time of day; below zero for times before it began.
    pub(crate) fn steady_ms(&self, wall_ms: u64) -> i64 {
        self.wall.steady_ms(wall_ms)
    }

    /// Time since this reading of the steady clock; 0 if it is to come.
    pub(crate) fn since_ms(&self, steady_ms: i64) -> u64 {
        (self.now_ms as i64).saturating_sub(steady_ms).max(0) as u64
    }
}

/// Maps the steady clock to the time of day.
#[derive(Debug)]
struct WallClock {
    offset_ms: i64,
    candidate: Option<OffsetCandidate>,
}

/// Another offset, and since when it has been observed.
#[derive(Clone, Copy, Debug)]
struct OffsetCandidate {
    offset_ms: i64,
    since_ms: u64,
}

impl WallClock {
    /// Both clocks read at the same moment.
    fn new(now_ms: u64, wall_ms: u64) -> Self {
        WallClock {
            offset_ms: wall_ms as i64 - now_ms as i64,
            candidate: None,
        }
    }

    /// Observes both clocks, read at the same moment.
    fn observe(&mut self, now_ms: u64, wall_ms: u64) {
        let offset_ms = wall_ms as i64 - now_ms as i64;
        if (offset_ms - self.offset_ms).abs() <= DRIFT_MS {
            (self.offset_ms, self.candidate) = (offset_ms, None);
            return;
        }
        let lasting = self
            .candidate
            .filter(|c| (c.offset_ms - offset_ms).abs() <= DRIFT_MS);
        let since_ms = lasting.map_or(now_ms, |c| c.since_ms);
        self.candidate = Some(OffsetCandidate {
            offset_ms,
            since_ms,
        });
        if now_ms.saturating_sub(since_ms) > STABLE_MS {
            (self.offset_ms, self.candidate) = (offset_ms, None);
        }
    }

    /// Time of day at this reading of the steady clock.
    fn wall_ms(&self, now_ms: u64) -> u64 {
        (now_ms as i64).saturating_add(self.offset_ms).max(0) as u64
    }

    /// Reading of the steady clock at this time of day; below zero for times before it began.
    fn steady_ms(&self, wall_ms: u64) -> i64 {
        (wall_ms.min(i64::MAX as u64) as i64).saturating_sub(self.offset_ms)
    }
}

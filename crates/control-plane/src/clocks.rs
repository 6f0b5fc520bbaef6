//! Clock readings. They are passed to every part that needs the time, so that tests can simulate it.

/// The two clocks, read at the same moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clocks {
    /// The steady (monotonic) clock, in milliseconds; all timers and leases use it.
    pub steady_ms: u64,
    /// The time of day, in milliseconds since 1970.
    pub wall_ms: u64,
}

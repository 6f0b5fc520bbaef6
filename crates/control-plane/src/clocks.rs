//! Clock readings. They are passed to every part that needs the time, so that tests can simulate it.

/// The two clocks, read at the same moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clocks {
    /// The monotonic clock, in milliseconds; all timers and leases use it.
    pub steady_ms: u64,
    /// The wall-clock time, as Unix time in milliseconds.
    pub wall_ms: u64,
}

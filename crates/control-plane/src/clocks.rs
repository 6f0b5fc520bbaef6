//! Readings of the clocks, passed to all parts that need the time.

/// A reading of both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clocks {
    /// The steady clock, in milliseconds.
    pub steady_ms: u64,
    /// The time of day, in milliseconds since 1970.
    pub wall_ms: u64,
}

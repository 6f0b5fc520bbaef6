//! The two clocks of a process: a monotonic clock for intervals, and the time of day.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Reading of the monotonic clock at its first use. It is above zero so that a duration can be subtracted from an early
/// reading without underflow.
const FIRST_READING_MS: u64 = 1_000_000;

/// Reads the monotonic clock, in milliseconds. Readings are comparable within one process only.
pub fn steady_ms() -> u64 {
    static FIRST_USE: OnceLock<Instant> = OnceLock::new();
    FIRST_READING_MS + FIRST_USE.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Reads the time of day, in milliseconds since 1970. It may jump, forward or backward.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

//! The two clocks of a process: a steady one for intervals, and the time of day.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Reading of the steady clock at its first use. Above zero, so that "some time ago" can be written as a difference.
const FIRST_READING_MS: u64 = 1_000_000;

/// Milliseconds on a clock that never jumps; comparable within one process only.
pub fn steady_ms() -> u64 {
    static FIRST_USE: OnceLock<Instant> = OnceLock::new();
    FIRST_READING_MS + FIRST_USE.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Milliseconds since 1970. The time of day may jump, forward or backward.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

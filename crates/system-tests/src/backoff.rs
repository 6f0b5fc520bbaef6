//! Time between the attempts of a request without a clear response.

use std::time::Duration;

/// The time grows by this with each attempt.
const BACKOFF_STEP: Duration = Duration::from_millis(20);
/// Longest time between two attempts.
const BACKOFF_MAX: Duration = Duration::from_millis(200);

/// Time to wait after attempt number `attempts`, counted from 1.
pub(crate) fn after_attempt(attempts: u32) -> Duration {
    (BACKOFF_STEP * attempts).min(BACKOFF_MAX)
}

//! Linear backoff between attempts of a request that got no clear response.

use std::time::Duration;

/// Increase of the wait with each attempt.
const BACKOFF_STEP: Duration = Duration::from_millis(20);
/// Upper bound of the wait between two attempts.
const BACKOFF_MAX: Duration = Duration::from_millis(200);

/// Time to wait after attempt number `attempts`, counted from 1.
pub(crate) fn after_attempt(attempts: u32) -> Duration {
    (BACKOFF_STEP * attempts).min(BACKOFF_MAX)
}

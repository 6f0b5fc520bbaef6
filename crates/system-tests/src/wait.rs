//! Waiting for conditions, bounded in time. Whatever changes in a test raises one [`Signal`]; whoever waits looks again
//! at each raise, and every [`LOOK_AGAIN`] for what changes without one (a port, an answer).

use snafu::Snafu;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Longest pause between two looks at a condition.
pub const LOOK_AGAIN: Duration = Duration::from_millis(10);

/// A condition did not come true in time.
#[derive(Debug, Snafu)]
#[snafu(display("waited {at_most:?} in vain for {what}"))]
pub struct TimedOut {
    /// The condition.
    pub what: String,
    /// How long was waited.
    pub at_most: Duration,
}

/// Counts changes and wakes those who wait for the next one.
#[derive(Debug, Default)]
pub struct Signal {
    count: Mutex<u64>,
    changed: Condvar,
}

impl Signal {
    /// Something has changed.
    pub fn raise(&self) {
        *locked(&self.count) += 1;
        self.changed.notify_all();
    }

    /// How many changes there have been.
    pub fn count(&self) -> u64 {
        *locked(&self.count)
    }

    /// Returns at the first change after the `seen`th, or after `at_most`.
    pub fn wait_beyond(&self, seen: u64, at_most: Duration) {
        let count = locked(&self.count);
        let waited = self
            .changed
            .wait_timeout_while(count, at_most, |count| *count <= seen);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    /// Looks until there is something to see.
    pub fn until<T>(
        &self,
        what: &str,
        at_most: Duration,
        mut look: impl FnMut() -> Option<T>,
    ) -> Result<T, TimedOut> {
        let begun = Instant::now();
        loop {
            let seen = self.count();
            if let Some(found) = look() {
                return Ok(found);
            }
            let Some(left) = at_most.checked_sub(begun.elapsed()) else {
                return Err(TimedOut {
                    what: what.to_owned(),
                    at_most,
                });
            };
            self.wait_beyond(seen, left.min(LOOK_AGAIN));
        }
    }
}

/// A lock that also opens after a thread has panicked with it: the panic is what the test reports.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

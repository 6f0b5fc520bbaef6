//! Waiting for conditions, bounded in time. Whatever changes in a test raises one [`Signal`]; who waits for a condition
//! probes it at each raise, and every [`POLL_INTERVAL`] for what changes without one (a port, a response).

use snafu::Snafu;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Longest time between two probes of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);

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

    /// Returns once there have been more changes than `observed`, or after `at_most`.
    pub fn wait_past(&self, observed: u64, at_most: Duration) {
        let count = locked(&self.count);
        let waited = self
            .changed
            .wait_timeout_while(count, at_most, |count| *count <= observed);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    /// Returns after `time`, whatever changes.
    pub fn sleep(&self, time: Duration) {
        self.wait_past(u64::MAX, time);
    }

    /// Probes a condition until it yields something, for `at_most`; `what` names it in the error.
    ///
    /// # Errors
    ///
    /// [`TimedOut`] if it yields nothing in time.
    pub fn wait_until<T>(
        &self,
        what: &str,
        at_most: Duration,
        mut probe: impl FnMut() -> Option<T>,
    ) -> Result<T, TimedOut> {
        let started = Instant::now();
        loop {
            let observed = self.count();
            if let Some(found) = probe() {
                return Ok(found);
            }
            let Some(left) = at_most.checked_sub(started.elapsed()) else {
                return Err(TimedOut {
                    what: what.to_owned(),
                    at_most,
                });
            };
            self.wait_past(observed, left.min(POLL_INTERVAL));
        }
    }
}

/// A lock that also opens after a thread has panicked with it: the panic is what the test reports.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

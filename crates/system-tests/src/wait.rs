//! Waiting for conditions, bounded in time. Every recorded change in a test raises one [`Signal`]. A waiting thread
//! probes its condition at each raise, and every [`POLL_INTERVAL`] for changes that raise no signal (a port that opens,
//! a response that differs).

use snafu::Snafu;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Longest time between two probes of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Error: a condition did not become true in time.
#[derive(Debug, Snafu)]
#[snafu(display("timed out after {at_most:?} waiting for {what}"))]
pub struct TimedOut {
    /// Description of the condition.
    pub what: String,
    /// How long the caller waited.
    pub at_most: Duration,
}

/// Counts changes and wakes the threads that wait for the next one.
#[derive(Debug, Default)]
pub struct Signal {
    count: Mutex<u64>,
    changed: Condvar,
}

impl Signal {
    /// Counts a change and wakes all waiting threads.
    pub fn raise(&self) {
        *locked(&self.count) += 1;
        self.changed.notify_all();
    }

    /// Number of changes so far.
    pub fn count(&self) -> u64 {
        *locked(&self.count)
    }

    /// Blocks until there have been more changes than `observed`, at most for `at_most`.
    pub fn wait_past(&self, observed: u64, at_most: Duration) {
        let count = locked(&self.count);
        let waited = self
            .changed
            .wait_timeout_while(count, at_most, |count| *count <= observed);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    /// Blocks for `time`, regardless of changes.
    pub fn sleep(&self, time: Duration) {
        self.wait_past(u64::MAX, time);
    }

    /// Probes a condition until it returns `Some`, for at most `at_most`; `what` names the condition in the error.
    ///
    /// # Errors
    ///
    /// [`TimedOut`] if the probe returns no `Some` in time.
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

/// Locks a mutex even if it is poisoned: the panic of the other thread is the failure that the test reports.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

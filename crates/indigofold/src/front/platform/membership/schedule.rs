//! Timing of calls to discovery: random delays before calls, long-poll waits, and timeouts.

use std::time::Duration;

/// Minimum and maximum of the upper limit on the long-poll wait, in milliseconds; `wait_bounds` returns the range for a
/// given number of schedulers. A change missed on a broken connection must be known six seconds after it, or two seconds
/// after the end of the wait if that is later, so the call must have been repeated by then. Each scheduler draws its own wait.
const WAIT_MS: (u64, u64) = (3_000, 30_000);
/// Discovery serves the calls of all schedulers one after another, so the wait grows with their number.
const WAIT_PER_SCHEDULER_MS: u64 = 500;
/// From this number of schedulers on, calls get a random delay: if all were made at once, most would be rejected.
pub(super) const MANY_SCHEDULERS: u64 = 8;
/// Maximum delay of a call that starts a watch, per scheduler. Such a call costs discovery 20 to 60 ms.
const SPREAD_PER_SCHEDULER: Duration = Duration::from_millis(40);
/// The delay of a call that starts a watch is at most this fraction of the time within which the membership must be
/// requested; the rest of that time is for the call itself.
const MAX_SPREAD_FRACTION: f64 = 0.5;
/// Largest factor on that delay after failed calls: discovery still works on calls that it has rejected.
pub(super) const MAX_FAILURE_FACTOR: u32 = 4;
/// Maximum delay of a call that continues a watch: it must come within 200 ms of the last answer, or changes are missed.
const CONTINUE_SPREAD: Duration = Duration::from_millis(100);
/// Maximum delay of the first call of a process that replaces another.
pub(super) const REPLACEMENT_SPREAD: Duration = Duration::from_millis(500);
/// Maximum delay of a call that reopens an unresponsive watch, with many schedulers.
const REOPEN_SPREAD: Duration = Duration::from_millis(300);
/// Maximum delay of the first call to a new discovery, with many schedulers. Its changes must be known four seconds after
/// the reload signal.
const NEW_DISCOVERY_SPREAD: Duration = Duration::from_millis(1_500);
/// How long a call for changes may take beyond its wait.
const CALL_SLACK: Duration = Duration::from_millis(1_000);
/// How long a call to a new discovery may take.
pub(super) const NEW_DISCOVERY_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long any other call may take. Discovery queues such calls and gives up on them before this timeout. It goes on
/// working on a call that the client has abandoned, and a repeated call would queue behind it.
const CALL_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Wait, in milliseconds, of a call that requests only the changes up to now. If a membership is known, a watch starts with
/// such a call: the complete membership would cost discovery more, and changes could be missed before the next call.
pub(super) const IMMEDIATE_WAIT_MS: u64 = 1;
/// The call after a failed one is made within this time of the failure. Changes must be known six seconds after discovery
/// can be reached again; the rest of that time is for queueing at discovery.
const RETRY_WITHIN: Duration = Duration::from_millis(4_200);
/// Minimum delay between two attempts to reach a new discovery.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a dial to discovery, and of sending a request to it.
pub(super) const DIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call is made.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    /// Starts a watch or requests the complete membership.
    StartWatch,
    /// Continues a watch.
    ContinueWatch,
    /// Reopens a watch that has become unresponsive.
    Unresponsive,
    /// First call to a new discovery.
    NewDiscovery,
}

/// Returns the maximum random delay of a call. `failure_factor` grows with consecutive failed calls;
/// `membership_refresh_within` is the time within which the membership must be requested.
pub(super) fn spread(
    kind: CallKind,
    schedulers: u64,
    failure_factor: u32,
    membership_refresh_within: Duration,
) -> Duration {
    match kind {
        _ if schedulers < MANY_SCHEDULERS => Duration::ZERO,
        CallKind::ContinueWatch => CONTINUE_SPREAD,
        CallKind::Unresponsive => REOPEN_SPREAD,
        CallKind::NewDiscovery => NEW_DISCOVERY_SPREAD,
        CallKind::StartWatch => {
            let each =
                SPREAD_PER_SCHEDULER.saturating_mul(u32::try_from(schedulers).unwrap_or(u32::MAX));
            each.min(membership_refresh_within.mul_f64(MAX_SPREAD_FRACTION))
                .saturating_mul(failure_factor)
        }
    }
}

/// Returns how long a call may still be delayed, given the time since the last call failed; `None` if it didn't fail.
pub(super) fn max_retry_delay(since_failure: Option<Duration>) -> Duration {
    since_failure.map_or(Duration::MAX, |since| RETRY_WITHIN.saturating_sub(since))
}

/// Returns the minimum and maximum long-poll wait of a call for changes, in milliseconds.
pub(super) fn wait_bounds(schedulers: u64) -> (u64, u64) {
    let most = (WAIT_PER_SCHEDULER_MS.saturating_mul(schedulers)).clamp(WAIT_MS.0, WAIT_MS.1);
    (most / 2, most)
}

/// Returns the timeout of a call with this long-poll wait in milliseconds; `None` requests the complete membership.
pub(super) fn call_timeout(wait: Option<u64>) -> Duration {
    wait.filter(|wait| *wait != IMMEDIATE_WAIT_MS)
        .map_or(CALL_TIMEOUT, |wait| {
            CALL_SLACK + Duration::from_millis(wait)
        })
}

#[cfg(test)]
mod tests;

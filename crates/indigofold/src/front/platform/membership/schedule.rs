//! When discovery is called: how long calls are put off, may wait, and may take.

use std::time::Duration;

/// How long a call for changes may wait, at least and at most. A change missed on a broken connection must be known six
/// seconds after it, or two after that wait: by then the call must have been repeated. Waits differ between schedulers.
const WAIT_MS: (u64, u64) = (3_000, 30_000);
/// Discovery serves one call after another, for all schedulers: the wait grows with their number.
const WAIT_PER_SCHEDULER_MS: u64 = 500;
/// From so many schedulers on, calls are spread over time: made together, most of them would be rejected.
pub(super) const MANY_SCHEDULERS: u64 = 8;
/// Spread of calls that start a watch, for each scheduler; such a call costs discovery 20 to 60 ms ...
const SPREAD_PER_SCHEDULER: Duration = Duration::from_millis(40);
/// ... but at most this fraction of the time within which the membership must be requested, the rest being for the call ...
const MAX_SPREAD_FRACTION: f64 = 0.5;
/// ... times this at most after failed calls: discovery still works on those that it has rejected.
pub(super) const MAX_FAILURE_FACTOR: u32 = 4;
/// Spread of calls that continue a watch: the next one must come within 200 ms of the answer, or changes are missed.
const CONTINUE_SPREAD: Duration = Duration::from_millis(100);
/// Spread of the first call of a process that replaces another.
pub(super) const REPLACEMENT_SPREAD: Duration = Duration::from_millis(500);
/// Spread of calls that reopen an unresponsive watch, with many schedulers.
const REOPEN_SPREAD: Duration = Duration::from_millis(300);
/// Spread of the first calls to a new discovery, with many schedulers: its changes must be known four seconds after the
/// signal.
const NEW_DISCOVERY_SPREAD: Duration = Duration::from_millis(1_500);
/// How long a call for changes may take beyond its wait ...
const CALL_SLACK: Duration = Duration::from_millis(1_000);
/// ... one to a new discovery ...
pub(super) const NEW_DISCOVERY_TIMEOUT: Duration = Duration::from_millis(2_000);
/// ... and any other: it queues at discovery, which gives up sooner. A call broken off is worked on all the same, and the
/// next one would queue behind it.
const CALL_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Wait of a call for the changes up to now. With a membership known, a watch starts with such a call: the complete one
/// would cost discovery more, and changes could be missed before the next call.
pub(super) const IMMEDIATE_WAIT_MS: u64 = 1;
/// Within this time of a failed call the next one is made: changes must be known six seconds after discovery can be reached
/// again, and the rest of that time is for queueing there.
const RETRY_WITHIN: Duration = Duration::from_millis(4_200);
/// Between two attempts to reach a new discovery.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// How long a dial may take.
pub(super) const DIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call is made.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    /// It starts a watch, or requests the complete membership.
    StartWatch,
    /// It continues a watch.
    ContinueWatch,
    /// It reopens a watch that has become unresponsive.
    Unresponsive,
    /// It is the first one to a new discovery.
    NewDiscovery,
}

/// Over how long calls are spread out, given how many call, how often they failed and how often they must be made.
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

/// How long a call may still be put off, given how long ago the last one failed, if it did.
pub(super) fn retry_within(since_failure: Option<Duration>) -> Duration {
    since_failure.map_or(Duration::MAX, |since| RETRY_WITHIN.saturating_sub(since))
}

/// How long a call for changes may wait, at least and at most, given how many call.
pub(super) fn wait_bounds(schedulers: u64) -> (u64, u64) {
    let most = (WAIT_PER_SCHEDULER_MS.saturating_mul(schedulers)).clamp(WAIT_MS.0, WAIT_MS.1);
    (most / 2, most)
}

/// How long a call may take that waits so long, or requests the complete membership.
pub(super) fn call_timeout(wait: Option<u64>) -> Duration {
    wait.filter(|wait| *wait != IMMEDIATE_WAIT_MS)
        .map_or(CALL_TIMEOUT, |wait| {
            CALL_SLACK + Duration::from_millis(wait)
        })
}

#[cfg(test)]
mod tests;

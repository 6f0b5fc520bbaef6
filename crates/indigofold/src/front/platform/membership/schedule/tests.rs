//! Delays and waits of the calls to discovery.

use super::*;

/// Guards against a fleet that overloads discovery by calling all at once, and against delayed calls when there are few
/// schedulers.
#[test]
fn many_schedulers_spread_the_calls_that_start_a_watch() {
    let within = Duration::from_secs(10);
    assert_eq!(spread(CallKind::StartWatch, 3, 1, within), Duration::ZERO);
    assert_eq!(
        spread(CallKind::StartWatch, 7, MAX_FAILURE_FACTOR, within),
        Duration::ZERO
    );
    for many in [8, 20, 48, 100, 1000, u64::MAX] {
        let [first, failed] = [1, MAX_FAILURE_FACTOR]
            .map(|failed| spread(CallKind::StartWatch, many, failed, within));
        assert!(first >= SPREAD_PER_SCHEDULER * 8, "{many} schedulers");
        // A call is in time within `membership_refresh_within`, after a failed call within four times that.
        assert!(
            first <= within / 2 && failed <= 2 * within,
            "{many} schedulers"
        );
    }
}

/// Guards against a scheduler that makes no call for up to 24 s after an outage of discovery. Changes take effect six
/// seconds after discovery can be reached again, and drained machines got new jobs until the next call.
#[test]
fn after_a_failed_call_the_next_is_in_time_for_any_number_of_schedulers() {
    let (within, deadline, queueing) = (
        Duration::from_secs(10),
        Duration::from_secs(6),
        Duration::from_millis(1_500),
    );
    for many in [8, 48, 324, 1000, u64::MAX] {
        for (failed, module_waits_ms) in [
            (2, 500),
            (MAX_FAILURE_FACTOR, 1_000),
            (MAX_FAILURE_FACTOR, 2_000),
            (MAX_FAILURE_FACTOR, 4_000),
        ] {
            let since = Duration::from_millis(module_waits_ms);
            let delay = spread(CallKind::StartWatch, many, failed, within)
                .min(max_retry_delay(Some(since)));
            assert!(
                since + delay + queueing < deadline,
                "{many} schedulers, {since:?} after a failure"
            );
        }
    }
    assert_eq!(max_retry_delay(None), Duration::MAX);
    assert_eq!(
        max_retry_delay(Some(Duration::from_secs(60))),
        Duration::ZERO
    );
}

/// Guards against gaps in a watch: with 100 schedulers its next call came up to 20 s after an answer.
#[test]
fn a_watch_continues_within_200_ms_for_any_number_of_schedulers() {
    for many in [1, 8, 100, 1000, u64::MAX] {
        for failed in [1, MAX_FAILURE_FACTOR] {
            assert!(
                spread(
                    CallKind::ContinueWatch,
                    many,
                    failed,
                    Duration::from_secs(10)
                ) < Duration::from_millis(150)
            );
        }
    }
}

/// Guards against detecting an unresponsive watch too late. A change that it misses takes effect six seconds later, or two
/// seconds after the call's wait if that is later; from then on drained machines must get nothing new.
#[test]
fn an_unresponsive_watch_is_reopened_before_missed_changes_take_effect() {
    let within = Duration::from_secs(10);
    for many in [1, 3, 7, 8, 48, 300, 1000, u64::MAX] {
        let (least, most) = wait_bounds(many);
        for wait in [least, most] {
            let wait = Duration::from_millis(wait);
            // The worst case is a watch that becomes unresponsive right after its call arrives.
            let deadline = Duration::from_secs(6).max(wait + Duration::from_secs(2));
            let reopened_after = wait
                + CALL_SLACK
                + spread(CallKind::Unresponsive, many, MAX_FAILURE_FACTOR, within)
                + DIAL_TIMEOUT;
            assert!(
                reopened_after + Duration::from_millis(200) <= deadline,
                "{many} schedulers, {wait:?}"
            );
        }
        // With a thousand schedulers the waits lie in the longest range, which bounds the load on discovery.
        assert!(
            many < 1000 || (least, most) == (15_000, 30_000),
            "{many} schedulers"
        );
        // Waits span a factor of two, so schedulers whose watches failed together detect that at different times.
        assert!(least * 2 <= most + 1, "{many} schedulers");
    }
    // A call to a new discovery is answered or timed out within the four seconds allowed.
    let answered_after = spread(CallKind::NewDiscovery, 300, MAX_FAILURE_FACTOR, within)
        + DIAL_TIMEOUT
        + NEW_DISCOVERY_TIMEOUT;
    assert!(
        answered_after <= Duration::from_secs(4),
        "{answered_after:?}"
    );
}

//! Tests for the limits on attempts: effect classes, number of attempts and retry budget; and for idle connections.

use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;

#[test]
fn unsafe_request_is_retried_only_if_it_never_ran() {
    let mut harness = Harness::new(
        settings(),
        &[entry(1, 0), entry(2, 0), entry(3, 0), entry(4, 0)],
    );
    for status in [Status::Error, Status::Reset, Status::Timeout] {
        let (id, worker) = harness.submit(2);
        assert!(worker.is_some());
        harness.end(id, 0, status);
        assert!(
            harness.is_failed(id) && harness.sent_to(id).is_none(),
            "{status:?}: {:?}",
            harness.actions
        );
    }
    let (id, first) = harness.submit(2);
    harness.end(id, 0, Status::ConnectFailed);
    assert!(harness.sent_to(id).is_some() && harness.sent_to(id) != first);
}

#[test]
fn keyed_request_is_retried_only_in_its_cell_and_within_its_ttl() {
    let workers: Vec<_> = (0..6).map(|i| entry(i, 0)).collect();
    for _ in 0..10 {
        let mut harness = Harness::new(settings(), &workers);
        let (id, first) = harness.submit(1);
        harness.end(id, 0, Status::Error);
        assert_eq!(
            harness.sent_to(id).map(|w| w % 2),
            first.map(|w| w % 2),
            "the retry goes to the same cell"
        );
    }
    // After the lifetime of the key no attempt is sent, and the request fails, because a rejection would claim that a
    // retry is safe.
    let mut harness = Harness::new(settings(), &workers);
    let (id, _) = harness.submit(1);
    harness.advance(3_100 * MS);
    harness.end(id, 0, Status::Error);
    assert!(
        harness.sent_to(id).is_none() && harness.is_failed(id),
        "no attempt is allowed, so the request is answered immediately"
    );
}

#[test]
fn attempts_of_a_request_are_limited() {
    let mut settings = settings();
    settings.limits.attempts = 2;
    let workers: Vec<_> = (0..6).map(|i| entry(i, 0)).collect();
    let mut harness = Harness::new(settings, &workers);
    let (id, _) = harness.submit(0);
    harness.end(id, 0, Status::Error);
    assert!(harness.sent_to(id).is_some());
    harness.end(id, 1, Status::Error);
    assert!(harness.sent_to(id).is_none() && harness.is_refused(id));
}

/// Attempts beyond a request's first must stay within the retry budget.
#[test]
fn retries_stay_within_their_budget_in_any_window() {
    let mut settings = settings();
    settings.limits.retry_after = false;
    settings.rules.retry_budget = Some(RetryBudget {
        free: 2.0,
        ratio: 0.1,
        window: Some(10 * SEC),
    });
    let workers: Vec<_> = (0..40).map(|i| entry(i, 0)).collect();
    let mut harness = Harness::new(settings, &workers);
    let fail_until_answered = |harness: &mut Harness| {
        let (id, _) = harness.submit(0);
        let mut retries = 0;
        loop {
            harness.end(id, retries, Status::Error);
            if harness.sent_to(id).is_none() {
                assert!(
                    harness.is_refused(id),
                    "without retries left the request is answered immediately"
                );
                return retries;
            }
            retries += 1;
        }
    };
    let retries: u32 = (0..9).map(|_| fail_until_answered(&mut harness)).sum();
    assert_eq!(
        retries, 2,
        "nine requests add no retry to the two free ones"
    );
    harness.advance(5 * SEC);
    assert_eq!(
        fail_until_answered(&mut harness),
        1,
        "the tenth request adds one retry"
    );
    // The first two retries and the requests accepted with them leave the window.
    harness.advance(5 * SEC + MS);
    assert_eq!(fail_until_answered(&mut harness), 1);
}

/// The retry budget must be checked again when a queued request is sent: several requests may have been queued while
/// one retry was left.
#[test]
fn queued_retries_stay_within_the_budget_that_is_left_when_they_are_sent() {
    let mut settings = settings();
    settings.rules.retry_budget = Some(RetryBudget {
        free: 1.0,
        ratio: 0.0,
        window: None,
    });
    let workers: Vec<_> = (0..4).map(|i| entry(i, 0)).collect();
    let mut harness = Harness::new(settings, &workers);
    let requests = [harness.submit(0).0, harness.submit(0).0];
    let draining: Vec<_> = workers
        .iter()
        .map(|worker| Entry {
            state: WorkerState::Draining,
            ..worker.clone()
        })
        .collect();
    harness.update_membership(Scope::Cached, &draining);
    for id in requests {
        harness.end(id, 0, Status::Error);
        assert!(
            harness.sent_to(id).is_none(),
            "no worker can take the request"
        );
        assert!(
            !harness.is_refused(id),
            "one retry is left, so the request is queued"
        );
    }
    harness.update_membership(Scope::Cached, &workers);
    let sent = requests.map(|id| harness.sent_to(id).is_some());
    assert_eq!(
        sent.iter().filter(|sent| **sent).count(),
        1,
        "{:?}",
        harness.actions
    );
}

#[test]
fn unsent_attempts_are_returned_to_the_retry_budget() {
    let mut settings = settings();
    settings.rules.retry_budget = Some(RetryBudget {
        free: 1.0,
        ratio: 0.0,
        window: Some(10 * SEC),
    });
    let workers: Vec<_> = (0..8).map(|i| entry(i, 0)).collect();
    let mut harness = Harness::new(settings, &workers);
    let (id, _) = harness.submit(0);
    harness.end(id, 0, Status::Error);
    assert!(harness.sent_to(id).is_some());
    harness.end(id, 1, Status::Moot);
    assert!(
        harness.sent_to(id).is_some(),
        "the retry is back in the budget"
    );
    harness.end(id, 2, Status::Error);
    assert!(harness.sent_to(id).is_none() && harness.is_refused(id));
}

/// A retry budget without a window is interpreted strictly: the free retries can be used once.
#[test]
fn retry_budget_without_a_window_is_never_renewed() {
    let mut settings = settings();
    settings.rules.retry_budget = Some(RetryBudget {
        free: 1.0,
        ratio: 5.0,
        window: None,
    });
    let mut harness = Harness::new(settings, &(0..8).map(|i| entry(i, 0)).collect::<Vec<_>>());
    for expected in [true, false] {
        let (id, _) = harness.submit(0);
        harness.end(id, 0, Status::Error);
        assert_eq!(harness.sent_to(id).is_some(), expected);
        harness.advance(100 * SEC);
    }
}

/// Guards against retries after [`Status::Full`] if the rules say that such an attempt may have run. The fault was
/// found as a request that was sent again without proof that the attempt before never ran.
#[test]
fn full_status_may_have_run_where_the_rules_say_so() {
    let workers: Vec<_> = (0..6).map(|i| entry(i, 0)).collect();
    for may_have_run in [false, true] {
        let mut settings = settings();
        settings.rules.full_may_have_run = may_have_run;
        let mut harness = Harness::new(settings, &workers);
        let (unsafe_one, _) = harness.submit(2);
        harness.end(unsafe_one, 0, Status::Full);
        assert_eq!(harness.is_failed(unsafe_one), may_have_run);
        assert_eq!(harness.sent_to(unsafe_one).is_none(), may_have_run);
        let (keyed, first) = harness.submit(1);
        harness.end(keyed, 0, Status::Full);
        if may_have_run {
            assert!(
                harness
                    .sent_to(keyed)
                    .is_none_or(|w| w % 2 == first.expect("the request was sent") % 2),
                "the retry goes to the same cell"
            );
            harness.end(keyed, 1, Status::Full);
            harness.advance(3 * SEC);
            assert!(
                !harness.is_refused(keyed),
                "the attempt may have run, so a retry is not safe"
            );
        }
    }
}

/// Absent rules must limit nothing: the actions for a seed are the same as with limits that are never reached.
#[test]
fn absent_retry_budget_equals_one_that_is_never_used_up() {
    let run = |resends| {
        let mut settings = settings();
        settings.rules.retry_budget = resends;
        let mut harness = Harness::new(
            settings,
            &(0..6).map(|i| entry(i, i % 3)).collect::<Vec<_>>(),
        );
        let mut log = Vec::new();
        for n in 0..300u64 {
            let (id, _) = harness.submit((n % 4) as u32);
            log.extend(harness.actions.clone());
            harness.start(id, 0);
            log.extend(harness.advance(20 * MS));
            // No attempt is reset before its start, because such a reset closes idle connections.
            let ends = [
                Status::Ok,
                Status::Ok,
                Status::Error,
                Status::Full,
                Status::Error,
            ];
            harness.end(id, 0, ends[n as usize % 5]);
            log.extend(harness.actions.clone());
        }
        log
    };
    let never_used_up = RetryBudget {
        free: 1e9,
        ratio: 0.0,
        window: Some(10 * SEC),
    };
    assert_eq!(run(None), run(Some(never_used_up)));
    assert!(
        !run(None)
            .iter()
            .any(|a| matches!(a, Action::Disconnect { .. }))
    );
}

/// Guards against attempts lost on idle connections that a middlebox has dropped unnoticed: 17% of the attempts in one
/// measured run.
#[test]
fn connections_idle_as_long_as_a_broken_one_are_closed_and_the_worker_stays_healthy() {
    let mut harness = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    let closes = |harness: &Harness| {
        harness
            .actions
            .iter()
            .filter(|a| matches!(a, Action::Disconnect { .. }))
            .count()
    };
    for _ in 0..4 {
        harness.serve(0, |_| 20 * MS);
    }
    harness.advance(3 * SEC);
    let (id, worker) = harness.submit(0);
    assert_eq!(closes(&harness), 0, "no connection has been reset yet");
    harness.end(id, 0, Status::Reset);
    let second_worker = harness
        .sent_to(id)
        .expect("a safe request is retried immediately");
    assert!(
        Some(second_worker) != worker && closes(&harness) == 1,
        "the connection to the other worker is as old, so it is closed: {:?}",
        harness.actions
    );
    harness.advance(MS);
    harness.start(id, 1);
    harness.end(id, 1, Status::Ok);
    // A recently used connection is trusted, and the first worker still gets requests that must not run twice.
    harness.advance(50 * MS);
    let sent: Vec<_> = (0..2)
        .map(|_| (harness.submit(2).1, closes(&harness)))
        .collect();
    assert!(sent.iter().any(|x| x.0 == worker), "{sent:?}");
    assert!(sent.contains(&(Some(second_worker), 0)), "{sent:?}");
}

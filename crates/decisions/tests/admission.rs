//! Tests for accepting, queueing and answering requests.

use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;

#[test]
fn backlog_is_queued_at_the_dispatcher_and_sent_by_value_for_work() {
    let mut settings = settings();
    settings.classes[1].value = 50.0;
    settings.classes[1].effect = Effect::Safe;
    let mut harness = Harness::new(settings, &[entry(1, 0)]);
    let (first, sent) = harness.submit(0);
    assert_eq!(sent, Some(1));
    harness.advance(200 * MS);
    harness.start(first, 0);
    // With the only known slot occupied, one more request may wait at the worker and the rest is queued.
    let (queued, unsent): (Vec<_>, Vec<_>) = (0..6)
        .map(|_| harness.submit(0))
        .partition(|(_, w)| w.is_some());
    assert!(queued.len() <= 1 && unsent.len() >= 5, "{queued:?}");
    let (valuable, at_once) = harness.submit(1);
    assert_eq!(at_once, None);
    harness.advance(50 * MS);
    let mut sends = Vec::new();
    for (id, _) in queued.into_iter().chain([(first, None)]) {
        harness.start(id, 0);
        sends.extend(harness.actions.clone());
        harness.end(id, 0, Status::Ok);
        sends.extend(harness.actions.clone());
    }
    let sent = |action: &Action| match action {
        Action::Send {
            request,
            worker,
            timeout,
            ..
        } => Some((*request, *worker, *timeout)),
        _ => None,
    };
    let next = sends.iter().find_map(sent);
    assert_eq!(
        next,
        Some((valuable, 1, 0)),
        "the request with the highest value per unit of work is sent first"
    );
}

/// Guards against a queued request that no worker may get and that blocks the requests behind it.
#[test]
fn queued_request_without_an_eligible_worker_does_not_block_others() {
    let mut harness = Harness::new(settings(), &[entry(1, 0)]);
    let (blocked, _) = harness.submit(1);
    harness.end(blocked, 0, Status::Error);
    harness.update_membership(Scope::Full, &[entry(2, 0)]);
    let (a, worker) = harness.submit(1);
    assert_eq!(worker, Some(2));
    harness.advance(200 * MS);
    harness.start(a, 0);
    let (b, queued) = harness.submit(1);
    assert_eq!(queued, Some(2));
    let (c, at_once) = harness.submit(1);
    assert_eq!(at_once, None);
    let mut sends = harness.advance(50 * MS);
    for id in [b, a] {
        harness.start(id, 0);
        sends.extend(harness.actions.clone());
        harness.end(id, 0, Status::Ok);
        sends.extend(harness.actions.clone());
    }
    let was_sent = |id| {
        sends
            .iter()
            .any(|x| matches!(x, Action::Send { request, .. } if *request == id))
    };
    assert!(was_sent(c) && !was_sent(blocked), "{sends:?}");
}

/// Guards against a request that is queued although its deadline is too close.
#[test]
fn request_close_to_its_deadline_is_answered_immediately() {
    for left in [0, 1, 10 * MS, 30 * MS] {
        let mut harness = Harness::new(settings(), &[]);
        harness.handle(Event::Request(Request {
            left,
            ..request(9, 0)
        }));
        assert!(
            harness.is_refused(9),
            "{left} us left: {:?}",
            harness.actions
        );
    }
    // The same applies if a worker is free but no time is left.
    let mut harness = Harness::new(settings(), &[entry(1, 0)]);
    harness.handle(Event::Request(Request {
        left: 0,
        ..request(9, 0)
    }));
    assert!(
        harness.is_refused(9) && harness.sent_to(9).is_none(),
        "{:?}",
        harness.actions
    );
}

/// Requests that cannot finish in time must not occupy slots. Without this rule, nine in ten of the attempts that timed
/// out had been sent in the last half second of their request, while requests with all their time left were rejected.
#[test]
fn request_that_would_not_finish_in_time_is_rejected() {
    for class in 0..4 {
        let mut harness = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
        for _ in 0..50 {
            harness.serve(class, |_| 200 * MS);
        }
        for (id, left, fits) in [(1_001, 250 * MS, false), (1_002, 350 * MS, true)] {
            harness.handle(Event::Request(Request {
                left,
                ..request(id, class)
            }));
            assert_eq!(
                (harness.sent_to(id).is_some(), harness.is_refused(id)),
                (fits, !fits),
                "class {class}, {left} us left"
            );
        }
    }
    // If run times are long relative to the time that clients wait, half of that time must be enough: such a class is
    // not rejected altogether.
    let mut settings = settings();
    settings.classes[0].deadline = 200 * MS;
    let mut harness = Harness::new(settings, &[entry(1, 0)]);
    for id in 1..30 {
        harness.handle(Event::Request(Request {
            left: 200 * MS,
            ..request(id, 0)
        }));
        assert!(harness.sent_to(id).is_some(), "{:?}", harness.actions);
        harness.start(id, 0);
        harness.advance(190 * MS);
        harness.end(id, 0, Status::Ok);
    }
}

#[test]
fn queued_requests_are_rejected_before_their_deadline() {
    let mut harness = Harness::new(settings(), &[]);
    let ids: Vec<_> = (0..5).map(|n| harness.submit(n % 4).0).collect();
    // Until a run time is known, a request is assumed to run for its class's latency target, 0.4 s. One and a half run
    // times before the deadline is at 5.4 s.
    let before = harness.advance(5_300 * MS);
    assert!(
        !before
            .iter()
            .any(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. }))
    );
    harness.advance(200 * MS);
    for id in ids {
        assert!(
            harness.is_refused(id),
            "nothing was sent, so a request of any class may be rejected"
        );
    }
}

/// Guards against a client's retries that displace first attempts which can still be in time.
#[test]
fn latency_target_of_a_client_retry_counts_from_its_first_attempt() {
    let mut settings = settings();
    settings.classes[0].late_value = 0.0;
    let mut harness = Harness::new(settings, &[]);
    harness.submit(0);
    // The request arrives with two of its six seconds left: its latency target has passed, and a late answer earns
    // nothing.
    harness.handle(Event::Request(Request {
        left: 2 * SEC,
        ..request(50, 0)
    }));
    assert!(
        harness.is_refused(50) && !harness.is_refused(1),
        "{:?}",
        harness.actions
    );
}

/// Queued requests are scanned only while a worker may take one. This optimisation must not change decisions: with
/// additional events that release nothing, and so trigger more scans, the actions for a seed stay the same.
#[test]
fn scanning_the_queue_after_every_event_changes_no_action() {
    let run = |extra_scans: usize| {
        let workers: Vec<_> = (0..6).map(|i| entry(i, i % 2)).collect();
        let mut harness = Harness::new(settings(), &workers);
        let (mut actions, mut running, mut unsent) = (Vec::new(), Vec::new(), 0);
        for step in 0..400 {
            let mut step_actions = harness.advance(5 * MS);
            if step % 40 < 25 {
                unsent += usize::from(harness.submit(0).1.is_none());
                step_actions.append(&mut harness.actions);
            }
            if step % 3 == 0 && !running.is_empty() {
                let request = running.remove(0);
                let (attempt, status, load) = (0, Status::Ok, None);
                harness.handle(Event::Started { request, attempt });
                step_actions.append(&mut harness.actions);
                harness.handle(Event::Outcome {
                    request,
                    attempt,
                    status,
                    closed: true,
                    load,
                });
                step_actions.append(&mut harness.actions);
            }
            for _ in 0..extra_scans {
                harness.handle(Event::RequestClosed(1 << 40));
                step_actions.append(&mut harness.actions);
            }
            running.extend(step_actions.iter().filter_map(|a| match a {
                Action::Send { request, .. } => Some(*request),
                _ => None,
            }));
            actions.append(&mut step_actions);
        }
        (actions, unsent)
    };
    let plain = run(0);
    assert!(plain.1 > 50, "only {} requests were queued", plain.1);
    assert_eq!(plain, run(3));
}

/// A request for which no rule allows another attempt must be answered without delay.
#[test]
fn request_that_no_attempt_can_serve_is_answered_immediately() {
    let workers: Vec<_> = (0..6).map(|i| entry(i, 0)).collect();
    let mut harness = Harness::new(settings(), &workers);
    let (unsafe_one, _) = harness.submit(2);
    harness.end(unsafe_one, 0, Status::Reset);
    assert!(harness.is_failed(unsafe_one));
    // A keyed request that is queued while its cell is ejected fails when the lifetime of its key ends.
    let mut harness = Harness::new(settings(), &[entry(0, 0), entry(1, 0)]);
    let (keyed, _) = harness.submit(1);
    harness.end(keyed, 0, Status::Error);
    assert!(harness.sent_to(keyed).is_none() && !harness.is_failed(keyed));
    harness.advance(3_100 * MS);
    assert!(
        harness.is_failed(keyed),
        "the lifetime of the key is over, 3 s before the deadline"
    );
}

#[test]
fn rejection_carries_retry_after_only_where_clients_follow_it() {
    for is_respected in [true, false] {
        let mut settings = settings();
        settings.limits.retry_after = is_respected;
        settings.classes[0].late_value = 0.0;
        let mut harness = Harness::new(settings.clone(), &[]);
        let (late, _) = harness.submit(0);
        let all = harness.advance(2 * SEC);
        let advice = |out: &[Action], id| {
            let advised = |action: &Action| match action {
                Action::Reject {
                    request,
                    retry_after,
                } if *request == id => Some(*retry_after),
                _ => None,
            };
            out.iter()
                .find_map(advised)
                .expect("the request is rejected")
        };
        let retry_after = advice(&all, late);
        assert!(
            retry_after <= settings.limits.max_retry_after && (retry_after > 0) == is_respected,
            "{retry_after}"
        );
    }
}

/// Guards against a tenant whose traffic beyond its quota takes the slots of all others.
#[test]
fn traffic_beyond_quota_is_rejected_first_while_workers_reject() {
    let served = |rejecting: bool| {
        let mut settings = Settings {
            over_quota_value: 0.05,
            dispatchers: 1,
            ..settings()
        };
        settings.tenants = vec![
            Tenant {
                quota_per_s: 2.0,
                fraction: 0.5,
            },
            Tenant {
                quota_per_s: 1000.0,
                fraction: 0.5,
            },
        ];
        let mut harness = Harness::new(settings, &(0..60).map(|i| entry(i, 0)).collect::<Vec<_>>());
        let mut served = [0, 0];
        for n in 0..600u64 {
            // Three of four requests come from the tenant with a small quota.
            let tenant = u32::from(n % 4 == 3);
            harness.handle(Event::Request(Request {
                tenant,
                ..request(n, 0)
            }));
            let mut attempt = 0;
            while harness.sent_to(n).is_some() && rejecting && n % 2 == 0 && attempt < 2 {
                harness.end(n, attempt, Status::Full);
                attempt += 1;
            }
            if harness.sent_to(n).is_some() {
                harness.start(n, attempt);
                served[tenant as usize] += 1;
                harness.advance(20 * MS);
                harness.end(n, attempt, Status::Ok);
            }
        }
        served
    };
    let (normal, overload) = (served(false), served(true));
    assert_eq!(
        normal,
        [450, 150],
        "no request is rejected while workers reject none"
    );
    assert!(overload[0] < 300 && overload[1] > 130, "{overload:?}");
}

/// Guards against small tenants that count as beyond their quota because many clients of another tenant use the same
/// dispatcher.
#[test]
fn tenant_below_its_fraction_of_arrivals_is_within_quota() {
    let mut settings = Settings {
        over_quota_value: 0.0,
        dispatchers: 50,
        ..settings()
    };
    let quota = |fraction| Tenant {
        quota_per_s: 50.0 * fraction,
        fraction,
    };
    settings.tenants = vec![quota(0.5), quota(0.5)];
    let mut harness = Harness::new(settings, &(0..60).map(|i| entry(i, 0)).collect::<Vec<_>>());
    let mut refused = [0, 0];
    for n in 0..600u64 {
        // This dispatcher alone gets 20 requests a second; the quotas over all 50 dispatchers add up to 50 a second.
        // The first tenant sends 9 of 10 requests.
        let tenant = u32::from(n % 10 == 9);
        harness.handle(Event::Request(Request {
            tenant,
            ..request(n, 0)
        }));
        refused[tenant as usize] += u32::from(harness.is_refused(n));
        if harness.sent_to(n).is_some() {
            harness.end(n, 0, if n % 3 == 0 { Status::Full } else { Status::Ok });
            harness.handle(Event::RequestClosed(n));
        }
        harness.advance(50 * MS);
    }
    assert!(refused[0] > 100 && refused[1] <= 5, "{refused:?}");
}

/// Guards against queued requests that occupy all client connections, so that more valuable ones cannot connect. At the
/// limit, the request that has been queued for longest among the least valuable is rejected.
#[test]
fn least_valuable_queued_request_is_rejected_at_the_limit_of_open_requests() {
    let mut settings = settings();
    settings.limits.open = Some(3);
    settings.classes[2].value = 50.0;
    let mut harness = Harness::new(settings, &[]);
    let low_value = [harness.submit(0).0, harness.submit(0).0];
    let high_value = harness.submit(2).0;
    assert!(!harness.is_refused(low_value[0]));
    for (n, evicted) in [(0, low_value[0]), (1, low_value[1])] {
        harness.submit(2);
        assert!(
            harness.is_refused(evicted) && !harness.is_refused(high_value),
            "{n}"
        );
    }
    harness.submit(2);
    assert!(harness.is_refused(high_value));
}

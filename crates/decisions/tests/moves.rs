//! Tests for attempts that wait long at a worker when duplicates are not allowed, so that a request can only move to
//! another worker after its attempt is cancelled.

use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;

fn settings_with(duplicates: bool, cancel: bool) -> Settings {
    let limits = Limits {
        duplicates,
        cancel,
        ..settings().limits
    };
    Settings {
        dispatchers: 40,
        progress: SEC,
        limits,
        ..settings()
    }
}

fn is_cancelled(actions: &[Action], id: RequestId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Cancel { request, .. } if *request == id))
}

/// Guards against attempts that stay in one long queue while other workers are free. In the run that showed this fault,
/// 48 dispatchers each received a request every 1.4 s and none of them knew which queue was long: 42 of 59 requests
/// waited at one worker, and none at the fast workers.
#[test]
fn long_waiting_attempt_moves_to_a_worker_that_looks_free() {
    for class in [0, 1, 3] {
        let mut harness = Harness::new(settings_with(false, true), &[entry(1, 0), entry(3, 0)]);
        let (id, first) = harness.submit(class);
        let first = first.expect("both workers are free");
        assert!(
            !is_cancelled(&harness.advance(90 * MS), id),
            "class {class}: moved after only 90 ms"
        );
        assert!(
            is_cancelled(&harness.advance(60 * MS), id),
            "class {class}: not moved after 150 ms"
        );
        // The outcome of the cancelled attempt triggers the next send.
        harness.end(id, 0, Status::Cancelled);
        let second = harness
            .sent_to(id)
            .expect("the request is sent again immediately");
        assert_ne!(first, second);
        harness.advance(MS);
        harness.start(id, 1);
        assert!(
            !is_cancelled(&harness.advance(900 * MS), id),
            "class {class}: a started attempt is moved"
        );
    }
}

#[test]
fn attempt_is_not_moved_where_disallowed_or_without_another_worker() {
    // Each case disallows the move for one reason: an unsafe class, allowed duplicates, no cancelling, a single worker,
    // or (below) only one attempt left.
    let two = [entry(1, 0), entry(3, 0)];
    for (case, class, duplicates, cancel, workers) in [
        ("unsafe", 2, false, true, &two[..]),
        ("duplicates", 0, true, true, &two[..]),
        ("no cancelling", 0, false, false, &two[..]),
        ("one worker", 0, false, true, &two[..1]),
    ] {
        let mut harness = Harness::new(settings_with(duplicates, cancel), workers);
        let (id, sent) = harness.submit(class);
        assert!(sent.is_some(), "{case}");
        assert!(!is_cancelled(&harness.advance(2 * SEC), id), "{case}");
    }
    let mut attempts = settings_with(false, true);
    attempts.limits.attempts = 2;
    let mut harness = Harness::new(attempts, &two);
    let (id, _) = harness.submit(0);
    assert!(
        !is_cancelled(&harness.advance(2 * SEC), id),
        "the last attempt is reserved for a failure"
    );
}

#[test]
fn started_attempt_is_not_moved_and_the_retry_budget_is_kept() {
    let two = [entry(1, 0), entry(3, 0)];
    let mut harness = Harness::new(settings_with(false, true), &two);
    let (id, _) = harness.submit(0);
    harness.advance(50 * MS);
    harness.start(id, 0);
    assert!(
        !is_cancelled(&harness.advance(SEC), id),
        "a started attempt is not moved"
    );
    let mut no_retries = settings_with(false, true);
    no_retries.rules.retry_budget = Some(RetryBudget {
        free: 0.0,
        ratio: 0.0,
        window: None,
    });
    let mut harness = Harness::new(no_retries, &two);
    let (id, _) = harness.submit(0);
    assert!(
        !is_cancelled(&harness.advance(2 * SEC), id),
        "the budget allows no retry"
    );
}

/// Forty dispatchers exchange no updates, and one of two workers starts no attempts. Each dispatcher must move its
/// requests away from that worker.
#[test]
fn every_dispatcher_moves_its_requests_out_of_a_stalled_queue() {
    let mut moved = 0;
    for me in 0..40 {
        let mut harness = Harness::new(
            Settings {
                dispatcher_index: me,
                ..settings_with(false, true)
            },
            &[entry(1, 0), entry(3, 0)],
        );
        for _ in 0..3 {
            let (id, worker) = harness.submit(0);
            let mut actions = harness.advance(20 * MS);
            if worker == Some(1) {
                actions.extend(harness.advance(200 * MS));
                assert!(is_cancelled(&actions, id), "dispatcher {me}");
                harness.end(id, 0, Status::Cancelled);
                assert_eq!(harness.sent_to(id), Some(3), "dispatcher {me}");
                moved += 1;
            }
            let attempt = u32::from(worker == Some(1));
            harness.start(id, attempt);
            harness.advance(300 * MS);
            harness.end(id, attempt, Status::Ok);
        }
    }
    assert!(
        moved >= 10,
        "{moved} of 120 requests were moved: at least 10 expected"
    );
}

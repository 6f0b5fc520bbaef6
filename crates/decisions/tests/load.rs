//! Tests for the load of workers as inferred from starts, and for the window of own requests that may wait at workers.

use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;

/// Guards against a dispatcher that, without load reports, assumes that all slots of a worker are free for it.
#[test]
fn late_start_marks_a_worker_as_shared() {
    let mut harness = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    let (first, worker) = harness.submit(0);
    harness.advance(300 * MS);
    harness.start(first, 0);
    let other = 3 - worker.expect("the request was sent");
    assert_eq!(harness.submit(0).1, Some(other));
    harness.advance(MS);
    harness.start(2, 0);
    // The second worker started its request immediately, so it probably has another free slot sooner than the first.
    harness.end(2, 0, Status::Ok);
    assert_eq!(harness.submit(0).1, Some(other));
}

/// Workers appear free to many dispatchers at once. When starts come late or workers reject attempts, only a few own
/// requests may wait in workers' queues, however many preferred workers have none of them.
#[test]
fn wait_window_limits_requests_at_workers_that_seem_free() {
    let workers: Vec<_> = (0..40).map(|i| entry(i, 0)).collect();
    let mut harness = Harness::new(
        Settings {
            dispatchers: 40,
            ..settings()
        },
        &workers,
    );
    let sends = |harness: &Harness| {
        harness
            .actions
            .iter()
            .filter(|a| matches!(a, Action::Send { .. }))
            .count()
    };
    // Heavy traffic that is all rejected shrinks the window to one attempt.
    for step in 0..300 {
        let mut actions = harness.advance(20 * MS);
        if step < 100 {
            harness.submit(0);
            actions.append(&mut harness.actions);
        }
        while let Some(action) = actions.pop() {
            if let Action::Send { request, .. } = action {
                harness.handle(Event::Outcome {
                    request,
                    attempt: 0,
                    status: Status::Full,
                    closed: true,
                    load: None,
                });
                actions.append(&mut harness.actions);
            }
        }
    }
    let mut waiting = 0;
    for _ in 0..30 {
        harness.submit(0);
        waiting += sends(&harness);
    }
    assert!(
        (1..=8).contains(&waiting),
        "{waiting} requests were sent to wait at workers: 1 to 8 expected"
    );
}

/// When starts come late or workers reject attempts, a worker that is known to be free is preferred over workers of
/// unknown load.
#[test]
fn worker_without_load_is_not_assumed_empty_after_late_starts() {
    let mut harness = Harness::new(settings(), &[entry(1, 0), entry(2, 0), entry(3, 0)]);
    for _ in 0..40 {
        let (request, worker) = harness.submit(0);
        if worker.is_some() {
            harness.handle(Event::Outcome {
                request,
                attempt: 0,
                status: Status::Full,
                closed: true,
                load: None,
            });
        }
        harness.advance(SEC);
    }
    harness.advance(8 * SEC);
    let known = harness.serve(0, |_| 10 * MS);
    assert!(known.is_some());
    for _ in 0..8 {
        assert_eq!(harness.serve(0, |_| 10 * MS), known);
    }
}

/// Guards against a wait window that is not a finite number after a late first start: no request would ever wait at a
/// worker again.
#[test]
fn late_first_start_keeps_the_wait_window_finite() {
    let mut harness = Harness::new(settings(), &[entry(1, 0)]);
    harness.serve(0, |_| 100 * MS);
    let (id, _) = harness.submit(0);
    harness.advance(900 * MS);
    harness.start(id, 0);
    assert_eq!(
        harness.submit(0).1,
        Some(1),
        "one request may wait at a worker without a free slot"
    );
}

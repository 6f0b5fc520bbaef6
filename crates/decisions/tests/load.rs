//! Load of workers by own starts, and the window of own requests that may wait at workers.

use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;

/// Where nothing is reported, a dispatcher must not assume that all slots of a worker are free for it.
#[test]
fn late_start_marks_a_worker_as_shared() {
    let mut harness = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    let (first, worker) = harness.submit(0);
    harness.advance(300 * MS);
    harness.start(first, 0);
    let other = 3 - worker.expect("sent");
    assert_eq!(harness.submit(0).1, Some(other));
    harness.advance(MS);
    harness.start(2, 0);
    // The second worker had a free slot immediately: it likely has another sooner than the first.
    harness.end(2, 0, Status::Ok);
    assert_eq!(harness.submit(0).1, Some(other));
}

/// Workers look free to each of many dispatchers at once: where starts come late or workers reject, few own requests
/// may wait in their queues, however many preferred workers hold none of them.
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
    // Much traffic, all of it rejected: the window shrinks to one job.
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
    assert!((1..=8).contains(&waiting), "{waiting} jobs wait");
}

/// Where starts come late or workers reject, one that is known to be free goes before those without any load.
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

/// The wait window must stay a number at a late first start; else nothing would ever be queued at workers again.
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
        "one job may wait where all slots are taken"
    );
}

//! Jobs that wait for long at a worker, on sites where giving an attempt up is the only way to move one.

use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;

fn site(duplicates: bool, cancel: bool) -> Settings {
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

fn given_up(out: &[Action], id: RequestId) -> bool {
    out.iter()
        .any(|a| matches!(a, Action::Cancel { request, .. } if *request == id))
}

/// Guards against jobs that stay in one queue while other workers are free (herd of the second site: of 48 schedulers each
/// sees a job in 1.4 s, and none knows which queue is long; 42 of 59 jobs waited at one worker, none at the fast ones).
#[test]
fn a_job_that_waits_for_long_moves_to_a_worker_that_looks_free() {
    for class in [0, 1, 3] {
        let mut s = Harness::new(site(false, true), &[entry(1, 0), entry(3, 0)]);
        let (id, first) = s.submit(class);
        let first = first.expect("both are free");
        assert!(
            !given_up(&s.advance(90 * MS), id),
            "class {class}: not long yet"
        );
        assert!(
            given_up(&s.advance(60 * MS), id),
            "class {class}: it has waited for long"
        );
        // A start told meanwhile changes nothing: what counts is how the attempt ends.
        s.end(id, 0, Status::Cancelled);
        let second = s.sent_to(id).expect("it goes on at once");
        assert_ne!(first, second);
        s.advance(MS);
        s.start(id, 1);
        assert!(
            !given_up(&s.advance(900 * MS), id),
            "what runs is left alone"
        );
    }
}

#[test]
fn a_job_stays_where_it_is_if_a_move_is_not_allowed_or_leads_nowhere() {
    // An unsafe class; copies that may go beside; no giving up; one worker only; a class with one attempt left.
    let two = [entry(1, 0), entry(3, 0)];
    for (what, class, duplicates, cancel, workers) in [
        ("unsafe", 2, false, true, &two[..]),
        ("copies", 0, true, true, &two[..]),
        ("no giving up", 0, false, false, &two[..]),
        ("one worker", 0, false, true, &two[..1]),
    ] {
        let mut s = Harness::new(site(duplicates, cancel), workers);
        let (id, sent) = s.submit(class);
        assert!(sent.is_some(), "{what}");
        assert!(!given_up(&s.advance(2 * SEC), id), "{what}");
    }
    let mut attempts = site(false, true);
    attempts.limits.attempts = 2;
    let mut s = Harness::new(attempts, &two);
    let (id, _) = s.submit(0);
    assert!(
        !given_up(&s.advance(2 * SEC), id),
        "the last attempt is kept for a failure"
    );
}

#[test]
fn what_has_started_or_ended_is_not_moved_and_a_budget_of_attempts_holds() {
    let two = [entry(1, 0), entry(3, 0)];
    let mut s = Harness::new(site(false, true), &two);
    let (id, _) = s.submit(0);
    s.advance(50 * MS);
    s.start(id, 0);
    assert!(!given_up(&s.advance(SEC), id), "it has started");
    let mut none = site(false, true);
    none.rules.resends = Some(ResendBudget {
        free: 0.0,
        ratio: 0.0,
        window: None,
    });
    let mut s = Harness::new(none, &two);
    let (id, _) = s.submit(0);
    assert!(
        !given_up(&s.advance(2 * SEC), id),
        "no further attempt may be made"
    );
}

/// Forty dispatchers that do not hear of each other, two workers, one of them taken for good: no job is left there.
#[test]
fn of_many_dispatchers_none_leaves_a_job_in_a_queue_that_does_not_move() {
    let mut moved = 0;
    for me in 0..40 {
        let mut s = Harness::new(
            Settings {
                me,
                ..site(false, true)
            },
            &[entry(1, 0), entry(3, 0)],
        );
        for _ in 0..3 {
            let (id, worker) = s.submit(0);
            let mut out = s.advance(20 * MS);
            if worker == Some(1) {
                out.extend(s.advance(200 * MS));
                assert!(given_up(&out, id), "dispatcher {me}");
                s.end(id, 0, Status::Cancelled);
                assert_eq!(s.sent_to(id), Some(3), "dispatcher {me}");
                moved += 1;
            }
            let attempt = u32::from(worker == Some(1));
            s.start(id, attempt);
            s.advance(300 * MS);
            s.end(id, attempt, Status::Ok);
        }
    }
    assert!(moved >= 10, "{moved} of 120 were moved");
}

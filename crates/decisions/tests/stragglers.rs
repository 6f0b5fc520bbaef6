//! Tests for attempts that wait too long or make no progress.

use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;

/// Guards against an unacknowledged attempt that blocks its worker and its request until the deadline.
#[test]
fn unacknowledged_attempt_releases_its_slots_and_is_retried_elsewhere() {
    let mut harness = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    let (id, worker) = harness.submit(3);
    harness.advance(250 * MS);
    harness.handle(Event::Unacknowledged {
        request: id,
        attempt: 0,
    });
    let other = harness.sent_to(id);
    assert!(
        other.is_some() && other != worker,
        "a keyed request is also sent to another worker"
    );
    harness.end(id, 1, Status::Ok);
    let (id, worker) = harness.submit(2);
    harness.advance(250 * MS);
    harness.handle(Event::Unacknowledged {
        request: id,
        attempt: 0,
    });
    assert_eq!(
        harness.sent_to(id),
        None,
        "an unsafe request is not retried"
    );
    harness.advance(SEC);
    let (_, is_retried) = harness.submit(3);
    let (_, beside) = harness.submit(3);
    assert!(
        [is_retried, beside].contains(&worker),
        "the worker of the unacknowledged attempt is not blocked"
    );
}

/// Guards against requests that cannot earn value any more and delay others in a worker's queue.
#[test]
fn unstarted_attempt_past_its_latency_target_is_cancelled_if_late_earns_nothing() {
    let mut settings = settings();
    settings.classes[0].late_value = 0.0;
    let mut harness = Harness::new(settings.clone(), &[entry(1, 0)]);
    let (id, _) = harness.submit(0);
    let all = harness.advance(3 * SEC);
    assert!(
        all.contains(&Action::Cancel {
            request: id,
            attempt: 0
        }) && harness.is_refused(id)
    );
    settings.classes[0].late_value = 0.3;
    let mut harness = Harness::new(settings, &[entry(1, 0)]);
    harness.submit(0);
    assert!(
        harness
            .advance(3 * SEC)
            .iter()
            .all(|a| matches!(a, Action::Timer { .. }))
    );
}

/// Guards against an attempt without an answer that occupies its slots and its request until the client gives up.
#[test]
fn overdue_progress_releases_slots_and_retries_where_the_class_allows() {
    for (class, is_retried) in [(0, true), (2, false)] {
        let mut settings = settings();
        settings.progress = SEC;
        let workers = [entry(1, 0), entry(2, 0), entry(3, 0)];
        let mut harness = Harness::new(settings, &workers);
        let (id, first) = harness.submit(class);
        harness.start(id, 0);
        harness.advance(1_400 * MS);
        assert!(
            harness.sent_to(id).is_none(),
            "the first progress report may take one and a half intervals"
        );
        harness.handle(Event::Progress {
            request: id,
            attempt: 0,
            done: 0.3,
        });
        harness.advance(1_100 * MS);
        assert!(
            harness.sent_to(id).is_none(),
            "the next progress report is not overdue yet"
        );
        harness.advance(300 * MS);
        assert_eq!(harness.sent_to(id).is_some(), is_retried, "class {class}");
        assert!(harness.sent_to(id) != first && !harness.is_failed(id) && !harness.is_refused(id));
        // An answer of the first attempt still counts, and the second attempt is cancelled.
        harness.end(id, 0, Status::Ok);
        let withdrawn = harness.actions.contains(&Action::Cancel {
            request: id,
            attempt: 1,
        });
        assert_eq!(withdrawn, is_retried);
    }
    // If workers report no progress, a long run does not count as overdue.
    let mut harness = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    let (id, _) = harness.submit(0);
    harness.start(id, 0);
    harness.advance(5 * SEC);
    assert!(harness.sent_to(id).is_none());
}

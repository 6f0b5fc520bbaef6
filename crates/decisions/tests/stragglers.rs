//! Attempts that wait too long or make no progress.

use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;

/// An attempt that was never acknowledged must not block its worker, and its request, until the deadline.
#[test]
fn unacknowledged_attempt_releases_its_slots_and_is_retried_elsewhere() {
    let mut s = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    let (id, worker) = s.submit(3);
    s.advance(250 * MS);
    s.handle(Event::Unheard {
        request: id,
        attempt: 0,
    });
    let other = s.sent_to(id);
    assert!(
        other.is_some() && other != worker,
        "a keyed one goes to another worker beside"
    );
    s.end(id, 1, Status::Ok);
    let (id, worker) = s.submit(2);
    s.advance(250 * MS);
    s.handle(Event::Unheard {
        request: id,
        attempt: 0,
    });
    assert_eq!(s.sent_to(id), None, "an unsafe one waits");
    s.advance(SEC);
    let (_, again) = s.submit(3);
    let (_, beside) = s.submit(3);
    assert!(
        [again, beside].contains(&worker),
        "its worker is not blocked"
    );
}

/// Requests that can earn nothing any more must not keep others waiting in a worker's queue.
#[test]
fn unstarted_attempt_past_its_latency_target_is_cancelled_if_late_earns_nothing() {
    let mut settings = settings();
    settings.classes[0].late_value = 0.0;
    let mut s = Harness::new(settings.clone(), &[entry(1, 0)]);
    let (id, _) = s.submit(0);
    let all = s.advance(3 * SEC);
    assert!(
        all.contains(&Action::Cancel {
            request: id,
            attempt: 0
        }) && s.is_refused(id)
    );
    settings.classes[0].late_value = 0.3;
    let mut s = Harness::new(settings, &[entry(1, 0)]);
    s.submit(0);
    assert!(
        s.advance(3 * SEC)
            .iter()
            .all(|a| matches!(a, Action::Timer { .. }))
    );
}

/// An answer that never comes must not keep its slots and its request until the client gives up.
#[test]
fn overdue_progress_releases_slots_and_retries_where_the_class_allows() {
    for (class, again) in [(0, true), (2, false)] {
        let mut settings = settings();
        settings.progress = SEC;
        let workers = [entry(1, 0), entry(2, 0), entry(3, 0)];
        let mut s = Harness::new(settings, &workers);
        let (id, first) = s.submit(class);
        s.start(id, 0);
        s.advance(1_400 * MS);
        assert!(
            s.sent_to(id).is_none(),
            "the first share done may take one and a half intervals"
        );
        s.handle(Event::Progress {
            request: id,
            attempt: 0,
            done: 0.3,
        });
        s.advance(1_100 * MS);
        assert!(s.sent_to(id).is_none(), "the next is not overdue");
        s.advance(300 * MS);
        assert_eq!(s.sent_to(id).is_some(), again, "class {class}");
        assert!(s.sent_to(id) != first && !s.is_failed(id) && !s.is_refused(id));
        // The first one's answer still counts, and the copy is withdrawn.
        s.end(id, 0, Status::Ok);
        let withdrawn = s.actions.contains(&Action::Cancel {
            request: id,
            attempt: 1,
        });
        assert_eq!(withdrawn, again);
    }
    // Where no shares done are told, a long job is not taken for a silent one.
    let mut s = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    let (id, _) = s.submit(0);
    s.start(id, 0);
    s.advance(5 * SEC);
    assert!(s.sent_to(id).is_none());
}

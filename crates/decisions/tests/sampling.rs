//! Tests for the choice of a worker: draw of a kind, SQ(d) within the kind, preferred workers and zones.

use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;

#[test]
fn worker_with_fewest_requests_in_flight_is_chosen() {
    let mut harness = Harness::new(settings(), &[entry(1, 0), entry(2, 0), entry(3, 0)]);
    let mut used: Vec<_> = (0..3)
        .map(|_| harness.submit(0).1.expect("a worker is free"))
        .collect();
    used.sort();
    assert_eq!(
        used,
        [1, 2, 3],
        "each idle worker gets a request before any gets a second one"
    );
}

#[test]
fn faster_kinds_are_drawn_more_than_proportionally() {
    let workers: Vec<_> = (0..8).map(|i| entry(i, i % 2)).collect();
    let mut harness = Harness::new(settings(), &workers);
    let run = |w: WorkerId| if w % 2 == 0 { 100 * MS } else { 300 * MS };
    let mut fast = 0;
    for n in 0..400 {
        let worker = harness
            .serve(0, run)
            .expect("an idle worker takes every request");
        fast += usize::from(n >= 200 && worker % 2 == 0);
    }
    assert!(
        fast > 180,
        "at a light load the fast kind should get nearly all, got {fast} of 200"
    );
}

#[test]
fn bound_class_is_only_sent_to_its_kind() {
    let mut settings = settings();
    settings.classes[0].kind = Some(1);
    let mut harness = Harness::new(settings, &[entry(1, 0), entry(2, 0), entry(3, 1)]);
    for _ in 0..20 {
        assert_eq!(harness.serve(0, |_| 50 * MS), Some(3));
    }
}

/// Guards against the load of a class that is bound to one kind shifting other classes away from the fast kind.
#[test]
fn load_of_a_bound_class_does_not_change_the_draw_of_others() {
    let mut settings = Settings {
        reports_start: false,
        ..settings()
    };
    settings.classes[1].kind = Some(1);
    let workers: Vec<_> = (0..8).map(|i| entry(i, i % 2)).collect();
    let mut harness = Harness::new(settings, &workers);
    let run = |w: WorkerId| if w % 2 == 0 { 100 * MS } else { 300 * MS };
    let mut fast = 0;
    for n in 0..400 {
        for _ in 0..6 {
            let (request, _) = harness.submit(1);
            let status = Status::Cancelled;
            harness.handle(Event::Outcome {
                request,
                attempt: 0,
                status,
                closed: true,
                load: None,
            });
        }
        let worker = harness
            .serve(0, run)
            .expect("an idle worker takes every request");
        fast += usize::from(n >= 200 && worker % 2 == 0);
    }
    assert!(
        fast > 180,
        "at a light unbound load the fast kind should get nearly all, got {fast} of 200"
    );
}

#[test]
fn same_seed_and_events_give_the_same_actions() {
    let run = || {
        let workers: Vec<_> = (0..6).map(|i| entry(i, i % 3)).collect();
        let mut harness = Harness::new(settings(), &workers);
        let mut log = Vec::new();
        for n in 0..200u64 {
            let (id, _) = harness.submit((n % 4) as u32);
            log.extend(harness.actions.clone());
            if n % 3 != 0 {
                harness.start(id, 0);
            }
            log.extend(harness.advance(20 * MS));
            harness.end(
                id,
                0,
                if n % 7 == 0 {
                    Status::Error
                } else {
                    Status::Ok
                },
            );
            log.extend(harness.actions.clone());
        }
        log
    };
    assert_eq!(run(), run());
}

/// Guards against dispatchers that spread few requests over a large fleet and so learn the load of no worker.
#[test]
fn dispatchers_of_a_large_fleet_prefer_few_and_different_workers() {
    let workers: Vec<_> = (0..80).map(|i| entry(i, i % 2)).collect();
    let served = |me: u32| {
        let settings = Settings {
            dispatchers: 40,
            dispatcher_index: me,
            ..settings()
        };
        let mut harness = Harness::new(settings, &workers);
        let used = (0..60).map(|_| {
            harness
                .serve(0, |_| 100 * MS)
                .expect("an idle worker takes every request")
        });
        used.collect::<std::collections::BTreeSet<_>>()
    };
    let (first, last) = (served(0), served(39));
    assert!(first.len() <= 8 && last.len() <= 8, "{first:?} {last:?}");
    assert!(
        first.intersection(&served(20)).next().is_none(),
        "dispatchers with distant indices share no preferred worker"
    );
    // Once its preferred workers are occupied, a dispatcher uses the others.
    let mut harness = Harness::new(
        Settings {
            dispatchers: 40,
            ..settings()
        },
        &workers,
    );
    let used: std::collections::BTreeSet<_> = (0..30).filter_map(|_| harness.submit(0).1).collect();
    assert!(used.len() > 8, "{used:?}");
}

/// Guards against dispatchers that overload the few workers of their zone while workers of other zones are idle.
#[test]
fn late_starts_in_the_own_zone_send_requests_to_other_zones() {
    let mut settings = settings();
    settings.charges.cross_zone = 0.03;
    let workers = [0, 1, 2, 3].map(|i| Entry {
        zone: i / 2,
        ..entry(i, 0)
    });
    let mut harness = Harness::new(settings, &workers);
    // Requests start 200 ms late in the own zone, and immediately in the other zone.
    let mut away = [0, 0];
    for n in 0..200 {
        let (id, worker) = harness.submit(0);
        let is_away = worker.expect("the request was sent") >= 2;
        away[usize::from(n >= 100)] += i32::from(is_away);
        harness.advance(if is_away { MS } else { 200 * MS });
        harness.start(id, 0);
        harness.advance(100 * MS);
        harness.end(id, 0, Status::Ok);
        harness.advance(3 * SEC);
    }
    assert!(away[1] > 25, "{away:?}");
    // Once the own zone starts requests promptly again, they are sent there again.
    let home: Vec<_> = (0..300)
        .map(|_| {
            harness
                .serve(0, |_| 100 * MS)
                .expect("the request was sent")
                < 2
        })
        .collect();
    assert!(home[240..].iter().all(|h| *h), "{home:?}");
}

/// Guards against a kind that counts as slow because it got mostly requests of a class with long run times.
#[test]
fn kind_speeds_are_compared_within_each_class() {
    let mut harness = Harness::new(settings(), &[entry(1, 0), entry(2, 1)]);
    // Both kinds are equally fast. Class 0 runs for 50 ms, class 2 ten times as long and mostly on kind 0.
    for n in 0..200 {
        let class = if n % 2 == 0 { 0 } else { 2 };
        harness.serve(class, |_| if class == 0 { 50 * MS } else { 500 * MS });
    }
    let on_first = (0..200)
        .filter(|_| harness.serve(0, |_| 50 * MS) == Some(1))
        .count();
    assert!(
        (60..=140).contains(&on_first),
        "{on_first} of 200 requests on one of two equally fast kinds: 60 to 140 expected"
    );
}

//! Tests for workers in warm-up: how much work all dispatchers together may send them.

use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;

/// Returns the times at which requests were sent to worker 3. One request of `class` is submitted per step until
/// `until`, and each attempt at worker 3 ends immediately with the status `ends`.
fn send_times_to_worker_3(
    harness: &mut Harness,
    (class, ends): (ClassId, Status),
    step: Time,
    until: Time,
) -> Vec<Time> {
    let mut sends = Vec::new();
    while harness.now < until {
        let mut actions = harness.advance(step);
        harness.submit(class);
        actions.extend(harness.actions.clone());
        for action in actions {
            if let Action::Send {
                request, worker: 3, ..
            } = action
            {
                sends.push(harness.now);
                harness.end(request, 0, ends);
            }
        }
    }
    sends
}

/// Least fraction of its capacity that a worker has at this age.
fn min_warm_up_fraction(rules: &Rules, age: Time) -> f64 {
    rules.initial_capacity + (1.0 - rules.initial_capacity) * age as f64 / rules.warm_after as f64
}

#[test]
fn worker_in_warm_up_gets_at_most_this_dispatchers_fraction_of_its_budget() {
    let mut settings = settings();
    settings.dispatchers = 3;
    let rules = settings.rules.clone();
    let mut harness = Harness::new(settings, &[entry(1, 0), entry(2, 0)]);
    for _ in 0..30 {
        harness.serve(0, |_| 100 * MS);
    }
    // Worker 3 has just started and is the only worker left; it rejects every request.
    let ready_at = harness.now;
    harness.update_membership(
        Scope::Full,
        &[Entry {
            ready_at,
            ..entry(3, 0)
        }],
    );
    let sends = send_times_to_worker_3(
        &mut harness,
        (0, Status::Full),
        7 * MS,
        ready_at + rules.warm_after,
    );
    assert!(sends.len() > 3, "a worker in warm-up gets some requests");
    for t in &sends {
        let recent = sends
            .iter()
            .filter(|u| **u <= *t && **u + rules.warm_up_overload_window > *t)
            .count() as f64;
        let fraction = min_warm_up_fraction(&rules, *t - ready_at);
        // The worker's slots were never observed, so it counts as having as many as observed for its kind: one.
        let budget =
            rules.warm_up_overload_multiple * fraction * rules.warm_up_overload_window as f64 / 3.0;
        assert!(
            recent * 100_000.0 <= budget,
            "{recent} jobs in a window, at {fraction} of the worker's capacity"
        );
    }
}

/// If a warm-up budget were split among all dispatchers, no part would pay for a request before the warm-up ends. So
/// only a few dispatchers get a part, different ones for each worker, and together they stay within the budget.
#[test]
fn warm_up_budget_goes_to_few_dispatchers_and_accumulates() {
    let mut senders = [0; 2];
    for (n, worker) in [3, 4].into_iter().enumerate() {
        let mut total = 0;
        for me in 0..40 {
            let mut settings = Settings {
                dispatchers: 40,
                dispatcher_index: me,
                ..settings()
            };
            settings.rules.warm_after = 60 * SEC;
            let mut harness = Harness::new(settings, &[entry(1, 0)]);
            for _ in 0..30 {
                harness.serve(0, |_| 100 * MS);
            }
            let ready_at = harness.now;
            harness.update_membership(
                Scope::Full,
                &[Entry {
                    ready_at,
                    ..entry(worker, 0)
                }],
            );
            let mut sends = 0;
            for _ in 0..15 {
                harness.submit(0);
                let mut actions = harness.actions.clone();
                actions.extend(harness.advance(2 * SEC));
                sends += actions
                    .iter()
                    .filter(|a| matches!(a, Action::Send { .. }))
                    .count();
            }
            senders[n] |= u64::from(sends > 0) << me;
            total += sends;
        }
        // The worker has one slot, 30% of it at first and about two thirds after 30 s: room for about 140 jobs of 100
        // ms.
        assert!(
            (3..=140).contains(&total),
            "{total} jobs in 30 s: 3 to 140 expected"
        );
        assert!(senders[n].count_ones() == 3, "{:b}", senders[n]);
    }
    assert_ne!(senders[0], senders[1]);
}

/// Guards against dispatchers that never spend their part of a worker's warm-up budget because they do not prefer the
/// worker.
#[test]
fn worker_in_warm_up_is_preferred_by_dispatchers_with_a_fraction_of_its_budget() {
    let now = 100 * SEC;
    let warming = |i| Entry {
        ready_at: if i == 60 { now } else { 0 },
        ..entry(i, i % 2)
    };
    let workers: Vec<_> = (0..80).map(warming).collect();
    let uses = |me: &u32| {
        let mut harness = Harness::new(
            Settings {
                dispatchers: 40,
                dispatcher_index: *me,
                ..settings()
            },
            &workers,
        );
        for _ in 0..30 {
            assert_ne!(
                harness.serve(0, |_| 10 * MS),
                Some(60),
                "idle workers that are not in warm-up are preferred"
            );
        }
        harness.advance(4 * SEC);
        (0..6).any(|_| harness.submit(0).1 == Some(60))
    };
    // A part pays for four jobs of 10 ms in a window of 1 s, and 0.54 s of work are used in a window: 13 parts.
    assert_eq!((0..40).filter(uses).count(), 13);
}

/// All dispatchers learn of a start at the same time. Whatever part of the budget each has accumulated, together they
/// must stay within three quarters of the budget in any window, without leaving the worker idle.
#[test]
fn three_hundred_dispatchers_keep_a_worker_in_warm_up_within_its_budget() {
    let (rules, run, step) = (settings().rules, 100 * MS, 20 * MS);
    let ready_at = 110 * SEC;
    let mut sends: Vec<Time> = Vec::new();
    for me in 0..300 {
        let mut harness = one_of_three_hundred(me, run);
        harness.now = ready_at;
        harness.update_membership(
            Scope::Full,
            &[Entry {
                ready_at,
                ..entry(3, 0)
            }],
        );
        // Each attempt releases its slot at once, so that only the budget limits the sends.
        let until = ready_at + 4 * SEC;
        sends.extend(send_times_to_worker_3(
            &mut harness,
            (2, Status::Cancelled),
            step,
            until,
        ));
    }
    let budget = |at: Time| {
        7.0 * rules.warm_up_overload_multiple
            * min_warm_up_fraction(&rules, at - ready_at)
            * rules.warm_up_overload_window as f64
    };
    for n in 0..4 * SEC / step {
        let at = ready_at + n * step;
        let sent = sends
            .iter()
            .filter(|t| **t <= at && **t + rules.warm_up_overload_window > at)
            .count() as f64;
        assert!(
            sent * run as f64 <= 0.76 * budget(at),
            "{sent} jobs in the window that ends {n} steps after the start"
        );
    }
    let most = (0..4).map(|n| budget(ready_at + n * SEC)).sum::<f64>();
    assert!(
        sends.len() as f64 * run as f64 > 0.4 * most,
        "{} jobs in 4 s are too few",
        sends.len()
    );
}

/// One of 300 dispatchers, which has observed workers with seven slots and requests that run for `run`.
fn one_of_three_hundred(me: u32, run: Time) -> Harness {
    let settings = Settings {
        dispatchers: 300,
        dispatcher_index: me,
        reports: Reports::OnProbe,
        ..settings()
    };
    let mut harness = Harness::new(settings, &[entry(1, 0)]);
    harness.probed(1, load(0.0, 7.0));
    for _ in 0..30 {
        harness.serve(2, |_| run);
    }
    harness
}

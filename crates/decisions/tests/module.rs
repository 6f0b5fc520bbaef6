//! The decision module by behaviour, without the bench.

use indigofold_decisions::api::*;
use indigofold_decisions::dispatcher::solve;
use indigofold_decisions_testing::*;

// ---- Problem (1) ----------------------------------------------------------------------------------------

/// The objective of problem (1) for draw probabilities `p`; infinite where a kind is overloaded.
fn objective(p: &[f64], share: &[f64], speed: &[f64], load: f64, d: f64) -> f64 {
    let total: f64 = share.iter().sum();
    let mean: f64 = share.iter().zip(speed).map(|(g, m)| g / total * m).sum();
    let mut sum = 0.0;
    for k in 0..p.len() {
        let rho = load * p[k] / (share[k] / total * speed[k] / mean);
        if rho >= 1.0 {
            return f64::INFINITY;
        }
        if d == 1.0 {
            sum += share[k] / total * rho / (1.0 - rho);
            continue;
        }
        let (mut exponent, mut term) = (1.0f64, rho);
        while term > 1e-14 && exponent < 1e9 {
            sum += share[k] / total * term;
            exponent = exponent * d + 1.0;
            term = rho.powf(exponent);
        }
    }
    sum
}

#[test]
fn solver_matches_brute_force() {
    for (share, speed) in [
        ([2.0, 3.0, 3.0], [2.0, 1.2, 0.8]),
        ([1.0, 1.0, 6.0], [1.5, 1.4, 0.4]),
    ] {
        for load in [0.15, 0.5, 0.8, 0.93] {
            for d in [1u32, 2, 3, 5] {
                let p = solve(&share, &speed, load, d);
                let found = objective(&p, &share, &speed, load, f64::from(d));
                let mut best = f64::INFINITY;
                for i in 0..=200 {
                    for j in 0..=200 - i {
                        let q = [
                            i as f64 / 200.0,
                            j as f64 / 200.0,
                            (200 - i - j) as f64 / 200.0,
                        ];
                        best = best.min(objective(&q, &share, &speed, load, f64::from(d)));
                    }
                }
                assert!(
                    found <= best * 1.0005,
                    "load {load} d {d}: {found} against {best}, p {p:?}"
                );
            }
        }
    }
}

#[test]
fn solver_with_one_choice_matches_the_closed_form() {
    // d = 1 is random routing to M/M/1 queues: mu_k - lambda_k in use is proportional to sqrt(mu_k).
    let (share, speed, load) = ([0.5, 0.5], [1.5, 0.5], 0.6);
    let p = solve(&share, &speed, load, 1);
    let roots: f64 = (0..2).map(|k: usize| share[k] * f64::sqrt(speed[k])).sum();
    for k in 0..2 {
        let flow = share[k] * (speed[k] - speed[k].sqrt() * (1.0 - load) / roots);
        assert!((p[k] - flow / load).abs() < 1e-6, "{p:?}");
    }
}

#[test]
fn solver_edges() {
    let near = |a: f64, b: f64| (a - b).abs() < 1e-9;
    // Hardly any load: only the fastest kind. Full load or none known: by capacity.
    let p = solve(&[1.0, 1.0], &[3.0, 1.0], 0.0, 2);
    assert!(p[0] > 0.999, "{p:?}");
    for load in [1.0, 5.0, f64::NAN, f64::INFINITY] {
        let p = solve(&[1.0, 1.0], &[3.0, 1.0], load, 2);
        assert!((p[0] - 0.75).abs() < 0.02, "{load}: {p:?}");
    }
    assert!(near(solve(&[2.0], &[0.7], 0.5, 3)[0], 1.0));
    let p = solve(&[0.0, 2.0], &[9.0, 1.0], 0.5, 3);
    assert!(near(p[0], 0.0) && near(p[1], 1.0));
    assert_eq!(solve(&[0.0, 0.0], &[1.0, 1.0], 0.5, 3), vec![0.0, 0.0]);
    assert!(solve(&[], &[], 0.5, 3).is_empty());
}

#[test]
fn solver_probabilities_sum_to_one_and_favour_speed() {
    for i in 1..50 {
        for d in [1u32, 2, 4] {
            let p = solve(&[2.0, 3.0, 3.0], &[2.0, 1.2, 0.8], i as f64 / 50.0, d);
            assert!((p.iter().sum::<f64>() - 1.0).abs() < 1e-9);
            // A slot of a faster kind gets at least the work of a slower one's.
            assert!(
                p[0] / 2.0 >= p[1] / 3.0 - 1e-6 && p[1] >= p[2] - 1e-6,
                "{p:?}"
            );
        }
    }
}

// ---- Kind draw and SQ(d) ---------------------------------------------------------------------------------

#[test]
fn the_fewest_in_flight_of_the_kind_wins() {
    let mut s = Harness::new(settings(), &[entry(1, 0), entry(2, 0), entry(3, 0)]);
    let mut used: Vec<_> = (0..3)
        .map(|_| s.submit(0).1.expect("a worker is free"))
        .collect();
    used.sort();
    assert_eq!(
        used,
        [1, 2, 3],
        "each empty worker is taken before any gets a second job"
    );
}

#[test]
fn faster_kinds_draw_more_than_their_share() {
    let workers: Vec<_> = (0..8).map(|i| entry(i, i % 2)).collect();
    let mut s = Harness::new(settings(), &workers);
    let run = |w: WorkerId| if w % 2 == 0 { 100 * MS } else { 300 * MS };
    let mut fast = 0;
    for n in 0..400 {
        let worker = s.serve(0, run).expect("idle workers take every job");
        fast += usize::from(n >= 200 && worker % 2 == 0);
    }
    assert!(
        fast > 180,
        "at a light load the fast kind should get nearly all, got {fast} of 200"
    );
}

#[test]
fn a_bound_class_keeps_to_its_kind() {
    let mut settings = settings();
    settings.classes[0].kind = Some(1);
    let mut s = Harness::new(settings, &[entry(1, 0), entry(2, 0), entry(3, 1)]);
    for _ in 0..20 {
        assert_eq!(s.serve(0, |_| 50 * MS), Some(3));
    }
}

/// Guards against the load of a class that is bound to one kind driving the draw of the others off the fast kind.
#[test]
fn a_bound_class_stays_out_of_the_solve() {
    let mut settings = Settings {
        reports_start: false,
        ..settings()
    };
    settings.classes[1].kind = Some(1);
    let workers: Vec<_> = (0..8).map(|i| entry(i, i % 2)).collect();
    let mut s = Harness::new(settings, &workers);
    let run = |w: WorkerId| if w % 2 == 0 { 100 * MS } else { 300 * MS };
    let mut fast = 0;
    for n in 0..400 {
        for _ in 0..6 {
            let (request, _) = s.submit(1);
            let status = Status::Cancelled;
            s.handle(Event::Outcome {
                request,
                attempt: 0,
                status,
                closed: true,
                load: None,
            });
        }
        let worker = s.serve(0, run).expect("idle workers take every job");
        fast += usize::from(n >= 200 && worker % 2 == 0);
    }
    assert!(
        fast > 180,
        "at a light unbound load the fast kind should get nearly all, got {fast} of 200"
    );
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let workers: Vec<_> = (0..6).map(|i| entry(i, i % 3)).collect();
        let mut s = Harness::new(settings(), &workers);
        let mut log = Vec::new();
        for n in 0..200u64 {
            let (id, _) = s.submit((n % 4) as u32);
            log.extend(s.actions.clone());
            if n % 3 != 0 {
                s.start(id, 0);
            }
            log.extend(s.advance(20 * MS));
            s.end(
                id,
                0,
                if n % 7 == 0 {
                    Status::Error
                } else {
                    Status::Ok
                },
            );
            log.extend(s.actions.clone());
        }
        log
    };
    assert_eq!(run(), run());
}

// ---- Others' load ----------------------------------------------------------------------------------------

#[test]
fn a_worker_whose_reports_show_no_free_slot_is_passed_over() {
    let mut settings = settings();
    settings.reports = Reports::WithResults;
    let mut s = Harness::new(settings, &[entry(1, 0), entry(2, 0)]);
    for (free, worker) in [(2.0, 1), (0.0, 1), (2.0, 2)] {
        let load = Some(Load {
            free_slots: Some(free),
            ..Load::default()
        });
        s.handle(Event::Probed {
            worker,
            status: Status::Ok,
            load,
        });
    }
    for _ in 0..2 {
        assert_eq!(s.submit(0).1, Some(2), "worker 1 is full of others' jobs");
    }
}

/// Guards against every dispatcher taking all of a worker's slots for its own where nothing is reported.
#[test]
fn a_late_start_marks_a_worker_as_shared() {
    let mut s = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    let (first, worker) = s.submit(0);
    s.advance(300 * MS);
    s.start(first, 0);
    let other = 3 - worker.expect("sent");
    assert_eq!(s.submit(0).1, Some(other));
    s.advance(MS);
    s.start(2, 0);
    // The second worker showed a slot at once: it is believed to have another sooner than the first.
    s.end(2, 0, Status::Ok);
    assert_eq!(s.submit(0).1, Some(other));
}

/// Guards against a report being compared with own jobs sent after it was made.
#[test]
fn an_answers_report_still_counts_the_job_that_brought_it() {
    let mut settings = settings();
    settings.reports = Reports::WithResults;
    let mut s = Harness::new(settings, &[entry(1, 0)]);
    let full = Load {
        free_slots: Some(2.0),
        ..Load::default()
    };
    s.handle(Event::Probed {
        worker: 1,
        status: Status::Ok,
        load: Some(full),
    });
    let (a, _) = s.submit(0);
    s.advance(MS);
    s.start(a, 0);
    s.advance(SEC);
    // One of two slots was taken, by the job that now ends: the worker has room for two more.
    s.end_with_load(
        a,
        0,
        Status::Ok,
        Some(Load {
            free_slots: Some(1.0),
            ..Load::default()
        }),
    );
    assert_eq!(s.submit(0).1, Some(1));
    assert_eq!(s.submit(0).1, Some(1), "nobody else holds a slot there");
}

/// Guards against jobs whose end is never told: they seem to run on, and would show slots that are not there.
#[test]
fn what_reports_say_of_slots_goes_before_jobs_that_seem_to_run() {
    let mut settings = settings();
    settings.reports = Reports::OnProbe;
    let mut s = Harness::new(settings, &[entry(1, 0)]);
    let load = Load {
        inflight: Some(0.0),
        free_slots: Some(2.0),
        ..Load::default()
    };
    s.handle(Event::Probed {
        worker: 1,
        status: Status::Ok,
        load: Some(load),
    });
    for _ in 0..6 {
        let (id, worker) = s.submit(0);
        s.advance(MS);
        if worker.is_some() {
            s.start(id, 0); // also the third and later ones: others have ended, and nobody has said so
        }
    }
    s.update_membership(Scope::Delta, &[entry(2, 0)]);
    s.handle(Event::Probed {
        worker: 2,
        status: Status::Ok,
        load: Some(load),
    });
    let sent = (0..6).filter(|_| s.submit(0).1 == Some(2)).count();
    assert!(
        (2..=3).contains(&sent),
        "two run and one waits, {sent} were sent"
    );
}

// ---- Holding ---------------------------------------------------------------------------------------------

#[test]
fn backlog_waits_at_the_dispatcher_and_the_worthiest_goes_first() {
    let mut settings = settings();
    settings.classes[1].value = 50.0;
    settings.classes[1].effect = Effect::Safe;
    let mut s = Harness::new(settings, &[entry(1, 0)]);
    let (first, sent) = s.submit(0);
    assert_eq!(sent, Some(1));
    s.advance(200 * MS);
    s.start(first, 0);
    // With the one known slot taken, one more may wait at the worker and the rest is held.
    let (queued, held): (Vec<_>, Vec<_>) =
        (0..6).map(|_| s.submit(0)).partition(|(_, w)| w.is_some());
    assert!(queued.len() <= 1 && held.len() >= 5, "{queued:?}");
    let (worthy, at_once) = s.submit(1);
    assert_eq!(at_once, None);
    s.advance(50 * MS);
    let mut sends = Vec::new();
    for (id, _) in queued.into_iter().chain([(first, None)]) {
        s.start(id, 0);
        sends.extend(s.actions.clone());
        s.end(id, 0, Status::Ok);
        sends.extend(s.actions.clone());
    }
    let sent = |a: &Action| match a {
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
        Some((worthy, 1, 0)),
        "the request of most worth for its work leaves first"
    );
}

/// Guards against a held request that fits nowhere keeping the whole queue behind it waiting.
#[test]
fn a_held_request_without_a_worker_does_not_block_the_queue() {
    let mut s = Harness::new(settings(), &[entry(1, 0)]);
    let (blocked, _) = s.submit(1);
    s.end(blocked, 0, Status::Error);
    s.update_membership(Scope::Full, &[entry(2, 0)]);
    let (a, worker) = s.submit(1);
    assert_eq!(worker, Some(2));
    s.advance(200 * MS);
    s.start(a, 0);
    let (b, queued) = s.submit(1);
    assert_eq!(queued, Some(2));
    let (c, at_once) = s.submit(1);
    assert_eq!(at_once, None);
    let mut sends = s.advance(50 * MS);
    for id in [b, a] {
        s.start(id, 0);
        sends.extend(s.actions.clone());
        s.end(id, 0, Status::Ok);
        sends.extend(s.actions.clone());
    }
    let got = |id| {
        sends
            .iter()
            .any(|x| matches!(x, Action::Send { request, .. } if *request == id))
    };
    assert!(got(c) && !got(blocked), "{sends:?}");
}

/// Guards against a client's last try being held past its deadline (a lost request on the bench).
#[test]
fn a_request_with_no_time_to_wait_is_answered_at_once() {
    for left in [0, 1, 10 * MS, 30 * MS] {
        let mut s = Harness::new(settings(), &[]);
        s.handle(Event::Request(Request {
            left,
            ..request(9, 0)
        }));
        assert!(s.is_refused(9), "{left} us left: {:?}", s.actions);
    }
    // ... also where a worker is free but the time is already up.
    let mut s = Harness::new(settings(), &[entry(1, 0)]);
    s.handle(Event::Request(Request {
        left: 0,
        ..request(9, 0)
    }));
    assert!(s.is_refused(9) && s.sent_to(9).is_none(), "{:?}", s.actions);
}

/// Guards against slots spent on jobs that cannot be done any more (full fleet, join): nine in ten of the attempts that
/// timed out had been sent in their job's last half second, while jobs with all their time were refused.
#[test]
fn a_job_that_would_hardly_be_done_in_its_time_takes_no_slot() {
    for class in 0..4 {
        let mut s = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
        for _ in 0..50 {
            s.serve(class, |_| 200 * MS);
        }
        for (id, left, fits) in [(1_001, 250 * MS, false), (1_002, 350 * MS, true)] {
            s.handle(Event::Request(Request {
                left,
                ..request(id, class)
            }));
            assert_eq!(
                (s.sent_to(id).is_some(), s.is_refused(id)),
                (fits, !fits),
                "class {class}, {left} us left"
            );
        }
    }
    // Where runs are long against what clients wait, half of that is enough: such a class is not refused altogether.
    let mut settings = settings();
    settings.classes[0].deadline = 200 * MS;
    let mut s = Harness::new(settings, &[entry(1, 0)]);
    for id in 1..30 {
        s.handle(Event::Request(Request {
            left: 200 * MS,
            ..request(id, 0)
        }));
        assert!(s.sent_to(id).is_some(), "{:?}", s.actions);
        s.start(id, 0);
        s.advance(190 * MS);
        s.end(id, 0, Status::Ok);
    }
}

#[test]
fn held_requests_are_refused_before_their_deadline() {
    let mut s = Harness::new(settings(), &[]);
    let ids: Vec<_> = (0..5).map(|n| s.submit(n % 4).0).collect();
    // Until a run is known, one takes as long as its class's aim, 0.4 s: one and a half of them are left at 5.4 s.
    let before = s.advance(5_300 * MS);
    assert!(
        !before
            .iter()
            .any(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. }))
    );
    s.advance(200 * MS);
    for id in ids {
        assert!(
            s.is_refused(id),
            "nothing was sent, so any class may be refused"
        );
    }
}

// ---- Health, cold, drain ---------------------------------------------------------------------------------

/// Guards against a worker that errs at once staying the least loaded and drawing all traffic.
#[test]
fn an_instantly_erring_worker_is_set_aside_and_tried_with_little() {
    let mut s = Harness::new(settings(), &[entry(1, 0), entry(2, 0), entry(3, 0)]);
    let mut to_bad = 0;
    for _ in 0..200 {
        let (id, worker) = s.submit(0);
        let mut worker = worker;
        let mut attempt = 0;
        while worker == Some(1) {
            to_bad += 1;
            s.advance(2 * MS);
            s.end(id, attempt, Status::Error);
            worker = s.sent_to(id);
            attempt += 1;
        }
        assert!(
            worker.is_some(),
            "an error on one worker sends a safe request to another"
        );
        s.advance(20 * MS);
        s.start(id, attempt);
        s.advance(30 * MS);
        s.end(id, attempt, Status::Ok);
    }
    assert!(
        (1..=12).contains(&to_bad),
        "{to_bad} of 200 requests went to the erring worker"
    );
}

/// Guards against a worker left out for good: where no class is safe, or no other answer of it is out, nothing but
/// time and trials with what can be made good elsewhere can end its suspicion.
#[test]
fn a_suspect_worker_is_tried_with_repeatable_requests_and_forgiven_in_time() {
    let erred = || {
        let mut s = Harness::new(settings(), &[entry(1, 0)]);
        for _ in 0..2 {
            let (id, _) = s.submit(2);
            s.end(id, 0, Status::Error);
        }
        s.advance(700 * MS);
        s
    };
    let mut s = erred();
    assert_eq!(s.submit(2).1, None, "an unsafe request is no trial");
    let mut s = erred();
    assert_eq!(s.submit(3).1, Some(1), "a keyed one is");
    assert_eq!(s.submit(3).1, None, "one at a time");
    let mut s = erred();
    s.advance(2 * SEC);
    assert_eq!(s.submit(2).1, Some(1), "suspicion has faded");
}

/// Guards against an attempt that was never taken blocking its worker, and its request, until the deadline.
#[test]
fn an_attempt_not_taken_in_time_gives_back_its_slots_and_goes_elsewhere() {
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

#[test]
fn a_draining_worker_gets_nothing_from_the_moment_it_is_told() {
    let mut s = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    for state in [WorkerState::Draining, WorkerState::Left] {
        s.update_membership(
            Scope::Delta,
            &[Entry {
                state,
                ..entry(1, 0)
            }],
        );
        for _ in 0..10 {
            assert_ne!(s.serve(0, |_| 10 * MS), Some(1));
        }
        s.update_membership(Scope::Delta, &[entry(1, 0)]);
    }
    s.update_membership(Scope::Full, &[entry(2, 0)]);
    for _ in 0..10 {
        assert_ne!(
            s.serve(0, |_| 10 * MS),
            Some(1),
            "a worker that a full list lacks is gone"
        );
    }
}

/// When worker 3 was sent jobs, with one of the class asked for at each step; each ends at once with this status.
fn sends_to_third(
    s: &mut Harness,
    (class, ends): (ClassId, Status),
    step: Time,
    until: Time,
) -> Vec<Time> {
    let mut sends = Vec::new();
    while s.now < until {
        let mut said = s.advance(step);
        s.submit(class);
        said.extend(s.actions.clone());
        for action in said {
            if let Action::Send {
                request, worker: 3, ..
            } = action
            {
                sends.push(s.now);
                s.end(request, 0, ends);
            }
        }
    }
    sends
}

/// Share of its capacity that a worker has at least, so long after its start.
fn least_warmth(rules: &Rules, age: Time) -> f64 {
    rules.initial_capacity + (1.0 - rules.initial_capacity) * age as f64 / rules.warm_after as f64
}

#[test]
fn a_cold_worker_gets_at_most_this_dispatchers_part_of_its_budget() {
    let mut settings = settings();
    settings.dispatchers = 3;
    let rules = settings.rules.clone();
    let mut s = Harness::new(settings, &[entry(1, 0), entry(2, 0)]);
    for _ in 0..30 {
        s.serve(0, |_| 100 * MS);
    }
    // Worker 3 has just started and is the only one left; every job it gets is turned away unseen.
    let ready_at = s.now;
    s.update_membership(
        Scope::Full,
        &[Entry {
            ready_at,
            ..entry(3, 0)
        }],
    );
    let sends = sends_to_third(
        &mut s,
        (0, Status::Full),
        7 * MS,
        ready_at + rules.warm_after,
    );
    assert!(sends.len() > 3, "a cold worker still gets some work");
    for t in &sends {
        let recent = sends
            .iter()
            .filter(|u| **u <= *t && **u + rules.tip_window > *t)
            .count() as f64;
        let warmth = least_warmth(&rules, *t - ready_at);
        // Its slots were never seen, so it is taken to have as many as its kind has shown: one.
        let budget = rules.tip_multiple * warmth * rules.tip_window as f64 / 3.0;
        assert!(
            recent * 100_000.0 <= budget,
            "{recent} jobs in a window at warmth {warmth}"
        );
    }
}

// ---- Retries and effect classes --------------------------------------------------------------------------

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_one_that_never_ran_is_sent_again() {
    let mut s = Harness::new(
        settings(),
        &[entry(1, 0), entry(2, 0), entry(3, 0), entry(4, 0)],
    );
    for status in [Status::Error, Status::Reset, Status::Timeout] {
        let (id, worker) = s.submit(2);
        assert!(worker.is_some());
        s.end(id, 0, status);
        assert!(
            s.is_failed(id) && s.sent_to(id).is_none(),
            "{status:?}: {:?}",
            s.actions
        );
    }
    let (id, first) = s.submit(2);
    s.end(id, 0, Status::ConnectFailed);
    assert!(s.sent_to(id).is_some() && s.sent_to(id) != first);
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_cell_and_window() {
    let workers: Vec<_> = (0..6).map(|i| entry(i, 0)).collect();
    for _ in 0..10 {
        let mut s = Harness::new(settings(), &workers);
        let (id, first) = s.submit(1);
        s.end(id, 0, Status::Error);
        assert_eq!(
            s.sent_to(id).map(|w| w % 2),
            first.map(|w| w % 2),
            "same cell"
        );
    }
    // Past the window nothing more is sent, and a refusal would promise too much.
    let mut s = Harness::new(settings(), &workers);
    let (id, _) = s.submit(1);
    s.advance(3_100 * MS);
    s.end(id, 0, Status::Error);
    assert!(
        s.sent_to(id).is_none() && s.is_failed(id),
        "nothing legal can serve it, so it is told at once"
    );
}

#[test]
fn attempts_are_capped() {
    let mut settings = settings();
    settings.limits.attempts = 2;
    let workers: Vec<_> = (0..6).map(|i| entry(i, 0)).collect();
    let mut s = Harness::new(settings, &workers);
    let (id, _) = s.submit(0);
    s.end(id, 0, Status::Error);
    assert!(s.sent_to(id).is_some());
    s.end(id, 1, Status::Error);
    assert!(s.sent_to(id).is_none() && s.is_refused(id));
}

// ---- The list --------------------------------------------------------------------------------------------

#[test]
fn the_list_is_asked_for_and_asked_again_after_a_failure_with_back_off() {
    let mut settings = settings();
    settings.membership_pushed = false;
    let mut s = Harness::new(settings, &[entry(1, 0)]);
    assert!(s.actions.contains(&Action::Watch(true)));
    let mut asked = Vec::new();
    for _ in 0..4 {
        s.update_membership(Scope::Failed, &[]);
        let failed = s.now;
        while !s.actions.contains(&Action::Watch(true)) {
            s.advance(10 * MS);
            assert!(s.now < failed + 10 * SEC, "asked within rules.ask_within");
        }
        asked.push(s.now - failed);
    }
    assert!(
        asked.windows(2).all(|w| w[1] >= w[0]) && asked[3] > asked[0],
        "{asked:?}"
    );
    s.update_membership(Scope::Full, &[entry(1, 0)]);
    assert!(
        !s.advance(20 * SEC).contains(&Action::Watch(true)),
        "a live subscription is not renewed"
    );
    assert_eq!(s.submit(0).1, Some(1));
}

#[test]
fn a_restart_under_the_same_id_is_a_new_cold_worker() {
    let mut s = Harness::new(settings(), &[entry(1, 0)]);
    let (id, _) = s.submit(2);
    s.end(id, 0, Status::Reset);
    let (id, worker) = s.submit(2);
    assert_eq!(worker, Some(1), "one reset may be the way's alone");
    s.end(id, 0, Status::Reset);
    assert_eq!(s.submit(0).1, None, "set aside after the second");
    s.advance(20 * MS);
    let ready_at = s.now - 7_950 * MS;
    s.update_membership(
        Scope::Delta,
        &[Entry {
            ready_at,
            ..entry(1, 0)
        }],
    );
    s.advance(60 * MS);
    assert_eq!(
        s.sent_to(3),
        Some(1),
        "the new process is not blamed: {:?}",
        s.actions
    );
}

// ---- Odd input -------------------------------------------------------------------------------------------

#[test]
fn odd_events_are_harmless() {
    let mut settings = settings();
    settings.dispatchers = 0;
    settings.tenants = vec![Tenant {
        quota_per_s: 0.0,
        fraction: 0.0,
    }];
    settings.limits.attempts = 0;
    let mut s = Harness::new(settings, &[]);
    let odd = |v: f64| Load {
        inflight: Some(v),
        free_slots: Some(v),
        ..Load::default()
    };
    s.update_membership(
        Scope::Delta,
        &[Entry {
            kind: u32::MAX,
            power: f64::NAN,
            ready_at: u64::MAX,
            ..entry(1, 0)
        }],
    );
    for v in [f64::NAN, f64::INFINITY, -5.0, 1e300] {
        for worker in [1, 99] {
            s.handle(Event::Probed {
                worker,
                status: Status::Ok,
                load: Some(odd(v)),
            });
        }
        let r = Request {
            class: 77,
            tenant: 0,
            slots: v,
            memory: v,
            left: u64::MAX,
            ..request(v.to_bits(), 0)
        };
        s.handle(Event::Request(r.clone()));
        s.handle(Event::Request(r));
        s.handle(Event::Progress {
            request: v.to_bits(),
            attempt: 0,
            done: v,
        });
    }
    for id in [0, 12345] {
        s.handle(Event::Started {
            request: id,
            attempt: 9,
        });
        s.handle(Event::Streaming {
            request: id,
            attempt: 9,
        });
        s.end(id, 3, Status::Ok);
        s.handle(Event::RequestClosed(id));
    }
    s.handle(Event::Timer(424242));
    s.handle(Event::Peer {
        from: 9,
        in_flight: vec![(1, 255), (99, 7), (1, 3)],
    });
    s.update_membership(Scope::Full, &[]);
    s.advance(SEC);
    assert!(
        !s.actions.iter().any(|a| matches!(a, Action::Send { .. })),
        "no attempt is allowed here"
    );
}

/// Guards against a cold worker's budget in so many parts that none pays for a job before it is warm (Lde7595):
/// few dispatchers have a part, another few for each worker, and together they keep within the budget.
#[test]
fn a_cold_budget_goes_to_few_dispatchers_and_is_saved_up() {
    let mut users = [0; 2];
    for (n, worker) in [3, 4].into_iter().enumerate() {
        let mut total = 0;
        for me in 0..40 {
            let mut settings = Settings {
                dispatchers: 40,
                me,
                ..settings()
            };
            settings.rules.warm_after = 60 * SEC;
            let mut s = Harness::new(settings, &[entry(1, 0)]);
            for _ in 0..30 {
                s.serve(0, |_| 100 * MS);
            }
            let ready_at = s.now;
            s.update_membership(
                Scope::Full,
                &[Entry {
                    ready_at,
                    ..entry(worker, 0)
                }],
            );
            let mut sends = 0;
            for _ in 0..15 {
                s.submit(0);
                let mut said = s.actions.clone();
                said.extend(s.advance(2 * SEC));
                sends += said
                    .iter()
                    .filter(|a| matches!(a, Action::Send { .. }))
                    .count();
            }
            users[n] |= u64::from(sends > 0) << me;
            total += sends;
        }
        // One slot, 30% of it at first and two thirds after 30 s: some 140 jobs of 100 ms, and no more than asked.
        assert!((3..=140).contains(&total), "{total} jobs in 30 s");
        assert!(users[n].count_ones() == 3, "{:b}", users[n]);
    }
    assert_ne!(users[0], users[1]);
}

/// Guards against many dispatchers each taking workers to have no more slots than its own few jobs showed.
#[test]
fn probes_tell_how_many_slots_there_are() {
    let mut settings = settings();
    settings.reports = Reports::OnProbe;
    let mut s = Harness::new(settings, &[entry(1, 0)]);
    s.advance(SEC);
    s.submit(0);
    assert!(
        s.actions.contains(&Action::Probe { worker: 1 }),
        "{:?}",
        s.actions
    );
    let load = Some(Load {
        inflight: Some(0.0),
        free_slots: Some(4.0),
        ..Load::default()
    });
    s.handle(Event::Probed {
        worker: 1,
        status: Status::Ok,
        load,
    });
    for _ in 0..3 {
        assert_eq!(s.submit(0).1, Some(1));
    }
}

/// Guards against taking a queue for slots (full fleet, join: up to 66 of 7 were learned): one slot can be free while jobs
/// wait behind one of two slots. Budgets of cold workers are multiples of the slots.
#[test]
fn a_report_of_a_queue_beside_a_free_slot_tells_no_slots() {
    let mut s = Harness::new(
        Settings {
            reports: Reports::OnProbe,
            ..settings()
        },
        &[entry(1, 0)],
    );
    let mut probed = |inflight, queue, free| {
        let (inflight, queue, free_slots) = (Some(inflight), Some(queue), Some(free));
        let load = Some(Load {
            inflight,
            queue,
            free_slots,
            ..Load::default()
        });
        s.handle(Event::Probed {
            worker: 1,
            status: Status::Ok,
            load,
        });
    };
    probed(0.0, 0.0, 3.0);
    probed(40.0, 38.0, 1.0);
    probed(0.0, 0.0, 3.0);
    let taken = (0..8).take_while(|_| s.submit(2).1.is_some()).count();
    // Three run; a few more may wait at a crowded worker, one at a time.
    assert!((3..=4).contains(&taken), "{taken} jobs at three slots");
}

/// Guards against dispatchers overfilling each other's workers where no report tells of them.
#[test]
fn peers_tell_of_slots_they_hold_and_take_it_back() {
    let mut settings = settings();
    settings.limits.peers = true;
    settings.charges.peer = 0.01;
    let mut s = Harness::new(settings, &[entry(1, 0), entry(2, 0)]);
    s.handle(Event::Peer {
        from: 1,
        in_flight: vec![(1, 1)],
    });
    let (id, worker) = s.submit(0);
    assert_eq!(
        worker,
        Some(2),
        "the peer's job holds the one known slot of worker 1"
    );
    assert!(s.advance(100 * MS).contains(&Action::UpdatePeers {
        in_flight: vec![(2, 1)]
    }));
    s.start(id, 0);
    s.handle(Event::Peer {
        from: 1,
        in_flight: vec![],
    });
    assert_eq!(s.submit(0).1, Some(1));
    s.end(2, 0, Status::Ok);
    s.end(id, 0, Status::Ok);
    assert!(
        s.advance(100 * MS)
            .contains(&Action::UpdatePeers { in_flight: vec![] })
    );
}

/// Guards against a client's later tries crowding out first tries that can still be in time.
#[test]
fn a_later_try_counts_from_the_first() {
    let mut settings = settings();
    settings.classes[0].late_value = 0.0;
    let mut s = Harness::new(settings, &[]);
    s.submit(0);
    // It comes with two of its six seconds left: its aim is long past, and late is worth nothing.
    s.handle(Event::Request(Request {
        left: 2 * SEC,
        ..request(50, 0)
    }));
    assert!(s.is_refused(50) && !s.is_refused(1), "{:?}", s.actions);
}

/// Guards against jobs queueing in workers that look free to each of many dispatchers (Lde7595, i221ca1): where
/// starts come late or workers are full, few own jobs may wait, however many near workers hold none of them.
#[test]
fn few_jobs_wait_at_workers_that_look_free() {
    let workers: Vec<_> = (0..40).map(|i| entry(i, 0)).collect();
    let mut s = Harness::new(
        Settings {
            dispatchers: 40,
            ..settings()
        },
        &workers,
    );
    let sends = |s: &Harness| {
        s.actions
            .iter()
            .filter(|a| matches!(a, Action::Send { .. }))
            .count()
    };
    // Much traffic, all of it turned away: the window shrinks to one job.
    for step in 0..300 {
        let mut said = s.advance(20 * MS);
        if step < 100 {
            s.submit(0);
            said.append(&mut s.actions);
        }
        while let Some(action) = said.pop() {
            if let Action::Send { request, .. } = action {
                s.handle(Event::Outcome {
                    request,
                    attempt: 0,
                    status: Status::Full,
                    closed: true,
                    load: None,
                });
                said.append(&mut s.actions);
            }
        }
    }
    let mut waiting = 0;
    for _ in 0..30 {
        s.submit(0);
        waiting += sends(&s);
    }
    assert!((1..=8).contains(&waiting), "{waiting} jobs wait");
}

/// Guards against taking a worker for empty because nothing was heard of it (cairo-later, Lde7595): where starts
/// come late or workers are full, one that is known to be free goes before those unheard of.
#[test]
fn a_worker_unheard_of_is_not_taken_for_empty_where_starts_come_late() {
    let mut s = Harness::new(settings(), &[entry(1, 0), entry(2, 0), entry(3, 0)]);
    for _ in 0..40 {
        let (request, worker) = s.submit(0);
        if worker.is_some() {
            s.handle(Event::Outcome {
                request,
                attempt: 0,
                status: Status::Full,
                closed: true,
                load: None,
            });
        }
        s.advance(SEC);
    }
    s.advance(8 * SEC);
    let known = s.serve(0, |_| 10 * MS);
    assert!(known.is_some());
    for _ in 0..8 {
        assert_eq!(s.serve(0, |_| 10 * MS), known);
    }
}

/// Guards against a cost saving that changes decisions: held requests are looked at only while a worker may take
/// one, so looking after every event, also those that free nothing, must leave the actions of a seed alike.
#[test]
fn looking_at_held_requests_more_often_changes_nothing() {
    let run = |extra_looks: usize| {
        let workers: Vec<_> = (0..6).map(|i| entry(i, i % 2)).collect();
        let mut s = Harness::new(settings(), &workers);
        let (mut said, mut running, mut held) = (Vec::new(), Vec::new(), 0);
        for step in 0..400 {
            let mut now_said = s.advance(5 * MS);
            if step % 40 < 25 {
                held += usize::from(s.submit(0).1.is_none());
                now_said.append(&mut s.actions);
            }
            if step % 3 == 0 && !running.is_empty() {
                let request = running.remove(0);
                let (attempt, status, load) = (0, Status::Ok, None);
                s.handle(Event::Started { request, attempt });
                now_said.append(&mut s.actions);
                s.handle(Event::Outcome {
                    request,
                    attempt,
                    status,
                    closed: true,
                    load,
                });
                now_said.append(&mut s.actions);
            }
            for _ in 0..extra_looks {
                s.handle(Event::RequestClosed(1 << 40));
                now_said.append(&mut s.actions);
            }
            running.extend(now_said.iter().filter_map(|a| match a {
                Action::Send { request, .. } => Some(*request),
                _ => None,
            }));
            said.append(&mut now_said);
        }
        (said, held)
    };
    let plain = run(0);
    assert!(plain.1 > 50, "only {} requests were held", plain.1);
    assert_eq!(plain, run(3));
}

/// Guards against the window becoming no number at a late first start, after which nothing was ever queued.
#[test]
fn a_late_first_start_leaves_a_window() {
    let mut s = Harness::new(settings(), &[entry(1, 0)]);
    s.serve(0, |_| 100 * MS);
    let (id, _) = s.submit(0);
    s.advance(900 * MS);
    s.start(id, 0);
    assert_eq!(
        s.submit(0).1,
        Some(1),
        "one job may wait where all slots are taken"
    );
}

/// Guards against dispatchers spreading few jobs each over a large fleet, where none learns of any worker.
#[test]
fn in_a_large_fleet_a_dispatcher_keeps_to_few_workers_and_the_windows_differ() {
    let workers: Vec<_> = (0..80).map(|i| entry(i, i % 2)).collect();
    let served = |me: u32| {
        let settings = Settings {
            dispatchers: 40,
            me,
            ..settings()
        };
        let mut s = Harness::new(settings, &workers);
        let used = (0..60).map(|_| {
            s.serve(0, |_| 100 * MS)
                .expect("idle workers take every job")
        });
        used.collect::<std::collections::BTreeSet<_>>()
    };
    let (first, last) = (served(0), served(39));
    assert!(first.len() <= 8 && last.len() <= 8, "{first:?} {last:?}");
    assert!(
        first.intersection(&served(20)).next().is_none(),
        "dispatchers apart share no worker"
    );
    // With its near workers taken, it goes on to the others.
    let mut s = Harness::new(
        Settings {
            dispatchers: 40,
            ..settings()
        },
        &workers,
    );
    let used: std::collections::BTreeSet<_> = (0..30).filter_map(|_| s.submit(0).1).collect();
    assert!(used.len() > 8, "{used:?}");
}

/// Guards against the dispatchers of a zone with few workers flooding these while other zones idle.
#[test]
fn jobs_leave_a_zone_whose_workers_start_them_late() {
    let mut settings = settings();
    settings.charges.cross_zone = 0.03;
    let workers = [0, 1, 2, 3].map(|i| Entry {
        zone: i / 2,
        ..entry(i, 0)
    });
    let mut s = Harness::new(settings, &workers);
    // At home a job starts after two others are through, elsewhere at once.
    let mut away = [0, 0];
    for n in 0..200 {
        let (id, worker) = s.submit(0);
        let far = worker.expect("sent") >= 2;
        away[usize::from(n >= 100)] += i32::from(far);
        s.advance(if far { MS } else { 200 * MS });
        s.start(id, 0);
        s.advance(100 * MS);
        s.end(id, 0, Status::Ok);
        s.advance(3 * SEC);
    }
    assert!(away[1] > 25, "{away:?}");
    // Once the own zone starts them promptly again, they come back.
    let home: Vec<_> = (0..300)
        .map(|_| s.serve(0, |_| 100 * MS).expect("sent") < 2)
        .collect();
    assert!(home[240..].iter().all(|h| *h), "{home:?}");
}

/// Guards against few jobs over a large fleet going by news that is long out of date, or by none.
#[test]
fn unknown_sampled_workers_are_probed_and_the_request_waits_a_little_for_them() {
    let mut settings = settings();
    settings.reports = Reports::OnProbe;
    settings.charges.probe = 0.0002;
    let mut s = Harness::new(settings, &[entry(1, 0), entry(2, 0), entry(3, 0)]);
    let (id, worker) = s.submit(0);
    let probed: Vec<_> = s
        .actions
        .iter()
        .filter(|a| matches!(a, Action::Probe { .. }))
        .cloned()
        .collect();
    assert_eq!((probed.len(), worker), (3, None));
    for (worker, free) in [(1, 0.0), (2, 2.0), (3, 1.0)] {
        assert_eq!(s.sent_to(id), None);
        let load = Some(Load {
            inflight: Some(2.0 - free),
            free_slots: Some(free),
            ..Load::default()
        });
        s.handle(Event::Probed {
            worker,
            status: Status::Ok,
            load,
        });
    }
    assert_eq!(s.sent_to(id), Some(2), "the emptiest of those sampled");
    // Without answers it goes out after a tenth of its aim. What is known is not asked again.
    s.advance(3 * SEC);
    let (id, _) = s.submit(0);
    assert!(
        s.advance(30 * MS)
            .iter()
            .all(|a| !matches!(a, Action::Send { .. }))
    );
    s.advance(30 * MS);
    assert!(s.sent_to(id).is_some());
}

/// Guards against news of workers with long jobs being left to age as if it were of short ones (cairo-later):
/// where a job runs long against the age of a report, a worker shared by many is probed again sooner.
#[test]
fn workers_are_probed_again_sooner_where_jobs_run_long() {
    let probes = |run: Time, dispatchers: u32| {
        let mut settings = Settings {
            dispatchers,
            ..settings()
        };
        settings.reports = Reports::OnProbe;
        settings.charges.probe = 0.0002;
        let mut s = Harness::new(settings, &[entry(1, 0), entry(2, 0), entry(3, 0)]);
        let mut count = 0;
        for _ in 0..40 {
            let (id, _) = s.submit(0);
            let mut said = s.actions.clone();
            for worker in 1..4 {
                let load = Some(Load {
                    inflight: Some(0.0),
                    free_slots: Some(2.0),
                    ..Load::default()
                });
                s.handle(Event::Probed {
                    worker,
                    status: Status::Ok,
                    load,
                });
                said.append(&mut s.actions);
            }
            count += said
                .iter()
                .filter(|a| matches!(a, Action::Probe { .. }))
                .count();
            s.advance(run);
            s.start(id, 0);
            s.advance(run);
            s.end(id, 0, Status::Ok);
        }
        // Now only the time since the last news counts.
        s.submit(0);
        let before = count;
        s.advance(5 * SEC);
        s.submit(0);
        for worker in 1..4 {
            let load = Some(Load {
                inflight: Some(0.0),
                free_slots: Some(2.0),
                ..Load::default()
            });
            s.handle(Event::Probed {
                worker,
                status: Status::Ok,
                load,
            });
        }
        s.advance(700 * MS);
        s.submit(0);
        let again = s
            .actions
            .iter()
            .filter(|a| matches!(a, Action::Probe { .. }))
            .count();
        assert!(before > 0);
        again
    };
    assert_eq!(probes(50 * MS, 40), 0);
    assert!(probes(SEC, 40) > 0);
    assert_eq!(probes(SEC, 2), 0, "own jobs tell most of what happens");
}

/// Guards against a kind being taken for slow because it happened to get the long class.
#[test]
fn run_times_are_compared_within_their_class() {
    let mut s = Harness::new(settings(), &[entry(1, 0), entry(2, 1)]);
    // Both kinds are equally fast. Class 0 is short, class 2 ten times as long and mostly on kind 0.
    for n in 0..200 {
        let class = if n % 2 == 0 { 0 } else { 2 };
        s.serve(class, |_| if class == 0 { 50 * MS } else { 500 * MS });
    }
    let on_first = (0..200)
        .filter(|_| s.serve(0, |_| 50 * MS) == Some(1))
        .count();
    assert!(
        (60..=140).contains(&on_first),
        "{on_first} of 200 on one of two equal kinds"
    );
}

/// Guards against cold budgets in many parts staying unused: those not near would never spend theirs.
#[test]
fn a_cold_worker_is_near_for_those_with_a_part_of_its_budget() {
    let now = 100 * SEC;
    let cold = |i| Entry {
        ready_at: if i == 60 { now } else { 0 },
        ..entry(i, i % 2)
    };
    let workers: Vec<_> = (0..80).map(cold).collect();
    let uses = |me: &u32| {
        let mut s = Harness::new(
            Settings {
                dispatchers: 40,
                me: *me,
                ..settings()
            },
            &workers,
        );
        for _ in 0..30 {
            assert_ne!(
                s.serve(0, |_| 10 * MS),
                Some(60),
                "idle warm workers come first"
            );
        }
        s.advance(4 * SEC);
        (0..6).any(|_| s.submit(0).1 == Some(60))
    };
    // A part pays for four jobs of 10 ms in a window of 1 s, and 0.54 s are used there: 13 parts.
    assert_eq!((0..40).filter(uses).count(), 13);
}

/// Guards against a cold worker overrun by a whole fleet that hears of its start at once: whatever each saves up, all
/// dispatchers together keep within three quarters of its budget in any window, and do not leave it idle.
#[test]
fn three_hundred_dispatchers_together_keep_a_cold_worker_within_its_budget() {
    let (rules, run, step) = (settings().rules, 100 * MS, 20 * MS);
    let mut sends: Vec<Time> = Vec::new();
    let mut ready_at = 0;
    for me in 0..300 {
        let settings = Settings {
            dispatchers: 300,
            me,
            reports: Reports::OnProbe,
            ..settings()
        };
        let mut s = Harness::new(settings, &[entry(1, 0)]);
        let load = Some(Load {
            inflight: Some(0.0),
            free_slots: Some(7.0),
            ..Load::default()
        });
        s.handle(Event::Probed {
            worker: 1,
            status: Status::Ok,
            load,
        });
        for _ in 0..30 {
            s.serve(2, |_| run);
        }
        (s.now, ready_at) = (110 * SEC, 110 * SEC);
        s.update_membership(
            Scope::Full,
            &[Entry {
                ready_at,
                ..entry(3, 0)
            }],
        );
        // Each gives its place back at once, so that only the budget limits.
        sends.extend(sends_to_third(
            &mut s,
            (2, Status::Cancelled),
            step,
            ready_at + 4 * SEC,
        ));
    }
    let budget = |at: Time| {
        7.0 * rules.tip_multiple * least_warmth(&rules, at - ready_at) * rules.tip_window as f64
    };
    for n in 0..4 * SEC / step {
        let at = ready_at + n * step;
        let sent = sends
            .iter()
            .filter(|t| **t <= at && **t + rules.tip_window > at)
            .count() as f64;
        assert!(
            sent * run as f64 <= 0.76 * budget(at),
            "{sent} jobs in the window that ends {n} steps after"
        );
    }
    let most = (0..4).map(|n| budget(ready_at + n * SEC)).sum::<f64>();
    assert!(
        sends.len() as f64 * run as f64 > 0.4 * most,
        "{} jobs in 4 s",
        sends.len()
    );
}

/// Guards against jobs that can earn nothing any more keeping others waiting in a worker's queue.
#[test]
fn an_unstarted_job_past_its_aim_is_withdrawn_where_late_is_worth_nothing() {
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

/// Guards against dispatchers that hammer full workers with what these turn away.
#[test]
fn a_full_worker_is_left_alone_for_a_while() {
    let mut s = Harness::new(settings(), &[entry(1, 0)]);
    let (id, _) = s.submit(0);
    s.advance(MS);
    s.end(id, 0, Status::Full);
    assert!(
        s.advance(1900 * MS)
            .iter()
            .all(|a| !matches!(a, Action::Send { .. }))
    );
    let later = s.advance(200 * MS);
    assert!(
        later
            .iter()
            .any(|a| matches!(a, Action::Send { request, .. } if *request == id)),
        "{later:?}"
    );
}

// ---- Further rules, where the settings state them --------------------------------------------------------

/// Guards against attempts beyond a request's first outnumbering their budget, whichever path sends them.
#[test]
fn further_attempts_keep_to_their_budget_in_any_window() {
    let mut settings = settings();
    settings.limits.retry_after = false;
    settings.rules.resends = Some(ResendBudget {
        free: 2.0,
        ratio: 0.1,
        window: Some(10 * SEC),
    });
    let workers: Vec<_> = (0..40).map(|i| entry(i, 0)).collect();
    let mut s = Harness::new(settings, &workers);
    let fail_until_answered = |s: &mut Harness| {
        let (id, _) = s.submit(0);
        let mut tries = 0;
        loop {
            s.end(id, tries, Status::Error);
            if s.sent_to(id).is_none() {
                assert!(s.is_refused(id), "out of attempts it is answered at once");
                return tries;
            }
            tries += 1;
        }
    };
    let again: u32 = (0..9).map(|_| fail_until_answered(&mut s)).sum();
    assert_eq!(again, 2, "nine requests earn none beyond the two free ones");
    s.advance(5 * SEC);
    assert_eq!(fail_until_answered(&mut s), 1, "the tenth earns one more");
    // The first two leave the window, and so do the requests that came with them.
    s.advance(5 * SEC + MS);
    assert_eq!(fail_until_answered(&mut s), 1);
}

#[test]
fn attempts_that_were_never_sent_cost_none_of_the_budget() {
    let mut settings = settings();
    settings.rules.resends = Some(ResendBudget {
        free: 1.0,
        ratio: 0.0,
        window: Some(10 * SEC),
    });
    let workers: Vec<_> = (0..8).map(|i| entry(i, 0)).collect();
    let mut s = Harness::new(settings, &workers);
    let (id, _) = s.submit(0);
    s.end(id, 0, Status::Error);
    assert!(s.sent_to(id).is_some());
    s.end(id, 1, Status::Moot);
    assert!(
        s.sent_to(id).is_some(),
        "the one of the budget is there again"
    );
    s.end(id, 2, Status::Error);
    assert!(s.sent_to(id).is_none() && s.is_refused(id));
}

/// A budget without a window is read the strict way: what it allows, it allows once.
#[test]
fn a_budget_without_a_window_is_never_renewed() {
    let mut settings = settings();
    settings.rules.resends = Some(ResendBudget {
        free: 1.0,
        ratio: 5.0,
        window: None,
    });
    let mut s = Harness::new(settings, &(0..8).map(|i| entry(i, 0)).collect::<Vec<_>>());
    for expected in [true, false] {
        let (id, _) = s.submit(0);
        s.end(id, 0, Status::Error);
        assert_eq!(s.sent_to(id).is_some(), expected);
        s.advance(100 * SEC);
    }
}

/// Reported as: 'request of class sale was sent again with no proof that the attempt before never ran'.
#[test]
fn full_is_no_proof_where_the_rules_say_so() {
    let workers: Vec<_> = (0..6).map(|i| entry(i, 0)).collect();
    for no_proof in [false, true] {
        let mut settings = settings();
        settings.rules.full_may_have_run = no_proof;
        let mut s = Harness::new(settings, &workers);
        let (unsafe_one, _) = s.submit(2);
        s.end(unsafe_one, 0, Status::Full);
        assert_eq!(s.is_failed(unsafe_one), no_proof);
        assert_eq!(s.sent_to(unsafe_one).is_none(), no_proof);
        let (keyed, first) = s.submit(1);
        s.end(keyed, 0, Status::Full);
        if no_proof {
            assert!(
                s.sent_to(keyed)
                    .is_none_or(|w| w % 2 == first.expect("sent") % 2),
                "same cell"
            );
            s.end(keyed, 1, Status::Full);
            s.advance(3 * SEC);
            assert!(!s.is_refused(keyed), "a refusal would promise too much");
        }
    }
}

/// Reported as: 'an idle connection was still open 0.81 s after this instance was told that it drains'.
#[test]
fn idle_connections_to_a_leaving_worker_are_closed_at_the_notice_and_after_each_end_there() {
    let leaving = |w| Entry {
        state: WorkerState::Draining,
        ..entry(w, 0)
    };
    let closed = |s: &Harness, w| {
        s.actions
            .iter()
            .filter(|a| **a == Action::Disconnect { worker: w })
            .count()
    };
    for (scope, list) in [
        (Scope::Delta, vec![leaving(1)]),
        (Scope::Full, vec![leaving(1)]),
        (Scope::Full, vec![]),
    ] {
        let mut settings = settings();
        settings.rules.let_go_in = Some(800 * MS);
        let mut s = Harness::new(settings, &[entry(1, 0)]);
        let [(a, _), (c, _)] = [s.submit(0), s.submit(0)];
        s.start(a, 0);
        s.start(c, 0);
        let (b, sent) = s.submit(0);
        assert_eq!(sent, Some(1));
        s.end(c, 0, Status::Ok);
        s.update_membership(scope, &list);
        assert_eq!(closed(&s, 1), 1, "{scope:?}: at the notice");
        s.update_membership(scope, &list);
        let more = s
            .advance(2 * SEC)
            .iter()
            .filter(|a| matches!(a, Action::Disconnect { .. }))
            .count();
        assert_eq!(closed(&s, 1) + more, 0, "not over and over");
        s.end(a, 0, Status::Ok);
        assert_eq!(closed(&s, 1), 1, "after an outcome");
        // The client leaves; the attempt that was out for it ends later.
        s.handle(Event::RequestClosed(b));
        s.end(b, 0, Status::Cancelled);
        assert_eq!(
            closed(&s, 1),
            1,
            "also of an attempt that outlived its request"
        );
        s.handle(Event::Probed {
            worker: 1,
            status: Status::Ok,
            load: None,
        });
        assert_eq!(closed(&s, 1), 1, "and after a probe");
    }
    // Where it is not asked, or the worker was never used, nothing is closed.
    for (let_go_in, used) in [(None, true), (Some(0), false)] {
        let mut settings = settings();
        settings.rules.let_go_in = let_go_in;
        let mut s = Harness::new(settings, &[entry(1, 0)]);
        if used {
            s.submit(0);
        }
        s.update_membership(Scope::Delta, &[leaving(1)]);
        assert_eq!(closed(&s, 1), 0);
    }
}

/// Rules that are absent bind nothing: a seed acts as under limits that are never reached.
#[test]
fn absent_further_rules_change_nothing() {
    let run = |resends| {
        let mut settings = settings();
        settings.rules.resends = resends;
        let mut s = Harness::new(
            settings,
            &(0..6).map(|i| entry(i, i % 3)).collect::<Vec<_>>(),
        );
        let mut log = Vec::new();
        for n in 0..300u64 {
            let (id, _) = s.submit((n % 4) as u32);
            log.extend(s.actions.clone());
            s.start(id, 0);
            log.extend(s.advance(20 * MS));
            // No reset before the start: that tells of idle connections, and closes them for another reason.
            let ends = [
                Status::Ok,
                Status::Ok,
                Status::Error,
                Status::Full,
                Status::Error,
            ];
            s.end(id, 0, ends[n as usize % 5]);
            log.extend(s.actions.clone());
        }
        log
    };
    let ample = ResendBudget {
        free: 1e9,
        ratio: 0.0,
        window: Some(10 * SEC),
    };
    assert_eq!(run(None), run(Some(ample)));
    assert!(
        !run(None)
            .iter()
            .any(|a| matches!(a, Action::Disconnect { .. }))
    );
}

// ---- Final answers ---------------------------------------------------------------------------------------

/// Nothing legal is left for these: the answer is not held back.
#[test]
fn what_no_send_can_serve_is_answered_at_once() {
    let workers: Vec<_> = (0..6).map(|i| entry(i, 0)).collect();
    let mut s = Harness::new(settings(), &workers);
    let (unsafe_one, _) = s.submit(2);
    s.end(unsafe_one, 0, Status::Reset);
    assert!(s.is_failed(unsafe_one));
    // Held while its cell is set aside, a keyed request ends when its key's time is over.
    let mut s = Harness::new(settings(), &[entry(0, 0), entry(1, 0)]);
    let (keyed, _) = s.submit(1);
    s.end(keyed, 0, Status::Error);
    assert!(s.sent_to(keyed).is_none() && !s.is_failed(keyed));
    s.advance(3_100 * MS);
    assert!(
        s.is_failed(keyed),
        "its deadline is 3 s off, its key's time is over"
    );
}

#[test]
fn a_refusal_tells_the_client_when_to_come_back_where_clients_listen() {
    for listen in [true, false] {
        let mut settings = settings();
        settings.limits.retry_after = listen;
        settings.classes[0].late_value = 0.0;
        let mut s = Harness::new(settings.clone(), &[]);
        let (late, _) = s.submit(0);
        let all = s.advance(2 * SEC);
        let advice = |out: &[Action], id| {
            let told = |a: &Action| match a {
                Action::Refuse {
                    request,
                    retry_after,
                } if *request == id => Some(*retry_after),
                _ => None,
            };
            out.iter().find_map(told).expect("refused")
        };
        let told = advice(&all, late);
        assert!(
            told <= settings.limits.max_retry_after && (told > 0) == listen,
            "{told}"
        );
    }
}

// ---- Traffic over a share, dead connections, silence ------------------------------------------------------

/// Guards against one tenant's traffic beyond its share taking the slots of all others (regina big-1).
#[test]
fn traffic_over_a_share_is_let_in_less_while_attempts_are_turned_away() {
    let served = |turned_away: bool| {
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
        let mut s = Harness::new(settings, &(0..60).map(|i| entry(i, 0)).collect::<Vec<_>>());
        let mut served = [0, 0];
        for n in 0..600u64 {
            // Three of four requests come from the tenant with a small quota.
            let tenant = u32::from(n % 4 == 3);
            s.handle(Event::Request(Request {
                tenant,
                ..request(n, 0)
            }));
            let mut attempt = 0;
            while s.sent_to(n).is_some() && turned_away && n % 2 == 0 && attempt < 2 {
                s.end(n, attempt, Status::Full);
                attempt += 1;
            }
            if s.sent_to(n).is_some() {
                s.start(n, attempt);
                served[tenant as usize] += 1;
                s.advance(20 * MS);
                s.end(n, attempt, Status::Ok);
            }
        }
        served
    };
    let (calm, crowded) = (served(false), served(true));
    assert_eq!(calm, [450, 150], "nothing is refused while all is well");
    assert!(crowded[0] < 300 && crowded[1] > 130, "{crowded:?}");
}

/// Guards against small tenants being taken for over their share where clients crowd to one dispatcher.
#[test]
fn a_tenant_with_less_than_its_part_of_the_arrivals_is_not_over_its_share() {
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
    let mut s = Harness::new(settings, &(0..60).map(|i| entry(i, 0)).collect::<Vec<_>>());
    let mut refused = [0, 0];
    for n in 0..600u64 {
        // 20 a second here, where the quotas of all dispatchers together are 50: the first sends 9 of 10.
        let tenant = u32::from(n % 10 == 9);
        s.handle(Event::Request(Request {
            tenant,
            ..request(n, 0)
        }));
        refused[tenant as usize] += u32::from(s.is_refused(n));
        if s.sent_to(n).is_some() {
            s.end(n, 0, if n % 3 == 0 { Status::Full } else { Status::Ok });
            s.handle(Event::RequestClosed(n));
        }
        s.advance(50 * MS);
    }
    assert!(refused[0] > 100 && refused[1] <= 5, "{refused:?}");
}

/// Guards against every connection that something drops unseen costing an attempt (17% on regina big-2).
#[test]
fn connections_idle_for_as_long_as_one_that_broke_are_closed_first_and_the_worker_is_not_blamed() {
    let mut s = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    let closes = |s: &Harness| {
        s.actions
            .iter()
            .filter(|a| matches!(a, Action::Disconnect { .. }))
            .count()
    };
    for _ in 0..4 {
        s.serve(0, |_| 20 * MS);
    }
    s.advance(3 * SEC);
    let (id, worker) = s.submit(0);
    assert_eq!(closes(&s), 0, "nothing has broken yet");
    s.end(id, 0, Status::Reset);
    let again = s.sent_to(id).expect("a safe request goes again at once");
    assert!(
        Some(again) != worker && closes(&s) == 1,
        "the other's connection is as old: {:?}",
        s.actions
    );
    s.advance(MS);
    s.start(id, 1);
    s.end(id, 1, Status::Ok);
    // Used a moment ago it is trusted, and the first worker still takes requests that must not run twice.
    s.advance(50 * MS);
    let sent: Vec<_> = (0..2).map(|_| (s.submit(2).1, closes(&s))).collect();
    assert!(sent.iter().any(|x| x.0 == worker), "{sent:?}");
    assert!(sent.contains(&(Some(again), 0)), "{sent:?}");
}

/// Guards against an answer that never comes keeping its slots and its request until the client gives up.
#[test]
fn a_job_that_falls_silent_gives_its_slots_back_and_goes_elsewhere_where_its_class_allows() {
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

// ---- Other settings -------------------------------------------------------------------------------------

fn retuned(change: impl Fn(&mut Settings)) -> Event {
    let mut settings = settings();
    change(&mut settings);
    Event::Settings(Box::new(settings))
}

/// Guards against a job that runs twice as its class turns harmless, and one lost as its class turns delicate, while
/// it is open: it keeps the rules that it came with. The next job has the new ones.
#[test]
fn an_open_request_keeps_the_class_that_it_came_with() {
    let mut stage = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    let (delicate, harmless) = (stage.submit(2).0, stage.submit(0).0);
    stage.handle(retuned(|s| {
        (s.classes[2].effect, s.classes[0].effect) = (Effect::Safe, Effect::Unsafe)
    }));
    stage.end(delicate, 0, Status::Reset);
    assert!(stage.is_failed(delicate) && stage.sent_to(delicate).is_none());
    stage.end(harmless, 0, Status::Reset);
    assert!(stage.sent_to(harmless).is_some());
    for (class, again) in [(2, true), (0, false)] {
        let mut stage = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
        stage.handle(retuned(|s| {
            (s.classes[2].effect, s.classes[0].effect) = (Effect::Safe, Effect::Unsafe)
        }));
        let id = stage.submit(class).0;
        stage.end(id, 0, Status::Reset);
        assert_eq!(
            (stage.sent_to(id).is_some(), stage.is_failed(id)),
            (again, !again),
            "class {class}"
        );
    }
}

/// Guards against an added class that is taken for the one that unknown classes count as, or whose jobs are judged by
/// another's rules; and against tables that grow with each change.
#[test]
fn an_added_class_has_rules_of_its_own_and_an_unknown_one_stays_unknown() {
    let mut stage = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    for n in 0..50 {
        let latency_target = 300 * MS + n;
        stage.handle(retuned(|s| {
            s.classes[0].latency_target = latency_target;
            s.classes.push(Class {
                effect: Effect::Safe,
                latency_target,
                ..s.classes[2].clone()
            });
        }));
    }
    for (class, again) in [(4, true), (2, false), (9, false)] {
        let id = stage.submit(class).0;
        stage.end(id, 0, Status::Reset);
        assert_eq!(
            (stage.sent_to(id).is_some(), stage.is_failed(id)),
            (again, !again),
            "class {class}"
        );
        stage.end(id, 1, Status::Ok);
        stage.advance(7 * SEC);
    }
}

/// Guards against more attempts than are allowed, by the settings of when a job came or by those that hold now.
#[test]
fn an_open_request_has_the_fewer_attempts_of_both_settings() {
    for (before, after) in [(1, 4), (4, 1)] {
        let mut first = settings();
        first.limits.attempts = before;
        let mut stage = Harness::new(first, &[entry(1, 0), entry(2, 0)]);
        let id = stage.submit(0).0;
        stage.handle(retuned(|s| s.limits.attempts = after));
        stage.end(id, 0, Status::Reset);
        assert!(
            stage.sent_to(id).is_none() && stage.is_refused(id),
            "{before} to {after}"
        );
    }
}

// ---- Room for the next ones -----------------------------------------------------------------------------

/// Guards against held jobs that take up all of the clients' connections, so that better ones cannot even come: the
/// least worthy held one is refused at once, the one held for longest first.
#[test]
fn the_least_worthy_held_request_is_refused_before_clients_have_no_connection_left() {
    let mut settings = settings();
    settings.limits.open = Some(3);
    settings.classes[2].value = 50.0;
    let mut stage = Harness::new(settings, &[]);
    let poor = [stage.submit(0).0, stage.submit(0).0];
    let rich = stage.submit(2).0;
    assert!(!stage.is_refused(poor[0]));
    for (n, gone) in [(0, poor[0]), (1, poor[1])] {
        stage.submit(2);
        assert!(stage.is_refused(gone) && !stage.is_refused(rich), "{n}");
    }
    stage.submit(2);
    assert!(stage.is_refused(rich));
}

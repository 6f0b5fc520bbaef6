//! Tests for the load of workers from load reports, probes and peer updates.

use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;

#[test]
fn worker_that_reports_no_free_slot_is_not_chosen() {
    let mut settings = settings();
    settings.reports = Reports::WithResults;
    let mut harness = Harness::new(settings, &[entry(1, 0), entry(2, 0)]);
    for (free, worker) in [(2.0, 1), (0.0, 1), (2.0, 2)] {
        let load = Some(Load {
            free_slots: Some(free),
            ..Load::default()
        });
        harness.handle(Event::Probed {
            worker,
            status: Status::Ok,
            load,
        });
    }
    for _ in 0..2 {
        assert_eq!(
            harness.submit(0).1,
            Some(2),
            "worker 1 is full of other dispatchers' requests"
        );
    }
}

/// Guards against comparing a load report with a count of own requests that does not match the time of the report.
#[test]
fn load_report_of_a_result_still_counts_the_ended_request() {
    let mut settings = settings();
    settings.reports = Reports::WithResults;
    let mut harness = Harness::new(settings, &[entry(1, 0)]);
    let full = Load {
        free_slots: Some(2.0),
        ..Load::default()
    };
    harness.handle(Event::Probed {
        worker: 1,
        status: Status::Ok,
        load: Some(full),
    });
    let (a, _) = harness.submit(0);
    harness.advance(MS);
    harness.start(a, 0);
    harness.advance(SEC);
    // The report shows one of two slots occupied, by the request that now ends: the worker has room for two more.
    harness.end_with_load(
        a,
        0,
        Status::Ok,
        Some(Load {
            free_slots: Some(1.0),
            ..Load::default()
        }),
    );
    assert_eq!(harness.submit(0).1, Some(1));
    assert_eq!(
        harness.submit(0).1,
        Some(1),
        "no other dispatcher occupies a slot of worker 1"
    );
}

/// Guards against inferring slots that do not exist from requests whose end is never reported, so that they seem to run
/// on.
#[test]
fn reported_slots_override_requests_that_seem_to_run() {
    let mut settings = settings();
    settings.reports = Reports::OnProbe;
    let mut harness = Harness::new(settings, &[entry(1, 0)]);
    let load = Load {
        inflight: Some(0.0),
        free_slots: Some(2.0),
        ..Load::default()
    };
    harness.handle(Event::Probed {
        worker: 1,
        status: Status::Ok,
        load: Some(load),
    });
    for _ in 0..6 {
        let (id, worker) = harness.submit(0);
        harness.advance(MS);
        if worker.is_some() {
            harness.start(id, 0); // also the third and later requests: earlier ones have ended without a report
        }
    }
    harness.update_membership(Scope::Delta, &[entry(2, 0)]);
    harness.handle(Event::Probed {
        worker: 2,
        status: Status::Ok,
        load: Some(load),
    });
    let sent = (0..6).filter(|_| harness.submit(0).1 == Some(2)).count();
    assert!(
        (2..=3).contains(&sent),
        "{sent} requests were sent: two may run and one may wait"
    );
}

/// Guards against a dispatcher that assumes no more slots than its own few requests have shown.
#[test]
fn probe_results_give_the_number_of_slots() {
    let mut settings = settings();
    settings.reports = Reports::OnProbe;
    let mut harness = Harness::new(settings, &[entry(1, 0)]);
    harness.advance(SEC);
    harness.submit(0);
    assert!(
        harness.actions.contains(&Action::Probe { worker: 1 }),
        "{:?}",
        harness.actions
    );
    harness.probed(1, load(0.0, 4.0));
    for _ in 0..3 {
        assert_eq!(harness.submit(0).1, Some(1));
    }
}

/// Guards against counting queued requests as slots: a slot can be free while a request waits for two. Too many slots
/// would also increase warm-up budgets, which are multiples of the slots.
#[test]
fn load_report_with_a_queue_does_not_raise_the_number_of_slots() {
    let mut harness = Harness::new(
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
        harness.handle(Event::Probed {
            worker: 1,
            status: Status::Ok,
            load,
        });
    };
    probed(0.0, 0.0, 3.0);
    probed(40.0, 38.0, 1.0);
    probed(0.0, 0.0, 3.0);
    let taken = (0..8).take_while(|_| harness.submit(2).1.is_some()).count();
    // Three requests run; more may wait at the busy worker only one at a time.
    assert!(
        (3..=4).contains(&taken),
        "{taken} requests at three slots: 3 or 4 expected"
    );
}

/// Guards against overfilling workers that are occupied by other dispatchers' requests when no load report shows those.
#[test]
fn peer_updates_claim_and_release_slots() {
    let mut settings = settings();
    settings.limits.peers = true;
    settings.charges.peer = 0.01;
    let mut harness = Harness::new(settings, &[entry(1, 0), entry(2, 0)]);
    harness.handle(Event::Peer {
        from: 1,
        in_flight: vec![(1, 1)],
    });
    let (id, worker) = harness.submit(0);
    assert_eq!(
        worker,
        Some(2),
        "the peer's request occupies the only known slot of worker 1"
    );
    assert!(harness.advance(100 * MS).contains(&Action::UpdatePeers {
        in_flight: vec![(2, 1)]
    }));
    harness.start(id, 0);
    harness.handle(Event::Peer {
        from: 1,
        in_flight: vec![],
    });
    assert_eq!(harness.submit(0).1, Some(1));
    harness.end(2, 0, Status::Ok);
    harness.end(id, 0, Status::Ok);
    assert!(
        harness
            .advance(100 * MS)
            .contains(&Action::UpdatePeers { in_flight: vec![] })
    );
}

/// Guards against placing requests by outdated or unknown load where few requests are spread over a large fleet.
#[test]
fn request_waits_briefly_for_probes_of_sampled_workers_without_load() {
    let mut settings = settings();
    settings.reports = Reports::OnProbe;
    settings.charges.probe = 0.0002;
    let mut harness = Harness::new(settings, &[entry(1, 0), entry(2, 0), entry(3, 0)]);
    let (id, worker) = harness.submit(0);
    let probed: Vec<_> = harness
        .actions
        .iter()
        .filter(|a| matches!(a, Action::Probe { .. }))
        .cloned()
        .collect();
    assert_eq!((probed.len(), worker), (3, None));
    for (worker, free) in [(1, 0.0), (2, 2.0), (3, 1.0)] {
        assert_eq!(harness.sent_to(id), None);
        harness.probed(worker, load(2.0 - free, free));
    }
    assert_eq!(
        harness.sent_to(id),
        Some(2),
        "the sampled worker with the most free slots"
    );
    // Without probe results, the request is sent after a tenth of its latency target. Workers with recent load are not
    // probed again.
    harness.advance(3 * SEC);
    let (id, _) = harness.submit(0);
    assert!(
        harness
            .advance(30 * MS)
            .iter()
            .all(|a| !matches!(a, Action::Send { .. }))
    );
    harness.advance(30 * MS);
    assert!(harness.sent_to(id).is_some());
}

/// If requests run long relative to the age of a load report, the load of a worker that many dispatchers share must be
/// probed more often than for short requests.
#[test]
fn long_run_times_shorten_the_probe_interval() {
    assert_eq!(probes_after_recent_load(50 * MS, 40), 0);
    assert!(probes_after_recent_load(SEC, 40) > 0);
    assert_eq!(
        probes_after_recent_load(SEC, 2),
        0,
        "own requests show most of the load"
    );
}

fn count_probes(actions: &[Action]) -> usize {
    let is_probe = |action: &&Action| matches!(action, Action::Probe { .. });
    actions.iter().filter(is_probe).count()
}

/// Number of probes for a request that arrives 0.7 s after the last load reports, once run times of `run` have been
/// observed.
fn probes_after_recent_load(run: Time, dispatchers: u32) -> usize {
    let mut settings = Settings {
        dispatchers,
        reports: Reports::OnProbe,
        ..settings()
    };
    settings.charges.probe = 0.0002;
    let mut harness = Harness::new(settings, &[entry(1, 0), entry(2, 0), entry(3, 0)]);
    let mut probes = 0;
    for _ in 0..40 {
        let (id, _) = harness.submit(0);
        probes += count_probes(&harness.actions);
        for worker in 1..4 {
            harness.probed(worker, load(0.0, 2.0));
            probes += count_probes(&harness.actions);
        }
        harness.advance(run);
        harness.start(id, 0);
        harness.advance(run);
        harness.end(id, 0, Status::Ok);
    }
    assert!(probes > 0);
    // From here on, the run time is known, and only the time since the last report matters.
    harness.submit(0);
    harness.advance(5 * SEC);
    harness.submit(0);
    for worker in 1..4 {
        harness.probed(worker, load(0.0, 2.0));
    }
    harness.advance(700 * MS);
    harness.submit(0);
    count_probes(&harness.actions)
}

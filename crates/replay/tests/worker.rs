//! The worker model: queue, slots, warm-up, stalls, cancellation, speed changes and fetches.

use indigofold_replay::object_store::{ObjectCache, ObjectStore};
use indigofold_replay::scenario::{Kind, Micros, Order};
use indigofold_replay::worker::{Event, Job, Offer, RunId, Worker};
use std::sync::{Arc, Mutex};

fn kind() -> Kind {
    Kind {
        name: "k".into(),
        count: 1,
        cores: 2,
        speed: [1.0, 1.0],
        queue_per_core: 2.0,
        initial_capacity: 0.25,
        warm_s: 8.0,
    }
}

fn job(run_id: RunId, work: Micros, slots: u32) -> Job {
    Job {
        run_id,
        work,
        slots,
        ..Job::default()
    }
}

fn events(w: &mut Worker, now: Micros) -> Vec<Event> {
    let mut out = Vec::new();
    w.step(now);
    w.take_events(&mut out);
    out
}

#[test]
fn the_head_of_the_queue_waits_until_it_fits() {
    let mut w = Worker::new(&kind(), 1.0);
    assert_eq!(w.offer(0, job(1, 100, 1)), Offer::Accepted);
    assert_eq!(w.offer(0, job(2, 100, 2)), Offer::Accepted);
    assert_eq!(w.offer(0, job(3, 100, 1)), Offer::Accepted);
    assert_eq!(
        events(&mut w, 0),
        [Event::Started(1)],
        "a slot stays free behind the large job"
    );
    assert_eq!(w.due(), Some(100));
    assert_eq!(events(&mut w, 100), [Event::Done(1), Event::Started(2)]);
    assert_eq!(events(&mut w, 200), [Event::Done(2), Event::Started(3)]);
    (0..4).for_each(|n| assert_eq!(w.offer(200, job(10 + n, 100, 2)), Offer::Accepted));
    assert_eq!(w.offer(200, job(20, 100, 1)), Offer::Full);
    w.drain();
    assert_eq!(w.offer(200, job(21, 100, 1)), Offer::Full);
    assert_eq!(
        events(&mut w, 200).len(),
        4,
        "the waiting jobs are returned"
    );
    w.crash();
    assert_eq!(events(&mut w, 250), [Event::Lost(3)]);
    assert!(!w.is_up() && w.due().is_none());
}

#[test]
fn overlapping_stalls_delay_runs_once() {
    let mut w = Worker::new(&kind(), 2.0);
    w.offer(0, job(1, 200, 1));
    w.stall(50, 150);
    w.stall(60, 140);
    w.offer(70, job(2, 200, 1));
    assert!(w.is_stalled(149));
    assert_eq!(
        events(&mut w, 149),
        [Event::Started(1)],
        "the second job waits for the end of the stall"
    );
    assert_eq!(w.due(), Some(150));
    assert_eq!(events(&mut w, 150), [Event::Started(2)]);
    assert_eq!(events(&mut w, 200), [Event::Done(1)]);
    assert_eq!(events(&mut w, 250), [Event::Done(2)]);
}

#[test]
fn a_new_process_warms_up_with_time_and_work() {
    let mut w = Worker::new(&kind(), 1.0);
    assert_eq!(w.capacity_fraction(0), 1.0);
    w.restart(1_000_000);
    assert_eq!(w.capacity_fraction(1_000_000), 0.25);
    w.offer(1_000_000, job(1, 1_000_000, 1));
    assert_eq!(
        w.due(),
        Some(2_000_000),
        "the first progress event is due before the end of the job"
    );
    assert!(events(&mut w, 2_000_000).contains(&Event::Progress(1, 250)));
    assert_eq!(w.capacity_fraction(5_000_000), 0.625);
    assert_eq!(w.capacity_fraction(9_000_000), 1.0);
    (3..6).for_each(|n| assert_eq!(events(&mut w, n * 1_000_000 + 1).len(), 1));
    assert!(
        w.capacity_fraction(3_000_000) > 0.6,
        "work done speeds up the warm-up"
    );
}

#[test]
fn each_order_selects_the_next_job_to_start() {
    let started = |order: Order| {
        let mut w = Worker::new(&kind(), 1.0).with_order_and_cache(order, None);
        w.offer(0, job(1, 100, 1));
        w.offer(0, job(2, 100, 2));
        w.offer(0, job(3, 100, 1));
        w.offer(
            0,
            Job {
                priority: 1,
                ..job(4, 100, 1)
            },
        );
        let mut order_of_starts = Vec::new();
        for now in [0, 100, 200, 300] {
            let began = events(&mut w, now).into_iter();
            order_of_starts.extend(began.filter_map(|e| {
                if let Event::Started(t) = e {
                    Some(t)
                } else {
                    None
                }
            }));
        }
        order_of_starts
    };
    assert_eq!(started(Order::InOrder), [1, 2, 3, 4]);
    assert_eq!(started(Order::WhateverFits), [1, 3, 2, 4]);
    assert_eq!(started(Order::Priority), [1, 4, 2, 3]);
}

#[test]
fn a_cancelled_run_stops_and_frees_its_slots() {
    let mut w = Worker::new(&kind(), 1.0);
    (1..=3).for_each(|n| _ = w.offer(0, job(n, 1000, 1)));
    events(&mut w, 0);
    w.cancel(100, 1);
    assert_eq!(events(&mut w, 100), [Event::Started(3)]);
    w.cancel(200, 9);
    assert_eq!(events(&mut w, 1000), [Event::Done(2)]);
    assert_eq!(
        events(&mut w, 1100),
        [Event::Done(3)],
        "the cancelled run 1 must not complete"
    );
}

#[test]
fn a_change_of_the_speed_factor_applies_to_running_jobs() {
    let mut w = Worker::new(&kind(), 2.0);
    w.offer(0, job(1, 4_000_000, 1));
    w.set_speed_factor(1_000_000, 0.25);
    assert_eq!(
        events(&mut w, 1_000_000),
        [Event::Started(1), Event::Progress(1, 500)]
    );
    w.set_speed_factor(3_000_000, 1.0);
    assert_eq!(w.capacity(3_000_000), 4.0);
    assert!(events(&mut w, 3_499_999).contains(&Event::Progress(1, 1000)));
    assert_eq!(events(&mut w, 3_500_000), [Event::Done(1)]);
}

#[test]
fn a_fetch_occupies_the_slot_without_progress() {
    let store = Arc::new(Mutex::new(ObjectStore::new(9.0)));
    let mut w = Worker::new(&kind(), 1.0)
        .with_order_and_cache(Order::InOrder, Some(ObjectCache::new(store, 4)));
    let job_with_object = |run_id, object| Job {
        object: Some((object, 500_000)),
        ..job(run_id, 1_000_000, 1)
    };
    let estimate = |w: &Worker, job: &Job| w.completion_estimate(0, job);
    assert_eq!(estimate(&w, &job_with_object(9, 7)), Some(1_500_000.0));
    w.offer(0, job_with_object(1, 7));
    assert_eq!(estimate(&w, &job_with_object(9, 7)), Some(1_000_000.0));
    assert_eq!(events(&mut w, 0), [Event::Started(1)]);
    assert_eq!(events(&mut w, 1_000_000), [Event::Progress(1, 500)]);
    assert_eq!(events(&mut w, 1_500_000), [Event::Done(1)]);
    w.offer(2_000_000, job_with_object(2, 7));
    assert_eq!(
        w.due(),
        Some(3_000_000),
        "the cached object needs no fetch: only the progress event is due"
    );
}

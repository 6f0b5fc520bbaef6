//! What the schedulers make of trouble that is no failure of a process: standing tasks, full workers, saved progress.

use indigofold_system_tests::cluster::{Cluster, JOB_TIME};
use indigofold_system_tests::configuration::{BATCH, QUICK};
use indigofold_system_tests::http::Call;
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::programs;
use indigofold_system_tests::system::Shape;
use indigofold_system_tests::wire::How;
use indigofold_system_tests::world::Event;
use rstest::rstest;
use std::time::Duration;

#[rstest]
fn a_task_that_stands_still_is_started_anew() {
    let cluster = Cluster::start(programs!(), Shape::default());
    let handed = cluster.submit(QUICK, &Job::new(vec![Step::new(2, 300).first_hangs()]));
    cluster.expect_completed(&handed);
    assert_eq!(
        cluster
            .world
            .read(|record| record.count_ends(&handed.id, How::Stopped)),
        2
    );
    cluster.finish();
}

/// Workers full of long tasks make room for a queue that goes first; what gave way is done in the end.
#[rstest]
fn an_urgent_job_does_not_wait_for_long_ones() {
    let cluster = Cluster::start(
        programs!(),
        Shape {
            sides: 2,
            ..Shape::default()
        },
    );
    let long = cluster.submit(
        BATCH,
        &Job::new(vec![Step::new(8, 8_000).cpu(1_000).checkpoints()]),
    );
    let full = cluster.world.until("full workers", JOB_TIME, |record| {
        (record.starts(&long.id).count() == 8).then_some(())
    });
    full.expect("full workers");
    let urgent = cluster.submit(QUICK, &Job::new(vec![Step::new(2, 200).cpu(1_000)]));
    cluster.expect_completed(&urgent);
    let done = cluster
        .world
        .read(|record| record.count_ends(&long.id, How::Done));
    assert_eq!(done, 0, "the urgent job has waited");
    cluster.finish();
}

#[rstest]
fn saved_progress_is_carried_on() {
    let cluster = Cluster::start(programs!(), Shape::default());
    let handed = cluster.submit(QUICK, &Job::new(vec![Step::new(1, 4_000).checkpoints()]));
    let worker = cluster.wait_started(&handed);
    let started = cluster.world.now();
    let saved = cluster.world.until("saved progress", JOB_TIME, |_| {
        (cluster.world.now() > started + cluster.world.bounds().save * 2).then_some(())
    });
    saved.expect("saved progress");
    cluster.workers[worker].restart();
    cluster.expect_completed(&handed);
    let carried = cluster.world.read(|record| {
        let events = record.entries.iter().map(|entry| &entry.event);
        let starts = events
            .filter(|event| matches!(event, Event::Started { saved, .. } if !saved.is_empty()));
        starts.count()
    });
    assert_eq!(carried, 1);
    cluster.finish();
}

/// More ends than one heartbeat may carry come together while the companion stands still.
#[rstest]
fn hundreds_of_ends_at_once_are_all_taken_note_of() {
    let mut cluster = Cluster::start(
        programs!(),
        Shape {
            sides: 1,
            ..Shape::default()
        },
    );
    let mut step = Step::new(700, 1_500).cpu(5);
    step.mem_mb = 1;
    let handed = cluster.submit(QUICK, &Job::new(vec![step, Step::new(1, 50).after(&[0])]));
    let begun = cluster.world.until("all tasks", JOB_TIME, |record| {
        (record.starts(&handed.id).count() == 700).then_some(())
    });
    begun.expect("all tasks");
    let side = cluster.system.sides()[0];
    cluster.system.freeze(side).expect("frozen");
    let ended = cluster.world.until("all ends", JOB_TIME, |record| {
        (record.ends(&handed.id).count() == 700).then_some(())
    });
    ended.expect("all ends");
    cluster.system.thaw(side).expect("thawed");
    cluster.expect_completed(&handed);
    cluster.finish();
}

#[rstest]
fn copies_of_tasks_that_may_have_them_do_no_harm() {
    let cluster = Cluster::start(programs!(), Shape::default());
    let mut step = Step::new(6, 400).first_hangs();
    step.speculative = true;
    let handed = cluster.submit(QUICK, &Job::new(vec![step]));
    cluster.expect_completed(&handed);
    cluster.finish();
}

/// A job that fits nowhere keeps nobody else from running, and runs once a worker comes for it.
#[rstest]
fn a_job_without_a_place_waits_alone() {
    let cluster = Cluster::start(programs!(), Shape::default());
    let nowhere = Job::new(vec![Step::new(2, 100).cpu(64_000).gang()]);
    let waiting = cluster.submit(QUICK, &nowhere);
    let others: Vec<_> = (0..5)
        .map(|_| cluster.submit(BATCH, &Job::new(vec![Step::new(4, 100)])))
        .collect();
    others.iter().for_each(|job| cluster.expect_completed(job));
    let pending = cluster
        .client
        .call(&Call::new("GET", QUICK))
        .expect("an answer");
    assert_eq!(pending.json()["pending"], 1);
    cluster.client.cancel(&waiting).expect("cancelled");
    cluster.finish();
}

/// Times that overlap run beside each other, each when it is due.
#[rstest]
fn overlapping_times_each_start_when_due() {
    let cluster = Cluster::start(programs!(), Shape::default());
    let times = Job::new(vec![Step::new(1, 1_200)]);
    let times = times.repeated(4, Duration::from_millis(600), Duration::from_millis(300));
    let handed = cluster.submit(QUICK, &times);
    cluster.expect_completed(&handed);
    let together = cluster.world.read(|record| {
        let (mut present, mut most) = (0, 0);
        for entry in &record.entries {
            match entry.event {
                Event::Started { .. } => present += 1,
                Event::Ended { .. } => present -= 1,
                _ => {}
            }
            most = most.max(present);
        }
        most
    });
    assert!(together >= 2, "the times ran one after another");
    cluster.finish();
}

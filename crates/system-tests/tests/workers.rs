//! Trouble beside and on the workers: companions killed, workers crashed and drained, edges killed.

use indigofold_system_tests::checks::Excuses;
use indigofold_system_tests::cluster::{Cluster, JOB_TIME};
use indigofold_system_tests::configuration::QUICK;
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::programs;
use indigofold_system_tests::system::Shape;
use indigofold_system_tests::wire::How;
use indigofold_system_tests::world::Event;
use rstest::rstest;
use std::time::Duration;

#[rstest]
fn a_companion_killed_while_a_task_runs_costs_nothing() {
    let mut cluster = Cluster::start(programs!(), Shape::default());
    let handed = cluster.submit(QUICK, &Job::single(1_500));
    let side = cluster.system.sides()[cluster.wait_started(&handed)];
    cluster.system.kill(side);
    cluster.start_machine(side);
    cluster.expect_completed(&handed);
    assert_eq!(
        cluster
            .world
            .read(|record| record.starts(&handed.id).count()),
        1
    );
    cluster.finish();
}

#[rstest]
fn a_companion_that_stays_away_has_its_task_run_elsewhere() {
    let mut cluster = Cluster::start(programs!(), Shape::default());
    let handed = cluster.submit(QUICK, &Job::single(4_000));
    let side = cluster.system.sides()[cluster.wait_started(&handed)];
    cluster.system.kill(side);
    cluster.expect_completed(&handed);
    cluster.finish();
}

#[rstest]
fn a_crashed_worker_returns_under_a_new_id_and_the_job_completes() {
    let cluster = Cluster::start(programs!(), Shape::default());
    let handed = cluster.submit(QUICK, &Job::new(vec![Step::new(3, 1_000).checkpoints()]));
    let worker = cluster.wait_started(&handed);
    cluster.workers[worker].restart();
    cluster.expect_completed(&handed);
    cluster.finish();
}

#[rstest]
fn a_gang_goes_on_after_a_member_s_worker_has_crashed() {
    let mut cluster = Cluster::start(programs!(), Shape::default());
    let handed = cluster.submit(
        QUICK,
        &Job::new(vec![
            Step::new(2, 1_500).gang().checkpoints().anti_affinity(1),
        ]),
    );
    let begun = cluster.world.until("both members", JOB_TIME, |record| {
        (record.starts(&handed.id).count() == 2).then_some(())
    });
    begun.expect("both members");
    let worker = cluster.wait_started(&handed);
    cluster.excuse(Excuses {
        gangs: true,
        ..Excuses::default()
    });
    cluster.workers[worker].restart();
    cluster.expect_completed(&handed);
    cluster.finish();
}

#[rstest]
fn a_worker_that_crashes_and_stays_away_is_replaced_by_the_others() {
    let cluster = Cluster::start(programs!(), Shape::default());
    let handed = cluster.submit(QUICK, &Job::new(vec![Step::new(4, 800)]));
    let worker = cluster.wait_started(&handed);
    cluster.workers[worker].crash();
    cluster.expect_completed(&handed);
    cluster.finish();
}

#[rstest]
fn a_drained_worker_gets_nothing_new_and_its_job_completes() {
    let cluster = Cluster::start(programs!(), Shape::default());
    let long = cluster.submit(QUICK, &Job::new(vec![Step::new(2, 6_000).checkpoints()]));
    let worker = &cluster.workers[cluster.wait_started(&long)];
    let life = worker.life().expect("a life");
    worker.drain(Duration::from_millis(3_000));
    let acknowledged = cluster
        .world
        .until("a draining worker", JOB_TIME, |record| {
            let mut events = record.entries.iter().map(|entry| &entry.event);
            events
                .any(|event| matches!(event, Event::DrainAcknowledged { .. }))
                .then_some(record.entries.len())
        });
    let seen = acknowledged.expect("an acknowledgement");
    let short: Vec<_> = (0..4)
        .map(|_| cluster.submit(QUICK, &Job::new(vec![Step::new(3, 100)])))
        .collect();
    short.iter().for_each(|job| cluster.expect_completed(job));
    cluster.expect_completed(&long);
    let left = cluster
        .world
        .until("the worker's leaving", JOB_TIME, |record| {
            let mut events = record.entries.iter().map(|entry| &entry.event);
            events
                .any(|event| matches!(event, Event::LifeOver { life: gone } if *gone == life))
                .then_some(())
        });
    left.expect("a worker that has left");
    // What was on its way when the draining was acknowledged may still start; the jobs handed in afterwards may not.
    cluster.world.read(|record| {
        for job in &short {
            assert!(
                record.starts(&job.id).all(|(place, _)| place != life),
                "a start on the draining worker"
            );
        }
        assert!(seen < record.entries.len());
    });
    cluster.finish();
}

#[rstest]
fn a_worker_that_leaves_idle_is_forgotten_and_another_takes_its_place() {
    let cluster = Cluster::start(
        programs!(),
        Shape {
            sides: 1,
            ..Shape::default()
        },
    );
    let first = cluster.submit(QUICK, &Job::single(100));
    cluster.expect_completed(&first);
    let worker = &cluster.workers[0];
    let life = worker.life().expect("a life");
    worker.drain(Duration::from_millis(2_000));
    cluster
        .world
        .signal()
        .until("the worker's leaving", JOB_TIME, || {
            (!cluster.world.is_up(life)).then_some(())
        })
        .expect("gone");
    let second = cluster.submit(QUICK, &Job::single(100));
    worker.restart();
    cluster.expect_completed(&second);
    cluster.finish();
}

#[rstest]
fn a_frozen_companion_s_work_is_not_done_twice() {
    let mut cluster = Cluster::start(programs!(), Shape::default());
    let handed = cluster.submit(QUICK, &Job::new(vec![Step::new(3, 2_000)]));
    let side = cluster.system.sides()[cluster.wait_started(&handed)];
    cluster.system.freeze(side).expect("frozen");
    let lapsed = cluster
        .world
        .until("the end of the hold", JOB_TIME, |record| {
            let ends = record
                .ends(&handed.id)
                .filter(|(_, _, how)| matches!(how, How::Lapsed | How::Done));
            (ends.count() == 3).then_some(())
        });
    lapsed.expect("ends");
    cluster.system.thaw(side).expect("thawed");
    cluster.expect_completed(&handed);
    cluster.finish();
}

#[rstest]
fn an_edge_killed_under_load_loses_no_accepted_job() {
    let mut cluster = Cluster::start(programs!(), Shape::default());
    let edge = cluster.system.edges()[0];
    let (client, queue) = (cluster.client.clone(), cluster.queue(QUICK));
    let submitting = std::thread::spawn(move || {
        for _ in 0..30 {
            client
                .submit(&queue, &Job::single(50))
                .expect("an accepted job");
        }
    });
    let some = cluster.world.until("some jobs", JOB_TIME, |record| {
        (record.jobs.len() >= 10).then_some(())
    });
    some.expect("some jobs");
    cluster.system.kill(edge);
    submitting.join().expect("all jobs");
    cluster.start_machine(edge);
    cluster.wait_edge(edge);
    cluster.finish();
}

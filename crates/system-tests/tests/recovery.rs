//! What was acknowledged outlasts whatever the pages allow to happen to the core.

use indigofold_system_tests::cluster::{Cluster, JOB_TIME, START_TIME};
use indigofold_system_tests::configuration::{BATCH, Configuration, PLANNING, QUICK, Queue};
use indigofold_system_tests::http::{Answer, HttpError};
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::operator::{Operator, put_call};
use indigofold_system_tests::programs;
use indigofold_system_tests::random;
use indigofold_system_tests::system::Shape;
use indigofold_system_tests::wire::How;
use indigofold_system_tests::world::JobState;
use rstest::rstest;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicU64, Ordering};

/// Versions that an operator puts in force one after another.
const VERSIONS: u64 = 24;

fn steps() -> Job {
    Job::new(vec![
        Step::new(3, 600).checkpoints(),
        Step::new(2, 300).after(&[0]),
    ])
}

/// A change that adds one queue.
fn addition(version: u64) -> Value {
    let queue = Queue::new(&format!("/v{version}/"), PLANNING, 1);
    json!({"version": version, "upsert": {"routes": [queue.to_json()]}})
}

/// All lose power, and one member its disk, right after an acknowledgement.
#[rstest]
#[case::of_the_head(true)]
#[case::of_another_member(false)]
fn a_core_that_lost_power_and_one_disk_keeps_all(#[case] wipes_head: bool) {
    let mut cluster = Cluster::start(programs!(), Shape::default());
    let head = cluster.head();
    let cores = cluster.system.cores();
    let wiped = cores
        .iter()
        .copied()
        .find(|core| (*core == head) == wipes_head)
        .expect("a member");
    let handed = cluster.submit(QUICK, &steps());
    assert_eq!(
        cluster
            .operator
            .patch(&addition(2), 1)
            .expect("an answer")
            .status,
        200
    );
    cores.iter().for_each(|core| cluster.system.kill(*core));
    cluster.system.wipe(wiped).expect("an empty disk");
    cores.iter().for_each(|core| cluster.start_machine(*core));
    assert_eq!(
        cluster.operator.read().expect("the configuration")["version"],
        2
    );
    cluster.expect_completed(&handed);
    cluster.finish();
}

/// Each acknowledgement is followed by the loss of the whole core.
#[rstest]
fn every_acknowledged_configuration_outlasts_the_core() {
    let mut cluster = Cluster::start(
        programs!(),
        Shape {
            sides: 1,
            ..Shape::default()
        },
    );
    for version in 2..=4 {
        assert_eq!(
            cluster
                .operator
                .patch(&addition(version), version - 1)
                .expect("an answer")
                .status,
            200
        );
        cluster.restart_core();
        assert_eq!(
            cluster.operator.read().expect("the configuration")["version"],
            version
        );
    }
    cluster.check();
}

/// An operator puts one version after another in force while heads are killed.
fn put_versions(operator: &Operator, acknowledged: &AtomicU64) {
    for version in 2..=VERSIONS {
        let answer = operator
            .patch(&addition(version), version - 1)
            .expect("an answer");
        assert_eq!(answer.status, 200, "version {version}: {}", answer.json());
        acknowledged.store(version, Ordering::Release);
    }
}

#[rstest]
fn orders_are_taken_once_each_while_heads_are_killed() {
    let mut cluster = Cluster::start(
        programs!(),
        Shape {
            sides: 1,
            ..Shape::default()
        },
    );
    let (operator, acknowledged) = (cluster.operator.clone(), AtomicU64::new(1));
    std::thread::scope(|scope| {
        scope.spawn(|| put_versions(&operator, &acknowledged));
        for reached in [4, 10, 16] {
            let enough = || (acknowledged.load(Ordering::Acquire) >= reached).then_some(());
            cluster
                .world
                .signal()
                .until("acknowledged versions", JOB_TIME, enough)
                .expect("versions");
            let head = cluster.head();
            cluster.system.kill(head);
            cluster.start_machine(head);
        }
    });
    let read = cluster.operator.read().expect("the configuration");
    assert_eq!(read["version"], VERSIONS);
    assert_eq!(
        read["routes"].as_array().map(Vec::len),
        Some(3 + VERSIONS as usize - 1)
    );
    cluster.check();
}

fn hand_in(cluster: &Cluster) -> Result<Answer, HttpError> {
    let queue = cluster.queue(QUICK);
    let handed = indigofold_system_tests::client::Handed {
        id: random::job_id(),
        queue,
    };
    cluster
        .client
        .hand_in(cluster.client.edges()[0], &handed, &Job::single(50))
}

#[rstest]
fn without_a_majority_nothing_is_accepted_and_nothing_is_lost() {
    let mut cluster = Cluster::start(programs!(), Shape::default());
    let before = cluster.submit(QUICK, &steps());
    let cores = cluster.system.cores();
    let (gone, _) = cores.split_at(2);
    gone.iter().for_each(|core| cluster.system.kill(*core));
    let refused = cluster.world.signal().until("refusals", START_TIME, || {
        let answer = hand_in(&cluster).expect("an answer");
        assert!(!answer.is_success(), "accepted by a minority");
        (answer.status == 503 && answer.header("retry-after").is_some()).then_some(())
    });
    refused.expect("refusals");
    gone.iter().for_each(|core| cluster.start_machine(*core));
    cluster.expect_completed(&before);
    let after = cluster.submit(QUICK, &steps());
    cluster.expect_completed(&after);
    cluster.finish();
}

/// While the other members stand still, the head still has its lease: it may not acknowledge what it alone has on disk.
#[rstest]
fn what_only_the_head_has_on_disk_is_not_acknowledged() {
    let mut cluster = Cluster::start(
        programs!(),
        Shape {
            sides: 1,
            ..Shape::default()
        },
    );
    let head = cluster.head();
    let address = cluster.system.control_plane(head);
    let others: Vec<_> = cluster
        .system
        .cores()
        .into_iter()
        .filter(|core| *core != head)
        .collect();
    others
        .iter()
        .for_each(|core| cluster.system.freeze(*core).expect("frozen"));
    let order = put_call(&Configuration::standard(2).to_json(), 1);
    let ordered = cluster.operator.ask(address, &order);
    assert!(
        !ordered.is_ok_and(|answer| answer.is_success()),
        "the order was acknowledged"
    );
    assert!(
        !hand_in(&cluster).is_ok_and(|answer| answer.is_success()),
        "the job was accepted"
    );
    cluster.system.kill(head);
    cluster.system.wipe(head).expect("an empty disk");
    others
        .iter()
        .for_each(|core| cluster.system.thaw(*core).expect("thawed"));
    cluster.start_machine(head);
    // An order without an answer may be in force or not.
    let version = cluster.operator.read().expect("the configuration")["version"].clone();
    assert!(version == 1 || version == 2, "{version}");
    let job = cluster.submit(QUICK, &steps());
    cluster.expect_completed(&job);
    cluster.finish();
}

#[rstest]
fn a_cancelled_job_stays_cancelled() {
    let mut cluster = Cluster::start(programs!(), Shape::default());
    let handed = cluster.submit(BATCH, &Job::new(vec![Step::new(3, 20_000)]));
    cluster.wait_started(&handed);
    cluster.client.cancel(&handed).expect("cancelled");
    let head = cluster.head();
    cluster.system.kill(head);
    assert_eq!(
        cluster.client.state(&handed).expect("a state"),
        Some(JobState::Cancelled)
    );
    let ended = cluster
        .world
        .until("the end of what ran", JOB_TIME, |record| {
            (record.starts(&handed.id).count() == record.ends(&handed.id).count()).then_some(())
        });
    ended.expect("an end");
    cluster.start_machine(head);
    cluster.restart_core();
    assert_eq!(
        cluster.client.state(&handed).expect("a state"),
        Some(JobState::Cancelled)
    );
    cluster.finish();
}

/// Companions hold on to what runs while there is no core, and ends wait for it.
#[rstest]
fn tasks_outlast_an_outage_of_the_core() {
    let mut cluster = Cluster::start(programs!(), Shape::default());
    let handed = cluster.submit(QUICK, &Job::new(vec![Step::new(4, 3_500)]));
    let begun = cluster.world.until("all tasks", JOB_TIME, |record| {
        (record.starts(&handed.id).count() == 4).then_some(())
    });
    begun.expect("all tasks");
    let cores = cluster.system.cores();
    cores.iter().for_each(|core| cluster.system.kill(*core));
    let done = cluster.world.until("ends", JOB_TIME, |record| {
        (record.ends(&handed.id).count() == 4).then(|| record.count_ends(&handed.id, How::Done))
    });
    assert_eq!(done.expect("ends"), 4);
    cores.iter().for_each(|core| cluster.start_machine(*core));
    cluster.expect_completed(&handed);
    assert_eq!(
        cluster
            .world
            .read(|record| record.starts(&handed.id).count()),
        4
    );
    cluster.finish();
}

#[rstest]
fn a_configuration_of_many_routes_is_taken_and_kept() {
    let mut cluster = Cluster::start(
        programs!(),
        Shape {
            sides: 1,
            ..Shape::default()
        },
    );
    let queues = (0..3_000).map(|number| Queue::new(&format!("/many/{number}/"), PLANNING, 1));
    let many = queues.fold(Configuration::standard(2), Configuration::with);
    assert_eq!(
        cluster.operator.put(&many, 1).expect("an answer").status,
        200
    );
    let head = cluster.head();
    cluster.system.kill(head);
    assert_eq!(
        cluster.operator.read().expect("the configuration"),
        many.to_json()
    );
    assert_eq!(
        cluster
            .operator
            .patch(&addition(3), 2)
            .expect("an answer")
            .status,
        200
    );
    cluster.check();
}

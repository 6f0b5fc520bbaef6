//! Acknowledged state survives all faults of the core that the documentation requires it to survive.

use indigofold_system_tests::client::SubmittedJob;
use indigofold_system_tests::cluster::{Cluster, JOB_TIMEOUT, START_TIMEOUT};
use indigofold_system_tests::configuration::{BATCH, Configuration, PLANNING, QUICK, Queue};
use indigofold_system_tests::environment::JobState;
use indigofold_system_tests::http::{HttpError, Response};
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::operator::{Operator, put_request};
use indigofold_system_tests::programs;
use indigofold_system_tests::system::MachineCounts;
use indigofold_system_tests::wire::EndReason;
use rstest::rstest;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicU64, Ordering};

/// The last version that an operator applies.
const VERSIONS: u64 = 24;

fn two_step_job() -> Job {
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

/// All members lose power, and one also its disk, right after an acknowledgement.
#[rstest]
#[case::of_the_head(true)]
#[case::of_another_member(false)]
fn a_core_that_lost_power_and_one_disk_keeps_all_state(#[case] wipes_head: bool) {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let head = cluster.head();
    let cores = cluster.system.cores();
    let wiped = cores
        .iter()
        .copied()
        .find(|core| (*core == head) == wipes_head)
        .expect("the core should have such a member");
    let submitted = cluster.submit(QUICK, &two_step_job());
    cluster.patch(&addition(2), 1);
    cluster.kill_machines(&cores);
    cluster
        .system
        .wipe(wiped)
        .expect("the disk should be emptied");
    cluster.start_machines(&cores);
    assert_eq!(cluster.read_configuration()["version"], 2);
    cluster.expect_completed(&submitted);
    cluster.finish();
}

/// All members are killed after each acknowledgement.
#[rstest]
fn every_acknowledged_configuration_survives_a_core_restart() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::with_sides(1));
    for version in 2..=4 {
        cluster.patch(&addition(version), version - 1);
        cluster.restart_core();
        assert_eq!(cluster.read_configuration()["version"], version);
    }
    cluster.check();
}

/// Applies one version after another as an operator, and stores the newest acknowledged one in `acknowledged`.
fn put_versions(operator: &Operator, acknowledged: &AtomicU64) {
    for version in 2..=VERSIONS {
        let response = operator
            .patch(&addition(version), version - 1)
            .expect("the request should get a response");
        assert_eq!(
            response.status,
            200,
            "version {version} should be accepted: {}",
            response.json()
        );
        acknowledged.store(version, Ordering::Release);
    }
}

#[rstest]
fn each_version_is_accepted_once_while_heads_are_killed() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::with_sides(1));
    let (operator, acknowledged) = (cluster.operator.clone(), AtomicU64::new(1));
    std::thread::scope(|scope| {
        scope.spawn(|| put_versions(&operator, &acknowledged));
        for reached in [4, 10, 16] {
            let enough = || (acknowledged.load(Ordering::Acquire) >= reached).then_some(());
            cluster.wait_for("acknowledged versions", JOB_TIMEOUT, enough);
            let head = cluster.head();
            cluster.system.kill(head);
            cluster.start_machine(head);
        }
    });
    let read = cluster.read_configuration();
    assert_eq!(read["version"], VERSIONS);
    assert_eq!(
        read["routes"].as_array().map(Vec::len),
        Some(3 + VERSIONS as usize - 1)
    );
    cluster.check();
}

/// Sends one request to submit a new job.
fn submit_new(cluster: &Cluster) -> Result<Response, HttpError> {
    let (submitted, client) = (SubmittedJob::new(&cluster.queue(QUICK)), &cluster.client);
    client.submit_once(client.edges()[0], &submitted, &Job::single(50))
}

#[rstest]
fn without_a_majority_nothing_is_accepted_and_nothing_is_lost() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let before = cluster.submit(QUICK, &two_step_job());
    let cores = cluster.system.cores();
    let (killed, _) = cores.split_at(2);
    cluster.kill_machines(killed);
    cluster.wait_for("refusals", START_TIMEOUT, || {
        let response = submit_new(&cluster).expect("the request should get a response");
        assert!(
            !response.is_success(),
            "a job was accepted without a majority"
        );
        (response.status == 503 && response.header("retry-after").is_some()).then_some(())
    });
    cluster.start_machines(killed);
    cluster.expect_completed(&before);
    let after = cluster.submit(QUICK, &two_step_job());
    cluster.expect_completed(&after);
    cluster.finish();
}

/// While the other members are frozen, the head still has its lease. It must not acknowledge a write that only its own
/// disk has.
#[rstest]
fn a_write_only_on_the_head_s_disk_is_not_acknowledged() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::with_sides(1));
    let head = cluster.head();
    let address = cluster.system.control_plane(head);
    let others: Vec<_> = cluster.other_cores(head);
    cluster.freeze_machines(&others);
    let put = put_request(&Configuration::standard(2).to_json(), 1);
    let response = cluster.operator.request_once(address, &put);
    assert!(
        !response.is_ok_and(|response| response.is_success()),
        "the put was acknowledged"
    );
    assert!(
        !submit_new(&cluster).is_ok_and(|response| response.is_success()),
        "the job was accepted"
    );
    cluster.kill_and_wipe(head);
    cluster.thaw_machines(&others);
    cluster.start_machine(head);
    // A put without a response may or may not have taken effect.
    let version = cluster.read_configuration()["version"].clone();
    assert!(
        version == 1 || version == 2,
        "version {version}, expected 1 or 2"
    );
    let job = cluster.submit(QUICK, &two_step_job());
    cluster.expect_completed(&job);
    cluster.finish();
}

#[rstest]
fn a_cancelled_job_stays_cancelled() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let submitted = cluster.submit(BATCH, &Job::new(vec![Step::new(3, 20_000)]));
    cluster.wait_started(&submitted);
    cluster
        .client
        .cancel(&submitted)
        .expect("the cancellation should be acknowledged");
    let head = cluster.head();
    cluster.system.kill(head);
    assert_eq!(cluster.state(&submitted), Some(JobState::Cancelled));
    cluster.wait_for_record("the ends of the cancelled job's runs", |record| {
        (record.count_starts(&submitted.id) == record.ends(&submitted.id).count()).then_some(())
    });
    cluster.start_machine(head);
    cluster.restart_core();
    assert_eq!(cluster.state(&submitted), Some(JobState::Cancelled));
    cluster.finish();
}

/// While the core is down, node agents extend the run leases; the ends of runs are reported once the core is back.
#[rstest]
fn tasks_survive_an_outage_of_the_core() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let submitted = cluster.submit(QUICK, &Job::new(vec![Step::new(4, 3_500)]));
    cluster.wait_starts(&submitted, 4);
    let cores = cluster.system.cores();
    cluster.kill_machines(&cores);
    let done = cluster.wait_for_record("ends", |record| {
        (record.ends(&submitted.id).count() == 4)
            .then(|| record.count_ends(&submitted.id, EndReason::Done))
    });
    assert_eq!(done, 4);
    cluster.start_machines(&cores);
    cluster.expect_completed(&submitted);
    assert_eq!(cluster.count_starts(&submitted), 4);
    cluster.finish();
}

#[rstest]
fn a_configuration_of_many_routes_is_accepted_and_kept() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::with_sides(1));
    let queues = (0..3_000).map(|number| Queue::new(&format!("/many/{number}/"), PLANNING, 1));
    let many = queues.fold(Configuration::standard(2), Configuration::with);
    cluster.put(&many, 1);
    let head = cluster.head();
    cluster.system.kill(head);
    assert_eq!(cluster.read_configuration(), many.to_json());
    cluster.patch(&addition(3), 2);
    cluster.check();
}

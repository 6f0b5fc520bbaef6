//! Heartbeats that the network holds back for seconds: they arrive when the instance that sent them has crashed and the
//! worker's next instance runs.

use indigofold_system_tests::client::SubmittedJob;
use indigofold_system_tests::cluster::{Cluster, START_TIMEOUT};
use indigofold_system_tests::configuration::QUICK;
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::programs;
use indigofold_system_tests::system::MachineCounts;
use indigofold_system_tests::worker::DelayedHeartbeat;
use rstest::rstest;

/// Index of the worker whose heartbeats are late.
const WORKER: usize = 0;
/// Number of tasks; each worker gets some.
const TASKS: u32 = 6;
/// Time that each task works; its run must go on when the late heartbeat arrives.
const WORK_MS: u64 = 5_000;

/// Submits a job of which some tasks start on the worker, and waits for these starts.
fn start_job_on_worker(cluster: &Cluster) -> SubmittedJob {
    let submitted = cluster.submit(QUICK, &Job::new(vec![Step::new(TASKS, WORK_MS)]));
    let instance = cluster.workers[WORKER]
        .instance()
        .expect("the worker should have an instance");
    cluster.wait_for_record("a start on the worker", |record| {
        let mut starts = record.starts(&submitted.id);
        starts.any(|start| start.instance == instance).then_some(())
    });
    submitted
}

/// Waits until the worker's present instance is registered and gets work.
fn expect_worker_gets_work(cluster: &Cluster) {
    let only_there = Step::new(1, 100).requires(&format!("only-{WORKER}"));
    let submitted = cluster.submit(QUICK, &Job::new(vec![only_there]));
    cluster.expect_completed(&submitted);
}

/// Delivers the heartbeat, also if the node agent does not listen yet.
fn deliver(cluster: &Cluster, heartbeat: &DelayedHeartbeat) {
    let deliver = || {
        let response = heartbeat.deliver().ok()?;
        response.is_success().then_some(())
    };
    cluster.wait_for("the delivery of the late heartbeat", START_TIMEOUT, deliver);
}

/// Every task has run once, and the worker still gets work.
fn expect_undisturbed(cluster: Cluster, submitted: &SubmittedJob) {
    cluster.expect_completed(submitted);
    assert_eq!(
        cluster.count_starts(submitted),
        TASKS as usize,
        "starts of tasks"
    );
    expect_worker_gets_work(&cluster);
    cluster.finish();
}

/// Failure: the node agent took the late heartbeat for that of a newer instance and ended the running one. Its tasks
/// were started elsewhere beside their first runs, and the worker got no work any more.
#[rstest]
fn a_late_heartbeat_of_an_unknown_instance_does_not_end_the_running_one() {
    let cluster = Cluster::start(programs!(), MachineCounts::default());
    let late = cluster.workers[WORKER]
        .restart_twice()
        .expect("the crashed instance should have sent a heartbeat");
    expect_worker_gets_work(&cluster);
    let submitted = start_job_on_worker(&cluster);
    deliver(&cluster, &late);
    expect_undisturbed(cluster, &submitted);
}

/// Failure: as above; a node agent that was killed between two instances does not know the first one any more.
#[rstest]
fn a_late_heartbeat_after_a_restart_of_the_node_agent_does_not_end_the_running_instance() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    expect_worker_gets_work(&cluster);
    let late = cluster.workers[WORKER]
        .delay_heartbeat()
        .expect("the worker should have an instance");
    cluster.workers[WORKER].restart();
    expect_worker_gets_work(&cluster);
    let submitted = start_job_on_worker(&cluster);
    let side = cluster.system.sides()[WORKER];
    cluster.system.kill(side);
    cluster.start_machine(side);
    deliver(&cluster, &late);
    expect_undisturbed(cluster, &submitted);
}

//! Workers that send `DELETE` and serve on, while no head acts.

use indigofold_system_tests::cluster::Cluster;
use indigofold_system_tests::configuration::QUICK;
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::programs;
use indigofold_system_tests::system::MachineCounts;
use rstest::rstest;
use std::time::Duration;

/// Time that the task works.
const WORK_MS: u64 = 1_000;
/// Time from the start of the task until the head is frozen, shortly before the task is done.
const UNTIL_FROZEN: Duration = Duration::from_millis(900);
/// Time from the end until the worker leaves: its heartbeats have listed the end.
const UNTIL_DEREGISTERED: Duration = Duration::from_millis(300);
/// Time in which a task that counts as lost would be started again.
const UNTIL_RESTARTED: Duration = Duration::from_secs(3);

/// Failure: the node agent dropped the ends of an idle worker that sent `DELETE` while no head acted. The next head counted the
/// done run as lost and started the task again elsewhere, while the worker still served on.
#[rstest]
fn a_done_task_does_not_run_again_when_its_worker_leaves_without_a_head() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let submitted = cluster.submit(QUICK, &Job::new(vec![Step::new(1, WORK_MS)]));
    let worker = cluster.wait_started(&submitted);
    let signal = cluster.environment.signal();
    signal.sleep(UNTIL_FROZEN);
    let head = cluster.head();
    cluster.freeze_machines(&[head]);
    cluster.wait_for_record("the end of the run", |record| {
        (record.ends(&submitted.id).count() == 1).then_some(())
    });
    cluster.environment.signal().sleep(UNTIL_DEREGISTERED);
    let response = cluster.workers[worker].deregister_and_serve_on();
    let response = response.expect("the node agent should answer");
    assert!(response.is_some_and(|response| response.is_success()));

    cluster.expect_completed(&submitted);
    cluster.environment.signal().sleep(UNTIL_RESTARTED);
    cluster.thaw_machines(&[head]);
    assert_eq!(cluster.count_starts(&submitted), 1, "starts of the task");
    cluster.finish();
}

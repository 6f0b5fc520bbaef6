//! Long-running tasks, and finite tasks that take long.

mod cluster;

use cluster::{Cluster, spec, step};
use indigofold_protocol::job::Step;

/// A long-running task keeps its value as long as it runs. If it is lost, it must be restarted before later work of the
/// same priority.
#[test]
fn a_lost_long_running_task_restarts_before_later_work() {
    let mut cluster = Cluster::started(5);
    let long_running = cluster.submit(
        "vision",
        1,
        spec(vec![Step {
            long_running: true,
            ..step(1, 15_000, 400)
        }]),
    );
    cluster.run_for(30_000);
    let node = cluster
        .nodes
        .iter()
        .position(|node| node.used().cpu == 15_000)
        .expect("the long-running task runs on some node");
    for number in 0..30 {
        cluster.submit("vision", 100 + number, spec(vec![step(6, 15_000, 3_000)]));
    }
    cluster.run_for(500);
    let (now_ms, downtime_ms) = (cluster.now_ms, 500);
    cluster.nodes[node].crash(now_ms, downtime_ms);
    cluster.run_for(9_000);
    assert!(
        cluster.run_count(long_running) > 0,
        "the long-running task still waits behind later work"
    );
}

/// Run times differ far more between jobs of one class than between workers, so a single long task must not be
/// restarted elsewhere.
#[test]
fn a_long_task_is_not_taken_for_a_straggler() {
    let mut cluster = Cluster::started(6);
    for number in 0..10 {
        cluster.submit("quick", 100 + number, spec(vec![step(2, 240, 700)]));
        cluster.run_for(1_500);
    }
    cluster.submit("quick", 1, spec(vec![step(2, 240, 9_000)]));
    cluster.run_for(15_000);
    assert_eq!(cluster.stopped_core_ms, 0.0);
}

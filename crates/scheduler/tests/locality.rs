//! Placement of tasks that run faster on the rack of their data, when capacity is scarce.

mod cluster;

use cluster::{Cluster, spec, step};
use indigofold_protocol::job::Step;
use indigofold_protocol::task::JobId;

/// Number of the job's runs on the nodes of rack `r1-2`.
fn runs_on_other_rack(cluster: &Cluster, job: JobId) -> usize {
    cluster.nodes[2..4]
        .iter()
        .flat_map(|node| node.running.keys())
        .filter(|run| run.task.job == job)
        .count()
}

/// More tasks have their data on one rack than fit there, and tasks without data wait at the same priority. Capacity on
/// other racks goes to the latter, because remote tasks would occupy it for longer.
#[test]
fn capacity_goes_first_to_tasks_that_are_local_there() {
    let mut cluster = Cluster::started(1);
    cluster.submit("quick", 1, spec(vec![step(64, 1_000, 2_000)]));
    cluster.run_for(100);
    let affinity_step = Step {
        affinity: "r1-1".to_owned(),
        ..step(64, 1_000, 1_000)
    };
    let affinity_job = cluster.submit("quick", 2, spec(vec![affinity_step]));
    let plain_job = cluster.submit("quick", 3, spec(vec![step(64, 1_000, 1_000)]));
    let mut plain_runs = 0;
    for _ in 0..40 {
        cluster.run_for(100);
        let is_plain_waiting = cluster
            .history
            .keys()
            .filter(|task| task.job == plain_job)
            .count()
            < 64;
        if is_plain_waiting {
            assert_eq!(
                runs_on_other_rack(&cluster, affinity_job),
                0,
                "at {} ms",
                cluster.now_ms
            );
        }
        plain_runs = plain_runs.max(runs_on_other_rack(&cluster, plain_job));
    }
    assert!(plain_runs > 0);
}

/// Capacity that no other task of the same priority waits for is used by remote tasks after a while.
#[test]
fn unused_capacity_is_used_by_remote_tasks() {
    let mut cluster = Cluster::started(2);
    let affinity_step = Step {
        affinity: "r1-1".to_owned(),
        ..step(64, 1_000, 8_000)
    };
    let affinity_job = cluster.submit("quick", 1, spec(vec![affinity_step]));
    cluster.run_for(500);
    assert_eq!(runs_on_other_rack(&cluster, affinity_job), 0);
    cluster.run_for(1_500);
    assert_eq!(runs_on_other_rack(&cluster, affinity_job), 32);
}

//! Headroom: capacity that is left free for small urgent tasks.

mod cluster;

use cluster::{Cluster, spec, step};

/// CPU capacity in use on the workers of the service `s`, in thousandths of a core.
fn used_cpu(cluster: &Cluster) -> u64 {
    cluster.nodes[..4].iter().map(|node| node.used().cpu).sum()
}

/// Steps that need not start soon leave headroom while small urgent tasks keep coming, and use all capacity once none
/// has come for a while.
#[test]
fn work_with_slack_leaves_headroom_for_urgent_tasks() {
    let mut cluster = Cluster::started(11);
    cluster.submit("quick", 1, spec(vec![step(4, 240, 300)]));
    cluster.run_for(1_000);
    cluster.submit("bulk", 2, spec(vec![step(64, 1_000, 30_000)]));
    cluster.run_for(500);
    let total_cpu = 4 * 16_000;
    assert!(
        (total_cpu * 8 / 10..=total_cpu * 9 / 10).contains(&used_cpu(&cluster)),
        "{} of {total_cpu} are used",
        used_cpu(&cluster)
    );
    cluster.run_for(11_000);
    assert_eq!(
        used_cpu(&cluster),
        total_cpu,
        "the headroom must be used once no urgent task has come for 10 s"
    );
}

/// Without small urgent tasks all capacity is used at once.
#[test]
fn without_urgent_tasks_there_is_no_headroom() {
    let mut cluster = Cluster::started(12);
    cluster.submit("bulk", 2, spec(vec![step(64, 1_000, 30_000)]));
    cluster.run_for(500);
    assert_eq!(used_cpu(&cluster), 4 * 16_000);
}

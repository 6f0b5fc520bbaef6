//! Recovery after failovers of the head and disconnections of node agents, and how long ended jobs are kept.

mod cluster;

use cluster::{Cluster, EXPIRED_MS, spec, step};
use indigofold_protocol::internal::ClientOutcome;
use indigofold_protocol::job::JobState;

/// A head fails at any moment around the start of a job. If the job was accepted, the new head completes it.
#[test]
fn a_new_head_resends_lost_orders() {
    for delay_ms in 0..60 {
        let mut cluster = Cluster::new(delay_ms);
        cluster.fault_free = false;
        cluster.run_for(200);
        let id = cluster.submit("quick", 1, spec(vec![step(4, 240, 500)]));
        cluster.run_for(delay_ms);
        cluster.fail_over();
        cluster.run_for(3_000);
        if cluster.jobs[&id].accepted_ms.is_some() {
            assert_eq!(
                cluster.state_of(id),
                Some(JobState::Completed),
                "after {delay_ms} ms"
            );
        }
    }
}

/// Failure: start orders that reached node agents between two announcements of their head, that it did not act and that it acted
/// again, were dropped there, and were sent again 3 s later.
#[test]
fn orders_that_agents_dropped_while_their_head_did_not_act_are_sent_again_at_once() {
    for delay_ms in 0..60 {
        let mut cluster = Cluster::started(delay_ms);
        let id = cluster.submit("quick", 1, spec(vec![step(4, 240, 500)]));
        cluster.run_for(delay_ms);
        cluster.suspend_head();
        cluster.run_for(2_000);
        assert_eq!(
            cluster.state_of(id),
            Some(JobState::Completed),
            "after {delay_ms} ms"
        );
    }
}

/// A node agent is disconnected for so long that its run expires and the task is started elsewhere. A `done` that it
/// reports after the reconnection still counts.
#[test]
fn a_completion_reported_after_expiry_counts() {
    let mut cluster = Cluster::new(3);
    cluster.fault_free = false;
    cluster.run_for(200);
    let id = cluster.submit("bulk", 1, spec(vec![step(1, 500, 2_500)]));
    cluster.run_for(300);
    let node = cluster.busy_node();
    cluster.disconnect(node);
    cluster.run_for(EXPIRED_MS + 800);
    assert!(
        cluster
            .nodes
            .iter()
            .any(|node| node.connected && !node.running.is_empty()),
        "the task must be started on another worker"
    );
    cluster.connect(node);
    cluster.run_for(400);
    assert_eq!(cluster.state_of(id), Some(JobState::Completed));
}

/// If a node agent is disconnected for less than its lease time, its run is not started elsewhere.
#[test]
fn a_disconnection_shorter_than_the_lease_changes_nothing() {
    let mut cluster = Cluster::started(4);
    let id = cluster.submit("bulk", 1, spec(vec![step(1, 500, 9_000)]));
    cluster.run_for(300);
    let node = cluster.busy_node();
    cluster.disconnect(node);
    cluster.run_for(6_000);
    cluster.connect(node);
    cluster.run_for(4_000);
    assert_eq!(cluster.state_of(id), Some(JobState::Completed));
    assert!(cluster.history.values().all(|history| history.starts == 1));
}

/// The state of an ended job is available for `status_s`, also from a new head; then its rows are deleted.
#[test]
fn ended_jobs_are_kept_for_status_s_and_then_deleted() {
    let mut cluster = Cluster::started(5);
    let id = cluster.submit("quick", 1, spec(vec![step(2, 240, 100)]));
    cluster.run_for(1_000);
    cluster.fail_over();
    cluster.run_for(4_000);
    assert_eq!(cluster.state_of(id), Some(JobState::Completed));
    assert!(
        cluster.rows.keys().all(|key| !key.starts_with(b"job/")),
        "the definition of an ended job must be deleted"
    );
    cluster.run_for(40_000);
    cluster.replies.clear();
    cluster.get(id);
    assert_eq!(cluster.replies[0].outcome, ClientOutcome::NoSuchJob);
    cluster.run_for(100);
    let is_instance_row = |key: &&Vec<u8>| key.starts_with(b"life/");
    assert_eq!(
        cluster.rows.keys().filter(is_instance_row).count(),
        cluster.nodes.len(),
        "there must be one row per worker instance"
    );
    assert!(
        cluster.rows.keys().all(|key| is_instance_row(&key)),
        "all rows of the forgotten job must be deleted"
    );
}

/// The head, all node agents and all workers lose power together. From the rows a new head knows which machine an
/// instance was on, and concludes that it has ended once another instance registers there.
#[test]
fn instances_lost_with_the_head_end_when_others_register_there() {
    let mut cluster = Cluster::new(8);
    cluster.fault_free = false;
    cluster.run_for(200);
    let id = cluster.submit("quick", 1, spec(vec![step(4, 240, 1_500)]));
    cluster.run_for(300);
    let now_ms = cluster.now_ms;
    for node in &mut cluster.nodes {
        node.crash(now_ms, 400);
        (node.ended_instances, node.not_started) = (Vec::new(), Vec::new());
    }
    cluster.fail_over();
    cluster.run_for(4_000);
    assert_eq!(cluster.state_of(id), Some(JobState::Completed));
    let instance_count = cluster
        .rows
        .keys()
        .filter(|key| key.starts_with(b"life/"))
        .count();
    assert_eq!(
        instance_count,
        cluster.nodes.len(),
        "the rows of ended instances must be deleted"
    );
}

/// ID of the instance on which the task runs; `nodes` must include its node.
fn instance_of_task(cluster: &Cluster, nodes: &[usize], task: u32) -> String {
    let has_run = |node: &&usize| {
        let mut runs = cluster.nodes[**node].running.keys();
        runs.any(|run| run.task.index == task)
    };
    let node = nodes
        .iter()
        .find(has_run)
        .expect("the task runs on one of the nodes");
    cluster.nodes[*node].instance()
}

/// Rows written before speculative runs existed can still be read: a row without speculative runs still has exactly these
/// bytes, and a new head restores the job from it and completes it.
#[test]
fn rows_without_speculative_runs_are_read() {
    let mut cluster = Cluster::started(7);
    let id = cluster.submit("quick", 1, spec(vec![step(2, 240, 400)]));
    cluster.run_for(100);
    let key = format!("progress/{id}").into_bytes();
    let row = cluster.rows[&key].clone();
    let nodes: Vec<usize> = (0..4)
        .filter(|node| !cluster.nodes[*node].running.is_empty())
        .collect();
    let instances: Vec<String> = nodes
        .iter()
        .map(|node| cluster.nodes[*node].instance())
        .collect();
    let mut expected_row = vec![0, 1, instances.len() as u8];
    let instance_of = |task: u32| instance_of_task(&cluster, &nodes, task);
    let mut row_instances: Vec<String> = Vec::new();
    for instance in [instance_of(0), instance_of(1)] {
        if !row_instances.contains(&instance) {
            expected_row.push(instance.len() as u8);
            expected_row.extend(instance.bytes());
            row_instances.push(instance);
        }
    }
    expected_row.extend([1, 0, 1, 2, 0, 0, 2]);
    for task in 0..2 {
        let instance = row_instances
            .iter()
            .position(|row_instance| *row_instance == instance_of(task))
            .expect("the row names the instance") as u8;
        expected_row.extend([1, 0, 0, 0, 1, instance, 1]);
    }
    assert_eq!(
        row, expected_row,
        "the format of rows has changed: rows in the former format must still be readable"
    );
    cluster.fail_over();
    cluster.run_for(2_000);
    assert_eq!(cluster.state_of(id), Some(JobState::Completed));
}

/// Submitting the same ID again is accepted but does not start the job again, whether it is running or has ended.
#[test]
fn submission_is_idempotent() {
    let mut cluster = Cluster::started(6);
    let job = || spec(vec![step(2, 240, 100)]);
    cluster.submit("quick", 1, job());
    cluster.submit("quick", 1, job());
    cluster.run_for(1_000);
    cluster.submit("quick", 1, job());
    cluster.run_for(1_000);
    let accepted_count = cluster
        .replies
        .iter()
        .filter(|reply| reply.outcome == ClientOutcome::Accepted)
        .count();
    assert_eq!(accepted_count, 3);
    assert!(cluster.history.values().all(|history| history.starts == 1));
}

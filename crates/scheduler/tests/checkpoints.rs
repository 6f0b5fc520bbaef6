//! Checkpoints: a run resumes from the checkpoint that the former run of the task reported last, however that run
//! ended.

mod cluster;

use cluster::{Cluster, EXPIRED_MS, spec, step};
use indigofold_protocol::job::{JobState, Step};
use indigofold_protocol::task::JobId;

/// Progress that the current runs resumed from, in half seconds; 0 for a run that began from scratch.
fn resumed_half_seconds(cluster: &Cluster) -> Vec<u64> {
    let runs = cluster
        .nodes
        .iter()
        .filter(|node| node.connected)
        .flat_map(|node| node.running.values());
    runs.map(|run| {
        run.order
            .checkpoint
            .rsplit(':')
            .next()
            .and_then(|half_seconds| half_seconds.parse().ok())
            .unwrap_or(0)
    })
    .collect()
}

fn completes(cluster: &mut Cluster, id: JobId) {
    cluster.run_for(8_000);
    assert_eq!(cluster.state_of(id), Some(JobState::Completed));
}

fn checkpointed(count: u32, ms: u64) -> Step {
    Step {
        checkpoints: true,
        ..step(count, 500, ms)
    }
}

#[test]
fn an_expired_run_resumes_from_the_last_reported_checkpoint() {
    let mut cluster = Cluster::new(1);
    cluster.fault_free = false;
    cluster.run_for(200);
    let id = cluster.submit("bulk", 1, spec(vec![checkpointed(1, 60_000)]));
    cluster.run_for(5_000);
    let first_node = cluster.busy_nodes()[0];
    cluster.disconnect(first_node);
    cluster.run_for(EXPIRED_MS + 500);
    assert!(
        resumed_half_seconds(&cluster)[0] >= 6,
        "{:?}",
        resumed_half_seconds(&cluster)
    );
    cluster.cancel(id);
}

#[test]
fn a_crashed_run_resumes_from_the_last_reported_checkpoint() {
    let mut cluster = Cluster::started(2);
    let id = cluster.submit("bulk", 1, spec(vec![checkpointed(1, 6_000)]));
    cluster.run_for(4_000);
    let first_node = cluster.busy_nodes()[0];
    cluster.nodes[first_node].crash(cluster.now_ms, 500);
    cluster.run_for(400);
    assert!(
        resumed_half_seconds(&cluster)[0] >= 4,
        "{:?}",
        resumed_half_seconds(&cluster)
    );
    completes(&mut cluster, id);
}

/// The head and the workers are lost at the same moment: the tasks resume from the progress that was stored a few
/// seconds before.
#[test]
fn a_new_head_reads_checkpoints_from_the_rows() {
    for run_ms in [4_000, 4_700, 5_500, 7_300] {
        let mut cluster = Cluster::new(run_ms);
        cluster.fault_free = false;
        cluster.run_for(200);
        let id = cluster.submit("bulk", 1, spec(vec![checkpointed(2, 9_000)]));
        cluster.run_for(run_ms);
        cluster
            .busy_nodes()
            .into_iter()
            .for_each(|node| cluster.nodes[node].crash(cluster.now_ms, 500));
        cluster.fail_over();
        cluster.run_for(1_000);
        let min_half_seconds = (run_ms - 3_500) / 500;
        let resumed_from = resumed_half_seconds(&cluster);
        assert!(
            resumed_from.len() == 2
                && resumed_from
                    .iter()
                    .all(|half_seconds| *half_seconds >= min_half_seconds),
            "{resumed_from:?}"
        );
        cluster.cancel(id);
    }
}

/// All members of a gang resume from the newest checkpoint of any member. The simulated cluster checks at each start that
/// the checkpoint is the same for all members.
#[test]
fn a_gang_resumes_from_the_newest_checkpoint() {
    let mut cluster = Cluster::new(4);
    cluster.fault_free = false;
    cluster.run_for(200);
    let gang = Step {
        gang: true,
        gpu: 4,
        ..checkpointed(2, 8_000)
    };
    let id = cluster.submit("vision", 1, spec(vec![gang]));
    cluster.run_for(5_000);
    let first_node = cluster.busy_nodes()[0];
    cluster.nodes[first_node].crash(cluster.now_ms, 500);
    cluster.fail_over();
    cluster.run_for(1_500);
    let resumed_from = resumed_half_seconds(&cluster);
    assert!(
        resumed_from.len() == 2 && resumed_from.iter().all(|half_seconds| *half_seconds >= 4),
        "{resumed_from:?}"
    );
    completes(&mut cluster, id);
}

/// If the worker of one member drains, the whole gang is stopped and resumes elsewhere from its checkpoint.
#[test]
fn a_gang_moves_when_one_worker_is_draining() {
    let mut cluster = Cluster::started(5);
    let gang = Step {
        gang: true,
        gpu: 8,
        ..checkpointed(2, 9_000)
    };
    let id = cluster.submit("vision", 1, spec(vec![gang]));
    cluster.run_for(4_000);
    let first_node = cluster.busy_nodes()[0];
    cluster.nodes[first_node].drain_end_ms = Some(cluster.now_ms + 2_500);
    cluster.nodes[first_node].report_now = true;
    cluster.run_for(1_200);
    let resumed_from = resumed_half_seconds(&cluster);
    assert!(
        !cluster.nodes[first_node]
            .running
            .keys()
            .any(|run| run.task.job == id)
    );
    assert!(
        resumed_from.len() == 2 && resumed_from.iter().all(|half_seconds| *half_seconds >= 6),
        "{resumed_from:?}"
    );
    cluster.run_for(4_000);
    completes(&mut cluster, id);
}

/// Checkpoints are written in batches about every other second, whatever the number of jobs.
#[test]
fn checkpoint_writes_are_batched() {
    let mut cluster = Cluster::started(6);
    for number in 0..8 {
        cluster.submit("bulk", 1 + number, spec(vec![checkpointed(4, 60_000)]));
    }
    cluster.run_for(1_000);
    let writes_before = cluster.writes_made;
    cluster.run_for(20_000);
    let writes_made = cluster.writes_made - writes_before;
    assert!(
        (5..=13).contains(&writes_made),
        "{writes_made} writes in 20 s"
    );
}

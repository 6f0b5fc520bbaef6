//! Speculative runs: started if the first run puts the latency target at risk; the run that is done first counts.

mod cluster;

use cluster::{Cluster, spec, step};
use indigofold_protocol::job::{JobSpec, JobState, Step};

fn speculative(count: u32, ms: u64) -> JobSpec {
    spec(vec![Step {
        speculative: true,
        ..step(count, 240, ms)
    }])
}

fn is_completed(cluster: &mut Cluster, id: indigofold_protocol::task::JobId) -> bool {
    cluster.get(id);
    cluster.run_for(50);
    cluster.jobs[&id].state == Some(JobState::Completed)
}

#[test]
fn a_run_on_an_unresponsive_worker_gets_a_speculative_run() {
    let mut cluster = Cluster::started(1);
    let id = cluster.submit("quick", 1, speculative(1, 700));
    cluster.run_for(200);
    let first_node = cluster.busy_nodes()[0];
    cluster.disconnect(first_node);
    cluster.run_for(3_500);
    assert!(is_completed(&mut cluster, id));
    let task = *cluster.history.keys().next().expect("the task has run");
    assert_eq!(cluster.history[&task].starts, 2);
    cluster.connect(first_node);
    cluster.run_for(2_000);
    assert!(cluster.busy_nodes().is_empty());
    assert!(is_completed(&mut cluster, id));
}

#[test]
fn a_stalled_run_gets_a_speculative_run_on_another_worker() {
    let mut cluster = Cluster::started(2);
    cluster.nodes[1].hangs = true;
    let id = cluster.submit("quick", 1, speculative(12, 700));
    cluster.run_for(3_300);
    assert!(is_completed(&mut cluster, id));
    cluster.run_for(1_000);
    assert!(
        cluster.busy_nodes().is_empty(),
        "the run that was not needed any more must be stopped"
    );
}

#[test]
fn tasks_that_are_not_speculative_have_one_run_at_a_time() {
    let mut cluster = Cluster::started(1);
    cluster.submit("quick", 1, spec(vec![step(1, 240, 700)]));
    cluster.run_for(200);
    let first_node = cluster.busy_nodes()[0];
    cluster.disconnect(first_node);
    cluster.run_for(5_000);
    assert!(cluster.history.values().all(|history| history.starts == 1));
}

/// No speculative run is started as long as the latency target is not at risk, even if the worker is unresponsive.
#[test]
fn no_speculative_run_while_the_latency_target_can_be_met() {
    let mut cluster = Cluster::started(1);
    cluster.submit("bulk", 1, speculative(1, 6_000));
    cluster.run_for(200);
    let first_node = cluster.busy_nodes()[0];
    cluster.disconnect(first_node);
    cluster.run_for(2_000);
    cluster.connect(first_node);
    cluster.run_for(5_000);
    assert!(cluster.history.values().all(|history| history.starts == 1));
}

/// Both runs are stored in the job's row. Whenever the head fails, the new head knows both and stops the one that is
/// not needed any more.
#[test]
fn a_new_head_knows_both_runs() {
    for delay_ms in (0..3_000).step_by(100) {
        let mut cluster = Cluster::new(3);
        cluster.fault_free = false;
        cluster.run_for(200);
        let id = cluster.submit("quick", 1, speculative(2, 900));
        cluster.run_for(200);
        let first_node = cluster.busy_nodes()[0];
        cluster.disconnect(first_node);
        cluster.run_for(delay_ms);
        cluster.fail_over();
        cluster.run_for(300);
        cluster.connect(first_node);
        cluster.run_for(5_000);
        assert!(is_completed(&mut cluster, id), "after {delay_ms} ms");
        cluster.run_for(2_000);
        assert!(cluster.busy_nodes().is_empty(), "after {delay_ms} ms");
    }
}

#[test]
fn cancelling_stops_both_runs() {
    let mut cluster = Cluster::started(4);
    cluster.nodes[0].hangs = true;
    cluster.nodes[1].hangs = true;
    cluster.nodes[2].hangs = true;
    cluster.nodes[3].hangs = true;
    let id = cluster.submit("quick", 1, speculative(1, 700));
    cluster.run_for(2_500);
    assert_eq!(cluster.busy_nodes().len(), 2);
    cluster.cancel(id);
    cluster.run_for(500);
    assert!(cluster.busy_nodes().is_empty());
}

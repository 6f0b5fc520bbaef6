//! Workers reserved for gangs and large tasks: they are kept free only while there is a forecast of the step's start, and
//! never long from a task that runs until its job is cancelled.

mod cluster;

use cluster::node::Node;
use cluster::{Cluster, resources, spec, step};
use indigofold_protocol::job::{JobState, Step};
use indigofold_protocol::task::JobId;
use rstest::rstest;

/// Capacity of each worker, in thousandths of a core.
const WORKER_CPU: u64 = 16_000;
/// Maximum time from the submission of a task for which there is capacity to its start, if no reservation is to keep it
/// waiting.
const START_MS: u64 = 500;
/// Maximum time that a long-running task for which there is capacity may wait, whatever is reserved.
const LONG_RUNNING_START_MS: u64 = 3_000;

/// A cluster of equal workers of one service, which have registered.
fn cluster_of(workers: usize) -> Cluster {
    let node = |number| Node::new(&format!("n{number}"), "s", &["a"], resources(WORKER_CPU, 0));
    let mut cluster = Cluster::with_nodes(1, (1..=workers).map(node).collect());
    cluster.run_for(200);
    cluster
}

/// A step of tasks that run until the job is cancelled, at most one on each worker.
fn long_running(count: u32, cpu: u64) -> Step {
    Step {
        long_running: true,
        anti_affinity: 1,
        ..step(count, cpu, 1_000)
    }
}

fn gang(members: u32, run_ms: u64) -> Step {
    Step {
        gang: true,
        ..step(members, 15_000, run_ms)
    }
}

fn small_long_running() -> Step {
    Step {
        long_running: true,
        ..step(1, 2_000, 1_000)
    }
}

/// A task that takes longer than a reservation would let it use a worker.
fn small_task() -> Step {
    step(1, 2_000, 30_000)
}

/// Submits a job of one step.
fn submit(cluster: &mut Cluster, route: &str, id: u64, step: Step) -> JobId {
    cluster.submit(route, id, spec(vec![step]))
}

fn expect_start_within(cluster: &mut Cluster, id: JobId, max_ms: u64) {
    cluster.run_for(max_ms);
    assert!(
        cluster.run_count(id) > 0,
        "job {id} has not started after {max_ms} ms"
    );
}

/// Failure: gangs that could not be placed, as long-running tasks had the other workers, kept the idle ones reserved without
/// end.
#[rstest]
fn gangs_without_a_forecast_keep_no_workers_idle(
    #[values("bulk", "quick")] gang_route: &str,
    #[values(small_long_running(), small_task())] other: Step,
) {
    let mut cluster = cluster_of(6);
    submit(&mut cluster, "quick", 1, long_running(4, 14_000));
    cluster.run_for(10_000);
    let gangs = [2, 3].map(|id| submit(&mut cluster, gang_route, id, gang(3, 5_600)));
    cluster.run_for(2_000);
    let other = submit(&mut cluster, "bulk", 4, other);
    expect_start_within(&mut cluster, other, START_MS);
    for gang in gangs {
        assert_eq!(cluster.state_of(gang), Some(JobState::Queued));
    }
}

/// Failure: many gangs that could not be placed kept those behind them, which could be, from getting workers reserved.
#[test]
fn gangs_without_a_forecast_do_not_keep_others_from_a_reservation() {
    let mut cluster = cluster_of(3);
    submit(&mut cluster, "quick", 1, long_running(1, 14_000));
    cluster.run_for(2_000);
    for id in 2..6 {
        submit(&mut cluster, "bulk", id, gang(3, 1_000));
    }
    let two_members = submit(&mut cluster, "bulk", 6, gang(2, 1_000));
    for id in 0..60 {
        submit(&mut cluster, "bulk", 100 + id, step(6, 2_800, 1_000));
        cluster.run_for(200);
    }
    assert_eq!(cluster.state_of(two_members), Some(JobState::Completed));
}

/// A gang that waits for runs that end keeps its workers, but not from a long-running task, which would be lost for as long.
#[test]
fn a_long_running_task_waits_shortly_for_reserved_workers() {
    let mut cluster = cluster_of(5);
    submit(&mut cluster, "bulk", 1, step(4, 15_500, 20_000));
    cluster.run_for(1_000);
    let gang = submit(&mut cluster, "bulk", 2, gang(2, 1_000));
    cluster.run_for(1_000);
    let small_task = submit(&mut cluster, "bulk", 3, small_task());
    let long_running = submit(&mut cluster, "bulk", 4, small_long_running());
    cluster.run_for(START_MS);
    for waiting_job in [small_task, long_running] {
        let run_count = cluster.run_count(waiting_job);
        assert_eq!(run_count, 0, "the idle worker is reserved");
    }
    expect_start_within(&mut cluster, long_running, LONG_RUNNING_START_MS - START_MS);
    cluster.run_for(25_000);
    assert_eq!(cluster.state_of(gang), Some(JobState::Completed));
}

/// Failure: a long-running task waited behind a smaller one that a reservation kept waiting, though it had the capacity.
#[test]
fn a_long_running_task_does_not_wait_behind_one_that_waits_for_reserved_workers() {
    let mut cluster = cluster_of(5);
    submit(&mut cluster, "quick", 1, step(4, 15_500, 20_000));
    cluster.run_for(1_000);
    submit(&mut cluster, "quick", 2, gang(2, 1_000));
    cluster.run_for(1_000);
    submit(&mut cluster, "quick", 3, step(1, 1_500, 30_000));
    let long_running = submit(&mut cluster, "bulk", 4, small_long_running());
    expect_start_within(&mut cluster, long_running, LONG_RUNNING_START_MS);
}

/// Failure: a step with more tasks than its `anti_affinity` allows kept capacity reserved on workers that it may not use.
#[rstest]
#[case::long_running(long_running(2, 6_000))]
#[case::finite(Step { anti_affinity: 1, ..step(2, 6_000, 20_000) })]
fn a_step_reserves_no_worker_that_it_may_not_use(#[case] limited_step: Step) {
    let mut cluster = cluster_of(1);
    submit(&mut cluster, "quick", 1, limited_step);
    submit(&mut cluster, "quick", 2, step(1, 3_500, 20_000));
    cluster.run_for(2_000);
    let other = submit(&mut cluster, "bulk", 3, step(1, 6_000, 5_000));
    expect_start_within(&mut cluster, other, START_MS);
}

/// No worker is reserved for a start that is minutes away.
#[test]
fn a_gang_with_a_distant_forecast_keeps_no_workers_idle() {
    let mut cluster = cluster_of(3);
    submit(&mut cluster, "bulk", 1, step(2, 15_500, 300_000));
    cluster.run_for(1_000);
    submit(&mut cluster, "bulk", 2, gang(2, 1_000));
    cluster.run_for(1_000);
    let other = submit(&mut cluster, "bulk", 3, step(1, 2_000, 400_000));
    expect_start_within(&mut cluster, other, START_MS);
}

/// Guards against starvation: as soon as the workers of a gang can become free, it has a reservation again, and tasks that
/// keep coming do not take them.
#[test]
fn a_gang_is_placed_once_long_running_tasks_in_its_way_have_ended() {
    let mut cluster = cluster_of(3);
    let long_running = submit(&mut cluster, "quick", 1, long_running(2, 14_000));
    cluster.run_for(2_000);
    let gang = submit(&mut cluster, "bulk", 2, gang(2, 1_000));
    for id in 0..60 {
        if id == 20 {
            cluster.cancel(long_running);
        }
        submit(&mut cluster, "bulk", 100 + id, step(6, 2_800, 1_000));
        cluster.run_for(200);
    }
    assert_eq!(cluster.state_of(gang), Some(JobState::Completed));
}

/// A gang for which long-running tasks of a lower priority are to be preempted keeps the idle workers until then.
#[test]
fn a_gang_that_preempts_long_running_tasks_is_placed_in_time() {
    let mut cluster = cluster_of(3);
    submit(&mut cluster, "bulk", 1, long_running(2, 14_000));
    cluster.run_for(5_000);
    let gang = submit(&mut cluster, "quick", 2, gang(2, 4_000));
    for id in 0..60 {
        submit(&mut cluster, "quick", 100 + id, step(6, 2_800, 2_000));
        cluster.run_for(200);
    }
    assert_eq!(cluster.state_of(gang), Some(JobState::Completed));
}

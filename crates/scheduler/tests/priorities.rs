//! Distribution of scarce capacity: reservations, preemption by priority, and retries on other workers.

mod cluster;

use cluster::{Cluster, spec, step};
use indigofold_protocol::job::{JobState, Step};

/// Guards against starvation: small tasks that keep coming must not starve a gang that needs two complete workers.
#[test]
fn a_gang_is_not_starved_by_small_tasks() {
    let mut cluster = Cluster::started(1);
    let small = || {
        spec(vec![Step {
            gpu: 1,
            ..step(6, 2_800, 1_000)
        }])
    };
    for number in 0..6 {
        cluster.submit("vision", 100 + number, small());
    }
    cluster.run_for(300);
    let gang = Step {
        gang: true,
        rack_local: true,
        gpu: 8,
        ..step(2, 15_000, 1_500)
    };
    let id = cluster.submit("vision", 1, spec(vec![gang]));
    for number in 0..40 {
        cluster.submit("vision", 200 + number, small());
        cluster.run_for(300);
    }
    assert_eq!(cluster.state_of(id), Some(JobState::Completed));
}

/// A `quick` job preempts `bulk` tasks when every worker is full, and the `bulk` job is completed later.
#[test]
fn a_higher_priority_preempts() {
    let mut cluster = Cluster::started(2);
    let bulk_job = cluster.submit(
        "bulk",
        1,
        spec(vec![Step {
            checkpoints: true,
            ..step(64, 1_000, 20_000)
        }]),
    );
    cluster.run_for(1_000);
    assert!(
        cluster.nodes[..4]
            .iter()
            .all(|node| node.used().cpu == 16_000)
    );
    let quick_job = cluster.submit("quick", 2, spec(vec![step(6, 240, 700)]));
    cluster.run_for(4_000);
    assert_eq!(cluster.state_of(quick_job), Some(JobState::Completed));
    cluster.run_for(45_000);
    assert_eq!(cluster.state_of(bulk_job), Some(JobState::Completed));
}

/// A job does not preempt tasks of its own priority, even if it has to wait.
#[test]
fn equal_priorities_are_not_preempted() {
    let mut cluster = Cluster::started(3);
    cluster.submit("bulk", 1, spec(vec![step(64, 1_000, 5_000)]));
    cluster.run_for(500);
    cluster.submit("bulk", 2, spec(vec![step(6, 240, 700)]));
    cluster.run_for(4_000);
    assert_eq!(cluster.stopped_core_ms, 0.0);
}

/// A worker on which every run fails is suspected before any job runs out of retries.
#[test]
fn a_failing_worker_is_avoided() {
    let mut cluster = Cluster::started(4);
    cluster.nodes[0].fails = true;
    for number in 0..60 {
        cluster.submit("quick", 1 + number, spec(vec![step(6, 240, 300)]));
        cluster.run_for(100);
    }
    cluster.run_for(5_000);
    let ids: Vec<_> = cluster.jobs.keys().copied().collect();
    ids.iter().for_each(|id| cluster.get(*id));
    cluster.run_for(50);
    let failed_jobs = cluster
        .jobs
        .values()
        .filter(|job| job.state == Some(JobState::Failed))
        .count();
    assert_eq!(failed_jobs, 0);
}

/// A run without progress is stopped, and its task is started on another worker.
#[test]
fn a_hanging_run_is_moved() {
    let mut cluster = Cluster::started(5);
    cluster.nodes[1].hangs = true;
    let id = cluster.submit("quick", 1, spec(vec![step(12, 240, 700)]));
    cluster.run_for(9_000);
    assert_eq!(cluster.state_of(id), Some(JobState::Completed));
}

/// Urgent jobs arrive while all workers are full of long tasks and stops take long. Capacity that is being freed for
/// one job must not be counted on by the next one too, otherwise too few runs are stopped and the jobs wait much
/// longer.
#[test]
fn a_flood_of_urgent_jobs_gets_capacity_within_seconds() {
    let mut cluster = Cluster::started(7);
    cluster.nodes.iter_mut().for_each(|node| node.stop_ms = 900);
    for number in 0..8 {
        cluster.submit("bulk", 1 + number, spec(vec![step(16, 1_000, 20_000)]));
    }
    cluster.run_for(2_000);
    assert!(
        cluster.nodes[..4]
            .iter()
            .all(|node| node.used().cpu == 16_000)
    );
    let urgent_jobs: Vec<_> = (0..40)
        .map(|number| {
            let id = cluster.submit("quick", 100 + number, spec(vec![step(6, 240, 700)]));
            cluster.run_for(100);
            id
        })
        .collect();
    cluster.run_for(2_000);
    urgent_jobs.iter().for_each(|id| cluster.get(*id));
    cluster.run_for(50);
    let completed_jobs = urgent_jobs
        .iter()
        .filter(|id| cluster.jobs[id].state == Some(JobState::Completed))
        .count();
    assert!(
        completed_jobs >= 38,
        "only {completed_jobs} of 40 urgent jobs are completed"
    );
}

/// Guards against a recovered worker that is never used again: a worker with a long-running task is never idle, but it
/// must get its run on probation all the same.
#[test]
fn a_recovered_worker_is_used_beside_a_long_running_task() {
    let mut cluster = Cluster::started(9);
    let long_running_step = Step {
        long_running: true,
        anti_affinity: 1,
        ..step(4, 100, 500)
    };
    cluster.submit("bulk", 1, spec(vec![long_running_step]));
    cluster.run_for(300);
    cluster.nodes[0].fails = true;
    for number in 0..30 {
        cluster.submit("quick", 10 + number, spec(vec![step(6, 240, 300)]));
        cluster.run_for(100);
    }
    cluster.nodes[0].fails = false;
    let long_running_count = cluster.nodes[0].running.len();
    assert_eq!(
        long_running_count, 1,
        "only the long-running task may run on the failing worker"
    );
    let mut was_used = false;
    for number in 0..100 {
        cluster.submit("quick", 100 + number, spec(vec![step(6, 240, 300)]));
        cluster.run_for(100);
        was_used |= cluster.nodes[0].running.len() > long_running_count + 1;
    }
    assert!(was_used);
}

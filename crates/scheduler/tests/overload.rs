//! Overload: which jobs are rejected, when their clients should retry, in which order jobs run, and which sizes stay
//! bounded.

mod cluster;

use cluster::{Cluster, spec, step};
use indigofold_protocol::internal::ClientOutcome;
use indigofold_protocol::job::{JobSpec, JobState};
use indigofold_protocol::job_check::AMOUNT_MAX;
use indigofold_protocol::task::TaskName;

fn retry_after_ms(cluster: &Cluster) -> Option<u64> {
    cluster
        .replies
        .iter()
        .rev()
        .find_map(|reply| match reply.outcome {
            ClientOutcome::TooMany { retry_after_ms } => Some(retry_after_ms),
            _ => None,
        })
}

/// Fills the queue with tasks that run for `task_ms`, and returns the time after which a rejected client should retry.
fn retry_after_with_backlog(task_ms: u64) -> u64 {
    let mut cluster = Cluster::started(1);
    for number in 0..11 {
        cluster.submit("bulk", 1 + number, spec(vec![step(2_000, 500, task_ms)]));
    }
    cluster.run_for(100);
    retry_after_ms(&cluster).expect("the last job is rejected")
}

/// 20,000 tasks of half a core wait for 64 cores, which run 128 tasks at a time. Working off a tenth of them takes 15.6
/// times the run time of one task.
#[test]
fn retry_after_follows_the_backlog() {
    let short_delay_ms = retry_after_with_backlog(100);
    assert!(
        (1_400..=1_600).contains(&short_delay_ms),
        "{short_delay_ms}"
    );
    let long_delay_ms = retry_after_with_backlog(400);
    assert!((5_700..=6_300).contains(&long_delay_ms), "{long_delay_ms}");
    assert_eq!(retry_after_with_backlog(60_000), 15_000);
}

#[test]
fn a_rejected_job_never_runs_and_may_be_submitted_later() {
    let mut cluster = Cluster::started(2);
    let large_job = cluster.submit("bulk", 1, spec(vec![step(20_000, 10, 100)]));
    cluster.run_for(50);
    let id = cluster.submit("quick", 2, spec(vec![step(1, 10, 100)]));
    assert!(cluster.jobs[&id].rejected);
    cluster.cancel(large_job);
    cluster.run_for(3_000);
    assert!(cluster.history.keys().all(|task| task.job != id));
    cluster.jobs.remove(&id);
    cluster.submit("quick", 2, spec(vec![step(1, 10, 100)]));
    cluster.run_for(1_000);
    assert_eq!(cluster.state_of(id), Some(JobState::Completed));
}

/// If very many repetitions are due at once, they are opened only as earlier ones end, so that the job's row stays
/// small.
#[test]
fn repetitions_are_opened_as_others_end() {
    let mut cluster = Cluster::started(3);
    let start_at_ms = cluster.wall_ms();
    let repeated_job = JobSpec {
        repeat_count: 30,
        start_at_ms,
        interval_ms: 0,
        ..spec(vec![step(1_000, 30, 20)])
    };
    let id = cluster.submit("bulk", 1, repeated_job);
    cluster.run_for(100);
    let row_bytes = cluster.rows[format!("progress/{id}").as_bytes()].len();
    assert!(row_bytes < 200_000, "the row has {row_bytes} bytes");
    cluster.run_for(6_000);
    assert_eq!(cluster.state_of(id), Some(JobState::Completed));
}

/// Submits the jobs to one queue of a full service and returns when each one ended, in the order of submission.
fn ends_on_a_saturated_service(specs: Vec<JobSpec>) -> Vec<u64> {
    let mut cluster = Cluster::started(4);
    cluster.submit("quick", 1, spec(vec![step(64, 1_000, 1_000)]));
    cluster.run_for(100);
    let ids: Vec<_> = specs
        .into_iter()
        .zip(2..)
        .map(|(spec, id)| cluster.submit("quick", id, spec))
        .collect();
    for _ in 0..400 {
        cluster.run_for(50);
        ids.iter().for_each(|id| cluster.get(*id));
    }
    ids.iter()
        .map(|id| cluster.jobs[id].ended_ms.expect("the job has ended"))
        .collect()
}

/// A job that needs far more work relative to its value goes behind later jobs that need less.
#[test]
fn jobs_with_the_highest_value_per_work_go_first() {
    let mut specs = vec![spec(vec![step(640, 1_000, 1_000)])];
    specs.extend((0..20).map(|_| spec(vec![step(3, 1_000, 1_000)])));
    let ends = ends_on_a_saturated_service(specs);
    assert!(ends[1..].iter().all(|end| *end < ends[0]), "{ends:?}");
}

/// Jobs with about the same work per value go by their deadlines, so later jobs do not overtake earlier ones.
#[test]
fn similar_jobs_go_by_deadline() {
    let ends =
        ends_on_a_saturated_service((0..12).map(|_| spec(vec![step(64, 1_000, 800)])).collect());
    assert!(ends.is_sorted(), "{ends:?}");
}

/// Missing or absurd estimates of run times must neither cause a division by zero nor make other jobs wait for ever.
#[test]
fn absurd_estimates_do_not_starve_others() {
    let job = |estimate_ms| spec(vec![step(4, 1_000, estimate_ms)]);
    let mut cluster = Cluster::started(5);
    let ids: Vec<_> = [0, 1, AMOUNT_MAX, 500]
        .into_iter()
        .zip(1..)
        .map(|(estimate_ms, id)| {
            let id = cluster.submit("quick", id, job(estimate_ms));
            (0..4).for_each(|index| {
                let name = TaskName {
                    job: id,
                    repeat: 0,
                    step: 0,
                    index,
                };
                cluster.set_work(name, 300, 0);
            });
            id
        })
        .collect();
    cluster.run_for(5_000);
    for id in ids {
        assert_eq!(cluster.state_of(id), Some(JobState::Completed), "{id}");
    }
}

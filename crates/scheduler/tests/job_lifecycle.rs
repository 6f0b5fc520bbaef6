//! Lifecycle of jobs, mostly without faults of the cluster.

mod cluster;

use cluster::{Cluster, spec, step};
use indigofold_protocol::internal::ClientOutcome;
use indigofold_protocol::job::{JobSpec, JobState, Step};

#[test]
fn a_simple_job_is_accepted_and_completes() {
    let mut cluster = Cluster::started(1);
    let id = cluster.submit("quick", 1, spec(vec![step(6, 240, 700)]));
    assert!(
        cluster.jobs[&id].accepted_ms.is_none(),
        "the job must not be accepted before its write is committed"
    );
    cluster.run_for(50);
    assert!(cluster.jobs[&id].accepted_ms.is_some());
    cluster.run_for(200);
    assert_eq!(cluster.state_of(id), Some(JobState::Running));
    cluster.run_for(1_000);
    assert_eq!(cluster.state_of(id), Some(JobState::Completed));
}

#[test]
fn steps_run_in_their_order() {
    let mut cluster = Cluster::new(2);
    let second = Step {
        depends_on: vec![0],
        ..step(4, 500, 300)
    };
    let third = Step {
        depends_on: vec![0, 1],
        ..step(1, 500, 100)
    };
    let id = cluster.submit("bulk", 2, spec(vec![step(3, 500, 400), second, third]));
    cluster.run_for(2_500);
    assert_eq!(cluster.state_of(id), Some(JobState::Completed));
}

#[test]
fn a_job_that_keeps_failing_is_failed_and_others_go_on() {
    let mut cluster = Cluster::new(3);
    let failing_job = cluster.submit("quick", 3, spec(vec![step(2, 240, 100)]));
    let task = indigofold_protocol::task::TaskName {
        job: failing_job,
        repeat: 0,
        step: 0,
        index: 1,
    };
    cluster.set_work(task, 100, 99);
    let other_job = cluster.submit("quick", 4, spec(vec![step(2, 240, 100)]));
    cluster.run_for(5_000);
    cluster.get(failing_job);
    cluster.get(other_job);
    cluster.run_for(50);
    assert_eq!(cluster.jobs[&failing_job].state, Some(JobState::Failed));
    assert_eq!(cluster.jobs[&other_job].state, Some(JobState::Completed));
    assert_eq!(cluster.history[&task].starts, 3);
}

#[test]
fn repetitions_run_at_their_times() {
    let mut cluster = Cluster::new(5);
    let start_at_ms = cluster.wall_ms() + 1_000;
    let job = JobSpec {
        repeat_count: 3,
        start_at_ms,
        interval_ms: 500,
        ..spec(vec![step(2, 240, 700)])
    };
    let id = cluster.submit("quick", 5, job);
    cluster.run_for(3_200);
    assert_eq!(cluster.state_of(id), Some(JobState::Completed));
}

#[test]
fn a_cancelled_job_stops_and_stays_cancelled() {
    let mut cluster = Cluster::new(6);
    let id = cluster.submit("bulk", 6, spec(vec![step(8, 1_000, 5_000)]));
    cluster.run_for(500);
    cluster.cancel(id);
    cluster.run_for(600);
    assert!(cluster.nodes.iter().all(|node| node.running.is_empty()));
    cluster.submit("bulk", 6, spec(vec![step(8, 1_000, 5_000)]));
    cluster.get(id);
    cluster.run_for(1_000);
    assert_eq!(cluster.jobs[&id].state, Some(JobState::Cancelled));
    assert!(cluster.nodes.iter().all(|node| node.running.is_empty()));
}

#[test]
fn long_running_tasks_run_until_cancelled() {
    let mut cluster = Cluster::new(7);
    let id = cluster.submit(
        "bulk",
        7,
        spec(vec![Step {
            long_running: true,
            ..step(6, 200, 400)
        }]),
    );
    cluster.run_for(1_000);
    cluster.nodes[0].crash(cluster.now_ms, 1_000);
    cluster.nodes[1].crash(cluster.now_ms, 1_000);
    cluster.run_for(2_000);
    let running_tasks: usize = cluster.nodes.iter().map(|node| node.running.len()).sum();
    assert_eq!(running_tasks, 6);
    cluster.cancel(id);
    cluster.run_for(500);
    assert!(cluster.nodes.iter().all(|node| node.running.is_empty()));
}

#[test]
fn a_gang_starts_together() {
    let mut cluster = Cluster::new(8);
    let gang = Step {
        gang: true,
        gpu: 8,
        rack_local: true,
        ..step(2, 15_000, 1_000)
    };
    let id = cluster.submit("vision", 8, spec(vec![gang]));
    cluster.run_for(3_000);
    assert_eq!(cluster.state_of(id), Some(JobState::Completed));
}

#[test]
fn calls_are_answered() {
    let mut cluster = Cluster::new(9);
    let id = cluster.submit("bulk", 9, spec(vec![step(1, 999_000, 100)]));
    cluster.run_for(100);
    let outcome = |cluster: &mut Cluster, path: &str| {
        cluster.replies.clear();
        let call = indigofold_protocol::internal::ClientCall {
            call: 1 << 40,
            host: "h".to_owned(),
            path: path.to_owned(),
            operation: indigofold_protocol::internal::ClientOperation::Get,
        };
        let from = indigofold_scheduler::CallerId(9);
        cluster.handle(indigofold_scheduler::Event::Call { from, call });
        cluster.replies.first().map(|reply| reply.outcome.clone())
    };
    assert_eq!(
        outcome(&mut cluster, "/bulk/"),
        Some(ClientOutcome::Pending(1))
    );
    assert_eq!(
        outcome(&mut cluster, "/quick/"),
        Some(ClientOutcome::Pending(0))
    );
    assert_eq!(
        outcome(&mut cluster, "/none/"),
        Some(ClientOutcome::UnknownRoute)
    );
    assert_eq!(
        outcome(&mut cluster, "/quick/00000000000000aa"),
        Some(ClientOutcome::NoSuchJob)
    );
    let state = outcome(&mut cluster, &format!("/bulk/{id}"));
    assert_eq!(state, Some(ClientOutcome::State(JobState::Queued)));
}

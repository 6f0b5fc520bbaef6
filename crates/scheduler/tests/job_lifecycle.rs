//! Jobs on a calm cluster.

mod world;

use indigofold_protocol::internal::ClientOutcome;
use indigofold_protocol::job::{JobSpec, JobState, Step};
use world::{World, spec, step};

#[test]
fn a_plain_job_is_taken_runs_and_completes() {
    let mut world = World::new(1);
    world.run_for(200);
    let id = world.submit("quick", 1, spec(vec![step(6, 240, 700)]));
    assert!(
        world.jobs[&id].accepted_ms.is_none(),
        "accepted before it is written"
    );
    world.run_for(50);
    assert!(world.jobs[&id].accepted_ms.is_some());
    world.run_for(200);
    world.get(id);
    assert_eq!(world.jobs[&id].state, Some(JobState::Running));
    world.run_for(1_000);
    world.get(id);
    world.run_for(50);
    assert_eq!(world.jobs[&id].state, Some(JobState::Completed));
}

#[test]
fn steps_run_in_their_order() {
    let mut world = World::new(2);
    let second = Step {
        depends_on: vec![0],
        ..step(4, 500, 300)
    };
    let third = Step {
        depends_on: vec![0, 1],
        ..step(1, 500, 100)
    };
    let id = world.submit("bulk", 2, spec(vec![step(3, 500, 400), second, third]));
    world.run_for(2_500);
    world.get(id);
    world.run_for(50);
    assert_eq!(world.jobs[&id].state, Some(JobState::Completed));
}

#[test]
fn a_job_that_keeps_failing_is_failed_and_others_go_on() {
    let mut world = World::new(3);
    let bad = world.submit("quick", 3, spec(vec![step(2, 240, 100)]));
    let task = indigofold_protocol::task::TaskName {
        job: bad,
        repeat: 0,
        step: 0,
        index: 1,
    };
    world.work.insert(task, (100, 99));
    let good = world.submit("quick", 4, spec(vec![step(2, 240, 100)]));
    world.run_for(5_000);
    world.get(bad);
    world.get(good);
    world.run_for(50);
    assert_eq!(world.jobs[&bad].state, Some(JobState::Failed));
    assert_eq!(world.jobs[&good].state, Some(JobState::Completed));
    assert_eq!(world.history[&task].starts, 3);
}

#[test]
fn repetitions_run_at_their_times() {
    let mut world = World::new(5);
    let start_at_ms = world.wall_ms() + 1_000;
    let job = JobSpec {
        repeat_count: 3,
        start_at_ms,
        interval_ms: 500,
        ..spec(vec![step(2, 240, 700)])
    };
    let id = world.submit("quick", 5, job);
    world.run_for(3_200);
    world.get(id);
    world.run_for(50);
    assert_eq!(world.jobs[&id].state, Some(JobState::Completed));
}

#[test]
fn a_cancelled_job_stops_and_stays_cancelled() {
    let mut world = World::new(6);
    let id = world.submit("bulk", 6, spec(vec![step(8, 1_000, 5_000)]));
    world.run_for(500);
    world.cancel(id);
    world.run_for(600);
    assert!(world.nodes.iter().all(|node| node.running.is_empty()));
    world.submit("bulk", 6, spec(vec![step(8, 1_000, 5_000)]));
    world.get(id);
    world.run_for(1_000);
    assert_eq!(world.jobs[&id].state, Some(JobState::Cancelled));
    assert!(world.nodes.iter().all(|node| node.running.is_empty()));
}

#[test]
fn lasting_tasks_run_until_cancelled() {
    let mut world = World::new(7);
    let id = world.submit(
        "bulk",
        7,
        spec(vec![Step {
            long_running: true,
            ..step(6, 200, 400)
        }]),
    );
    world.run_for(1_000);
    world.nodes[0].crash(world.now_ms, 1_000);
    world.nodes[1].crash(world.now_ms, 1_000);
    world.run_for(2_000);
    let at_work: usize = world.nodes.iter().map(|node| node.running.len()).sum();
    assert_eq!(at_work, 6);
    world.cancel(id);
    world.run_for(500);
    assert!(world.nodes.iter().all(|node| node.running.is_empty()));
}

#[test]
fn a_gang_starts_together() {
    let mut world = World::new(8);
    let gang = Step {
        gang: true,
        gpu: 8,
        rack_local: true,
        ..step(2, 15_000, 1_000)
    };
    let id = world.submit("vision", 8, spec(vec![gang]));
    world.run_for(3_000);
    world.get(id);
    world.run_for(50);
    assert_eq!(world.jobs[&id].state, Some(JobState::Completed));
}

#[test]
fn calls_get_their_answers() {
    let mut world = World::new(9);
    let id = world.submit("bulk", 9, spec(vec![step(1, 999_000, 100)]));
    world.run_for(100);
    let outcome = |world: &mut World, path: &str| {
        world.replies.clear();
        let call = indigofold_protocol::internal::ClientCall {
            call: 1 << 40,
            host: "h".to_owned(),
            path: path.to_owned(),
            operation: indigofold_protocol::internal::ClientOperation::Get,
        };
        let from = indigofold_scheduler::CallerId(9);
        world.handle(indigofold_scheduler::Event::Call { from, call });
        world.replies.first().map(|reply| reply.outcome.clone())
    };
    assert_eq!(
        outcome(&mut world, "/bulk/"),
        Some(ClientOutcome::Pending(1))
    );
    assert_eq!(
        outcome(&mut world, "/quick/"),
        Some(ClientOutcome::Pending(0))
    );
    assert_eq!(
        outcome(&mut world, "/none/"),
        Some(ClientOutcome::UnknownRoute)
    );
    assert_eq!(
        outcome(&mut world, "/quick/00000000000000aa"),
        Some(ClientOutcome::NoSuchJob)
    );
    let state = outcome(&mut world, &format!("/bulk/{id}"));
    assert_eq!(state, Some(ClientOutcome::State(JobState::Queued)));
}

//! What outlives a head, a companion's silence, and a job's end.

mod world;

use indigofold_protocol::internal::{ClientOutcome, LEASE_AUTHORITY_MS, RUN_LEASE_MS};
use indigofold_protocol::job::JobState;
use world::{World, spec, step};

/// A silent companion's holds have all lapsed after this time, whatever the clocks.
const LAPSED_MS: u64 = (LEASE_AUTHORITY_MS + RUN_LEASE_MS) * 105 / 100 + 300;

/// A head dies at any moment round a job's start; whatever was accepted is done by its successor.
#[test]
fn a_successor_sends_lost_orders_again() {
    for delay_ms in 0..60 {
        let mut world = World::new(delay_ms);
        world.calm = false;
        world.run_for(200);
        let id = world.submit("quick", 1, spec(vec![step(4, 240, 500)]));
        world.run_for(delay_ms);
        world.take_over();
        world.run_for(3_000);
        if world.jobs[&id].accepted_ms.is_some() {
            world.get(id);
            world.run_for(50);
            assert_eq!(
                world.jobs[&id].state,
                Some(JobState::Completed),
                "after {delay_ms} ms"
            );
        }
    }
}

/// A companion is out of reach for so long that its run is started elsewhere; the end it brings back still counts.
#[test]
fn a_late_end_counts() {
    let mut world = World::new(3);
    world.calm = false;
    world.run_for(200);
    let id = world.submit("bulk", 1, spec(vec![step(1, 500, 2_500)]));
    world.run_for(300);
    let node = world
        .nodes
        .iter()
        .position(|node| !node.running.is_empty())
        .expect("it runs somewhere");
    world.disconnect(node);
    world.run_for(LAPSED_MS + 800);
    assert!(
        world
            .nodes
            .iter()
            .any(|node| node.connected && !node.running.is_empty()),
        "started elsewhere"
    );
    world.connect(node);
    world.run_for(400);
    world.get(id);
    world.run_for(50);
    assert_eq!(world.jobs[&id].state, Some(JobState::Completed));
}

/// While a companion is out of reach for less than its holds last, its run is not started elsewhere.
#[test]
fn a_short_silence_changes_nothing() {
    let mut world = World::new(4);
    world.run_for(200);
    let id = world.submit("bulk", 1, spec(vec![step(1, 500, 9_000)]));
    world.run_for(300);
    let node = world
        .nodes
        .iter()
        .position(|node| !node.running.is_empty())
        .expect("it runs somewhere");
    world.disconnect(node);
    world.run_for(6_000);
    world.connect(node);
    world.run_for(4_000);
    world.get(id);
    world.run_for(50);
    assert_eq!(world.jobs[&id].state, Some(JobState::Completed));
    assert!(world.history.values().all(|history| history.starts == 1));
}

/// An ended job is shown for `status_s`, also by a successor, and then its rows are deleted.
#[test]
fn ended_jobs_are_remembered_and_then_forgotten() {
    let mut world = World::new(5);
    world.run_for(200);
    let id = world.submit("quick", 1, spec(vec![step(2, 240, 100)]));
    world.run_for(1_000);
    world.take_over();
    world.run_for(4_000);
    world.get(id);
    world.run_for(50);
    assert_eq!(world.jobs[&id].state, Some(JobState::Completed));
    assert!(
        world.rows.keys().all(|key| !key.starts_with(b"job/")),
        "the definition is not needed any more"
    );
    world.run_for(40_000);
    world.replies.clear();
    world.get(id);
    assert_eq!(world.replies[0].outcome, ClientOutcome::NoSuchJob);
    world.run_for(100);
    let of_lives = |key: &&Vec<u8>| key.starts_with(b"life/");
    assert_eq!(
        world.rows.keys().filter(of_lives).count(),
        world.nodes.len(),
        "one row for each worker's life"
    );
    assert!(
        world.rows.keys().all(|key| of_lives(&key)),
        "nothing is kept of the job"
    );
}

/// Head, companions and workers lose power together: a successor knows from the rows which machine a life was on, and
/// that it is gone once another life registers there.
#[test]
fn lives_lost_with_the_head_are_gone_when_their_machines_are_back() {
    let mut world = World::new(8);
    world.calm = false;
    world.run_for(200);
    let id = world.submit("quick", 1, spec(vec![step(4, 240, 1_500)]));
    world.run_for(300);
    let now_ms = world.now_ms;
    for node in &mut world.nodes {
        node.crash(now_ms, 400);
        (node.ended_instances, node.not_started) = (Vec::new(), Vec::new());
    }
    world.take_over();
    world.run_for(4_000);
    world.get(id);
    world.run_for(50);
    assert_eq!(world.jobs[&id].state, Some(JobState::Completed));
    let lives = world
        .rows
        .keys()
        .filter(|key| key.starts_with(b"life/"))
        .count();
    assert_eq!(lives, world.nodes.len(), "rows of lost lives are deleted");
}

/// A row as it was written before there were copies, byte by byte: two tasks running.
#[test]
fn rows_without_copies_are_read() {
    let mut world = World::new(7);
    world.run_for(200);
    let id = world.submit("quick", 1, spec(vec![step(2, 240, 400)]));
    world.run_for(100);
    let key = format!("progress/{id}").into_bytes();
    let row = world.rows[&key].clone();
    let nodes: Vec<usize> = (0..4)
        .filter(|node| !world.nodes[*node].running.is_empty())
        .collect();
    let lives: Vec<String> = nodes
        .iter()
        .map(|node| world.nodes[*node].instance())
        .collect();
    let mut expected = vec![0, 1, lives.len() as u8];
    let numbered = |task: u32| {
        let run = |at: &usize| {
            world.nodes[*at]
                .running
                .keys()
                .any(|run| run.task.index == task)
        };
        world.nodes[*nodes.iter().find(|at| run(at)).expect("it runs")].instance()
    };
    let mut named: Vec<String> = Vec::new();
    for life in [numbered(0), numbered(1)] {
        if !named.contains(&life) {
            expected.push(life.len() as u8);
            expected.extend(life.bytes());
            named.push(life);
        }
    }
    expected.extend([1, 0, 1, 2, 0, 0, 2]);
    for task in 0..2 {
        let life = named
            .iter()
            .position(|life| *life == numbered(task))
            .expect("it is named") as u8;
        expected.extend([1, 0, 0, 0, 1, life, 1]);
    }
    assert_eq!(
        row, expected,
        "the form of rows has changed: rows of the older one must still be read"
    );
    world.take_over();
    world.run_for(2_000);
    world.get(id);
    world.run_for(50);
    assert_eq!(world.jobs[&id].state, Some(JobState::Completed));
}

/// The same id again is the same job, whatever has become of it.
#[test]
fn a_job_is_taken_once() {
    let mut world = World::new(6);
    world.run_for(200);
    let job = || spec(vec![step(2, 240, 100)]);
    world.submit("quick", 1, job());
    world.submit("quick", 1, job());
    world.run_for(1_000);
    world.submit("quick", 1, job());
    world.run_for(1_000);
    let accepted = world
        .replies
        .iter()
        .filter(|reply| reply.outcome == ClientOutcome::Accepted)
        .count();
    assert_eq!(accepted, 3);
    assert!(world.history.values().all(|history| history.starts == 1));
}

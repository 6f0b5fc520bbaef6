//! Who gets room when there is too little: reservations for what needs much, preemption by priority, retries elsewhere.

mod world;

use indigofold_protocol::job::{JobState, Step};
use world::{World, spec, step};

/// Small tasks that keep coming must not starve a gang that needs two whole workers.
#[test]
fn a_gang_is_not_starved_by_small_tasks() {
    let mut world = World::new(1);
    world.run_for(200);
    let small = || {
        spec(vec![Step {
            gpu: 1,
            ..step(6, 2_800, 1_000)
        }])
    };
    for number in 0..6 {
        world.submit("vision", 100 + number, small());
    }
    world.run_for(300);
    let gang = Step {
        gang: true,
        rack_local: true,
        gpu: 8,
        ..step(2, 15_000, 1_500)
    };
    let id = world.submit("vision", 1, spec(vec![gang]));
    for number in 0..40 {
        world.submit("vision", 200 + number, small());
        world.run_for(300);
    }
    world.get(id);
    world.run_for(50);
    assert_eq!(world.jobs[&id].state, Some(JobState::Completed));
}

/// A quick job preempts bulk work when every worker is full, and the bulk work is done later.
#[test]
fn a_higher_priority_preempts() {
    let mut world = World::new(2);
    world.run_for(200);
    let bulk = world.submit(
        "bulk",
        1,
        spec(vec![Step {
            checkpoints: true,
            ..step(64, 1_000, 20_000)
        }]),
    );
    world.run_for(1_000);
    assert!(
        world.nodes[..4]
            .iter()
            .all(|node| node.used().cpu == 16_000)
    );
    let quick = world.submit("quick", 2, spec(vec![step(6, 240, 700)]));
    world.run_for(4_000);
    world.get(quick);
    world.run_for(50);
    assert_eq!(world.jobs[&quick].state, Some(JobState::Completed));
    world.run_for(45_000);
    world.get(bulk);
    world.run_for(50);
    assert_eq!(world.jobs[&bulk].state, Some(JobState::Completed));
}

/// Nothing is preempted by work of its own priority, or while the objective can be met.
#[test]
fn equals_are_not_preempted() {
    let mut world = World::new(3);
    world.run_for(200);
    world.submit("bulk", 1, spec(vec![step(64, 1_000, 5_000)]));
    world.run_for(500);
    world.submit("bulk", 2, spec(vec![step(6, 240, 700)]));
    world.run_for(4_000);
    assert_eq!(world.stopped_core_ms, 0.0);
}

/// A worker that fails all it starts is found out before jobs run out of retries.
#[test]
fn a_failing_worker_is_avoided() {
    let mut world = World::new(4);
    world.run_for(200);
    world.nodes[0].fails = true;
    for number in 0..60 {
        world.submit("quick", 1 + number, spec(vec![step(6, 240, 300)]));
        world.run_for(100);
    }
    world.run_for(5_000);
    let ids: Vec<_> = world.jobs.keys().copied().collect();
    ids.iter().for_each(|id| world.get(*id));
    world.run_for(50);
    let failed = world
        .jobs
        .values()
        .filter(|job| job.state == Some(JobState::Failed))
        .count();
    assert_eq!(failed, 0);
}

/// A run that stands still is stopped and started elsewhere.
#[test]
fn a_hanging_run_is_moved() {
    let mut world = World::new(5);
    world.run_for(200);
    world.nodes[1].hangs = true;
    let id = world.submit("quick", 1, spec(vec![step(12, 240, 700)]));
    world.run_for(9_000);
    world.get(id);
    world.run_for(50);
    assert_eq!(world.jobs[&id].state, Some(JobState::Completed));
}

/// Urgent jobs begin to come while all workers are full of long tasks and stops take long: room on its way to one of
/// them is not counted on by the next as well, so that they catch up within seconds.
#[test]
fn a_flood_of_urgent_jobs_gets_its_room_soon() {
    let mut world = World::new(7);
    world.run_for(200);
    world.nodes.iter_mut().for_each(|node| node.stop_ms = 900);
    for number in 0..8 {
        world.submit("bulk", 1 + number, spec(vec![step(16, 1_000, 20_000)]));
    }
    world.run_for(2_000);
    assert!(
        world.nodes[..4]
            .iter()
            .all(|node| node.used().cpu == 16_000)
    );
    let urgent: Vec<_> = (0..40)
        .map(|number| {
            let id = world.submit("quick", 100 + number, spec(vec![step(6, 240, 700)]));
            world.run_for(100);
            id
        })
        .collect();
    world.run_for(2_000);
    urgent.iter().for_each(|id| world.get(*id));
    world.run_for(50);
    let done = urgent
        .iter()
        .filter(|id| world.jobs[id].state == Some(JobState::Completed))
        .count();
    assert!(done >= 38, "{done} of 40 are done");
}

/// A worker on which something lasts is never idle. Once it has recovered, it is tried all the same and used again.
#[test]
fn a_worker_that_has_recovered_is_used_again_beside_what_lasts_there() {
    let mut world = World::new(9);
    world.run_for(200);
    let watch = Step {
        long_running: true,
        anti_affinity: 1,
        ..step(4, 100, 500)
    };
    world.submit("bulk", 1, spec(vec![watch]));
    world.run_for(300);
    world.nodes[0].fails = true;
    for number in 0..30 {
        world.submit("quick", 10 + number, spec(vec![step(6, 240, 300)]));
        world.run_for(100);
    }
    world.nodes[0].fails = false;
    let lasting = world.nodes[0].running.len();
    assert_eq!(
        lasting, 1,
        "what lasts runs on, and nothing else is placed there"
    );
    let mut used = false;
    for number in 0..100 {
        world.submit("quick", 100 + number, spec(vec![step(6, 240, 300)]));
        world.run_for(100);
        used |= world.nodes[0].running.len() > lasting + 1;
    }
    assert!(used);
}

//! Copies of speculative tasks: started when the first run is in doubt, and whichever ends first counts.

mod world;

use indigofold_protocol::job::{JobSpec, JobState, Step};
use world::{World, spec, step};

fn speculative(count: u32, ms: u64) -> JobSpec {
    spec(vec![Step {
        speculative: true,
        ..step(count, 240, ms)
    }])
}

/// Nodes that hold something.
fn holders(world: &World) -> Vec<usize> {
    (0..world.nodes.len())
        .filter(|node| !world.nodes[*node].running.is_empty())
        .collect()
}

fn completed(world: &mut World, id: indigofold_protocol::task::JobId) -> bool {
    world.get(id);
    world.run_for(50);
    world.jobs[&id].state == Some(JobState::Completed)
}

#[test]
fn a_run_of_a_silent_worker_gets_a_copy() {
    let mut world = World::new(1);
    world.run_for(200);
    let id = world.submit("quick", 1, speculative(1, 700));
    world.run_for(200);
    let first = holders(&world)[0];
    world.disconnect(first);
    world.run_for(3_500);
    assert!(completed(&mut world, id));
    let task = *world.history.keys().next().expect("it ran");
    assert_eq!(world.history[&task].starts, 2);
    world.connect(first);
    world.run_for(2_000);
    assert!(holders(&world).is_empty());
    assert!(completed(&mut world, id));
}

#[test]
fn a_run_that_stands_still_gets_a_copy_on_another_worker() {
    let mut world = World::new(2);
    world.run_for(200);
    world.nodes[1].hangs = true;
    let id = world.submit("quick", 1, speculative(12, 700));
    world.run_for(3_300);
    assert!(completed(&mut world, id));
    world.run_for(1_000);
    assert!(holders(&world).is_empty(), "the run that lost is stopped");
}

#[test]
fn other_steps_never_run_twice_at_a_time() {
    let mut world = World::new(1);
    world.run_for(200);
    world.submit("quick", 1, spec(vec![step(1, 240, 700)]));
    world.run_for(200);
    let first = holders(&world)[0];
    world.disconnect(first);
    world.run_for(5_000);
    assert!(world.history.values().all(|history| history.starts == 1));
}

/// There is no hurry as long as the objective can be met.
#[test]
fn no_copy_while_there_is_time() {
    let mut world = World::new(1);
    world.run_for(200);
    world.submit("bulk", 1, speculative(1, 6_000));
    world.run_for(200);
    let first = holders(&world)[0];
    world.disconnect(first);
    world.run_for(2_000);
    world.connect(first);
    world.run_for(5_000);
    assert!(world.history.values().all(|history| history.starts == 1));
}

/// The record holds both runs: whatever moment a head dies at, its successor knows them and stops the loser.
#[test]
fn a_successor_knows_both_runs() {
    for delay_ms in (0..3_000).step_by(100) {
        let mut world = World::new(3);
        world.calm = false;
        world.run_for(200);
        let id = world.submit("quick", 1, speculative(2, 900));
        world.run_for(200);
        let first = holders(&world)[0];
        world.disconnect(first);
        world.run_for(delay_ms);
        world.take_over();
        world.run_for(300);
        world.connect(first);
        world.run_for(5_000);
        assert!(completed(&mut world, id), "after {delay_ms} ms");
        world.run_for(2_000);
        assert!(holders(&world).is_empty(), "after {delay_ms} ms");
    }
}

#[test]
fn cancelling_stops_both_runs() {
    let mut world = World::new(4);
    world.run_for(200);
    world.nodes[0].hangs = true;
    world.nodes[1].hangs = true;
    world.nodes[2].hangs = true;
    world.nodes[3].hangs = true;
    let id = world.submit("quick", 1, speculative(1, 700));
    world.run_for(2_500);
    assert_eq!(holders(&world).len(), 2);
    world.cancel(id);
    world.run_for(500);
    assert!(holders(&world).is_empty());
}

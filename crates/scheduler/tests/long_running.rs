//! Tasks that last, and tasks that take long.

mod world;

use indigofold_protocol::job::Step;
use indigofold_protocol::task::JobId;
use world::{World, spec, step};

fn runs_of(world: &World, job: JobId) -> usize {
    let running = world.nodes.iter().flat_map(|node| node.running.keys());
    running.filter(|run| run.task.job == job).count()
}

/// A task that lasts earns as long as it runs: once lost, it goes before work of its priority that came later.
#[test]
fn a_lasting_task_comes_back_before_later_work() {
    let mut world = World::new(5);
    world.run_for(200);
    let watcher = world.submit(
        "vision",
        1,
        spec(vec![Step {
            long_running: true,
            ..step(1, 15_000, 400)
        }]),
    );
    world.run_for(30_000);
    let at = world
        .nodes
        .iter()
        .position(|node| node.used().cpu == 15_000)
        .expect("the watcher runs");
    for number in 0..30 {
        world.submit("vision", 100 + number, spec(vec![step(6, 15_000, 3_000)]));
    }
    world.run_for(500);
    let (now_ms, back_ms) = (world.now_ms, 500);
    world.nodes[at].crash(now_ms, back_ms);
    world.run_for(9_000);
    assert!(
        runs_of(&world, watcher) > 0,
        "the watcher waits behind work that ends"
    );
}

/// Jobs of one class differ far more than workers: a long task alone is no reason to begin anew elsewhere.
#[test]
fn a_long_task_is_not_moved_for_its_length() {
    let mut world = World::new(6);
    world.run_for(200);
    for number in 0..10 {
        world.submit("quick", 100 + number, spec(vec![step(2, 240, 700)]));
        world.run_for(1_500);
    }
    world.submit("quick", 1, spec(vec![step(2, 240, 9_000)]));
    world.run_for(15_000);
    assert_eq!(world.stopped_core_ms, 0.0);
}

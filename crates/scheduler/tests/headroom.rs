//! Room kept free for small urgent tasks.

mod world;

use world::{World, spec, step};

/// Processors in use on the workers of the service `s`, in thousandths of a core.
fn used(world: &World) -> u64 {
    world.nodes[..4].iter().map(|node| node.used().cpu).sum()
}

/// Work with time to spare leaves room while small urgent tasks keep coming, and takes it once they do not.
#[test]
fn work_with_time_leaves_room_for_urgent_tasks() {
    let mut world = World::new(11);
    world.run_for(200);
    world.submit("quick", 1, spec(vec![step(4, 240, 300)]));
    world.run_for(1_000);
    world.submit("bulk", 2, spec(vec![step(64, 1_000, 30_000)]));
    world.run_for(500);
    let all = 4 * 16_000;
    assert!(
        (all * 8 / 10..=all * 9 / 10).contains(&used(&world)),
        "{} of {all} are used",
        used(&world)
    );
    world.run_for(11_000);
    assert_eq!(used(&world), all, "nothing urgent came for long");
}

/// Where nothing small is urgent, all room is used at once.
#[test]
fn without_urgent_tasks_nothing_is_left_free() {
    let mut world = World::new(12);
    world.run_for(200);
    world.submit("bulk", 2, spec(vec![step(64, 1_000, 30_000)]));
    world.run_for(500);
    assert_eq!(used(&world), 4 * 16_000);
}

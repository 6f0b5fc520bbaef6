//! Tasks that run faster in some places than in others, when there is too little room.

mod world;

use indigofold_protocol::job::Step;
use indigofold_protocol::task::JobId;
use world::{World, spec, step};

/// Runs of a job on the nodes of rack `r1-2`.
fn runs_on_other_rack(world: &World, job: JobId) -> usize {
    world.nodes[2..4]
        .iter()
        .flat_map(|node| node.running.keys())
        .filter(|run| run.task.job == job)
        .count()
}

/// More tasks want one rack than it holds, and others of their priority wait too: room elsewhere goes to those, as
/// tasks away from their data would hold it for several times as long.
#[test]
fn room_goes_first_to_tasks_that_run_at_full_speed_there() {
    let mut world = World::new(1);
    world.run_for(200);
    world.submit("quick", 1, spec(vec![step(64, 1_000, 2_000)]));
    world.run_for(100);
    let near_data = Step {
        affinity: "r1-1".to_owned(),
        ..step(64, 1_000, 1_000)
    };
    let placed = world.submit("quick", 2, spec(vec![near_data]));
    let plain = world.submit("quick", 3, spec(vec![step(64, 1_000, 1_000)]));
    let mut plain_ran = 0;
    for _ in 0..40 {
        world.run_for(100);
        let plain_waits = world
            .history
            .keys()
            .filter(|task| task.job == plain)
            .count()
            < 64;
        if plain_waits {
            assert_eq!(
                runs_on_other_rack(&world, placed),
                0,
                "at {} ms",
                world.now_ms
            );
        }
        plain_ran = plain_ran.max(runs_on_other_rack(&world, plain));
    }
    assert!(plain_ran > 0);
}

/// Room that nobody else of their priority wants is used by tasks away from their data, after a while.
#[test]
fn room_that_nobody_wants_is_used_away_from_the_data() {
    let mut world = World::new(2);
    world.run_for(200);
    let near_data = Step {
        affinity: "r1-1".to_owned(),
        ..step(64, 1_000, 8_000)
    };
    let placed = world.submit("quick", 1, spec(vec![near_data]));
    world.run_for(500);
    assert_eq!(runs_on_other_rack(&world, placed), 0);
    world.run_for(1_500);
    assert_eq!(runs_on_other_rack(&world, placed), 32);
}

//! No job sits idle while there is room for it, whatever keeps the scheduler from the workers that it would prefer.

mod world;

use indigofold_protocol::job::Step;
use rstest::rstest;
use world::{World, spec, step};

/// What is asked of workers that have all failed, hung or been slow before.
#[derive(Clone, Copy, Debug)]
enum Asked {
    Anything,
    Label,
    Apart,
    Rack,
    Together,
    Lasting,
}

fn asked(what: Asked) -> Step {
    let plain = step(2, 240, 400);
    match what {
        Asked::Anything => plain,
        Asked::Label => Step {
            requirements: "b".to_owned(),
            ..plain
        },
        Asked::Apart => Step {
            anti_affinity: 1,
            ..plain
        },
        Asked::Rack => Step {
            affinity: "r1-2".to_owned(),
            ..plain
        },
        Asked::Together => Step {
            gang: true,
            rack_local: true,
            ..plain
        },
        Asked::Lasting => Step {
            long_running: true,
            ..plain
        },
    }
}

fn set_fails(world: &mut World, fails: bool) {
    world.nodes.iter_mut().for_each(|node| node.fails = fails);
}

/// All workers have failed for a while: they are suspected, then on trial.
#[rstest]
fn only_suspected_workers_are_left(
    #[values(
        Asked::Anything,
        Asked::Label,
        Asked::Apart,
        Asked::Rack,
        Asked::Together,
        Asked::Lasting
    )]
    what: Asked,
    #[values(true, false)] lasting_work: bool,
    #[values(true, false)] recovers: bool,
) {
    let mut world = World::new(1);
    world.watches_idle = true;
    world.run_for(200);
    if lasting_work {
        world.submit(
            "bulk",
            500,
            spec(vec![Step {
                long_running: true,
                anti_affinity: 1,
                ..step(4, 100, 100)
            }]),
        );
        world.run_for(300);
    }
    set_fails(&mut world, true);
    for number in 0..12 {
        world.submit("quick", 100 + number, spec(vec![step(6, 240, 200)]));
        world.run_for(150);
    }
    set_fails(&mut world, !recovers);
    for number in 0..12 {
        world.submit("quick", 1 + number, spec(vec![asked(what)]));
        world.run_for(700);
    }
    world.run_for(6_000);
}

/// A gang waits for whole workers of which one is long in use: the rest of the service is kept for it, but not from
/// those that would sit idle.
#[rstest]
#[case::gang(Step { gang: true, gpu: 1, ..step(2, 2_000, 9_000) })]
#[case::long(Step { gpu: 1, ..step(2, 2_000, 9_000) })]
#[case::lasting(Step { long_running: true, gpu: 1, ..step(2, 2_000, 500) })]
#[case::large(Step { gpu: 3, ..step(1, 9_000, 9_000) })]
fn others_wait_only_so_long_for_reserved_workers(#[case] other: Step) {
    let mut world = World::new(2);
    world.watches_idle = true;
    world.run_for(200);
    world.submit(
        "vision",
        1,
        spec(vec![Step {
            gpu: 1,
            ..step(1, 2_000, 30_000)
        }]),
    );
    world.run_for(200);
    world.submit(
        "vision",
        2,
        spec(vec![Step {
            gang: true,
            gpu: 8,
            ..step(3, 4_000, 1_000)
        }]),
    );
    world.run_for(300);
    for number in 0..3 {
        world.submit("vision", 3 + number, spec(vec![other.clone()]));
        world.run_for(400);
    }
    world.run_for(6_000);
}

/// Steps that come first in the queue but may not use a worker yet hide none that may.
#[test]
fn newcomers_do_not_hide_who_has_waited() {
    let mut world = World::new(3);
    world.watches_idle = true;
    world.run_for(200);
    world.submit(
        "vision",
        1,
        spec(vec![Step {
            gpu: 1,
            ..step(1, 2_000, 60_000)
        }]),
    );
    world.run_for(200);
    world.submit(
        "vision",
        2,
        spec(vec![Step {
            gang: true,
            gpu: 8,
            ..step(3, 4_000, 1_000)
        }]),
    );
    for number in 0..40 {
        world.submit(
            "vision",
            10 + number,
            spec(vec![Step {
                gpu: 1,
                ..step(1, 1_000, 9_000)
            }]),
        );
        world.run_for(300);
        if number == 3 {
            let large = Step {
                gpu: 1,
                ..step(1, 1_500, 20_000)
            };
            world.submit("vision", 9, spec(vec![large]));
        }
    }
}

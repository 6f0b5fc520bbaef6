//! The rules over many random days: crashes, drains, cuts, take-overs, cancels.

mod world;

use indigofold_protocol::job::{JobSpec, JobState, Step};
use indigofold_protocol::task::JobId;
use rstest::rstest;
use world::{World, spec, step};

/// What may go wrong on a day.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Calm,
    Cancels,
    Crashes,
    Cuts,
    TakeOvers,
    Drains,
    Grey,
    All,
}

fn random_job(world: &mut World) -> (&'static str, JobSpec) {
    let dice = &mut world.dice;
    let after_first = Step {
        depends_on: vec![0],
        checkpoints: true,
        ..step(3, 400, 600)
    };
    match dice.below(8) {
        0 => (
            "quick",
            spec(vec![
                Step {
                    speculative: true,
                    ..step(6, 240, 700)
                },
                after_first,
            ]),
        ),
        1..3 => (
            "quick",
            spec(vec![step(6, 240, 300 + dice.below(600)), after_first]),
        ),
        3 => {
            let wide = Step {
                speculative: true,
                ..step(14, 520, 2_000)
            };
            (
                "bulk",
                spec(vec![
                    wide,
                    Step {
                        anti_affinity: 2,
                        speculative: true,
                        ..step(6, 500, 800)
                    },
                ]),
            )
        }
        4 => (
            "bulk",
            spec(vec![Step {
                requirements: "b".to_owned(),
                ..step(4, 2_000, 900)
            }]),
        ),
        5 => (
            "vision",
            spec(vec![Step {
                gang: true,
                rack_local: true,
                gpu: 4,
                ..step(2, 15_000, 1_500)
            }]),
        ),
        6 => (
            "vision",
            spec(vec![Step {
                gpu: 1,
                affinity: "r1-1".to_owned(),
                ..step(6, 2_800, 1_000)
            }]),
        ),
        _ => {
            let start_at_ms = world.wall_ms() + world.dice.below(1_500);
            let plain = spec(vec![step(2, 300, 500)]);
            (
                "quick",
                JobSpec {
                    repeat_count: 3,
                    start_at_ms,
                    interval_ms: 400,
                    ..plain
                },
            )
        }
    }
}

fn trouble(world: &mut World, kind: Trouble, ids: &[JobId]) {
    let all = matches!(kind, Trouble::All);
    let nodes = world.nodes.len() as u64;
    let node = world.dice.below(nodes) as usize;
    if (all || matches!(kind, Trouble::Cancels)) && world.dice.chance(25) && !ids.is_empty() {
        let id = ids[world.dice.below(ids.len() as u64) as usize];
        world.cancel(id);
    }
    if (all || matches!(kind, Trouble::Crashes)) && world.dice.chance(8) && world.nodes[node].up {
        let back_ms = 300 + world.dice.below(3_000);
        world.nodes[node].crash(world.now_ms, back_ms);
    }
    if (all || matches!(kind, Trouble::Cuts)) && world.dice.chance(8) {
        if world.nodes[node].connected {
            world.disconnect(node);
        } else {
            world.connect(node);
        }
    }
    if (all || matches!(kind, Trouble::TakeOvers)) && world.dice.chance(4) {
        world.take_over();
    }
    if (all || matches!(kind, Trouble::Drains)) && world.dice.chance(4) {
        let until_ms = world.now_ms + 1_500 + world.dice.below(4_000);
        world.nodes[node].drains_until_ms.get_or_insert(until_ms);
        world.nodes[node].urgent = true;
    }
    if (all || matches!(kind, Trouble::Grey)) && world.dice.chance(3) {
        world.nodes[node].hangs ^= true;
    }
}

fn play(kind: Trouble, seed: u64) {
    let mut world = World::new(seed);
    world.calm = matches!(kind, Trouble::Calm | Trouble::Cancels);
    world.watches_idle = matches!(
        kind,
        Trouble::Calm | Trouble::Cancels | Trouble::Drains | Trouble::Grey
    );
    let mut ids = Vec::new();
    for number in 0..60 {
        let (route, spec) = random_job(&mut world);
        ids.push(world.submit(route, number + 1, spec));
        let pause_ms = 50 + world.dice.below(300);
        world.run_for(pause_ms);
        trouble(&mut world, kind, &ids);
        if world.dice.chance(30) {
            let id = ids[world.dice.below(ids.len() as u64) as usize];
            world.get(id);
        }
    }
    settle(&mut world, &ids);
}

/// Trouble ends; every job that was taken must come to its end.
fn settle(world: &mut World, ids: &[JobId]) {
    for node in 0..world.nodes.len() {
        world.nodes[node].hangs = false;
        if !world.nodes[node].connected {
            world.connect(node);
        }
    }
    for _ in 0..60 {
        world.run_for(1_000);
        let open = ids
            .iter()
            .filter(|id| world.jobs[id].ended_ms.is_none())
            .copied();
        let open: Vec<JobId> = open
            .filter(|id| world.jobs[id].accepted_ms.is_some())
            .collect();
        if open.is_empty() {
            break;
        }
        open.into_iter().for_each(|id| world.get(id));
    }
    for id in ids {
        let job = &world.jobs[id];
        let due = job.accepted_ms.is_some() && job.cancelled_ms.is_none();
        let completed =
            job.state == Some(JobState::Completed) || job.state == Some(JobState::Cancelled);
        assert!(
            !due || completed,
            "{id} ({:?}) is {:?} at the end",
            job.spec,
            job.state
        );
    }
    assert!(
        world.nodes.iter().all(|node| node.running.is_empty()),
        "something still runs"
    );
}

#[rstest]
fn rules_hold(
    #[values(
        Trouble::Calm,
        Trouble::Cancels,
        Trouble::Crashes,
        Trouble::Cuts,
        Trouble::TakeOvers,
        Trouble::Drains,
        Trouble::Grey,
        Trouble::All
    )]
    kind: Trouble,
) {
    (1..=12).for_each(|seed| play(kind, seed));
}

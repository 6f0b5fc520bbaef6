//! Saved progress: what a run has reported last is what the next one resumes from, however the first came to its end.

mod world;

use indigofold_protocol::internal::{LEASE_AUTHORITY_MS, RUN_LEASE_MS};
use indigofold_protocol::job::{JobState, Step};
use indigofold_protocol::task::JobId;
use world::{World, spec, step};

/// A silent companion's holds have all lapsed after this time, whatever the clocks.
const LAPSED_MS: u64 = (LEASE_AUTHORITY_MS + RUN_LEASE_MS) * 105 / 100 + 300;

fn holders(world: &World) -> Vec<usize> {
    (0..world.nodes.len())
        .filter(|node| !world.nodes[*node].running.is_empty())
        .collect()
}

/// Progress that the runs at work resumed from: number of half seconds.
fn resumed_halves(world: &World) -> Vec<u64> {
    let runs = world
        .nodes
        .iter()
        .filter(|node| node.connected)
        .flat_map(|node| node.running.values());
    runs.map(|run| {
        run.order
            .checkpoint
            .rsplit(':')
            .next()
            .and_then(|halves| halves.parse().ok())
            .unwrap_or(0)
    })
    .collect()
}

fn completes(world: &mut World, id: JobId) {
    world.run_for(8_000);
    world.get(id);
    world.run_for(50);
    assert_eq!(world.jobs[&id].state, Some(JobState::Completed));
}

fn checkpointed(count: u32, ms: u64) -> Step {
    Step {
        checkpoints: true,
        ..step(count, 500, ms)
    }
}

#[test]
fn a_lapsed_run_is_resumed_from_its_last_report() {
    let mut world = World::new(1);
    world.calm = false;
    world.run_for(200);
    let id = world.submit("bulk", 1, spec(vec![checkpointed(1, 60_000)]));
    world.run_for(5_000);
    let first = holders(&world)[0];
    world.disconnect(first);
    world.run_for(LAPSED_MS + 500);
    assert!(
        resumed_halves(&world)[0] >= 6,
        "{:?}",
        resumed_halves(&world)
    );
    world.cancel(id);
}

#[test]
fn a_crashed_run_is_resumed_from_its_last_report() {
    let mut world = World::new(2);
    world.run_for(200);
    let id = world.submit("bulk", 1, spec(vec![checkpointed(1, 6_000)]));
    world.run_for(4_000);
    let first = holders(&world)[0];
    world.nodes[first].crash(world.now_ms, 500);
    world.run_for(400);
    assert!(
        resumed_halves(&world)[0] >= 4,
        "{:?}",
        resumed_halves(&world)
    );
    completes(&mut world, id);
}

/// Head and worker are lost at the same moment: the row has the progress of a few seconds before.
#[test]
fn a_successor_knows_saved_progress_from_the_rows() {
    for run_ms in [4_000, 4_700, 5_500, 7_300] {
        let mut world = World::new(run_ms);
        world.calm = false;
        world.run_for(200);
        let id = world.submit("bulk", 1, spec(vec![checkpointed(2, 9_000)]));
        world.run_for(run_ms);
        holders(&world)
            .into_iter()
            .for_each(|node| world.nodes[node].crash(world.now_ms, 500));
        world.take_over();
        world.run_for(1_000);
        let least = (run_ms - 3_500) / 500;
        let resumed = resumed_halves(&world);
        assert!(
            resumed.len() == 2 && resumed.iter().all(|halves| *halves >= least),
            "{resumed:?}"
        );
        world.cancel(id);
    }
}

/// A gang resumes from the newest text of any member, the same for all (checked at each start).
#[test]
fn a_gang_is_resumed_from_the_newest_text() {
    let mut world = World::new(4);
    world.calm = false;
    world.run_for(200);
    let gang = Step {
        gang: true,
        gpu: 4,
        ..checkpointed(2, 8_000)
    };
    let id = world.submit("vision", 1, spec(vec![gang]));
    world.run_for(5_000);
    let first = holders(&world)[0];
    world.nodes[first].crash(world.now_ms, 500);
    world.take_over();
    world.run_for(1_500);
    let resumed = resumed_halves(&world);
    assert!(
        resumed.len() == 2 && resumed.iter().all(|halves| *halves >= 4),
        "{resumed:?}"
    );
    completes(&mut world, id);
}

/// When one member's worker drains, the gang is stopped as a whole and goes on elsewhere from where it was.
#[test]
fn a_gang_moves_when_one_worker_drains() {
    let mut world = World::new(5);
    world.run_for(200);
    let gang = Step {
        gang: true,
        gpu: 8,
        ..checkpointed(2, 9_000)
    };
    let id = world.submit("vision", 1, spec(vec![gang]));
    world.run_for(4_000);
    let first = holders(&world)[0];
    world.nodes[first].drains_until_ms = Some(world.now_ms + 2_500);
    world.nodes[first].urgent = true;
    world.run_for(1_200);
    let resumed = resumed_halves(&world);
    assert!(
        !world.nodes[first]
            .running
            .keys()
            .any(|run| run.task.job == id)
    );
    assert!(
        resumed.len() == 2 && resumed.iter().all(|halves| *halves >= 6),
        "{resumed:?}"
    );
    world.run_for(4_000);
    completes(&mut world, id);
}

/// Saved progress costs a write every other second, whatever the number of jobs.
#[test]
fn saved_progress_is_written_seldom() {
    let mut world = World::new(6);
    world.run_for(200);
    for number in 0..8 {
        world.submit("bulk", 1 + number, spec(vec![checkpointed(4, 60_000)]));
    }
    world.run_for(1_000);
    let before = world.writes_made;
    world.run_for(20_000);
    let made = world.writes_made - before;
    assert!((5..=13).contains(&made), "{made} writes in 20 s");
}

//! Due times follow the steady clock: a step of the time of day moves none of them.

mod world;

use indigofold_protocol::job::{JobSpec, JobState};
use rstest::rstest;
use world::{World, spec, step};

#[rstest]
#[case::forward(2_400_000)]
#[case::back(-2_400_000)]
fn a_step_of_the_time_of_day_moves_no_due_time(#[case] by_ms: i64) {
    let mut world = World::new(1);
    world.run_for(200);
    let start_at_ms = world.wall_ms() + 4_000;
    let job = JobSpec {
        repeat_count: 3,
        start_at_ms,
        interval_ms: 1_000,
        ..spec(vec![step(2, 240, 300)])
    };
    let id = world.submit("quick", 1, job);
    world.run_for(1_000);
    world.clock_step_ms = by_ms;
    world.run_for(5_000);
    world.clock_step_ms = 0;
    world.run_for(2_000);
    world.get(id);
    world.run_for(50);
    assert_eq!(world.jobs[&id].state, Some(JobState::Completed));
}

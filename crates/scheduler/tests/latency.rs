//! A job that ends late, or fails, is told with where its time went; one that ends in time is not.

mod world;

use indigofold_protocol::job::{JobState, Step};
use indigofold_protocol::task::TaskName;
use indigofold_scheduler::{Cause, LateEnd};
use world::{World, spec, step};

/// What was told of the only late end.
fn only_late_end(world: &World) -> &LateEnd {
    assert_eq!(world.late.len(), 1, "{:?}", world.late);
    &world.late[0]
}

/// The parts make up the whole, but for what rounding takes.
fn assert_whole(end: &LateEnd) {
    let causes = [
        Cause::Before,
        Cause::Turn,
        Cause::Room,
        Cause::Place,
        Cause::Commit,
        Cause::Way,
        Cause::Run,
        Cause::Away,
        Cause::Failed,
        Cause::Stopped,
        Cause::Lost,
    ];
    let sum: u64 = causes.iter().map(|cause| end.delays.of(*cause)).sum();
    assert!(
        end.took_ms.abs_diff(sum) <= 12,
        "{end}: the parts make {sum} ms"
    );
}

#[test]
fn a_job_in_time_is_not_told() {
    let mut world = World::new(1);
    world.run_for(200);
    world.submit("quick", 1, spec(vec![step(8, 500, 700)]));
    world.run_for(3_000);
    assert_eq!(world.late, vec![]);
}

/// Two steps, both behind a full service; the second one's first run fails.
#[test]
fn waits_runs_and_failures_make_up_the_whole_time() {
    let mut world = World::new(2);
    world.run_for(200);
    world.submit("quick", 1, spec(vec![step(64, 1_000, 6_000)]));
    world.run_for(100);
    let second = Step {
        depends_on: vec![0],
        ..step(1, 1_000, 500)
    };
    let job = world.submit("quick", 2, spec(vec![step(2, 1_000, 500), second]));
    world.work.insert(
        TaskName {
            job,
            repeat: 0,
            step: 1,
            index: 0,
        },
        (500, 1),
    );
    world.run_for(12_000);
    let end = only_late_end(&world);
    assert_eq!(
        (end.job, end.state, end.route.as_str()),
        (job, JobState::Completed, "quick")
    );
    assert_whole(end);
    assert!(end.delays.of(Cause::Room) > 4_000, "{end}");
    assert!((500..800).contains(&end.delays.of(Cause::Failed)), "{end}");
    assert!((900..1_300).contains(&end.delays.of(Cause::Run)), "{end}");
    assert!(end.delays.of(Cause::Commit) >= 24, "{end}");
}

/// The rack with the data is full, others are not: the wait is for the place, not for room.
#[test]
fn a_wait_for_the_data_is_told_as_one() {
    let mut world = World::new(3);
    world.run_for(200);
    let in_rack = |count, ms| Step {
        affinity: "r1-1".to_owned(),
        ..step(count, 1_000, ms)
    };
    world.submit("quick", 1, spec(vec![in_rack(32, 2_000)]));
    world.run_for(50);
    let job = world.submit("quick", 2, spec(vec![in_rack(1, 300)]));
    world.work.insert(
        TaskName {
            job,
            repeat: 0,
            step: 0,
            index: 0,
        },
        (2_500, 0),
    );
    world.run_for(6_000);
    let told = world
        .late
        .iter()
        .find(|end| end.job == job)
        .expect("it is late");
    assert_whole(told);
    assert!(told.delays.of(Cause::Place) > 100, "{told}");
    assert_eq!(told.delays.of(Cause::Turn), 0, "{told}");
}

#[test]
fn a_failed_job_is_told() {
    let mut world = World::new(4);
    world.run_for(200);
    let job = world.submit("quick", 1, spec(vec![step(1, 1_000, 300)]));
    world.work.insert(
        TaskName {
            job,
            repeat: 0,
            step: 0,
            index: 0,
        },
        (300, 9),
    );
    world.run_for(4_000);
    let end = only_late_end(&world);
    assert_eq!((end.job, end.state), (job, JobState::Failed));
    assert!(end.delays.of(Cause::Failed) > 900, "{end}");
    assert_whole(end);
}

/// The head is lost: its successor did not see what went before and says so.
#[test]
fn time_under_a_predecessor_is_told_as_such() {
    let mut world = World::new(5);
    world.run_for(200);
    world.submit("quick", 1, spec(vec![step(64, 1_000, 2_500)]));
    world.run_for(100);
    let job = world.submit("quick", 2, spec(vec![step(1, 1_000, 300)]));
    world.run_for(1_000);
    world.take_over();
    world.run_for(8_000);
    let told = world
        .late
        .iter()
        .find(|end| end.job == job)
        .expect("it is late");
    assert!(
        (800..1_300).contains(&told.delays.of(Cause::Before)),
        "{told}"
    );
    assert_whole(told);
}

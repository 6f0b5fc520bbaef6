//! Jobs that cannot be read or done are refused with a reason.

mod world;

use indigofold_protocol::internal::ClientOutcome;
use indigofold_protocol::job::{JobSpec, Step};
use rstest::rstest;
use world::{World, spec, step};

#[rstest]
#[case::no_steps(spec(vec![]), "stages")]
#[case::no_tasks(spec(vec![step(0, 100, 100)]), "count")]
#[case::itself(spec(vec![Step { depends_on: vec![0], ..step(1, 100, 100) }]), "depends_on")]
#[case::later(spec(vec![step(1, 1, 1), Step { depends_on: vec![2], ..step(1, 1, 1) }, step(1, 1, 1)]), "depends_on")]
#[case::long(JobSpec { spec: "x".repeat(4_001), ..spec(vec![step(1, 1, 1)]) }, "spec")]
fn an_invalid_job_is_refused(#[case] job: JobSpec, #[case] named: &str) {
    let mut world = World::new(1);
    world.submit("quick", 1, job);
    let Some(ClientOutcome::Invalid { reason }) =
        world.replies.first().map(|reply| reply.outcome.clone())
    else {
        panic!("{:?}", world.replies);
    };
    assert!(reason.contains(named), "{reason}");
    world.run_for(1_000);
    let of_lives = world.rows.keys().all(|key| key.starts_with(b"life/"));
    assert!(
        world.history.is_empty() && of_lives,
        "nothing is kept of the job"
    );
}

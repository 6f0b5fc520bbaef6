//! Due times follow the monotonic clock: a step of the wall-clock time does not move them.

mod cluster;

use cluster::{Cluster, spec, step};
use indigofold_protocol::job::{JobSpec, JobState};
use rstest::rstest;

#[rstest]
#[case::forward(2_400_000)]
#[case::back(-2_400_000)]
fn a_wall_clock_step_does_not_move_due_times(#[case] step_ms: i64) {
    let mut cluster = Cluster::started(1);
    let start_at_ms = cluster.wall_ms() + 4_000;
    let job = JobSpec {
        repeat_count: 3,
        start_at_ms,
        interval_ms: 1_000,
        ..spec(vec![step(2, 240, 300)])
    };
    let id = cluster.submit("quick", 1, job);
    cluster.run_for(1_000);
    cluster.clock_step_ms = step_ms;
    cluster.run_for(5_000);
    cluster.clock_step_ms = 0;
    cluster.run_for(2_000);
    assert_eq!(cluster.state_of(id), Some(JobState::Completed));
}

//! Many steps that no worker can take at present, and the steps behind them.

mod cluster;

use cluster::{Cluster, spec, step};
use indigofold_protocol::job::{JobState, Step};
use indigofold_protocol::task::JobId;
use rstest::rstest;

/// Number of jobs that only lost workers could run; more than a pass looks at from the head of the queue.
const BLOCKED_JOBS: u64 = 600;
/// Maximum time from the submission of the other jobs to their start.
const START_MS: u64 = 1_000;

/// What keeps the first steps waiting.
#[derive(Clone, Copy, Debug)]
enum Missing {
    Label,
    Size,
    GangMembers,
}

impl Missing {
    /// A step that no worker of the cluster can take.
    fn step(self) -> Step {
        match self {
            Missing::Label => Step {
                requirements: "gone".to_owned(),
                ..step(1, 500, 2_000)
            },
            Missing::Size => step(1, 17_000, 2_000),
            Missing::GangMembers => Step {
                gang: true,
                ..step(5, 15_000, 2_000)
            },
        }
    }
}

/// Failure: once 400 steps waited for a kind of worker that was lost for good, jobs behind them in the queue stood still
/// beside idle workers.
#[rstest]
fn jobs_behind_many_steps_that_no_worker_can_take_are_started(
    #[values(Missing::Label, Missing::Size, Missing::GangMembers)] missing: Missing,
    #[values(false, true)] long_running: bool,
) {
    let mut cluster = Cluster::started(1);
    for id in 1..=BLOCKED_JOBS {
        cluster.submit("quick", id, spec(vec![missing.step()]));
    }
    cluster.run_for(1_000);
    let waiting_job = Step {
        long_running,
        ..step(2, 500, 5_000)
    };
    let id = cluster.submit("bulk", BLOCKED_JOBS + 1, spec(vec![waiting_job]));
    cluster.run_for(START_MS);
    assert!(cluster.run_count(id) > 0, "the job stands still");
    assert_eq!(cluster.pending("quick"), BLOCKED_JOBS);
}

/// The steps of the kind that was missing are started once a worker of that kind is there.
#[test]
fn steps_that_waited_for_a_worker_are_started_when_it_comes() {
    let mut cluster = Cluster::started(2);
    for id in 1..=BLOCKED_JOBS {
        cluster.submit("quick", id, spec(vec![Missing::Label.step()]));
    }
    cluster.run_for(1_000);
    cluster.nodes[0].labels.push("gone".to_owned());
    cluster.nodes[0].report_now = true;
    cluster.run_for(1_000);
    let started = (1..=BLOCKED_JOBS).filter(|id| cluster.run_count(JobId(*id)) > 0);
    assert_eq!(started.count(), 32, "as many as fit at once");
    assert_eq!(
        cluster.state_of(JobId(BLOCKED_JOBS)),
        Some(JobState::Queued)
    );
}

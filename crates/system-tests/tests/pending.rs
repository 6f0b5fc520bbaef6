//! The count of pending jobs and the states of jobs, while workers and heads are lost between the placement of a task and its
//! beginning.

use indigofold_system_tests::client::SubmittedJob;
use indigofold_system_tests::cluster::{Cluster, START_TIMEOUT};
use indigofold_system_tests::configuration::BATCH;
use indigofold_system_tests::environment::JobState;
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::programs;
use indigofold_system_tests::system::MachineCounts;
use rstest::rstest;
use std::time::Duration;

/// Index of the worker that is lost.
const WORKER: usize = 1;
/// Number of jobs that only it can run.
const JOBS: u64 = 4;
/// Time from the submission until the tasks are placed on the lost worker, which still counts as responsive.
const PLACED: Duration = Duration::from_millis(300);
/// Time from the submission until the loss of the worker is noticed and the tasks wait again.
const REQUEUED: Duration = Duration::from_secs(6);
/// Time between two reads of the count.
const READ_INTERVAL: Duration = Duration::from_millis(200);
/// Age that a count may have.
const COUNT_AGE: Duration = Duration::from_secs(2);

/// A fault of the head.
#[derive(Clone, Copy, Debug)]
enum HeadFault {
    None,
    /// Stopped and started again, as planned work.
    Restart,
    Kill,
}

impl HeadFault {
    fn inject(self, cluster: &mut Cluster) {
        let head = cluster.head();
        match self {
            HeadFault::None => return,
            HeadFault::Restart => cluster.terminate_and_wait(head),
            HeadFault::Kill => cluster.system.kill(head),
        }
        cluster.start_machine(head);
    }
}

/// Submits jobs of one task that only the worker with this index can run.
fn submit_jobs(cluster: &Cluster, work_ms: u64) -> Vec<SubmittedJob> {
    let label = format!("only-{WORKER}");
    let job = Job::new(vec![Step::new(1, work_ms).requires(&label)]);
    (0..JOBS).map(|_| cluster.submit(BATCH, &job)).collect()
}

/// Reads the count again and again for this time, and checks each.
fn expect_pending_for(cluster: &Cluster, time: Duration, expected: u64) {
    let until = cluster.environment.now() + time;
    while cluster.environment.now() < until {
        assert_eq!(cluster.pending(BATCH), expected, "pending jobs");
        cluster.environment.signal().sleep(READ_INTERVAL);
    }
}

fn expect_states(cluster: &Cluster, submitted: &[SubmittedJob], expected: JobState) {
    for job in submitted {
        assert_eq!(cluster.state(job), Some(expected), "state of {}", job.id);
    }
}

/// Failure: jobs placed on a worker that had just been lost were not counted as pending and were shown as `running`, though
/// none had begun, until another worker could run them, and under each later head.
#[rstest]
#[case::no_fault(HeadFault::None, PLACED)]
#[case::head_restarted_while_placed(HeadFault::Restart, PLACED)]
#[case::head_killed_while_placed(HeadFault::Kill, PLACED)]
#[case::head_restarted_when_requeued(HeadFault::Restart, REQUEUED)]
fn jobs_placed_on_a_lost_worker_stay_pending(
    #[case] head_fault: HeadFault,
    #[case] after: Duration,
) {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let before = submit_jobs(&cluster, 50);
    cluster.expect_all_completed(&before);
    cluster.workers[WORKER].crash();
    let submitted = submit_jobs(&cluster, 300);
    expect_pending_for(&cluster, after, JOBS);
    head_fault.inject(&mut cluster);
    expect_pending_for(&cluster, REQUEUED, JOBS);
    expect_states(&cluster, &submitted, JobState::Queued);
    cluster
        .client
        .cancel(&submitted[0])
        .expect("the cancellation should be acknowledged");
    expect_pending_for(&cluster, READ_INTERVAL, JOBS - 1);

    cluster.workers[WORKER].restart();
    cluster.expect_all_completed(&submitted[1..]);
    expect_pending_for(&cluster, READ_INTERVAL, 0);
    cluster.finish();
}

/// Jobs that have begun are never counted again, though their worker is lost, and the head with it or later.
#[rstest]
#[case::no_fault(HeadFault::None)]
#[case::head_killed_with_the_worker(HeadFault::Kill)]
fn jobs_that_have_begun_are_not_pending_again(#[case] head_fault: HeadFault) {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let submitted = submit_jobs(&cluster, 60_000);
    cluster.wait_for("the beginning of all jobs", START_TIMEOUT, || {
        (cluster.pending(BATCH) == 0).then_some(())
    });
    expect_pending_for(&cluster, COUNT_AGE, 0);
    cluster.workers[WORKER].crash();
    head_fault.inject(&mut cluster);
    expect_pending_for(&cluster, REQUEUED, 0);
    expect_states(&cluster, &submitted, JobState::Running);
    for job in &submitted {
        let cancelled = cluster.client.cancel(job);
        cancelled.expect("the cancellation should be acknowledged");
    }
    cluster.finish();
}

//! Scheduling while no process fails: stalled tasks, preemption on full workers, checkpoints, repetitions.

use indigofold_system_tests::cluster::Cluster;
use indigofold_system_tests::configuration::{BATCH, QUICK};
use indigofold_system_tests::environment::Event;
use indigofold_system_tests::http::Request;
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::programs;
use indigofold_system_tests::system::MachineCounts;
use indigofold_system_tests::wire::EndReason;
use rstest::rstest;
use std::time::Duration;

#[rstest]
fn a_stalled_task_is_retried() {
    let cluster = Cluster::start(programs!(), MachineCounts::default());
    let submitted = cluster.submit(QUICK, &Job::new(vec![Step::new(2, 300).first_hangs()]));
    cluster.expect_completed(&submitted);
    assert_eq!(cluster.count_ends(&submitted, EndReason::Stopped), 2);
    cluster.finish();
}

/// Long tasks on full workers are preempted for a job of higher priority, and complete later.
#[rstest]
fn an_urgent_job_preempts_long_ones() {
    let cluster = Cluster::start(programs!(), MachineCounts::with_sides(2));
    let long = cluster.submit(
        BATCH,
        &Job::new(vec![Step::new(8, 8_000).cpu(1_000).checkpoints()]),
    );
    cluster.wait_starts(&long, 8);
    let urgent = cluster.submit(QUICK, &Job::new(vec![Step::new(2, 200).cpu(1_000)]));
    cluster.expect_completed(&urgent);
    let done = cluster.count_ends(&long, EndReason::Done);
    assert_eq!(
        done, 0,
        "the urgent job completed only after a long task was done"
    );
    cluster.finish();
}

#[rstest]
fn a_retried_task_resumes_from_its_checkpoint() {
    let cluster = Cluster::start(programs!(), MachineCounts::default());
    let submitted = cluster.submit(QUICK, &Job::new(vec![Step::new(1, 4_000).checkpoints()]));
    let worker = cluster.wait_started(&submitted);
    let started = cluster.environment.now();
    cluster.wait_for_record("a checkpoint", |_| {
        (cluster.environment.now() > started + cluster.environment.bounds().checkpoint_interval * 2)
            .then_some(())
    });
    cluster.workers[worker].restart();
    cluster.expect_completed(&submitted);
    let resumed = cluster.environment.read(|record| {
        let events = record.events();
        let starts = events.filter(
            |event| matches!(event, Event::Started { checkpoint, .. } if !checkpoint.is_empty()),
        );
        starts.count()
    });
    assert_eq!(resumed, 1);
    cluster.finish();
}

/// While the node agent is frozen, more runs end than one heartbeat can report.
#[rstest]
fn hundreds_of_ends_at_once_are_all_acknowledged() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::with_sides(1));
    let mut step = Step::new(700, 1_500).cpu(5);
    step.mem_mb = 1;
    let submitted = cluster.submit(QUICK, &Job::new(vec![step, Step::new(1, 50).after(&[0])]));
    cluster.wait_starts(&submitted, 700);
    let side = cluster.system.sides()[0];
    cluster
        .system
        .freeze(side)
        .expect("the process should accept SIGSTOP");
    cluster.wait_for_record("all ends", |record| {
        (record.ends(&submitted.id).count() == 700).then_some(())
    });
    cluster
        .system
        .thaw(side)
        .expect("the process should accept SIGCONT");
    cluster.expect_completed(&submitted);
    cluster.finish();
}

#[rstest]
fn speculative_runs_break_no_rule() {
    let cluster = Cluster::start(programs!(), MachineCounts::default());
    let mut step = Step::new(6, 400).first_hangs();
    step.speculative = true;
    let submitted = cluster.submit(QUICK, &Job::new(vec![step]));
    cluster.expect_completed(&submitted);
    cluster.finish();
}

/// A job that needs more than any worker's capacity does not keep other jobs from running.
#[rstest]
fn a_job_that_fits_no_worker_blocks_no_other() {
    let cluster = Cluster::start(programs!(), MachineCounts::default());
    let unschedulable = Job::new(vec![Step::new(2, 100).cpu(64_000).gang()]);
    let waiting = cluster.submit(QUICK, &unschedulable);
    let others: Vec<_> = (0..5)
        .map(|_| cluster.submit(BATCH, &Job::new(vec![Step::new(4, 100)])))
        .collect();
    cluster.expect_all_completed(&others);
    let pending = cluster
        .client
        .request(&Request::new("GET", QUICK))
        .expect("the request should get a response");
    assert_eq!(pending.json()["pending"], 1);
    cluster
        .client
        .cancel(&waiting)
        .expect("the cancellation should be acknowledged");
    cluster.finish();
}

/// Repetitions that overlap run concurrently, each from its due time.
#[rstest]
fn overlapping_repetitions_each_start_when_due() {
    let cluster = Cluster::start(programs!(), MachineCounts::default());
    let job = Job::new(vec![Step::new(1, 1_200)]);
    let job = job.repeated(4, Duration::from_millis(600), Duration::from_millis(300));
    let submitted = cluster.submit(QUICK, &job);
    cluster.expect_completed(&submitted);
    let together = cluster.environment.read(|record| {
        let (mut present, mut most) = (0, 0);
        for entry in &record.entries {
            match entry.event {
                Event::Started { .. } => present += 1,
                Event::Ended { .. } => present -= 1,
                _ => {}
            }
            most = most.max(present);
        }
        most
    });
    assert!(together >= 2, "the repetitions did not overlap");
    cluster.finish();
}

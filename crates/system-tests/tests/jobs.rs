//! The life cycle of jobs: submission, runs, results, cancellation, and responses to invalid requests.

use indigofold_system_tests::client::SubmittedJob;
use indigofold_system_tests::cluster::{Cluster, JOB_TIMEOUT, WORKER_CAPACITY};
use indigofold_system_tests::configuration::{BATCH, IMAGES, PLANNING, QUICK, VISION};
use indigofold_system_tests::environment::{JobState, Record};
use indigofold_system_tests::http::Request;
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::programs;
use indigofold_system_tests::random;
use indigofold_system_tests::system::MachineCounts;
use indigofold_system_tests::wire::EndReason;
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

/// Longest time from a cancellation until all runs of the job have ended.
const STOP_TIMEOUT: Duration = Duration::from_secs(4);

fn one_task() -> Job {
    Job::single(200)
}

fn two_dependent_steps() -> Job {
    Job::new(vec![Step::new(4, 200), Step::new(3, 200).after(&[0])])
}

fn two_steps_before_one() -> Job {
    Job::new(vec![
        Step::new(2, 200),
        Step::new(2, 100),
        Step::new(1, 100).after(&[0, 1]),
    ])
}

/// A gang of two tasks with at most one task on each worker.
fn gang_on_two_workers() -> Job {
    Job::new(vec![Step::new(2, 400).cpu(3_000).gang().anti_affinity(1)])
}

fn repeating() -> Job {
    let (delay, interval) = (Duration::from_millis(500), Duration::from_millis(400));
    Job::new(vec![Step::new(2, 200)]).repeated(3, delay, interval)
}

fn failing_twice() -> Job {
    Job::new(vec![Step::new(2, 200).failures(2)])
}

fn bound_to_one_worker() -> Job {
    Job::new(vec![Step::new(3, 100).requires("only-1")])
}

fn more_tasks_than_capacity() -> Job {
    Job::new(vec![Step::new(30, 100).cpu(1_000)])
}

#[rstest]
#[case::one_task(one_task())]
#[case::two_dependent_steps(two_dependent_steps())]
#[case::two_steps_before_one(two_steps_before_one())]
#[case::a_gang_on_two_workers(gang_on_two_workers())]
#[case::a_gang_that_fails_once(Job::new(vec![Step::new(3, 200).gang().failures(1)]))]
#[case::a_repeating_job(repeating())]
#[case::tasks_that_fail_twice(failing_twice())]
#[case::a_required_label(bound_to_one_worker())]
#[case::more_tasks_than_capacity(more_tasks_than_capacity())]
fn a_job_is_completed(#[case] job: Job) {
    let cluster = Cluster::start(programs!(), MachineCounts::default());
    let submitted = cluster.submit(QUICK, &job);
    cluster.expect_completed(&submitted);
    let done = cluster.count_ends(&submitted, EndReason::Done);
    let tasks: u32 = job.stages.iter().map(|step| step.count).sum();
    assert_eq!(done, (tasks * job.repeats()) as usize);
    cluster.finish();
}

#[rstest]
fn a_job_fails_once_its_task_uses_up_its_retries() {
    let cluster = Cluster::start(programs!(), MachineCounts::default());
    let submitted = cluster.submit(QUICK, &Job::new(vec![Step::new(1, 100).failures(u32::MAX)]));
    assert_eq!(
        cluster
            .client
            .wait_end(&submitted, JOB_TIMEOUT)
            .expect("the job should end in time"),
        JobState::Failed
    );
    let failures = cluster.count_ends(&submitted, EndReason::Failed);
    assert_eq!(failures, submitted.queue.max_retries as usize);
    cluster.finish();
}

#[rstest]
fn tasks_of_two_services_go_to_their_own_workers() {
    let mut cluster = Cluster::prepare(programs!(), MachineCounts::with_sides(2));
    let system = &cluster.system;
    let (sides, machines) = (
        system.sides(),
        [system.cores(), system.edges(), system.sides()].concat(),
    );
    cluster.start_machines(&machines);
    for (side, service) in sides.iter().zip([PLANNING, VISION]) {
        cluster.start_worker(*side, service, WORKER_CAPACITY);
    }
    cluster.configure();
    cluster.wait_ready();
    let path_prefixes = [QUICK, BATCH, IMAGES];
    let submitted = path_prefixes
        .map(|path_prefix| cluster.submit(path_prefix, &Job::new(vec![Step::new(4, 100)])));
    cluster.expect_all_completed(&submitted);
    cluster.finish();
}

#[rstest]
fn a_long_running_job_runs_until_it_is_cancelled() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    // The first runs fail more often than the queue allows; a long-running step is retried without limit.
    let submitted = cluster.submit(
        QUICK,
        &Job::new(vec![Step::new(2, 100).long_running().failures(4)]),
    );
    cluster.wait_for_record("long-running tasks after their failures", |record| {
        let starts = record.starts(&submitted.id);
        let last = starts.filter(|start| start.run.attempt >= 5);
        (last.count() >= 2).then_some(())
    });
    assert_eq!(cluster.state(&submitted), Some(JobState::Running));
    cluster
        .client
        .cancel(&submitted)
        .expect("the cancellation should be acknowledged");
    let all_ended = |record: &Record| {
        (record.count_starts(&submitted.id) == record.ends(&submitted.id).count()).then_some(())
    };
    cluster
        .environment
        .wait_until(
            "the ends of the cancelled job's runs",
            STOP_TIMEOUT,
            all_ended,
        )
        .expect("all runs of the cancelled job should end in time");
    assert_eq!(cluster.state(&submitted), Some(JobState::Cancelled));
    cluster.check();
}

#[rstest]
fn a_waiting_job_can_be_cancelled_and_never_runs() {
    let cluster = Cluster::start(programs!(), MachineCounts::default());
    let unschedulable = Job::new(vec![Step::new(1, 100).requires("no-such-label")]);
    let submitted = cluster.submit(QUICK, &unschedulable);
    assert_eq!(cluster.state(&submitted), Some(JobState::Queued));
    cluster
        .client
        .cancel(&submitted)
        .expect("the cancellation should be acknowledged");
    cluster
        .client
        .cancel(&submitted)
        .expect("a repeated cancellation should be acknowledged");
    assert_eq!(cluster.state(&submitted), Some(JobState::Cancelled));
    assert_eq!(cluster.count_starts(&submitted), 0);
    cluster.finish();
}

#[rstest]
fn one_id_submitted_at_all_edges_at_once_is_one_job() {
    let cluster = Cluster::start(
        programs!(),
        MachineCounts {
            edges: 3,
            ..MachineCounts::default()
        },
    );
    let submitted = SubmittedJob::new(&cluster.queue(QUICK));
    let (job, client) = (Job::new(vec![Step::new(3, 300)]), &cluster.client);
    std::thread::scope(|scope| {
        for edge in client.edges().iter().cycle().take(9) {
            scope.spawn(|| {
                let response = client
                    .submit_once(*edge, &submitted, &job)
                    .expect("the request should get a response");
                assert_eq!(response.status, 200);
            });
        }
    });
    cluster.expect_completed(&submitted);
    // A submission with the same id after the job's end still refers to the same job.
    let response = client
        .submit_once(client.edges()[0], &submitted, &job)
        .expect("the request should get a response");
    assert_eq!(response.status, 200);
    assert_eq!(cluster.count_starts(&submitted), 3);
    cluster.finish();
}

#[rstest]
fn many_jobs_from_many_clients_all_end() {
    let cluster = Cluster::start(programs!(), MachineCounts::default());
    std::thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| {
                for _ in 0..8 {
                    let submitted = cluster.submit(QUICK, &two_dependent_steps());
                    cluster.expect_completed(&submitted);
                }
            });
        }
    });
    let pending = cluster
        .client
        .request(&Request::new("GET", QUICK))
        .expect("the request should get a response");
    assert_eq!(
        (pending.status, pending.json()["pending"].as_u64()),
        (200, Some(0))
    );
    cluster.finish();
}

#[rstest]
fn invalid_requests_get_distinct_statuses() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::with_sides(1));
    let unknown = random::job_id();
    let submit = |path: String, body: &str| Request::new("POST", path).json(body);
    let job = r#"{"spec":"x","stages":[{"count":1,"cpu":100}]}"#;
    let cases = [
        (Request::new("GET", format!("/nowhere/{unknown}")), 404),
        (Request::new("GET", "/nowhere/"), 404),
        (Request::new("DELETE", format!("/nowhere/{unknown}")), 404),
        (submit(format!("/nowhere/{unknown}"), job), 404),
        (Request::new("GET", format!("{QUICK}{unknown}")), 410),
        (Request::new("DELETE", format!("{QUICK}{unknown}")), 410),
        (submit(format!("{QUICK}{unknown}"), "{"), 400),
        (
            submit(format!("{QUICK}{unknown}"), r#"{"spec":"x","stages":[]}"#),
            400,
        ),
        (
            submit(
                format!("{QUICK}{unknown}"),
                r#"{"spec":"x","stages":[{"count":1,"depends_on":[0]}]}"#,
            ),
            400,
        ),
        (submit(format!("{QUICK}not-an-id"), job), 400),
        (Request::new("GET", format!("{QUICK}{unknown}")), 410),
    ];
    for (request, status) in cases {
        for edge in cluster.client.edges() {
            let response = cluster
                .client
                .request_at(*edge, &request)
                .expect("the request should get a response");
            assert_eq!(
                response.status, status,
                "{} {}",
                request.method, request.path
            );
        }
    }
    cluster.check();
}

#[rstest]
fn pending_jobs_are_counted() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::with_sides(1));
    let unschedulable = Job::new(vec![Step::new(1, 100).requires("no-such-label")]);
    let submitted: Vec<SubmittedJob> = (0..3)
        .map(|_| cluster.submit(BATCH, &unschedulable))
        .collect();
    let counts: BTreeSet<Option<u64>> = cluster
        .client
        .edges()
        .iter()
        .map(|edge| {
            cluster
                .client
                .request_at(*edge, &Request::new("GET", BATCH))
                .expect("the request should get a response")
                .json()["pending"]
                .as_u64()
        })
        .collect();
    assert_eq!(counts, BTreeSet::from([Some(3)]));
    submitted.iter().for_each(|job| {
        cluster
            .client
            .cancel(job)
            .expect("the cancellation should be acknowledged");
    });
    cluster.check();
}

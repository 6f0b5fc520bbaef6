//! Jobs from their handing in to their ends.

use indigofold_system_tests::client::Handed;
use indigofold_system_tests::cluster::{Cluster, JOB_TIME};
use indigofold_system_tests::configuration::{BATCH, PLANNING, QUICK, VISION};
use indigofold_system_tests::http::Call;
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::programs;
use indigofold_system_tests::random;
use indigofold_system_tests::system::Shape;
use indigofold_system_tests::wire::{Capacity, How};
use indigofold_system_tests::world::JobState;
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

fn one_task() -> Job {
    Job::single(200)
}

fn two_dependent_steps() -> Job {
    Job::new(vec![Step::new(4, 200), Step::new(3, 200).after(&[0])])
}

fn steps_that_join() -> Job {
    Job::new(vec![
        Step::new(2, 200),
        Step::new(2, 100),
        Step::new(1, 100).after(&[0, 1]),
    ])
}

/// Four tasks of which no worker takes more than one.
fn gang_over_workers() -> Job {
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

fn wider_than_the_room() -> Job {
    Job::new(vec![Step::new(30, 100).cpu(1_000)])
}

#[rstest]
#[case::one_task(one_task())]
#[case::two_dependent_steps(two_dependent_steps())]
#[case::steps_that_join(steps_that_join())]
#[case::a_gang_over_two_workers(gang_over_workers())]
#[case::a_gang_that_fails_once(Job::new(vec![Step::new(3, 200).gang().failures(1)]))]
#[case::a_repeating_job(repeating())]
#[case::tasks_that_fail_twice(failing_twice())]
#[case::a_label(bound_to_one_worker())]
#[case::more_tasks_than_room(wider_than_the_room())]
fn a_job_is_completed(#[case] job: Job) {
    let cluster = Cluster::start(programs!(), Shape::default());
    let handed = cluster.submit(QUICK, &job);
    cluster.expect_completed(&handed);
    let done = cluster
        .world
        .read(|record| record.count_ends(&handed.id, How::Done));
    let tasks: u32 = job.stages.iter().map(|step| step.count).sum();
    assert_eq!(done, (tasks * job.repeats()) as usize);
    cluster.finish();
}

#[rstest]
fn a_task_that_always_fails_fails_its_job() {
    let cluster = Cluster::start(programs!(), Shape::default());
    let handed = cluster.submit(QUICK, &Job::new(vec![Step::new(1, 100).failures(u32::MAX)]));
    assert_eq!(
        cluster.client.wait_end(&handed, JOB_TIME).expect("an end"),
        JobState::Failed
    );
    let failures = cluster
        .world
        .read(|record| record.count_ends(&handed.id, How::Failed));
    assert_eq!(failures, handed.queue.max_retries as usize);
    cluster.finish();
}

#[rstest]
fn tasks_of_two_services_go_to_their_own_workers() {
    let mut cluster = Cluster::prepare(
        programs!(),
        Shape {
            sides: 2,
            ..Shape::default()
        },
    );
    let system = &cluster.system;
    let (sides, machines) = (
        system.sides(),
        [system.cores(), system.edges(), system.sides()].concat(),
    );
    machines
        .into_iter()
        .for_each(|machine| cluster.start_machine(machine));
    for (side, service) in sides.iter().zip([PLANNING, VISION]) {
        cluster.start_worker(
            *side,
            service,
            Capacity {
                cpu: 4_000,
                mem_mb: 8_192,
                gpu: 2,
            },
        );
    }
    cluster.configure();
    cluster.wait_ready();
    let prefixes = [QUICK, BATCH, indigofold_system_tests::configuration::IMAGES];
    let handed = prefixes.map(|prefix| cluster.submit(prefix, &Job::new(vec![Step::new(4, 100)])));
    handed.iter().for_each(|job| cluster.expect_completed(job));
    cluster.finish();
}

#[rstest]
fn a_lasting_job_runs_until_it_is_cancelled() {
    let mut cluster = Cluster::start(programs!(), Shape::default());
    // Its first runs fail, and are started again whatever the queue's limit.
    let handed = cluster.submit(
        QUICK,
        &Job::new(vec![Step::new(2, 100).long_running().failures(4)]),
    );
    let at_work = |wanted: u32| {
        cluster
            .world
            .until("lasting tasks at work", JOB_TIME, |record| {
                let last = record
                    .starts(&handed.id)
                    .filter(|(_, run)| run.attempt >= wanted);
                (last.count() >= 2).then_some(())
            })
    };
    at_work(5).expect("starts after failures");
    assert_eq!(
        cluster.client.state(&handed).expect("a state"),
        Some(JobState::Running)
    );
    cluster.client.cancel(&handed).expect("cancelled");
    let stopped = cluster.world.until(
        "the end of what was cancelled",
        Duration::from_secs(4),
        |record| {
            (record.starts(&handed.id).count() == record.ends(&handed.id).count()).then_some(())
        },
    );
    stopped.expect("an end");
    assert_eq!(
        cluster.client.state(&handed).expect("a state"),
        Some(JobState::Cancelled)
    );
    cluster.check();
}

#[rstest]
fn a_waiting_job_can_be_cancelled_and_never_runs() {
    let cluster = Cluster::start(programs!(), Shape::default());
    let nowhere = Job::new(vec![Step::new(1, 100).requires("no-such-label")]);
    let handed = cluster.submit(QUICK, &nowhere);
    assert_eq!(
        cluster.client.state(&handed).expect("a state"),
        Some(JobState::Queued)
    );
    cluster.client.cancel(&handed).expect("cancelled");
    cluster.client.cancel(&handed).expect("cancelled once more");
    assert_eq!(
        cluster.client.state(&handed).expect("a state"),
        Some(JobState::Cancelled)
    );
    assert_eq!(
        cluster
            .world
            .read(|record| record.starts(&handed.id).count()),
        0
    );
    cluster.finish();
}

#[rstest]
fn one_id_sent_to_all_edges_at_once_is_one_job() {
    let cluster = Cluster::start(
        programs!(),
        Shape {
            edges: 3,
            ..Shape::default()
        },
    );
    let handed = Handed {
        id: random::job_id(),
        queue: cluster.queue(QUICK),
    };
    let (job, client) = (Job::new(vec![Step::new(3, 300)]), &cluster.client);
    std::thread::scope(|scope| {
        for edge in client.edges().iter().cycle().take(9) {
            scope.spawn(|| {
                let answer = client.hand_in(*edge, &handed, &job).expect("an answer");
                assert_eq!(answer.status, 200);
            });
        }
    });
    cluster.expect_completed(&handed);
    // Once it has ended, the same id is still the same job.
    let answer = client
        .hand_in(client.edges()[0], &handed, &job)
        .expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(
        cluster
            .world
            .read(|record| record.starts(&handed.id).count()),
        3
    );
    cluster.finish();
}

#[rstest]
fn many_jobs_from_many_clients_all_end() {
    let cluster = Cluster::start(programs!(), Shape::default());
    std::thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| {
                for _ in 0..8 {
                    let handed = cluster.submit(QUICK, &two_dependent_steps());
                    cluster.expect_completed(&handed);
                }
            });
        }
    });
    let pending = cluster
        .client
        .call(&Call::new("GET", QUICK))
        .expect("an answer");
    assert_eq!(
        (pending.status, pending.json()["pending"].as_u64()),
        (200, Some(0))
    );
    cluster.finish();
}

#[rstest]
fn calls_that_lead_nowhere_are_told_apart() {
    let mut cluster = Cluster::start(
        programs!(),
        Shape {
            sides: 1,
            ..Shape::default()
        },
    );
    let unknown = random::job_id();
    let submit = |path: String, body: &str| Call::new("POST", path).json(body);
    let job = r#"{"spec":"x","stages":[{"count":1,"cpu":100}]}"#;
    let cases = [
        (Call::new("GET", format!("/nowhere/{unknown}")), 404),
        (Call::new("GET", "/nowhere/"), 404),
        (Call::new("DELETE", format!("/nowhere/{unknown}")), 404),
        (submit(format!("/nowhere/{unknown}"), job), 404),
        (Call::new("GET", format!("{QUICK}{unknown}")), 410),
        (Call::new("DELETE", format!("{QUICK}{unknown}")), 410),
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
        (Call::new("GET", format!("{QUICK}{unknown}")), 410),
    ];
    for (call, status) in cases {
        for edge in cluster.client.edges() {
            let answer = cluster.client.call_at(*edge, &call).expect("an answer");
            assert_eq!(answer.status, status, "{} {}", call.method, call.path);
        }
    }
    cluster.check();
}

#[rstest]
fn what_waits_is_counted() {
    let mut cluster = Cluster::start(
        programs!(),
        Shape {
            sides: 1,
            ..Shape::default()
        },
    );
    let nowhere = Job::new(vec![Step::new(1, 100).requires("no-such-label")]);
    let handed: Vec<Handed> = (0..3).map(|_| cluster.submit(BATCH, &nowhere)).collect();
    let counts: BTreeSet<Option<u64>> = cluster
        .client
        .edges()
        .iter()
        .map(|edge| {
            cluster
                .client
                .call_at(*edge, &Call::new("GET", BATCH))
                .expect("an answer")
                .json()["pending"]
                .as_u64()
        })
        .collect();
    assert_eq!(counts, BTreeSet::from([Some(3)]));
    handed
        .iter()
        .for_each(|job| cluster.client.cancel(job).expect("cancelled"));
    cluster.check();
}

//! Faults of workers, node agents and edges: node agents are killed and frozen, workers crash and drain, edges are
//! killed.

use indigofold_system_tests::checks::Exemptions;
use indigofold_system_tests::cluster::{Cluster, JOB_TIMEOUT};
use indigofold_system_tests::configuration::QUICK;
use indigofold_system_tests::environment::Event;
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::programs;
use indigofold_system_tests::system::MachineCounts;
use indigofold_system_tests::wire::EndReason;
use rstest::rstest;
use std::time::Duration;

#[rstest]
fn a_task_survives_a_restart_of_its_node_agent() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let submitted = cluster.submit(QUICK, &Job::single(1_500));
    let side = cluster.system.sides()[cluster.wait_started(&submitted)];
    cluster.system.kill(side);
    cluster.start_machine(side);
    cluster.expect_completed(&submitted);
    assert_eq!(cluster.count_starts(&submitted), 1);
    cluster.finish();
}

#[rstest]
fn a_task_of_a_lost_node_agent_is_retried_elsewhere() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let submitted = cluster.submit(QUICK, &Job::single(4_000));
    let side = cluster.system.sides()[cluster.wait_started(&submitted)];
    cluster.system.kill(side);
    cluster.expect_completed(&submitted);
    cluster.finish();
}

#[rstest]
fn a_job_completes_after_its_worker_restarts_with_a_new_id() {
    let cluster = Cluster::start(programs!(), MachineCounts::default());
    let submitted = cluster.submit(QUICK, &Job::new(vec![Step::new(3, 1_000).checkpoints()]));
    let worker = cluster.wait_started(&submitted);
    cluster.workers[worker].restart();
    cluster.expect_completed(&submitted);
    cluster.finish();
}

#[rstest]
fn a_gang_is_retried_after_a_member_s_worker_has_crashed() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let submitted = cluster.submit(
        QUICK,
        &Job::new(vec![
            Step::new(2, 1_500).gang().checkpoints().anti_affinity(1),
        ]),
    );
    cluster.wait_starts(&submitted, 2);
    let worker = cluster.wait_started(&submitted);
    cluster.exempt(Exemptions {
        gangs: true,
        ..Exemptions::default()
    });
    cluster.workers[worker].restart();
    cluster.expect_completed(&submitted);
    cluster.finish();
}

#[rstest]
fn tasks_of_a_crashed_worker_are_retried_on_others() {
    let cluster = Cluster::start(programs!(), MachineCounts::default());
    let submitted = cluster.submit(QUICK, &Job::new(vec![Step::new(4, 800)]));
    let worker = cluster.wait_started(&submitted);
    cluster.workers[worker].crash();
    cluster.expect_completed(&submitted);
    cluster.finish();
}

#[rstest]
fn a_draining_worker_gets_no_new_tasks_and_its_job_completes() {
    let cluster = Cluster::start(programs!(), MachineCounts::default());
    let long = cluster.submit(QUICK, &Job::new(vec![Step::new(2, 6_000).checkpoints()]));
    let worker = &cluster.workers[cluster.wait_started(&long)];
    let instance = worker
        .instance()
        .expect("the worker should have an instance");
    worker.drain(Duration::from_millis(3_000));
    let acknowledged = cluster.wait_for_record("a draining worker", |record| {
        record
            .events()
            .any(|event| matches!(event, Event::DrainAcknowledged { .. }))
            .then_some(record.entries.len())
    });
    let entries_before = acknowledged;
    let short: Vec<_> = (0..4)
        .map(|_| cluster.submit(QUICK, &Job::new(vec![Step::new(3, 100)])))
        .collect();
    cluster.expect_all_completed(&short);
    cluster.expect_completed(&long);
    cluster.wait_for_record("the end of the instance", |record| {
            record
                .events()
                .any(|event| matches!(event, Event::InstanceEnded { instance: ended } if *ended == instance))
                .then_some(())
        });
    // Orders in flight when the draining was acknowledged may still start runs, but not those of jobs submitted later.
    cluster.environment.read(|record| {
        for job in &short {
            let mut starts = record.starts(&job.id);
            assert!(
                starts.all(|start| start.instance != instance),
                "a run of job {} started on the draining worker",
                job.id
            );
        }
        assert!(entries_before < record.entries.len());
    });
    cluster.finish();
}

#[rstest]
fn an_idle_worker_deregisters_and_its_next_instance_gets_tasks() {
    let cluster = Cluster::start(programs!(), MachineCounts::with_sides(1));
    let first = cluster.submit(QUICK, &Job::single(100));
    cluster.expect_completed(&first);
    let worker = &cluster.workers[0];
    let instance = worker
        .instance()
        .expect("the worker should have an instance");
    worker.drain(Duration::from_millis(2_000));
    cluster.wait_for("the end of the instance", JOB_TIMEOUT, || {
        (!cluster.environment.is_up(instance)).then_some(())
    });
    let second = cluster.submit(QUICK, &Job::single(100));
    worker.restart();
    cluster.expect_completed(&second);
    cluster.finish();
}

#[rstest]
fn tasks_behind_a_frozen_node_agent_do_not_run_twice() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let submitted = cluster.submit(QUICK, &Job::new(vec![Step::new(3, 2_000)]));
    let side = cluster.system.sides()[cluster.wait_started(&submitted)];
    cluster
        .system
        .freeze(side)
        .expect("the process should accept SIGSTOP");
    cluster.wait_for_record("the expiry of the run lease", |record| {
        let ends = record
            .ends(&submitted.id)
            .filter(|end| matches!(end.reason, EndReason::Expired | EndReason::Done));
        (ends.count() == 3).then_some(())
    });
    cluster
        .system
        .thaw(side)
        .expect("the process should accept SIGCONT");
    cluster.expect_completed(&submitted);
    cluster.finish();
}

#[rstest]
fn an_edge_killed_under_load_loses_no_accepted_job() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let edge = cluster.system.edges()[0];
    let (client, queue) = (cluster.client.clone(), cluster.queue(QUICK));
    let submitting = std::thread::spawn(move || {
        for _ in 0..30 {
            client
                .submit(&queue, &Job::single(50))
                .expect("the job should be accepted");
        }
    });
    cluster.wait_for_record("some jobs", |record| {
        (record.jobs.len() >= 10).then_some(())
    });
    cluster.system.kill(edge);
    submitting
        .join()
        .expect("the submitting thread should not panic");
    cluster.start_machine(edge);
    cluster.wait_edge(edge);
    cluster.finish();
}

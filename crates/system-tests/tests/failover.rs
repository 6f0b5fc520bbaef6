//! Faults of the core: loss of its head, of all members, and of disks.

use indigofold_system_tests::checks::Exemptions;
use indigofold_system_tests::cluster::{CATCH_UP, Cluster, JOB_TIMEOUT};
use indigofold_system_tests::configuration::{BATCH, Configuration, PLANNING, QUICK, Queue};
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::programs;
use indigofold_system_tests::system::MachineCounts;
use rstest::rstest;
use serde_json::json;

fn two_step_job() -> Job {
    Job::new(vec![
        Step::new(4, 1_200).checkpoints(),
        Step::new(2, 600).after(&[0]),
    ])
}

#[rstest]
fn jobs_complete_after_the_head_is_killed() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let submitted: Vec<_> = (0..3)
        .map(|_| cluster.submit(QUICK, &two_step_job()))
        .collect();
    cluster.wait_started(&submitted[2]);
    let head = cluster.head();
    cluster.system.kill(head);
    cluster.expect_all_completed(&submitted);
    cluster.finish();
}

/// The head is killed right after a given number of acceptances, while other jobs are being submitted.
#[rstest]
#[case(1)]
#[case(4)]
#[case(9)]
fn accepted_jobs_survive_a_head_killed_while_it_takes_jobs(#[case] accepted: usize) {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let head = cluster.head();
    let queue = cluster.queue(QUICK);
    let clients = (0..3).map(|_| (cluster.client.clone(), queue.clone()));
    let submitting: Vec<_> = clients
        .map(|(client, queue)| {
            std::thread::spawn(move || {
                for _ in 0..6 {
                    client
                        .submit(&queue, &Job::new(vec![Step::new(2, 300)]))
                        .expect("the job should be accepted");
                }
            })
        })
        .collect();
    cluster.wait_for("acceptances", JOB_TIMEOUT, || {
        let count = cluster
            .environment
            .read(indigofold_system_tests::environment::Record::count_accepted);
        (count >= accepted).then_some(())
    });
    cluster.system.kill(head);
    submitting
        .into_iter()
        .for_each(|client| client.join().expect("a client thread should not panic"));
    cluster.start_machine(head);
    cluster.finish();
}

#[rstest]
fn a_gang_survives_the_loss_of_the_head() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    cluster.exempt(Exemptions {
        gangs: true,
        ..Exemptions::default()
    });
    let gang = Job::new(vec![
        Step::new(2, 3_000).gang().checkpoints().anti_affinity(1),
    ]);
    let submitted = cluster.submit(QUICK, &gang);
    cluster.wait_started(&submitted);
    let head = cluster.head();
    cluster.system.kill(head);
    cluster.expect_completed(&submitted);
    cluster.finish();
}

#[rstest]
fn a_frozen_head_is_replaced_and_starts_nothing_when_thawed() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let first = cluster.submit(QUICK, &two_step_job());
    cluster.wait_started(&first);
    let head = cluster.head();
    cluster
        .system
        .freeze(head)
        .expect("the process should accept SIGSTOP");
    let second = cluster.submit(QUICK, &two_step_job());
    cluster.wait_started(&second);
    cluster
        .system
        .thaw(head)
        .expect("the process should accept SIGCONT");
    let third = cluster.submit(QUICK, &two_step_job());
    cluster.expect_all_completed(&[first, second, third]);
    cluster.finish();
}

#[rstest]
#[case::while_tasks_run(true)]
#[case::while_idle(false)]
fn a_killed_core_recovers_all_that_it_acknowledged(#[case] at_work: bool) {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let second = Configuration::standard(6).with(Queue::new("/later/", PLANNING, 1));
    cluster.put(&second, 1);
    cluster.configuration = second.clone();
    let ended = cluster.submit("/later/", &Job::single(100));
    cluster.expect_completed(&ended);
    let open = at_work.then(|| cluster.submit(BATCH, &two_step_job()));
    if let Some(open) = &open {
        cluster.wait_started(open);
    }
    cluster.restart_core();
    assert_eq!(cluster.read_configuration(), second.to_json());
    cluster.expect_completed(&ended);
    if let Some(open) = &open {
        cluster.expect_completed(open);
    }
    cluster.finish();
}

#[rstest]
fn a_core_killed_right_after_an_acceptance_recovers_the_job() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let submitted = cluster.submit(QUICK, &two_step_job());
    cluster.restart_core();
    cluster.expect_completed(&submitted);
    cluster.finish();
}

/// A member that has lost its disk recovers by state transfer before it counts for a quorum; after that, another member
/// can be lost.
#[rstest]
fn a_member_without_its_disk_recovers_before_another_is_lost() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let waiting = cluster.submit(QUICK, &Job::new(vec![Step::new(1, 100).requires("only-9")]));
    let wiped = cluster.head();
    cluster.kill_and_wipe(wiped);
    cluster.start_machine(wiped);
    let change =
        json!({"version": 3, "upsert": {"routes": [Queue::new("/third/", PLANNING, 1).to_json()]}});
    cluster.patch(&change, 1);
    cluster.submit_jobs_for(CATCH_UP);
    let other = cluster.other_cores(wiped)[0];
    cluster.system.kill(other);
    let read = cluster.read_configuration();
    assert_eq!(read["version"], 3);
    assert!(cluster.state(&waiting).is_some());
    let job = cluster.submit(QUICK, &two_step_job());
    cluster.expect_completed(&job);
    cluster
        .client
        .cancel(&waiting)
        .expect("the cancellation should be acknowledged");
    cluster.finish();
}

/// An accepted job survives the loss of the head's disk right after its acceptance.
#[rstest]
fn a_job_accepted_right_before_the_head_loses_its_disk_is_kept() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let head = cluster.head();
    let submitted = cluster.submit(QUICK, &two_step_job());
    cluster.kill_and_wipe(head);
    cluster.start_machine(head);
    cluster.expect_completed(&submitted);
    cluster.finish();
}

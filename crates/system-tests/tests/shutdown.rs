//! Planned ends: SIGTERM cuts nothing off, and all goes on.

use indigofold_system_tests::client::Client;
use indigofold_system_tests::cluster::{Cluster, JOB_TIME};
use indigofold_system_tests::configuration::{Configuration, PLANNING, QUICK, Queue};
use indigofold_system_tests::http::{Answer, Call, Connection, HttpError};
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::programs;
use indigofold_system_tests::system::{MachineId, Shape};
use indigofold_system_tests::wait::Signal;
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Connections that send one call after another to an edge.
const CALLERS: usize = 6;
/// A caller waits so long for one answer: longer than the platform lets a process live after SIGTERM.
const ANSWER_TIME: Duration = Duration::from_secs(8);
/// Calls answered before the signal is sent.
const CALLS_BEFORE: usize = 60;

/// A call that was read and got no whole answer: cut after its answer had begun, or too late to have been unread.
fn is_lost(error: &HttpError, slack: Duration) -> bool {
    match error {
        HttpError::Connect { .. } | HttpError::Send { .. } => false,
        HttpError::Cut { after, received } => *received > 0 || *after > slack,
        HttpError::Silent { .. } | HttpError::Malformed { .. } => true,
    }
}

/// Sends calls to an edge until it takes no more connections; returns those that were lost.
fn call_until_gone(
    edge: SocketAddr,
    call: &Call,
    slack: Duration,
    answered: impl Fn(),
) -> Vec<HttpError> {
    let mut lost = Vec::new();
    while let Ok(mut connection) = Connection::open(edge, ANSWER_TIME) {
        while !connection.is_over() {
            match connection.call(call, ANSWER_TIME) {
                Ok(_) => answered(),
                Err(error) if is_lost(&error, slack) => lost.push(error),
                Err(_) => {}
            }
        }
    }
    lost
}

fn terminate_and_wait(cluster: &mut Cluster, machine: MachineId) {
    cluster.system.terminate(machine).expect("a signal");
    let status = cluster.system.wait_end(machine).expect("an end in time");
    assert!(status.success(), "ended with {status}");
}

#[rstest]
fn sigterm_of_an_edge_under_load_cuts_no_call_that_was_read() {
    let mut cluster = Cluster::start(programs!(), Shape::default());
    let (edge, slack) = (cluster.system.edges()[0], cluster.world.bounds().loss_slack);
    let (address, count, signal) = (
        cluster.system.frontend(edge),
        AtomicUsize::new(0),
        Signal::default(),
    );
    let answered = || {
        count.fetch_add(1, Ordering::Relaxed);
        signal.raise();
    };
    let call = Call::new("GET", QUICK).header("Host", indigofold_system_tests::configuration::HOST);
    let lost = std::thread::scope(|scope| {
        let caller = || scope.spawn(|| call_until_gone(address, &call, slack, answered));
        let callers: Vec<_> = (0..CALLERS).map(|_| caller()).collect();
        let enough = || (count.load(Ordering::Relaxed) >= CALLS_BEFORE).then_some(());
        signal
            .until("answered calls", JOB_TIME, enough)
            .expect("answered calls");
        terminate_and_wait(&mut cluster, edge);
        callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("a caller"))
            .collect::<Vec<_>>()
    });
    assert!(lost.is_empty(), "calls were lost: {lost:?}");
    cluster.start_machine(edge);
    cluster.wait_edge(edge);
    cluster.finish();
}

/// Calls that wait at an edge for a head that stands still, when the edge is told to end.
#[rstest]
fn sigterm_of_an_edge_with_calls_under_way_answers_them() {
    let mut cluster = Cluster::start(programs!(), Shape::default());
    let (edge, slack) = (cluster.system.edges()[0], cluster.world.bounds().loss_slack);
    let head = cluster.head();
    cluster.system.freeze(head).expect("frozen");
    let (client, queue) = (
        cluster.client.at(&[cluster.system.frontend(edge)]),
        cluster.queue(QUICK),
    );
    let submitting: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (client, queue) = (client.clone(), queue.clone());
            std::thread::spawn(move || hand_in_once(&client, &queue))
        })
        .collect();
    let sent = cluster.world.until("calls", JOB_TIME, |record| {
        (record.jobs.len() == CALLERS).then(|| cluster.world.now())
    });
    // Calls that are cut later than this have been read.
    let read = sent.expect("calls") + slack;
    let waiting = cluster.world.until("calls under way", JOB_TIME, |_| {
        (cluster.world.now() > read).then_some(())
    });
    waiting.expect("calls under way");
    cluster.system.terminate(edge).expect("a signal");
    let unready = || (!cluster.is_ready(edge)).then_some(());
    cluster
        .world
        .signal()
        .until("an edge that is not ready", JOB_TIME, unready)
        .expect("not ready");
    cluster.system.thaw(head).expect("thawed");
    for client in submitting {
        if let Err(error) = client.join().expect("a client") {
            assert!(!is_lost(&error, slack), "a call was lost: {error}");
        }
    }
    assert!(
        cluster
            .system
            .wait_end(edge)
            .expect("an end in time")
            .success()
    );
    cluster.finish();
}

fn hand_in_once(client: &Client, queue: &Queue) -> Result<Answer, HttpError> {
    let handed = indigofold_system_tests::client::Handed {
        id: indigofold_system_tests::random::job_id(),
        queue: queue.clone(),
    };
    client.hand_in(client.edges()[0], &handed, &Job::single(50))
}

#[rstest]
fn an_idle_connection_does_not_keep_an_edge_from_ending() {
    let mut cluster = Cluster::start(
        programs!(),
        Shape {
            sides: 1,
            ..Shape::default()
        },
    );
    let edge = cluster.system.edges()[0];
    let mut idle =
        Connection::open(cluster.system.frontend(edge), ANSWER_TIME).expect("a connection");
    let call = Call::new("GET", QUICK).header("Host", indigofold_system_tests::configuration::HOST);
    assert_eq!(
        idle.call(&call, ANSWER_TIME).expect("an answer").status,
        200
    );
    terminate_and_wait(&mut cluster, edge);
    cluster.check();
}

#[rstest]
fn sigterm_of_the_head_stops_neither_jobs_nor_configurations() {
    let mut cluster = Cluster::start(programs!(), Shape::default());
    let job = Job::new(vec![Step::new(4, 1_500), Step::new(2, 500).after(&[0])]);
    let handed = cluster.submit(QUICK, &job);
    cluster.wait_started(&handed);
    let head = cluster.head();
    terminate_and_wait(&mut cluster, head);
    let next = Configuration::standard(2).with(Queue::new("/next/", PLANNING, 1));
    assert_eq!(
        cluster.operator.put(&next, 1).expect("an answer").status,
        200
    );
    cluster.configuration = next;
    let second = cluster.submit("/next/", &Job::single(100));
    cluster.start_machine(head);
    cluster.expect_completed(&second);
    cluster.expect_completed(&handed);
    cluster.finish();
}

/// All machines are stopped and started in turn while jobs come in; nothing is started twice or lost.
#[rstest]
fn a_rolling_restart_goes_unnoticed_by_jobs() {
    let mut cluster = Cluster::start(programs!(), Shape::default());
    let (client, queue) = (cluster.client.clone(), cluster.queue(QUICK));
    let over = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let until = over.clone();
    let submitting = std::thread::spawn(move || {
        while !until.load(Ordering::Relaxed) {
            let handed = client
                .submit(&queue, &Job::new(vec![Step::new(2, 150)]))
                .expect("an accepted job");
            client.wait_end(&handed, JOB_TIME).expect("an end");
        }
    });
    let machines = [
        cluster.system.edges(),
        cluster.system.sides(),
        cluster.system.cores(),
    ]
    .concat();
    for machine in machines {
        terminate_and_wait(&mut cluster, machine);
        cluster.start_machine(machine);
        let done = cluster.submit(QUICK, &Job::single(50));
        cluster.expect_completed(&done);
    }
    over.store(true, Ordering::Relaxed);
    submitting.join().expect("all jobs");
    cluster.finish();
}

//! Graceful shutdown: after SIGTERM no request is lost, and jobs continue.

use indigofold_system_tests::client::{Client, SubmittedJob};
use indigofold_system_tests::cluster::{Cluster, JOB_TIMEOUT};
use indigofold_system_tests::configuration::{Configuration, HOST, PLANNING, QUICK, Queue};
use indigofold_system_tests::http::{Connection, HttpError, Request, Response};
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::programs;
use indigofold_system_tests::system::MachineCounts;
use indigofold_system_tests::wait::Signal;
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Number of threads that send requests to an edge at the same time.
const CALLERS: usize = 6;
/// Timeout of one request; longer than the platform's grace time after SIGTERM.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// Number of responses received before SIGTERM is sent.
const RESPONSES_BEFORE_SIGTERM: usize = 60;

/// Whether a request was read and got no complete response: its connection was lost after the response had started, or
/// later than an unread request's connection can be lost (`slack`).
fn is_lost(error: &HttpError, slack: Duration) -> bool {
    match error {
        HttpError::Connect { .. } | HttpError::Send { .. } => false,
        HttpError::ConnectionLost { after, received } => *received > 0 || *after > slack,
        HttpError::TimedOut { .. } | HttpError::Malformed { .. } => true,
    }
}

/// Sends requests to an edge until it accepts no more connections; returns the errors of the lost requests.
fn request_until_closed(
    edge: SocketAddr,
    request: &Request,
    slack: Duration,
    count_response: impl Fn(),
) -> Vec<HttpError> {
    let mut lost = Vec::new();
    while let Ok(mut connection) = Connection::open(edge, RESPONSE_TIMEOUT) {
        while !connection.is_closed() {
            match connection.request(request, RESPONSE_TIMEOUT) {
                Ok(_) => count_response(),
                Err(error) if is_lost(&error, slack) => lost.push(error),
                Err(_) => {}
            }
        }
    }
    lost
}

#[rstest]
fn sigterm_of_an_edge_under_load_loses_no_request_that_was_read() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let (edge, slack) = (
        cluster.system.edges()[0],
        cluster.environment.bounds().loss_slack,
    );
    let (address, count, signal) = (
        cluster.system.frontend(edge),
        AtomicUsize::new(0),
        Signal::default(),
    );
    let count_response = || {
        count.fetch_add(1, Ordering::Relaxed);
        signal.raise();
    };
    let request = Request::new("GET", QUICK).header("Host", HOST);
    let lost = std::thread::scope(|scope| {
        let caller =
            || scope.spawn(|| request_until_closed(address, &request, slack, count_response));
        let callers: Vec<_> = (0..CALLERS).map(|_| caller()).collect();
        let enough = || (count.load(Ordering::Relaxed) >= RESPONSES_BEFORE_SIGTERM).then_some(());
        signal
            .wait_until("responses", JOB_TIMEOUT, enough)
            .expect("enough responses should arrive in time");
        cluster.terminate_and_wait(edge);
        callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("the calling thread should not panic"))
            .collect::<Vec<_>>()
    });
    assert!(lost.is_empty(), "requests were lost: {lost:?}");
    cluster.start_machine(edge);
    cluster.wait_edge(edge);
    cluster.finish();
}

/// Waits until all callers have sent their submissions, and then for `slack`, so that the edge has read them.
fn wait_pending(cluster: &Cluster, slack: Duration) {
    let environment = &cluster.environment;
    let sent = environment.wait_until("requests", JOB_TIMEOUT, |record| {
        (record.jobs.len() == CALLERS).then(|| environment.now())
    });
    // A request whose connection is lost later than this has been read.
    let read = sent.expect("all callers should send their requests in time") + slack;
    let waiting = environment.wait_until("pending requests", JOB_TIMEOUT, |_| {
        (environment.now() > read).then_some(())
    });
    waiting.expect("the slack should pass in time");
}

/// Requests wait at an edge for a frozen head when the edge receives SIGTERM. The edge completes them before it exits.
#[rstest]
fn sigterm_of_an_edge_with_pending_requests_completes_them() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let (edge, slack) = (
        cluster.system.edges()[0],
        cluster.environment.bounds().loss_slack,
    );
    let head = cluster.head();
    cluster
        .system
        .freeze(head)
        .expect("the process should accept SIGSTOP");
    let (client, queue) = (
        cluster.client.with_edges(&[cluster.system.frontend(edge)]),
        cluster.queue(QUICK),
    );
    let submitting: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (client, queue) = (client.clone(), queue.clone());
            std::thread::spawn(move || submit_small_job(&client, &queue))
        })
        .collect();
    wait_pending(&cluster, slack);
    cluster
        .system
        .terminate(edge)
        .expect("the edge should accept SIGTERM");
    let unready = || (!cluster.is_ready(edge)).then_some(());
    cluster.wait_for("an edge that is not ready", JOB_TIMEOUT, unready);
    cluster
        .system
        .thaw(head)
        .expect("the process should accept SIGCONT");
    for client in submitting {
        if let Err(error) = client
            .join()
            .expect("the submitting thread should not panic")
        {
            assert!(!is_lost(&error, slack), "a request was lost: {error}");
        }
    }
    assert!(
        cluster
            .system
            .wait_exit(edge)
            .expect("the edge should exit within the grace time after SIGTERM")
            .success()
    );
    cluster.finish();
}

fn submit_small_job(client: &Client, queue: &Queue) -> Result<Response, HttpError> {
    let submitted = SubmittedJob::new(queue);
    client.submit_once(client.edges()[0], &submitted, &Job::single(50))
}

#[rstest]
fn an_idle_connection_does_not_keep_an_edge_from_ending() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::with_sides(1));
    let edge = cluster.system.edges()[0];
    let mut idle = Connection::open(cluster.system.frontend(edge), RESPONSE_TIMEOUT)
        .expect("the edge should accept a connection");
    let request = Request::new("GET", QUICK).header("Host", HOST);
    assert_eq!(
        idle.request(&request, RESPONSE_TIMEOUT)
            .expect("the request should get a response")
            .status,
        200
    );
    cluster.terminate_and_wait(edge);
    cluster.check();
}

#[rstest]
fn jobs_and_configurations_go_on_after_sigterm_of_the_head() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let job = Job::new(vec![Step::new(4, 1_500), Step::new(2, 500).after(&[0])]);
    let submitted = cluster.submit(QUICK, &job);
    cluster.wait_started(&submitted);
    let head = cluster.head();
    cluster.terminate_and_wait(head);
    let next = Configuration::standard(2).with(Queue::new("/next/", PLANNING, 1));
    cluster.put(&next, 1);
    cluster.configuration = next;
    let second = cluster.submit("/next/", &Job::single(100));
    cluster.start_machine(head);
    cluster.expect_completed(&second);
    cluster.expect_completed(&submitted);
    cluster.finish();
}

/// All machines are stopped and started in turn while jobs are submitted; no task starts twice and no job is lost.
#[rstest]
fn jobs_complete_during_a_rolling_restart() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let (client, queue) = (cluster.client.clone(), cluster.queue(QUICK));
    let stopping = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let stop_requested = stopping.clone();
    let submitting = std::thread::spawn(move || {
        while !stop_requested.load(Ordering::Relaxed) {
            let submitted = client
                .submit(&queue, &Job::new(vec![Step::new(2, 150)]))
                .expect("the job should be accepted");
            client
                .wait_end(&submitted, JOB_TIMEOUT)
                .expect("the job should end in time");
        }
    });
    let machines = [
        cluster.system.edges(),
        cluster.system.sides(),
        cluster.system.cores(),
    ]
    .concat();
    for machine in machines {
        cluster.terminate_and_wait(machine);
        cluster.start_machine(machine);
        let done = cluster.submit(QUICK, &Job::single(50));
        cluster.expect_completed(&done);
    }
    stopping.store(true, Ordering::Relaxed);
    submitting
        .join()
        .expect("the submitting thread should not panic");
    cluster.finish();
}

//! Rare faults: frozen members, racing operators, losses right after a replacement, members that return after hundreds
//! of changes, and connections that are lost in every phase of a request.

use indigofold_system_tests::client::SubmittedJob;
use indigofold_system_tests::cluster::{CATCH_UP, Cluster};
use indigofold_system_tests::configuration::{Configuration, PLANNING, QUICK, Queue};
use indigofold_system_tests::http::{HttpError, Request, Response};
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::operator::{Operator, put_request, read_request};
use indigofold_system_tests::programs;
use indigofold_system_tests::system::{MachineCounts, MachineId};
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

/// Version up to which the configuration is changed while a member is down.
const CHANGES: u64 = 500;
/// Number of requests to read the configuration that are sent to a head while it is frozen.
const READERS: usize = 20;

/// A configuration with a queue named after `label`, to distinguish it from others of the same version.
fn labelled(version: u64, label: &str) -> Configuration {
    Configuration::standard(version).with(Queue::new(&format!("/{label}/"), PLANNING, 1))
}

/// Sends a request to one member on a new thread.
fn request_in_thread(
    operator: &Operator,
    member: SocketAddr,
    request: Request,
) -> JoinHandle<Result<Response, HttpError>> {
    let operator = operator.clone();
    std::thread::spawn(move || operator.request_once(member, &request))
}

/// A head and another member are frozen while a new configuration is accepted. Once resumed, the old head must return
/// the new configuration or an error, and must not accept a put that builds on the old one.
#[rstest]
fn a_head_that_was_frozen_returns_no_stale_configuration() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::with_cores(5));
    // Gives all five members the time to count for a quorum.
    cluster.submit_jobs_for(CATCH_UP);
    let head = cluster.head();
    let other = cluster.other_cores(head)[0];
    cluster.freeze_machines(&[head, other]);
    let second = labelled(2, "second");
    cluster.put(&second, 1);
    cluster.configuration = second.clone();
    let submitted = cluster.submit("/second/", &Job::single(50));
    cluster.expect_completed(&submitted);
    let address = cluster.system.control_plane(head);
    let readers: Vec<_> = (0..READERS)
        .map(|_| request_in_thread(&cluster.operator, address, read_request()))
        .collect();
    let late = put_request(&labelled(2, "late").to_json(), 1);
    let late_put = request_in_thread(&cluster.operator, address, late.clone());
    cluster.thaw_machines(&[head, other]);
    let is_current =
        |response: &Response| response.status != 200 || response.json() == second.to_json();
    let responses = readers.into_iter().filter_map(|thread| {
        thread
            .join()
            .expect("the reader's thread should not panic")
            .ok()
    });
    responses.for_each(|response| {
        assert!(
            is_current(&response),
            "stale configuration: {}",
            response.json()
        );
    });
    let late_status = late_put
        .join()
        .expect("the operator's thread should not panic")
        .map_or(0, |response| response.status);
    assert_ne!(
        late_status, 200,
        "the resumed head accepted a put on an outdated version"
    );
    assert_eq!(
        cluster
            .operator
            .request(&late)
            .expect("the request should get a response")
            .status,
        412
    );
    assert_eq!(cluster.read_configuration(), second.to_json());
    cluster.finish();
}

/// Two operators send different configurations of the same version while the head is killed. Exactly one is accepted,
/// and a retry of each gets the same status as before.
#[rstest]
fn one_of_two_racing_puts_is_accepted_while_heads_are_killed(#[values(1, 2)] after: usize) {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    for iteration in 1..=4 {
        let (base, version) = (iteration, iteration + 1);
        let requests =
            ["one", "other"].map(|label| put_request(&labelled(version, label).to_json(), base));
        let head = cluster.head();
        let senders = requests.clone().map(|request| {
            let operator = cluster.operator.clone();
            std::thread::spawn(move || {
                operator
                    .request(&request)
                    .expect("a core member should give a clear response")
                    .status
            })
        });
        if after == 1 {
            cluster.system.kill(head);
        }
        let statuses = senders.map(|sender| {
            sender
                .join()
                .expect("the operator's thread should not panic")
        });
        if after == 2 {
            cluster.system.kill(head);
        }
        let retried = requests.map(|request| {
            cluster
                .operator
                .request(&request)
                .expect("a core member should give a clear response")
                .status
        });
        assert_eq!(retried, statuses, "iteration {iteration}");
        let mut sorted = statuses;
        sorted.sort_unstable();
        assert_eq!(sorted, [200, 412], "iteration {iteration}");
        let winner = if statuses[0] == 200 { "one" } else { "other" };
        assert_eq!(
            cluster.read_configuration(),
            labelled(version, winner).to_json()
        );
        cluster.start_machine(head);
        cluster.configuration = labelled(version, winner);
        cluster.submit_jobs_for(Duration::from_millis(500));
    }
    cluster.finish();
}

/// A core machine is replaced by one at another address. Once the new one counts for a quorum, all lose power and the
/// head also loses its disk.
#[rstest]
#[case::replacement_started_first(true)]
#[case::replaced_member_killed_first(false)]
fn a_disk_lost_right_after_a_replacement_loses_no_state(#[case] new_first: bool) {
    let mut cluster = Cluster::prepare(programs!(), MachineCounts::with_cores(4));
    let cores = cluster.system.cores();
    let machines = [
        cores[..3].to_vec(),
        cluster.system.edges(),
        cluster.system.sides(),
    ]
    .concat();
    cluster.start_with_workers(&machines);
    let (old, new) = (cluster.head(), cores[3]);
    let waiting = cluster.submit(QUICK, &Job::new(vec![Step::new(1, 100).requires("only-9")]));
    cluster.system.join_existing(new);
    if new_first {
        cluster.start_machine(new);
        cluster.submit_jobs_for(CATCH_UP);
    }
    cluster.kill_and_wipe(old);
    if !new_first {
        cluster.start_machine(new);
    }
    cluster.submit_jobs_for(CATCH_UP);
    let second = labelled(2, "second");
    cluster.put(&second, 1);
    let submitted = cluster.submit(QUICK, &Job::single(200));
    let present: Vec<MachineId> = cores.into_iter().filter(|core| *core != old).collect();
    let lost = cluster.head();
    cluster.kill_machines(&present);
    cluster
        .system
        .wipe(lost)
        .expect("the disk should be emptied");
    cluster.start_machines(&present);
    assert_eq!(cluster.read_configuration(), second.to_json());
    assert!(cluster.state(&waiting).is_some());
    cluster.expect_completed(&submitted);
    cluster
        .client
        .cancel(&waiting)
        .expect("the cancellation should be acknowledged");
    cluster.finish();
}

/// A member is down during hundreds of changes and restarts. The newest configuration survives the loss of the head, and
/// the restarted member becomes head with it: by the election, or because the third member is down and the head hands over.
#[rstest]
fn a_member_that_missed_hundreds_of_changes_leads_with_all_of_them() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let first_head = cluster.head();
    let stopped = cluster.other_cores(first_head)[0];
    cluster.system.kill(stopped);
    for version in 2..=CHANGES {
        let mut queue = Queue::new("/changing/", PLANNING, 1).to_json();
        queue["timeout_ms"] = json!(1_000 + version);
        let change = json!({"version": version, "upsert": {"routes": [queue]}});
        cluster.patch(&change, version - 1);
    }
    let newest = cluster.read_configuration();
    cluster.start_machine(stopped);
    cluster.submit_jobs_for(CATCH_UP);
    cluster.system.kill(first_head);
    cluster.head();
    cluster.start_machine(first_head);
    cluster.submit_jobs_for(CATCH_UP);
    assert_eq!(cluster.read_configuration(), newest);
    hand_over_to(&mut cluster, stopped);
    assert_eq!(cluster.head(), stopped, "the returned member takes over");
    assert_eq!(cluster.read_configuration(), newest);
    let first = json!({"version": 2, "upsert": {"routes": []}});
    assert_eq!(
        cluster
            .operator
            .patch(&first, 1)
            .expect("the request should get a response")
            .status,
        412
    );
    cluster.finish();
}

/// Makes a member the head if it is not: the other follower is down while the head hands over.
fn hand_over_to(cluster: &mut Cluster, successor: MachineId) {
    let head = cluster.head();
    let mut followers = cluster.other_cores(head);
    followers.retain(|follower| *follower != successor);
    let [third] = followers[..] else {
        assert_eq!(head, successor, "three members, one of them the head");
        return;
    };
    cluster.system.kill(third);
    cluster.submit_jobs_for(CATCH_UP);
    assert_eq!(cluster.head(), head, "the head is up all the time");
    cluster.terminate_and_wait(head);
    cluster.start_machine(third);
    assert_eq!(cluster.head(), successor);
    cluster.start_machine(head);
    cluster.submit_jobs_for(CATCH_UP);
}

/// A member's database is corrupt, and its settings still have `bootstrap` set. It must not vote like a member of a new
/// cluster: together with a member that was down, it would form a quorum without the newest writes.
#[rstest]
fn a_member_with_a_quarantined_database_does_not_bootstrap() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let head = cluster.head();
    let others: Vec<_> = cluster.other_cores(head);
    let (stopped, third) = (others[0], others[1]);
    cluster.system.kill(stopped);
    let second = labelled(2, "second");
    cluster.put(&second, 1);
    cluster.kill_machines(&[head, third]);
    cluster
        .system
        .corrupt_database(head)
        .expect("the database should be overwritten");
    cluster.system.set_bootstrap(head);
    cluster.start_machines(&[head, stopped]);
    let members = [head, stopped].map(|core| cluster.system.control_plane(core));
    let until = cluster.environment.now() + CATCH_UP;
    while cluster.environment.now() < until {
        let responses = members
            .iter()
            .filter_map(|member| cluster.operator.request_once(*member, &read_request()).ok());
        responses.for_each(|response| {
            assert_ne!(
                response.status,
                200,
                "a configuration without a safe quorum: {}",
                response.json()
            );
        });
    }
    cluster.start_machine(third);
    assert_eq!(cluster.read_configuration(), second.to_json());
    cluster.configuration = second;
    cluster.submit_jobs_for(CATCH_UP);
    cluster.finish();
}

/// A client closes its connection after a part of a request. The job is then unknown or runs once, and retries with the
/// same id do not run it again.
#[rstest]
fn a_connection_lost_in_any_phase_of_a_request_causes_no_second_run() {
    let cluster = Cluster::start(programs!(), MachineCounts::default());
    let (queue, edge) = (cluster.queue(QUICK), cluster.client.edges()[0]);
    let job = Job::new(vec![Step::new(2, 100)]);
    let complete = usize::MAX;
    let phases = [10, 60, 120, 160, 200, 230, 260, complete];
    let mut submitted = Vec::new();
    for bytes in phases.into_iter().cycle().take(4 * phases.len()) {
        let one = SubmittedJob::new(&queue);
        cluster
            .client
            .submit_truncated(edge, &one, &job, bytes)
            .expect("the truncated request should be sent");
        submitted.push(one);
    }
    for one in &submitted {
        // Retries at every edge, as by a client that got no response.
        let edges = cluster.client.edges().to_vec();
        let responses = edges
            .into_iter()
            .map(|edge| cluster.client.submit_once(edge, one, &job));
        responses.for_each(|response| {
            assert_eq!(
                response.expect("the request should get a response").status,
                200
            );
        });
        cluster.expect_completed(one);
    }
    cluster.finish();
}

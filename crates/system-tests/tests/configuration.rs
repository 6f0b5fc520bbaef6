//! The operator's configuration: each version is accepted once and takes effect at every edge.

use indigofold_system_tests::cluster::{Cluster, START_TIMEOUT};
use indigofold_system_tests::configuration::{Configuration, PLANNING, QUICK, Queue, VISION};
use indigofold_system_tests::http::Request;
use indigofold_system_tests::operator::{put_request, redirection};
use indigofold_system_tests::programs;
use indigofold_system_tests::system::MachineCounts;
use rstest::rstest;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Path prefix of a queue that later versions add.
const ADDED: &str = "/added/";
/// An id that no job has.
const NO_JOB: &str = "0123456789abcdef";

/// Statuses of all edges for a job that does not exist: 410 if the edge knows the queue, 404 otherwise.
fn statuses(cluster: &Cluster, path_prefix: &str) -> BTreeSet<u16> {
    let request = Request::new("GET", format!("{path_prefix}{NO_JOB}"));
    let edges = cluster.client.edges().iter();
    edges
        .map(|edge| {
            cluster
                .client
                .request_at(*edge, &request)
                .expect("the request should get a response")
                .status
        })
        .collect()
}

/// Waits until all edges respond with `status`, at most for the time in which a configuration must take effect.
fn wait_in_force(cluster: &Cluster, path_prefix: &str, status: u16) {
    let bound = cluster.environment.bounds().config_apply;
    let wanted = BTreeSet::from([status]);
    let probe = || (statuses(cluster, path_prefix) == wanted).then_some(());
    cluster.wait_for("a configuration in force", bound, probe);
}

#[rstest]
fn the_first_configuration_is_in_force_at_every_edge() {
    let mut cluster = Cluster::start(
        programs!(),
        MachineCounts {
            edges: 3,
            sides: 1,
            ..MachineCounts::default()
        },
    );
    wait_in_force(&cluster, QUICK, 410);
    assert_eq!(statuses(&cluster, ADDED), BTreeSet::from([404]));
    assert_eq!(
        cluster.read_configuration(),
        cluster.configuration.to_json()
    );
    cluster.check();
}

#[rstest]
fn an_edge_without_configuration_responds_503() {
    let mut cluster = Cluster::prepare(programs!(), MachineCounts::default());
    let machines = [cluster.system.cores(), cluster.system.edges()].concat();
    cluster.start_machines(&machines);
    let edge = cluster.client.edges()[0];
    let request = Request::new("GET", format!("{QUICK}{NO_JOB}"));
    let response = cluster.wait_for("a response", Duration::from_secs(10), || {
        cluster.client.request_at(edge, &request).ok()
    });
    assert_eq!(response.status, 503);
    cluster.check();
}

#[rstest]
fn added_and_removed_routes_come_into_force() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let route = Queue::new(ADDED, PLANNING, 1).to_json();
    let change = json!({"version": 4, "upsert": {"routes": [route]}});
    cluster.patch(&change, 1);
    wait_in_force(&cluster, ADDED, 410);
    let change =
        json!({"version": 9, "remove": {"routes": [Queue::new(ADDED, PLANNING, 1).name()]}});
    cluster.patch(&change, 4);
    wait_in_force(&cluster, ADDED, 404);
    wait_in_force(&cluster, QUICK, 410);
    let read = cluster.read_configuration();
    assert_eq!(
        read,
        Configuration {
            version: 9,
            ..cluster.configuration.clone()
        }
        .to_json()
    );
    cluster.check();
}

#[rstest]
fn a_repeated_put_is_acknowledged_at_any_member() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let second = Configuration::standard(5).with(Queue::new(ADDED, VISION, 1));
    for _ in 0..2 {
        cluster.put(&second, 1);
    }
    // A retry of the same put is not refused as a conflict, nor is one of the first version, which has been replaced.
    for member in cluster.operator.members() {
        let response = cluster
            .operator
            .request_once(*member, &put_request(&second.to_json(), 1))
            .expect("the request should get a response");
        assert!(
            matches!(response.status, 200 | 307 | 503),
            "status {}, expected 200, 307 or 503",
            response.status
        );
    }
    assert_eq!(
        cluster
            .operator
            .put(&cluster.configuration, 0)
            .expect("the request should get a response")
            .status,
        200
    );
    assert_eq!(cluster.read_configuration(), second.to_json());
    cluster.check();
}

#[rstest]
fn another_configuration_of_a_used_version_is_refused() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let other = Configuration::standard(1).with(Queue::new(ADDED, PLANNING, 1));
    assert_eq!(
        cluster
            .operator
            .put(&other, 0)
            .expect("the request should get a response")
            .status,
        412
    );
    assert_eq!(
        cluster.read_configuration(),
        cluster.configuration.to_json()
    );
    cluster.check();
}

#[rstest]
#[case::with_the_same_version(3, 3)]
#[case::with_different_versions(3, 4)]
fn one_of_two_racing_puts_is_accepted(#[case] one: u64, #[case] other: u64) {
    let mut cluster = Cluster::start(programs!(), MachineCounts::default());
    let versions = [
        Configuration::standard(one).with(Queue::new("/one/", PLANNING, 1)),
        Configuration::standard(other).with(Queue::new("/other/", PLANNING, 1)),
    ];
    let operator = &cluster.operator;
    let statuses = std::thread::scope(|scope| {
        let put = |version| {
            scope.spawn(move || {
                operator
                    .put(version, 1)
                    .expect("the request should get a response")
                    .status
            })
        };
        let racing: Vec<_> = versions.iter().map(put).collect();
        racing
            .into_iter()
            .map(|put| put.join().expect("the operator's thread should not panic"))
            .collect::<Vec<_>>()
    });
    let winner = statuses
        .iter()
        .position(|status| *status == 200)
        .expect("one of the puts should be accepted");
    assert_eq!(statuses[1 - winner], 412);
    assert_eq!(
        operator
            .read()
            .expect("a core member should return the configuration"),
        versions[winner].to_json()
    );
    cluster.check();
}

fn with_unknown_service(mut configuration: Value) -> Value {
    configuration["routes"][0]["backend"] = "nobody".into();
    configuration
}

fn with_duplicate_path_prefix(mut configuration: Value) -> Value {
    configuration["routes"][0]["path_prefix"] = configuration["routes"][1]["path_prefix"].clone();
    configuration
}

fn with_zero_timeout(mut configuration: Value) -> Value {
    configuration["routes"][0]["timeout_ms"] = 0.into();
    configuration
}

fn not_newer(mut configuration: Value) -> Value {
    configuration["version"] = 1.into();
    configuration["routes"][0]["priority"] = 2.into();
    configuration
}

#[rstest]
#[case::unknown_service(with_unknown_service)]
#[case::shared_host_and_path_prefix(with_duplicate_path_prefix)]
#[case::no_timeout(with_zero_timeout)]
#[case::version_not_higher(not_newer)]
fn an_invalid_configuration_is_refused(#[case] invalidate: fn(Value) -> Value) {
    let mut cluster = Cluster::start(programs!(), MachineCounts::with_sides(1));
    let invalid = invalidate(Configuration::standard(7).to_json());
    let response = cluster
        .operator
        .request(&put_request(&invalid, 1))
        .expect("the request should get a response");
    assert_eq!(response.status, 400);
    let truncated = Request::new("PUT", "/config")
        .header("If-Match", "1")
        .json("{\"version\":8,\"routes\":[");
    assert_eq!(
        cluster
            .operator
            .request(&truncated)
            .expect("the request should get a response")
            .status,
        400
    );
    assert_eq!(
        cluster.read_configuration(),
        cluster.configuration.to_json()
    );
    cluster.check();
}

/// Waits for a redirection and returns its address. A member that is not the head responds with 503 until it knows the
/// head, and then redirects to it.
fn wait_redirection(cluster: &Cluster, member: SocketAddr, request: &Request) -> SocketAddr {
    cluster.wait_for("a redirection", START_TIMEOUT, || {
        let response = cluster
            .operator
            .request_once(member, request)
            .expect("the request should get a response");
        assert!(
            matches!(response.status, 307 | 503),
            "status {}, expected 307 or 503",
            response.status
        );
        redirection(&response)
    })
}

#[rstest]
fn members_that_are_not_head_redirect_to_it() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::with_sides(1));
    let head = cluster.system.control_plane(cluster.head());
    let next = put_request(&Configuration::standard(2).to_json(), 1);
    for member in cluster
        .operator
        .members()
        .iter()
        .filter(|member| **member != head)
    {
        for request in [Request::new("GET", "/config"), next.clone()] {
            assert_eq!(wait_redirection(&cluster, *member, &request), head);
        }
    }
    cluster.check();
}

#[rstest]
fn members_without_a_head_respond_503_at_once() {
    let mut cluster = Cluster::start(programs!(), MachineCounts::with_sides(1));
    let cores = cluster.system.cores();
    let (killed, remaining) = cores.split_at(2);
    cluster.kill_machines(killed);
    let member = cluster.system.control_plane(remaining[0]);
    let next = put_request(&Configuration::standard(2).to_json(), 1);
    cluster.wait_for("a 503", Duration::from_secs(10), || {
        let started = Instant::now();
        let response = cluster.operator.request_once(member, &next).ok()?;
        (response.status == 503 && started.elapsed() < Duration::from_millis(200)).then_some(())
    });
    cluster.check();
}

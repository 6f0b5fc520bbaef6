//! Processes that know only three seed addresses find each other, whatever order they start in.

use indigofold_system_tests::cluster::Cluster;
use indigofold_system_tests::configuration::{PLANNING, QUICK};
use indigofold_system_tests::job::Job;
use indigofold_system_tests::programs;
use indigofold_system_tests::settings::MachineClass::{self, Core, Edge, Side};
use indigofold_system_tests::system::Shape;
use rstest::rstest;

#[rstest]
#[case::core_first([Core, Edge, Side])]
#[case::core_last([Side, Edge, Core])]
#[case::core_in_the_middle([Edge, Core, Side])]
fn any_start_order_leads_to_a_working_cluster(#[case] order: [MachineClass; 3]) {
    let mut cluster = Cluster::prepare(programs!(), Shape::default());
    for class in order {
        for machine in cluster.system.of_class(class) {
            cluster.start_machine(machine);
        }
        if class == Side {
            cluster.start_workers(PLANNING);
        }
    }
    cluster.configure();
    cluster.wait_ready();
    let job = cluster.submit(QUICK, &Job::single(100));
    cluster.expect_completed(&job);
    cluster.finish();
}

#[rstest]
fn seeds_may_start_last_and_in_reverse() {
    let mut cluster = Cluster::prepare(programs!(), Shape::default());
    let system = &cluster.system;
    let machines = [system.edges(), system.sides(), system.cores()].concat();
    machines
        .into_iter()
        .rev()
        .for_each(|machine| cluster.start_machine(machine));
    cluster.start_workers(PLANNING);
    cluster.configure();
    cluster.wait_ready();
    let job = cluster.submit(QUICK, &Job::single(100));
    cluster.expect_completed(&job);
    cluster.finish();
}

#[rstest]
fn a_core_of_five_members_needs_three_seeds() {
    let cluster = Cluster::start(programs!(), Shape::with_cores(5));
    let job = cluster.submit(QUICK, &Job::single(100));
    cluster.expect_completed(&job);
    cluster.finish();
}

#[rstest]
fn an_edge_is_not_ready_before_it_has_found_the_core() {
    let mut cluster = Cluster::prepare(programs!(), Shape::default());
    let edge = cluster.system.edges()[0];
    cluster.start_machine(edge);
    let listening = cluster.environment.signal().wait_until(
        "a listening edge",
        indigofold_system_tests::cluster::START_TIMEOUT,
        || {
            let request = indigofold_system_tests::http::Request::new("GET", "/readiness");
            let second = std::time::Duration::from_secs(1);
            indigofold_system_tests::http::request_once(
                cluster.system.readiness(edge),
                &request,
                second,
            )
            .ok()
        },
    );
    assert_ne!(listening.expect("a response").status, 200);
    for machine in cluster.system.cores() {
        cluster.start_machine(machine);
    }
    cluster.configure();
    cluster.wait_edge(edge);
    cluster.check();
}

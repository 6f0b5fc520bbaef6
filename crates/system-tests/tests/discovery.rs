//! Discovery: processes that know only three seed addresses find each other in any start order.

use indigofold_system_tests::cluster::{Cluster, START_TIMEOUT};
use indigofold_system_tests::configuration::{PLANNING, QUICK};
use indigofold_system_tests::job::Job;
use indigofold_system_tests::programs;
use indigofold_system_tests::settings::MachineClass::{self, Core, Edge, Side};
use indigofold_system_tests::system::MachineCounts;
use rstest::rstest;

/// Checks that a job is accepted and completes, and finishes the test.
fn expect_working(cluster: Cluster) {
    let job = cluster.submit(QUICK, &Job::single(100));
    cluster.expect_completed(&job);
    cluster.finish();
}

#[rstest]
#[case::core_first([Core, Edge, Side])]
#[case::core_last([Side, Edge, Core])]
#[case::core_in_the_middle([Edge, Core, Side])]
fn any_start_order_leads_to_a_working_cluster(#[case] order: [MachineClass; 3]) {
    let mut cluster = Cluster::prepare(programs!(), MachineCounts::default());
    for class in order {
        cluster.start_machines(&cluster.system.of_class(class));
        if class == Side {
            cluster.start_workers(PLANNING);
        }
    }
    cluster.configure();
    cluster.wait_ready();
    expect_working(cluster);
}

#[rstest]
fn machines_may_start_in_reverse_order() {
    let mut cluster = Cluster::prepare(programs!(), MachineCounts::default());
    let system = &cluster.system;
    let mut machines = [system.edges(), system.sides(), system.cores()].concat();
    machines.reverse();
    cluster.start_with_workers(&machines);
    expect_working(cluster);
}

#[rstest]
fn a_core_of_five_members_needs_three_seeds() {
    let cluster = Cluster::start(programs!(), MachineCounts::with_cores(5));
    expect_working(cluster);
}

#[rstest]
fn an_edge_is_not_ready_before_it_has_found_the_core() {
    let mut cluster = Cluster::prepare(programs!(), MachineCounts::default());
    let edge = cluster.system.edges()[0];
    cluster.start_machine(edge);
    let listening = cluster.wait_for("a listening edge", START_TIMEOUT, || {
        cluster.readiness(edge).ok()
    });
    assert_ne!(listening.status, 200);
    cluster.start_machines(&cluster.system.cores());
    cluster.configure();
    cluster.wait_edge(edge);
    cluster.check();
}

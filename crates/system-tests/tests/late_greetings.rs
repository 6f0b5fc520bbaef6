//! What a node agent sends is held up by the network for seconds, and arrives when the agent has given up the connection;
//! and two machines have the same name.

use indigofold_system_tests::cluster::{Cluster, START_TIMEOUT};
use indigofold_system_tests::configuration::{PLANNING, QUICK};
use indigofold_system_tests::environment::JobState;
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::programs;
use indigofold_system_tests::relay::Relay;
use indigofold_system_tests::system::{MachineCounts, MachineId};
use rstest::rstest;
use std::time::Duration;

/// Longest time until a job ends, from its submission (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);
/// Number of tasks of a job whose runs are counted.
const TASKS: u32 = 4;
/// Time that each of these tasks works.
const WORK_MS: u64 = 5_000;

/// A cluster whose only node agent is not started yet, and reaches the core through a relay before the head.
struct RelayedCluster {
    cluster: Cluster,
    relay: Relay,
    side: MachineId,
}

impl RelayedCluster {
    fn start() -> Self {
        let mut cluster = Cluster::prepare(programs!(), MachineCounts::with_sides(1));
        let machines = [cluster.system.cores(), cluster.system.edges()].concat();
        cluster.start_machines(&machines);
        cluster.configure();
        cluster.wait_ready();
        let (head, side) = (cluster.head(), cluster.system.sides()[0]);
        let mut relays = cluster
            .system
            .relays(&[head], &[side])
            .expect("the relay should listen");
        let relay = relays.remove(0);
        RelayedCluster {
            cluster,
            relay,
            side,
        }
    }

    fn start_agent_and_worker(&mut self) {
        self.cluster.start_machine(self.side);
        self.cluster.start_workers(PLANNING);
    }

    /// Waits until the relay has counted a connection.
    fn wait_for(&self, what: &str, count: impl Fn(&Relay) -> usize) {
        let probe = || (count(&self.relay) > 0).then_some(());
        self.cluster.wait_for(what, START_TIMEOUT, probe);
    }
}

/// A job that only one worker can do.
fn job_for(worker: usize, tasks: u32, work_ms: u64) -> Job {
    Job::new(vec![
        Step::new(tasks, work_ms).requires(&format!("only-{worker}")),
    ])
}

/// Submits a short job that only this worker can do, and waits for its end.
fn expect_worker_gets_work(cluster: &Cluster, worker: usize) {
    let submitted = cluster.submit(QUICK, &job_for(worker, 1, 100));
    let state = cluster.client.wait_end(&submitted, FINISH);
    assert_eq!(
        state.expect("the job should end in time"),
        JobState::Completed
    );
}

/// Failure: a greeting on a connection that the node agent had given up took the place of its present connection at the
/// head. The agent's reports were dropped, and its worker got no work any more.
#[rstest]
fn a_late_greeting_does_not_take_the_place_of_the_present_connection() {
    let mut relayed = RelayedCluster::start();
    relayed.relay.hold_next();
    relayed.start_agent_and_worker();
    relayed.wait_for("the end of the first connection", Relay::closed_while_held);
    relayed.relay.pass_next();
    expect_worker_gets_work(&relayed.cluster, 0);
    relayed.relay.release();
    relayed.wait_for("the late greeting", Relay::delivered_late);
    for _ in 0..3 {
        expect_worker_gets_work(&relayed.cluster, 0);
    }
    relayed.cluster.finish();
}

/// Failure: a node agent stayed with a head that answered none of its reports, as the connection did not end; its worker
/// got no work any more. The held reports arrive in the end, on a connection that the agent has given up.
#[rstest]
fn a_node_agent_whose_reports_are_held_up_connects_anew() {
    let mut relayed = RelayedCluster::start();
    relayed.start_agent_and_worker();
    expect_worker_gets_work(&relayed.cluster, 0);
    relayed.relay.hold_open();
    expect_worker_gets_work(&relayed.cluster, 0);
    let running = relayed.cluster.submit(QUICK, &job_for(0, TASKS, WORK_MS));
    relayed.wait_for("the end of the held connection", Relay::closed_while_held);
    relayed.relay.release();
    relayed.wait_for("the late reports", Relay::delivered_late);
    expect_worker_gets_work(&relayed.cluster, 0);
    relayed.cluster.expect_completed(&running);
    assert_eq!(relayed.cluster.count_starts(&running), TASKS as usize);
    relayed.cluster.finish();
}

/// Failure: two node agents with the same name closed each other's connections and ended each other's instances, so that
/// tasks were started a second time while their first runs went on.
#[rstest]
fn of_two_node_agents_with_the_same_name_the_first_one_keeps_its_work() {
    let mut cluster = Cluster::prepare(programs!(), MachineCounts::with_sides(2));
    let sides = cluster.system.sides();
    let name = cluster.system.settings(sides[0]).node_name.clone();
    cluster.system.set_node_name(sides[1], &name);
    let machines = [
        cluster.system.cores(),
        cluster.system.edges(),
        vec![sides[0]],
    ];
    cluster.start_with_workers(&machines.concat());
    let first = cluster.submit(QUICK, &job_for(0, TASKS, WORK_MS));
    cluster.wait_for_record("the starts of the first job", |record| {
        (record.starts(&first.id).count() == TASKS as usize).then_some(())
    });
    cluster.start_machine(sides[1]);
    let second = cluster.submit(QUICK, &job_for(1, 1, 100));
    cluster.expect_completed(&first);
    assert_eq!(cluster.count_starts(&first), TASKS as usize);
    assert_eq!(cluster.state(&second), Some(JobState::Queued));

    cluster.workers[0].crash();
    cluster.system.kill(sides[0]);
    let state = cluster.client.wait_end(&second, FINISH);
    assert_eq!(
        state.expect("the second machine should get work"),
        JobState::Completed
    );
    cluster.finish();
}

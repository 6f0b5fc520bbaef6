//! What operators meet on their worst days, on whole programs over loopback: members out of touch, racing operators,
//! losses right after a replacement, members that come back after hundreds of changes, connections that break in every
//! phase of a call.

use indigofold_system_tests::cluster::{CATCH_UP, Cluster};
use indigofold_system_tests::configuration::{Configuration, PLANNING, QUICK, Queue};
use indigofold_system_tests::http::{Answer, Call};
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::operator::put_call;
use indigofold_system_tests::programs;
use indigofold_system_tests::system::{MachineId, Shape};
use rstest::rstest;
use serde_json::json;
use std::time::Duration;

/// Changes that are made while a member is away.
const CHANGES: u64 = 500;
/// So often the head is killed until a certain member leads.
const HEADS_MAX: usize = 10;

fn read_call() -> Call {
    Call::new("GET", "/config")
}

/// A configuration of this version that differs by `mark` from others of the same.
fn marked(version: u64, mark: &str) -> Configuration {
    Configuration::standard(version).with(Queue::new(&format!("/{mark}/"), PLANNING, 1))
}

/// A head and one more member get no processor for a while. What the head answers as it wakes is the newest, or that it
/// is not the one to ask.
#[rstest]
fn a_head_that_was_out_of_touch_answers_nothing_old() {
    let mut cluster = Cluster::start(
        programs!(),
        Shape {
            cores: 5,
            ..Shape::default()
        },
    );
    // Until all five vote.
    cluster.work_for(CATCH_UP);
    let head = cluster.head();
    let other = cluster
        .system
        .cores()
        .into_iter()
        .find(|core| *core != head)
        .expect("another member");
    [head, other]
        .into_iter()
        .for_each(|core| cluster.system.freeze(core).expect("frozen"));
    let second = marked(2, "second");
    assert_eq!(
        cluster.operator.put(&second, 1).expect("an answer").status,
        200
    );
    cluster.configuration = second.clone();
    let handed = cluster.submit("/second/", &Job::single(50));
    cluster.expect_completed(&handed);
    let [address, _] = [head, other].map(|core| cluster.system.control_plane(core));
    let asked: Vec<_> = (0..20)
        .map(|_| {
            let operator = cluster.operator.clone();
            std::thread::spawn(move || operator.ask(address, &read_call()))
        })
        .collect();
    let late = put_call(&marked(2, "late").to_json(), 1);
    let order = {
        let (operator, late) = (cluster.operator.clone(), late.clone());
        std::thread::spawn(move || operator.ask(address, &late))
    };
    [head, other]
        .into_iter()
        .for_each(|core| cluster.system.thaw(core).expect("thawed"));
    let newest = |answer: &Answer| answer.status != 200 || answer.json() == second.to_json();
    let answers = asked
        .into_iter()
        .filter_map(|thread| thread.join().expect("a client").ok());
    answers.for_each(|answer| assert!(newest(&answer), "{}", answer.json()));
    let order = order
        .join()
        .expect("an operator")
        .map(|answer| answer.status);
    assert_ne!(
        order.unwrap_or_default(),
        200,
        "an order on a version that is not current"
    );
    assert_eq!(
        cluster.operator.order(&late).expect("an answer").status,
        412
    );
    assert_eq!(
        cluster.operator.read().expect("the configuration"),
        second.to_json()
    );
    cluster.finish();
}

/// Two operators send different changes under one number while the head is killed. One is taken; sent again, it is
/// acknowledged anew, and the other is refused.
#[rstest]
fn of_two_racing_orders_one_is_taken_whatever_happens_to_the_head(#[values(1, 2)] after: usize) {
    let mut cluster = Cluster::start(programs!(), Shape::default());
    for round in 1..=4 {
        let (base, version) = (round, round + 1);
        let calls = ["one", "other"].map(|mark| put_call(&marked(version, mark).to_json(), base));
        let head = cluster.head();
        let senders = calls.clone().map(|call| {
            let operator = cluster.operator.clone();
            std::thread::spawn(move || operator.order(&call).expect("a clear answer").status)
        });
        if after == 1 {
            cluster.system.kill(head);
        }
        let statuses = senders.map(|sender| sender.join().expect("an operator"));
        if after == 2 {
            cluster.system.kill(head);
        }
        let again = calls.map(|call| {
            cluster
                .operator
                .order(&call)
                .expect("a clear answer")
                .status
        });
        assert_eq!(again, statuses, "round {round}");
        let mut sorted = statuses;
        sorted.sort_unstable();
        assert_eq!(sorted, [200, 412], "round {round}");
        let winner = if statuses[0] == 200 { "one" } else { "other" };
        assert_eq!(
            cluster.operator.read().expect("the configuration"),
            marked(version, winner).to_json()
        );
        cluster.start_machine(head);
        cluster.configuration = marked(version, winner);
        cluster.work_for(Duration::from_millis(500));
    }
    cluster.finish();
}

/// A machine is replaced by one at another address; then, when that counts, another loses its disk while all lose power.
#[rstest]
#[case::the_new_one_first(true)]
#[case::the_old_one_first(false)]
fn a_lost_disk_right_after_a_replacement_costs_nothing(#[case] new_first: bool) {
    let mut cluster = Cluster::prepare(
        programs!(),
        Shape {
            cores: 4,
            ..Shape::default()
        },
    );
    let cores = cluster.system.cores();
    let machines = [
        cores[..3].to_vec(),
        cluster.system.edges(),
        cluster.system.sides(),
    ]
    .concat();
    machines
        .into_iter()
        .for_each(|machine| cluster.start_machine(machine));
    cluster.start_workers(PLANNING);
    cluster.configure();
    cluster.wait_ready();
    let (old, new) = (cluster.head(), cores[3]);
    let waiting = cluster.submit(QUICK, &Job::new(vec![Step::new(1, 100).requires("only-9")]));
    cluster.system.enter_later(new);
    if new_first {
        cluster.start_machine(new);
        cluster.work_for(CATCH_UP);
    }
    cluster.system.kill(old);
    cluster.system.wipe(old).expect("an empty disk");
    if !new_first {
        cluster.start_machine(new);
    }
    cluster.work_for(CATCH_UP);
    let second = marked(2, "second");
    assert_eq!(
        cluster.operator.put(&second, 1).expect("an answer").status,
        200
    );
    let handed = cluster.submit(QUICK, &Job::single(200));
    let present: Vec<MachineId> = cores.into_iter().filter(|core| *core != old).collect();
    let lost = cluster.head();
    present.iter().for_each(|core| cluster.system.kill(*core));
    cluster.system.wipe(lost).expect("an empty disk");
    present.iter().for_each(|core| cluster.start_machine(*core));
    assert_eq!(
        cluster.operator.read().expect("the configuration"),
        second.to_json()
    );
    assert!(cluster.client.state(&waiting).expect("a state").is_some());
    cluster.expect_completed(&handed);
    cluster.client.cancel(&waiting).expect("cancelled");
    cluster.finish();
}

/// A member is away during hundreds of changes, comes back, and leads later.
#[rstest]
fn a_member_that_was_away_for_hundreds_of_changes_leads_with_all_of_them() {
    let mut cluster = Cluster::start(programs!(), Shape::default());
    let head = cluster.head();
    let away = cluster
        .system
        .cores()
        .into_iter()
        .find(|core| *core != head)
        .expect("another member");
    cluster.system.kill(away);
    for version in 2..=CHANGES {
        let mut queue = Queue::new("/changing/", PLANNING, 1).to_json();
        queue["timeout_ms"] = json!(1_000 + version);
        let change = json!({"version": version, "upsert": {"routes": [queue]}});
        assert_eq!(
            cluster
                .operator
                .patch(&change, version - 1)
                .expect("an answer")
                .status,
            200
        );
    }
    let newest = cluster.operator.read().expect("the configuration");
    cluster.start_machine(away);
    for _ in 0..HEADS_MAX {
        cluster.work_for(CATCH_UP);
        let head = cluster.head();
        assert_eq!(cluster.operator.read().expect("the configuration"), newest);
        if head == away {
            let first = json!({"version": 2, "upsert": {"routes": []}});
            assert_eq!(
                cluster.operator.patch(&first, 1).expect("an answer").status,
                412
            );
            cluster.finish();
            return;
        }
        cluster.system.kill(head);
        cluster.head();
        cluster.start_machine(head);
    }
    panic!("the member never led in {HEADS_MAX} changes of the head");
}

/// A member has forgotten what it had promised, and its settings still say that the cluster starts for the first time.
/// It must not vote as a seed that knows of nothing: beside a member that was away it would lead without the newest.
#[rstest]
fn a_member_with_a_damaged_database_is_no_seed_again() {
    let mut cluster = Cluster::start(programs!(), Shape::default());
    let head = cluster.head();
    let others: Vec<_> = cluster
        .system
        .cores()
        .into_iter()
        .filter(|core| *core != head)
        .collect();
    let (away, third) = (others[0], others[1]);
    cluster.system.kill(away);
    let second = marked(2, "second");
    assert_eq!(
        cluster.operator.put(&second, 1).expect("an answer").status,
        200
    );
    [head, third]
        .into_iter()
        .for_each(|core| cluster.system.kill(core));
    cluster.system.damage(head).expect("damaged");
    cluster.system.claim_first_start(head);
    [head, away]
        .into_iter()
        .for_each(|core| cluster.start_machine(core));
    let members = [head, away].map(|core| cluster.system.control_plane(core));
    let until = cluster.world.now() + CATCH_UP;
    while cluster.world.now() < until {
        let answers = members
            .iter()
            .filter_map(|member| cluster.operator.ask(*member, &read_call()).ok());
        answers.for_each(|answer| assert_ne!(answer.status, 200, "{}", answer.json()));
    }
    cluster.start_machine(third);
    assert_eq!(
        cluster.operator.read().expect("the configuration"),
        second.to_json()
    );
    cluster.configuration = second;
    cluster.work_for(CATCH_UP);
    cluster.finish();
}

/// A client leaves after each part of a call. The job is not there, or runs once; sent again it is one job.
#[rstest]
fn a_connection_that_breaks_in_any_phase_of_a_call_makes_no_second_run() {
    let cluster = Cluster::start(programs!(), Shape::default());
    let (queue, edge) = (cluster.queue(QUICK), cluster.client.edges()[0]);
    let job = Job::new(vec![Step::new(2, 100)]);
    let whole = usize::MAX;
    let phases = [10, 60, 120, 160, 200, 230, 260, whole];
    let mut handed = Vec::new();
    for bytes in phases.into_iter().cycle().take(4 * phases.len()) {
        let one = cluster.client.draw(&queue);
        cluster
            .client
            .hand_in_part(edge, &one, &job, bytes)
            .expect("sent");
        handed.push(one);
    }
    for one in &handed {
        // It comes again, as clients do that got no answer.
        let edges = cluster.client.edges().to_vec();
        let answers = edges
            .into_iter()
            .map(|edge| cluster.client.hand_in(edge, one, &job));
        answers.for_each(|answer| assert_eq!(answer.expect("an answer").status, 200));
        cluster.expect_completed(one);
    }
    cluster.finish();
}

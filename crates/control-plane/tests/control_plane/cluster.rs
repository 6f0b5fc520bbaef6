//! Tests of three members with real databases, simulated connections and a simulated clock.

use crate::builders::{EDGE, accepted, config_read, edge_replies, first_config, hello, put};
use crate::simulated_cluster::{CONTROL_PORT, INTERNAL_PORT, SimulatedCluster};
use indigofold_control_plane::config_authority::ChangeResponse;
use indigofold_control_plane::core_member::{Input, Output};
use indigofold_control_plane::operator::{OperatorRequest, OperatorResponse};
use indigofold_control_plane::sessions::ConnectionId;
use indigofold_protocol::config::IngressLimits;
use indigofold_protocol::internal::{
    AgentReport, ClientCall, ClientOperation, ClientOutcome, Frame, MemberAddress, ProcessKind,
    Welcome,
};
use rstest::rstest;

/// Duration of a freeze, in milliseconds; longer than any lease.
const FREEZE_MS: u64 = 60_000;

/// Time after which a member that has returned takes part again, in milliseconds.
const CATCH_UP_MS: u64 = 4_000;

/// Returns the operator's request that sets the first configuration.
fn put_first_config() -> OperatorRequest {
    OperatorRequest::Change(put(0, &first_config()))
}

/// Passes the hello of a process on a new connection to a member.
fn greet(
    cluster: &mut SimulatedCluster,
    member: usize,
    connection: ConnectionId,
    kind: ProcessKind,
) {
    let frame = Frame::Hello(hello("other", kind, 1));
    cluster.input(member, Input::Frame { connection, frame });
}

#[test]
fn members_agree_on_one_head_at_first_start() {
    let mut cluster = SimulatedCluster::start(3);
    let head = cluster.run_to_head();
    assert_eq!(
        cluster.request(head, OperatorRequest::Read),
        OperatorResponse::NoConfig
    );
    for other in (0..3).filter(|member| *member != head) {
        let OperatorResponse::RedirectToHead(control) = cluster.request(other, put_first_config())
        else {
            panic!("member {other} does not redirect to the head");
        };
        assert_eq!(control, cluster.address(head, CONTROL_PORT));
    }
}

/// What a member sent at its start, on a connection that it has given up since, arrives twice when the members have agreed.
#[rstest]
#[case::while_its_end_follows(true)]
#[case::while_its_end_is_lost(false)]
fn late_greetings_of_members_change_neither_head_nor_members(#[case] ends: bool) {
    let mut cluster = SimulatedCluster::start(3);
    let head = cluster.run_to_head();
    assert_eq!(cluster.request(head, put_first_config()), accepted());
    let connections = (9_000..).map(ConnectionId);
    let pairs = (0..3).flat_map(|to| (0..3).map(move |from| (to, from)));
    let late = pairs.filter(|(to, from)| to != from);
    for ((to, from), connection) in late.clone().chain(late).zip(connections) {
        let address = MemberAddress {
            node_name: format!("core-{from}"),
            internal: cluster.address(from, INTERNAL_PORT),
            control: cluster.address(from, CONTROL_PORT),
        };
        let welcome = Welcome {
            view: 0,
            head: None,
            members: vec![address.clone()],
            acting: false,
            config_version: 0,
            limits: IngressLimits::default(),
        };
        let greeting = Frame::Hello(hello(&address.node_name, ProcessKind::Core, 77));
        for frame in [greeting, Frame::Welcome(welcome)] {
            cluster.input(to, Input::Frame { connection, frame });
        }
        if ends {
            cluster.input(to, Input::Closed { connection });
        }
    }
    cluster.run_for(CATCH_UP_MS);
    assert!(cluster.node(head).is_head());
    assert_eq!(cluster.request(head, OperatorRequest::Read), config_read());
    for member in 0..3 {
        assert!(
            cluster.node(member).is_needed(),
            "member {member} replicates"
        );
    }
}

#[test]
fn acknowledged_change_survives_the_head() {
    let mut cluster = SimulatedCluster::start(3);
    let head = cluster.run_to_head();
    assert_eq!(cluster.request(head, put_first_config()), accepted());
    cluster.kill(head);
    let successor = cluster.run_to_head();
    assert_ne!(successor, head);
    assert_eq!(
        cluster.request(successor, OperatorRequest::Read),
        config_read()
    );
    assert_eq!(cluster.request(successor, put_first_config()), accepted());
}

#[test]
fn acknowledged_change_survives_a_restart_of_all_members() {
    let mut cluster = SimulatedCluster::start(3);
    let head = cluster.run_to_head();
    assert_eq!(cluster.request(head, put_first_config()), accepted());
    (0..3).for_each(|member| cluster.kill(member));
    (0..3).for_each(|member| cluster.restart(member));
    let head = cluster.run_to_head();
    assert_eq!(cluster.request(head, OperatorRequest::Read), config_read());
}

/// A bit flips on the disk of a member while it is down. At its restart the member quarantines its database, and it joins the
/// chain again once it has copied all rows from the others. It must then be able to lead with these rows.
#[test]
fn damaged_member_recovers_its_rows_from_the_others() {
    let mut cluster = SimulatedCluster::start(3);
    let head = cluster.run_to_head();
    assert_eq!(cluster.request(head, put_first_config()), accepted());
    let (damaged, third) = ((head + 1) % 3, (head + 2) % 3);
    cluster
        .run_until(|cluster| cluster.node(damaged).is_needed() && cluster.node(third).is_needed());
    cluster.kill(damaged);
    cluster.flip_bit(damaged, "version");
    cluster.restart(damaged);
    cluster.run_until(|cluster| cluster.node(damaged).is_needed());
    cluster.kill(head);
    let successor = cluster.run_to_head();
    assert_eq!(
        cluster.request(successor, OperatorRequest::Read),
        config_read()
    );
    if successor != damaged {
        cluster.restart(head);
        cluster.run_until(|cluster| cluster.node(head).is_needed());
        cluster.kill(successor);
        let last = cluster.run_to_head();
        assert_eq!(cluster.request(last, OperatorRequest::Read), config_read());
    }
}

#[test]
fn successor_acts_at_once_after_step_down() {
    let mut cluster = SimulatedCluster::start(3);
    let head = cluster.run_to_head();
    assert_eq!(cluster.request(head, put_first_config()), accepted());
    let before_ms = cluster.now_ms();
    cluster.input(head, Input::StepDown);
    cluster.run_until(|cluster| !cluster.node(head).is_needed());
    let successor = cluster.run_to_head();
    assert_ne!(successor, head);
    assert!(
        cluster.now_ms() < before_ms + 1_000,
        "{} ms",
        cluster.now_ms() - before_ms
    );
    assert_eq!(
        cluster.request(successor, OperatorRequest::Read),
        config_read()
    );
}

#[test]
fn partitioned_head_stops_serving_and_its_change_is_undetermined() {
    let mut cluster = SimulatedCluster::start(3);
    let head = cluster.run_to_head();
    cluster.partition(head);
    let call = cluster.call(head, put_first_config());
    let successor = cluster.run_to_head_other_than(head);
    assert!(!matches!(
        cluster.response(call),
        Some(OperatorResponse::Change(ChangeResponse::Accepted { .. }))
    ));
    assert_eq!(
        cluster.request(successor, OperatorRequest::Read),
        OperatorResponse::NoConfig
    );
    assert!(!matches!(
        cluster.request(head, OperatorRequest::Read),
        OperatorResponse::NoConfig
    ));
    cluster.run_until(|cluster| !cluster.node(head).is_head());
    assert!(matches!(
        cluster.response(call),
        Some(OperatorResponse::Change(ChangeResponse::Undetermined) | OperatorResponse::NoHead)
    ));
}

#[rstest]
#[case::at_once(0, true)]
#[case::after_a_freeze(FREEZE_MS, false)]
fn lookup_results_are_withheld_after_lease_expiry(
    #[case] freeze_ms: u64,
    #[case] is_answered: bool,
) {
    let mut cluster = SimulatedCluster::start(3);
    let head = cluster.run_to_head();
    assert_eq!(cluster.request(head, put_first_config()), accepted());
    greet(&mut cluster, head, EDGE, ProcessKind::Edge);
    let (host, path) = ("none.example".to_owned(), "/none/".to_owned());
    let call = ClientCall {
        call: 1,
        host,
        path,
        operation: ClientOperation::Get,
    };
    let outputs = cluster.freeze(
        head,
        Input::Frame {
            connection: EDGE,
            frame: Frame::Call(call),
        },
        freeze_ms,
    );
    let replies = edge_replies(outputs);
    let expected = |outcome: &ClientOutcome| match outcome {
        ClientOutcome::UnknownRoute => is_answered,
        ClientOutcome::Unavailable { .. } => !is_answered,
        _ => false,
    };
    assert!(
        replies.len() == 1 && replies.iter().all(expected),
        "{replies:?}"
    );
}

/// Node agent's connection to the head.
const AGENT: ConnectionId = ConnectionId(900);

/// A head whose node agent is connected, in a cluster of three.
fn cluster_with_agent() -> (SimulatedCluster, usize) {
    let mut cluster = SimulatedCluster::start(3);
    let head = cluster.run_to_head();
    assert_eq!(cluster.request(head, put_first_config()), accepted());
    greet(&mut cluster, head, AGENT, ProcessKind::Agent);
    cluster.run_for(200);
    (cluster, head)
}

/// A report that names an ended instance, from an agent of a build that does not number it if `newest_update` is 0.
fn report_of_an_end(newest_update: u64) -> Input {
    let report = AgentReport {
        sent_ms: 1,
        instance: None,
        ended_instances: vec!["i-1".to_owned()],
        not_started: Vec::new(),
        newest_update,
    };
    Input::Frame {
        connection: AGENT,
        frame: Frame::Report(report),
    }
}

fn is_close_of_agent(output: &Output) -> bool {
    matches!(output, Output::Close { connection: AGENT })
}

/// What the welcomes among the outputs say about whether the member acts.
fn announced_acting(outputs: &[Output]) -> Vec<bool> {
    let welcomes = outputs.iter().filter_map(|output| match output {
        Output::Send {
            connection: AGENT,
            frame: Frame::Welcome(welcome),
        } => Some(welcome.acting),
        _ => None,
    });
    welcomes.collect()
}

/// The acknowledgements of updates in the orders among the outputs.
fn acknowledged_updates(outputs: &[Output]) -> Vec<Option<u64>> {
    let orders = outputs.iter().filter_map(|output| match output {
        Output::Send {
            connection: AGENT,
            frame: Frame::Orders(orders),
        } => Some(orders.acknowledged_update),
        _ => None,
    });
    orders.collect()
}

/// Time for which the followers stand still.
const FOLLOWERS_FREEZE_MS: u64 = 230;
/// Time for which the head stands still afterwards. Its lease expires meanwhile, and the followers' late answers renew it.
const HEAD_FREEZE_MS: u64 = 365;

/// The followers stand still, and then the head, which handles `report` when it goes on: its lease has expired, and the
/// followers' late answers renew it before anything is sent. Returns the head's outputs.
fn handle_report_between_leases(
    cluster: &mut SimulatedCluster,
    head: usize,
    report: Input,
) -> Vec<Output> {
    let followers: Vec<usize> = (0..3).filter(|member| *member != head).collect();
    followers
        .iter()
        .for_each(|follower| cluster.stop(*follower));
    cluster.run_for(FOLLOWERS_FREEZE_MS);
    cluster.stop(head);
    for follower in followers {
        let outputs = cluster.resume(follower, Vec::new());
        cluster.carry_out(follower, outputs);
    }
    cluster.run_for(HEAD_FREEZE_MS);
    let outputs = cluster.resume(head, vec![report]);
    assert!(
        !announced_acting(&outputs).contains(&false),
        "the lease is renewed before anything is sent: {outputs:?}"
    );
    outputs
}

/// Failure: a report that was handled while the lease had expired for a moment was dropped, and nobody was told. Agents of
/// earlier builds send the ends of instances once on a connection, so the tasks of a lost worker were never run again.
#[test]
fn a_report_ignored_between_expiry_and_renewal_of_the_lease_closes_its_connection() {
    let (mut cluster, head) = cluster_with_agent();
    let outputs = handle_report_between_leases(&mut cluster, head, report_of_an_end(0));
    assert!(outputs.iter().any(is_close_of_agent), "{outputs:?}");
    cluster.carry_out(head, outputs);
    assert!(matches!(
        cluster.request(head, OperatorRequest::Read),
        OperatorResponse::Config(_)
    ));
}

/// Failure: the same with an agent that numbers what it reports. It keeps an update until it is acknowledged, so its connection
/// stays open, and only the report that the acting head handles is acknowledged.
#[test]
fn updates_ignored_between_expiry_and_renewal_of_the_lease_are_not_acknowledged() {
    let (mut cluster, head) = cluster_with_agent();
    let outputs = handle_report_between_leases(&mut cluster, head, report_of_an_end(7));
    assert!(!outputs.iter().any(is_close_of_agent), "{outputs:?}");
    assert_eq!(acknowledged_updates(&outputs), []);
    cluster.carry_out(head, outputs);
    let outputs = cluster.freeze(head, report_of_an_end(7), 0);
    assert_eq!(acknowledged_updates(&outputs), [Some(7)]);
}

/// An agent that learns that the member does not act reports everything anew when it acts again; its connection stays open.
#[test]
fn a_report_ignored_by_a_member_that_stops_acting_leaves_its_connection_open() {
    let (mut cluster, head) = cluster_with_agent();
    cluster.stop(head);
    cluster.partition(head);
    cluster.run_for(FOLLOWERS_FREEZE_MS + HEAD_FREEZE_MS);
    let outputs = cluster.resume(head, vec![report_of_an_end(0)]);
    assert_eq!(announced_acting(&outputs), [false]);
    assert!(!outputs.iter().any(is_close_of_agent), "{outputs:?}");
}

/// Number of elections between a member that has returned and one that was up all the time.
const ELECTIONS: u32 = 300;
/// Most elections that either of them wins: the mean and 3.5 standard deviations of a fair draw.
const WINS_MAX: u32 = 180;

/// An election is not biased for or against the member that has returned last.
#[test]
fn a_member_that_has_returned_is_elected_as_often_as_the_other() {
    let mut cluster = SimulatedCluster::start(3);
    let mut head = cluster.run_to_head();
    assert_eq!(cluster.request(head, put_first_config()), accepted());
    let mut returned = None;
    let (mut returned_wins, mut other_wins) = (0, 0);
    while returned_wins + other_wins < ELECTIONS {
        cluster.run_for(CATCH_UP_MS);
        cluster.kill(head);
        let next = cluster.run_to_head_other_than(head);
        match returned {
            Some(returned) if returned == next => returned_wins += 1,
            Some(_) => other_wins += 1,
            None => {}
        }
        cluster.restart(head);
        returned = Some(head);
        head = next;
    }
    assert!(
        returned_wins <= WINS_MAX && other_wins <= WINS_MAX,
        "returned members won {returned_wins}, the others {other_wins}"
    );
}

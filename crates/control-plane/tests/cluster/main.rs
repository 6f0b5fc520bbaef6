//! Three members with real databases, on links and a clock of the test's own.

mod simulated_cluster;

use indigofold_control_plane::config_authority::{ChangeResponse, ConfigChange, ConfigMethod};
use indigofold_control_plane::node::{Input, Output};
use indigofold_control_plane::operator::{OperatorRequest, OperatorResponse};
use indigofold_control_plane::sessions::ConnectionId;
use indigofold_protocol::internal::{
    ClientCall, ClientOperation, ClientOutcome, Frame, ProcessKind,
};
use rstest::rstest;
use simulated_cluster::{CONTROL_PORT, SimulatedCluster, hello};

/// Longer than any lease.
const FREEZE_MS: u64 = 60_000;
const EDGE: ConnectionId = ConnectionId(1_000_000);

const CONFIG: &str = r#"{"version":5,"routes":[],"services":[],"limits":{}}"#;

fn order(if_match: &str, body: &str) -> OperatorRequest {
    let body = body.as_bytes().to_vec();
    OperatorRequest::Change(ConfigChange {
        method: ConfigMethod::Put,
        if_match: Some(if_match.to_owned()),
        body,
    })
}

fn taken() -> OperatorResponse {
    OperatorResponse::Change(ChangeResponse::Accepted { version: 5 })
}

fn config() -> OperatorResponse {
    OperatorResponse::Config(CONFIG.as_bytes().to_vec())
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
        let OperatorResponse::RedirectToHead(control) = cluster.request(other, order("0", CONFIG))
        else {
            panic!("member {other} does not name the head");
        };
        assert_eq!(control, cluster.address(head, CONTROL_PORT));
    }
}

#[test]
fn acknowledged_change_survives_the_head() {
    let mut cluster = SimulatedCluster::start(3);
    let head = cluster.run_to_head();
    assert_eq!(cluster.request(head, order("0", CONFIG)), taken());
    cluster.kill(head);
    let successor = cluster.run_to_head();
    assert_ne!(successor, head);
    assert_eq!(cluster.request(successor, OperatorRequest::Read), config());
    assert_eq!(cluster.request(successor, order("0", CONFIG)), taken());
}

#[test]
fn acknowledged_change_survives_a_restart_of_all_members() {
    let mut cluster = SimulatedCluster::start(3);
    let head = cluster.run_to_head();
    assert_eq!(cluster.request(head, order("0", CONFIG)), taken());
    (0..3).for_each(|member| cluster.kill(member));
    (0..3).for_each(|member| cluster.restart(member));
    let head = cluster.run_to_head();
    assert_eq!(cluster.request(head, OperatorRequest::Read), config());
}

/// A row has changed on the disk of a member: it sets its database aside, and is a member again once it has all rows from
/// the others. Then they die, and it leads with what it got.
#[test]
fn damaged_member_recovers_its_rows_from_the_others() {
    let mut cluster = SimulatedCluster::start(3);
    let head = cluster.run_to_head();
    assert_eq!(cluster.request(head, order("0", CONFIG)), taken());
    let (damaged, third) = ((head + 1) % 3, (head + 2) % 3);
    cluster
        .run_until(|cluster| cluster.node(damaged).is_needed() && cluster.node(third).is_needed());
    cluster.kill(damaged);
    cluster.flip_bit(damaged, "version");
    cluster.restart(damaged);
    cluster.run_until(|cluster| cluster.node(damaged).is_needed());
    cluster.kill(head);
    let successor = cluster.run_to_head();
    assert_eq!(cluster.request(successor, OperatorRequest::Read), config());
    if successor != damaged {
        cluster.restart(head);
        cluster.run_until(|cluster| cluster.node(head).is_needed());
        cluster.kill(successor);
        let last = cluster.run_to_head();
        assert_eq!(cluster.request(last, OperatorRequest::Read), config());
    }
}

#[test]
fn successor_takes_over_at_once_after_step_down() {
    let mut cluster = SimulatedCluster::start(3);
    let head = cluster.run_to_head();
    assert_eq!(cluster.request(head, order("0", CONFIG)), taken());
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
    assert_eq!(cluster.request(successor, OperatorRequest::Read), config());
}

#[test]
fn partitioned_head_stops_serving_and_its_change_is_undetermined() {
    let mut cluster = SimulatedCluster::start(3);
    let head = cluster.run_to_head();
    cluster.partition(head);
    let call = cluster.call(head, order("0", CONFIG));
    let successor = cluster.run_to_head_other_than(head);
    assert!(!matches!(
        cluster.answer(call),
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
        cluster.answer(call),
        Some(OperatorResponse::Change(ChangeResponse::Undetermined) | OperatorResponse::NoHead)
    ));
}

#[rstest]
#[case::at_once(0, true)]
#[case::after_a_freeze(FREEZE_MS, false)]
fn look_up_results_are_withheld_after_lease_expiry(
    #[case] freeze_ms: u64,
    #[case] is_answered: bool,
) {
    let mut cluster = SimulatedCluster::start(3);
    let head = cluster.run_to_head();
    assert_eq!(cluster.request(head, order("0", CONFIG)), taken());
    cluster.input(
        head,
        Input::Frame {
            connection: EDGE,
            frame: Frame::Hello(hello("edge", ProcessKind::Edge, 1)),
        },
    );
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
    let replies = outputs.into_iter().filter_map(|output| match output {
        Output::Send {
            connection: EDGE,
            frame: Frame::Reply(reply),
        } => Some(reply.outcome),
        _ => None,
    });
    let replies: Vec<ClientOutcome> = replies.collect();
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

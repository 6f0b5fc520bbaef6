//! Tests of one member: how it becomes the head, which processes it serves, and what it stores.

use crate::builders::{CONFIG_VERSION, EDGE, MAX_BODY_BYTES, accepted, config_read, hello};
use crate::test_node::{TestNode, address};
use indigofold_control_plane::core_member::{Input, Output, SCRUB_INTERVAL_MS};
use indigofold_control_plane::operator::{OperatorRequest, OperatorResponse};
use indigofold_control_plane::sessions::{AGENT_PRESENCE_MS, ConnectionId, Sessions};
use indigofold_control_plane::storage_thread::StorageResponse;
use indigofold_protocol::inspection::{InspectionAnswer, InspectionQuery};
use indigofold_protocol::internal::{
    AgentOrders, AgentReport, ClientCall, ClientOperation, ClientOutcome, Frame, Hello, ProcessKind,
};
use indigofold_protocol::task::JobId;
use indigofold_replication::StorageError;
use rstest::rstest;

/// Returns the frames that the member has sent on a connection.
fn sent_to(test: &TestNode, connection: ConnectionId) -> Vec<&Frame> {
    let frames = test.outputs().iter().filter_map(|output| match output {
        Output::Send {
            connection: to,
            frame,
        } if *to == connection => Some(frame),
        _ => None,
    });
    frames.collect()
}

#[test]
fn change_is_acknowledged_and_announced_to_edges_once_it_is_stored() {
    let mut test = TestNode::acting();
    test.put_first_config(1);
    assert!(!test.undelivered().is_empty() && test.take_responses().is_empty());
    test.deliver_storage();
    let welcome = test
        .welcomes()
        .last()
        .expect("a welcome was sent to the edge");
    assert_eq!(
        (welcome.config_version, welcome.limits.max_body_bytes),
        (CONFIG_VERSION, MAX_BODY_BYTES)
    );
    assert_eq!(test.take_responses(), [(1, accepted())]);
    test.operator(2, OperatorRequest::Read);
    assert_eq!(test.take_responses(), [(2, config_read())]);
}

#[test]
fn acknowledged_change_survives_a_restart() {
    let mut test = TestNode::acting();
    test.put_first_config(1);
    test.deliver_storage();
    let mut test = test.restart();
    test.operator(2, OperatorRequest::Read);
    assert_eq!(test.take_responses(), [(2, config_read())]);
    test.put_first_config(3);
    assert_eq!(test.take_responses(), [(3, accepted())]);
}

#[test]
fn reading_without_a_configuration_returns_no_config() {
    let mut test = TestNode::acting();
    test.operator(1, OperatorRequest::Read);
    assert_eq!(test.take_responses(), [(1, OperatorResponse::NoConfig)]);
}

#[test]
fn follower_rejects_operators_and_edges() {
    let mut test = TestNode::start(&[1, 2, 3]);
    test.connect(EDGE, ProcessKind::Edge);
    let welcome = test
        .welcomes()
        .next()
        .expect("a welcome was sent to the edge");
    assert!(!welcome.acting && welcome.head.is_none());
    test.put_first_config(1);
    assert_eq!(test.take_responses(), [(1, OperatorResponse::NoHead)]);
    test.call(ClientOperation::Get);
    assert!(matches!(
        test.take_replies()[..],
        [ClientOutcome::Unavailable { .. }]
    ));
}

#[test]
fn dials_the_seeds_and_sends_hello_and_welcome() {
    let mut test = TestNode::start(&[1, 2]);
    test.run_until(|test| {
        test.outputs()
            .iter()
            .any(|output| matches!(output, Output::Dial { .. }))
    });
    let dialled = test.outputs().iter().filter(
        |output| matches!(output, Output::Dial { address: dialled } if *dialled == address(2)),
    );
    assert_eq!(dialled.count(), 1);
    test.clear_outputs();
    test.input(Input::Dialled {
        address: address(2),
        connection: ConnectionId(3),
    });
    let sent = sent_to(&test, ConnectionId(3));
    assert!(
        matches!(sent[..], [Frame::Hello(_), Frame::Welcome(_), ..]),
        "{sent:?}"
    );
}

#[test]
fn head_accepts_no_change_after_step_down() {
    let mut test = TestNode::acting();
    test.input(Input::StepDown);
    // Without another member to hand over to, the member may stay the head.
    for _ in 0..100 {
        test.deliver_storage();
        if !test.is_head() {
            break;
        }
        test.advance_to_timer();
    }
    test.clear_outputs();
    test.put_first_config(1);
    let responses = test.take_responses();
    assert!(
        !responses
            .iter()
            .any(|(_, response)| *response == accepted()),
        "{responses:?}"
    );
}

#[test]
fn scrub_checks_stored_rows_and_damage_ends_the_process() {
    let mut test = TestNode::acting();
    test.put_first_config(1);
    test.deliver_storage();
    test.advance(SCRUB_INTERVAL_MS);
    let scrub = test
        .undelivered()
        .iter()
        .find(|response| matches!(response, StorageResponse::Scrub { .. }));
    assert!(
        matches!(scrub, Some(StorageResponse::Scrub { result: Ok(None) })),
        "{scrub:?}"
    );
    let error = StorageError::DamagedRow {
        path: test.directory().into(),
        key: "config".to_owned(),
    };
    test.input(Input::Storage(StorageResponse::Scrub {
        result: Err(error),
    }));
    let is_reported = test
        .outputs()
        .iter()
        .any(|output| matches!(output, Output::Damaged { error } if error.to_string().contains("config")));
    assert!(is_reported, "{:?}", test.outputs().last());
}

/// A frame that its sender may not send, or that cannot be decoded, closes the connection and has no other effect.
#[rstest]
#[case::call_before_hello(None, call_frame())]
#[case::call_from_a_node_agent(Some(ProcessKind::Agent), call_frame())]
#[case::replication_from_an_edge(Some(ProcessKind::Edge), Frame::Replication(Vec::new()))]
#[case::truncated_message(Some(ProcessKind::Core), Frame::Replication(vec![1, 2, 3]))]
#[case::oversized_message(Some(ProcessKind::Core), Frame::Replication(vec![0xff; 100_000]))]
#[case::orders_to_the_head(Some(ProcessKind::Agent), orders_frame())]
fn invalid_frame_closes_its_connection(#[case] kind: Option<ProcessKind>, #[case] frame: Frame) {
    let mut test = TestNode::acting();
    let connection = ConnectionId(400);
    if let Some(kind) = kind {
        test.connect(connection, kind);
    }
    test.clear_outputs();
    test.receive(connection, frame);
    let is_close = |output: &Output| matches!(output, Output::Close { connection: closed } if *closed == connection);
    assert!(test.outputs().iter().any(is_close), "{:?}", test.outputs());
    assert!(
        sent_to(&test, connection).is_empty(),
        "{:?}",
        test.outputs()
    );
    test.clear_outputs();
    test.put_first_config(1);
    test.deliver_storage();
    assert!(
        test.take_responses()
            .iter()
            .any(|(_, response)| *response == accepted()),
        "the member no longer accepts changes"
    );
}

fn call_frame() -> Frame {
    let (host, path) = ("a.example".to_owned(), "/p/1".to_owned());
    Frame::Call(ClientCall {
        call: 1,
        host,
        path,
        operation: ClientOperation::Get,
    })
}

fn orders_frame() -> Frame {
    Frame::Orders(AgentOrders {
        epoch: 99,
        echo_sent_ms: None,
        instance: String::new(),
        start: Vec::new(),
        stop: Vec::new(),
        acknowledged_end: None,
        acknowledged_update: None,
    })
}

#[test]
fn second_hello_closes_the_connection() {
    let mut test = TestNode::acting();
    test.connect(EDGE, ProcessKind::Edge);
    assert!(
        test.outputs()
            .iter()
            .any(|output| matches!(output, Output::Close { connection: EDGE }))
    );
}

#[test]
fn head_answers_questions_from_stored_rows_without_effect() {
    let mut test = TestNode::acting();
    test.put_first_config(1);
    test.deliver_storage();
    test.clear_outputs();
    let versions = |answer: &InspectionAnswer| match answer {
        InspectionAnswer::Status(status) => (
            status.stored.seq,
            status.work.as_ref().map(|work| work.config_version),
        ),
        other => panic!("expected a status, got {other:?}"),
    };
    test.inspect(1, InspectionQuery::Status);
    assert!(
        test.take_answers().is_empty(),
        "answered before the rows were read"
    );
    test.deliver_storage();
    let first = test.take_answers();
    test.inspect(2, InspectionQuery::Status);
    test.inspect(3, InspectionQuery::Job(JobId(7)));
    test.deliver_storage();
    let later = test.take_answers();
    assert_eq!(
        (first[0].0, versions(&first[0].1).1),
        (1, Some(CONFIG_VERSION))
    );
    assert_eq!(versions(&later[0].1), versions(&first[0].1));
    assert_eq!(later[1], (3, InspectionAnswer::Job(None)));
}

#[test]
fn follower_reports_only_its_own_status() {
    let mut test = TestNode::start(&[1, 2, 3]);
    test.inspect(1, InspectionQuery::Status);
    test.inspect(2, InspectionQuery::Job(JobId(7)));
    let answers = test.take_answers();
    let InspectionAnswer::Status(status) = &answers[0].1 else {
        panic!("expected a status, got {:?}", answers[0].1)
    };
    assert!(!status.acting && status.work.is_none() && status.peers.len() == 2);
    assert_eq!(answers[1], (2, InspectionAnswer::NotHead { head: None }));
}

#[test]
fn open_questions_are_limited() {
    let mut test = TestNode::acting();
    (0..6).for_each(|call| test.inspect(call, InspectionQuery::Status));
    let rejected = test.take_answers();
    assert!(
        rejected
            .iter()
            .all(|(_, answer)| matches!(answer, InspectionAnswer::Unavailable { .. }))
    );
    assert_eq!(
        rejected.iter().map(|(call, _)| *call).collect::<Vec<_>>(),
        [4, 5]
    );
    test.deliver_storage();
    assert_eq!(test.take_answers().len(), 4);
}

/// Connections of one node agent, in the order in which it opened them.
const AGENT_FIRST: ConnectionId = ConnectionId(500);
const AGENT_SECOND: ConnectionId = ConnectionId(501);

/// Passes a report without an instance to the member, and returns the connections to which it sends orders and those that
/// it closes.
fn report_on(
    test: &mut TestNode,
    connection: ConnectionId,
) -> (Vec<ConnectionId>, Vec<ConnectionId>) {
    test.clear_outputs();
    let report = AgentReport {
        sent_ms: 1,
        instance: None,
        ended_instances: Vec::new(),
        not_started: Vec::new(),
        newest_update: 0,
    };
    test.receive(connection, Frame::Report(report));
    let answered = test.outputs().iter().filter_map(|output| match output {
        Output::Send {
            connection,
            frame: Frame::Orders(_),
        } => Some(*connection),
        _ => None,
    });
    let closed = test.outputs().iter().filter_map(|output| match output {
        Output::Close { connection } => Some(*connection),
        _ => None,
    });
    (answered.collect(), closed.collect())
}

/// Failure: a node agent's greeting that arrived late, on a connection that the agent had given up, replaced its present
/// connection. Reports on that one were dropped, and the worker got no work any more.
#[test]
fn a_late_greeting_does_not_replace_the_connection_on_which_an_agent_reports() {
    let mut test = TestNode::acting();
    test.connect(AGENT_SECOND, ProcessKind::Agent);
    assert_eq!(
        report_on(&mut test, AGENT_SECOND),
        (vec![AGENT_SECOND], Vec::new())
    );
    test.connect(AGENT_FIRST, ProcessKind::Agent);
    assert_eq!(
        report_on(&mut test, AGENT_SECOND),
        (vec![AGENT_SECOND], Vec::new())
    );
    test.input(Input::Closed {
        connection: AGENT_FIRST,
    });
    assert_eq!(
        report_on(&mut test, AGENT_SECOND),
        (vec![AGENT_SECOND], Vec::new())
    );
}

/// A report shows that the agent uses the connection; the former one is closed rather than left without answers.
#[test]
fn the_first_report_on_a_connection_closes_the_agent_s_former_one() {
    let mut test = TestNode::acting();
    test.connect(AGENT_FIRST, ProcessKind::Agent);
    report_on(&mut test, AGENT_FIRST);
    test.connect(AGENT_SECOND, ProcessKind::Agent);
    assert_eq!(
        report_on(&mut test, AGENT_SECOND),
        (vec![AGENT_SECOND], vec![AGENT_FIRST])
    );
    assert_eq!(
        report_on(&mut test, AGENT_SECOND),
        (vec![AGENT_SECOND], Vec::new())
    );
}

/// Longest time between two reports of a node agent, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 300;

/// Connects a node agent process with the name `Agent`, from the machine with this last byte.
fn connect_agent(test: &mut TestNode, connection: ConnectionId, machine: u8, incarnation: u64) {
    let hello = Hello {
        ip: Some(address(machine).ip()),
        ..hello("Agent", ProcessKind::Agent, incarnation)
    };
    test.receive(connection, Frame::Hello(hello));
}

/// Failure: two node agents that claimed one name closed each other's connections, as often as they connected, and each
/// one's report ended the instance of the other.
#[test]
fn a_second_node_agent_of_a_name_is_rejected_while_the_first_one_reports() {
    let mut test = TestNode::acting();
    connect_agent(&mut test, AGENT_FIRST, 41, 1);
    report_on(&mut test, AGENT_FIRST);
    connect_agent(&mut test, AGENT_SECOND, 42, 2);
    for _ in 0..2 * AGENT_PRESENCE_MS / REPORT_INTERVAL_MS {
        assert_eq!(
            report_on(&mut test, AGENT_SECOND),
            (Vec::new(), Vec::new()),
            "the second agent is rejected"
        );
        test.advance(REPORT_INTERVAL_MS);
        assert_eq!(
            report_on(&mut test, AGENT_FIRST),
            (vec![AGENT_FIRST], Vec::new())
        );
    }
}

/// A machine that lost power does not end its connections, and its node agent starts anew soon.
#[test]
fn a_node_agent_that_was_started_anew_takes_the_place_of_its_predecessor_at_once() {
    let mut test = TestNode::acting();
    connect_agent(&mut test, AGENT_FIRST, 41, 1);
    report_on(&mut test, AGENT_FIRST);
    connect_agent(&mut test, AGENT_SECOND, 41, 2);
    assert_eq!(
        report_on(&mut test, AGENT_SECOND),
        (vec![AGENT_SECOND], vec![AGENT_FIRST])
    );
}

/// A rejected report is lost, so the rejected agent has to connect anew to report everything.
#[rstest]
#[case::whose_connection_has_ended(true)]
#[case::that_reports_no_longer(false)]
fn a_node_agent_takes_the_place_of_one(#[case] has_ended: bool) {
    const AGENT_THIRD: ConnectionId = ConnectionId(502);
    let mut test = TestNode::acting();
    connect_agent(&mut test, AGENT_FIRST, 41, 1);
    report_on(&mut test, AGENT_FIRST);
    connect_agent(&mut test, AGENT_SECOND, 42, 2);
    report_on(&mut test, AGENT_SECOND);
    if has_ended {
        test.clear_outputs();
        test.input(Input::Closed {
            connection: AGENT_FIRST,
        });
        assert!(test.outputs().iter().any(
            |output| matches!(output, Output::Close { connection } if *connection == AGENT_SECOND)
        ));
    } else {
        test.advance(AGENT_PRESENCE_MS);
        assert_eq!(
            report_on(&mut test, AGENT_SECOND),
            (Vec::new(), vec![AGENT_SECOND])
        );
    }
    connect_agent(&mut test, AGENT_THIRD, 42, 2);
    let replaced = if has_ended {
        Vec::new()
    } else {
        vec![AGENT_FIRST]
    };
    assert_eq!(
        report_on(&mut test, AGENT_THIRD),
        (vec![AGENT_THIRD], replaced)
    );
}

/// A machine that has gone does not end its connections; another one at its address resets them once it receives something.
#[test]
fn the_present_node_agent_is_sent_a_welcome_when_another_one_of_its_name_is_rejected() {
    let mut test = TestNode::acting();
    connect_agent(&mut test, AGENT_FIRST, 41, 1);
    report_on(&mut test, AGENT_FIRST);
    connect_agent(&mut test, AGENT_SECOND, 42, 2);
    report_on(&mut test, AGENT_SECOND);
    assert!(matches!(
        sent_to(&test, AGENT_FIRST)[..],
        [Frame::Welcome(_)]
    ));
    report_on(&mut test, AGENT_SECOND);
    assert!(sent_to(&test, AGENT_FIRST).is_empty());
}

/// Failure: a second greeting on a connection replaced the first one, so that the end of a node agent's connection was not
/// told to the scheduler.
#[test]
fn a_second_greeting_on_a_connection_changes_nothing() {
    let mut sessions = Sessions::default();
    assert!(sessions.register(AGENT_FIRST, hello("Agent", ProcessKind::Agent, 1)));
    assert!(!sessions.register(AGENT_FIRST, hello("Core", ProcessKind::Core, 2)));
    let session = sessions.get(AGENT_FIRST).expect("the session stays");
    assert_eq!(
        (session.kind, session.node_name.as_str()),
        (ProcessKind::Agent, "Agent")
    );
}

/// Failure: a call that arrived late on a connection that its edge had given up was carried out, after calls on the
/// connection that the edge used since.
#[test]
fn a_late_call_on_a_connection_that_an_edge_has_given_up_is_not_carried_out() {
    const EDGE_SECOND: ConnectionId = ConnectionId(600);
    let mut test = TestNode::acting();
    test.call(ClientOperation::Get);
    test.connect(EDGE_SECOND, ProcessKind::Edge);
    test.clear_outputs();
    let call = |connection| ClientCall {
        call: 2,
        host: "a.example".to_owned(),
        path: format!("/p/{connection:016x}"),
        operation: ClientOperation::Get,
    };
    test.receive(EDGE_SECOND, Frame::Call(call(1)));
    assert!(matches!(sent_to(&test, EDGE_SECOND)[..], [Frame::Reply(_)]));
    assert!(
        test.outputs()
            .iter()
            .any(|output| matches!(output, Output::Close { connection } if *connection == EDGE))
    );
    test.clear_outputs();
    test.receive(EDGE, Frame::Call(call(2)));
    assert!(sent_to(&test, EDGE).is_empty());
}

/// Two edges of one name serve beside each other.
#[test]
fn an_edge_does_not_replace_another_process() {
    const OTHER_EDGE: ConnectionId = ConnectionId(600);
    let mut test = TestNode::acting();
    test.receive(
        OTHER_EDGE,
        Frame::Hello(hello("Edge", ProcessKind::Edge, 2)),
    );
    let call = ClientCall {
        call: 2,
        host: "a.example".to_owned(),
        path: "/p/00000000000000aa".to_owned(),
        operation: ClientOperation::Get,
    };
    test.receive(OTHER_EDGE, Frame::Call(call));
    test.call(ClientOperation::Get);
    assert_eq!(test.take_replies().len(), 1);
}

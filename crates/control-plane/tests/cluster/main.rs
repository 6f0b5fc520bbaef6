//! Three members with real databases, on links and a clock of the test's own.

mod world;

use indigofold_control_plane::config_authority::{Answer, Order, OrderKind};
use indigofold_control_plane::node::{Input, Output};
use indigofold_control_plane::operator::{OperatorAnswer, OperatorCall};
use indigofold_control_plane::sessions::ConnectionId;
use indigofold_protocol::internal::{
    ClientCall, ClientOperation, ClientOutcome, Frame, ProcessKind,
};
use rstest::rstest;
use world::{CONTROL_PORT, World, hello};

/// Longer than any lease.
const FREEZE_MS: u64 = 60_000;
const EDGE: ConnectionId = ConnectionId(1_000_000);

const CONFIG: &str = r#"{"version":5,"routes":[],"services":[],"limits":{}}"#;

fn order(if_match: &str, body: &str) -> OperatorCall {
    let body = body.as_bytes().to_vec();
    OperatorCall::Change(Order {
        kind: OrderKind::Put,
        if_match: Some(if_match.to_owned()),
        body,
    })
}

fn taken() -> OperatorAnswer {
    OperatorAnswer::Order(Answer::Taken { version: 5 })
}

fn config() -> OperatorAnswer {
    OperatorAnswer::Config(CONFIG.as_bytes().to_vec())
}

#[test]
fn members_that_start_together_agree_on_one_head() {
    let mut world = World::start(3);
    let head = world.run_to_head();
    assert_eq!(
        world.ask(head, OperatorCall::Read),
        OperatorAnswer::NoConfig
    );
    for other in (0..3).filter(|member| *member != head) {
        let OperatorAnswer::AskHead(control) = world.ask(other, order("0", CONFIG)) else {
            panic!("member {other} does not name the head");
        };
        assert_eq!(control, world.address(head, CONTROL_PORT));
    }
}

#[test]
fn what_was_acknowledged_outlasts_the_head() {
    let mut world = World::start(3);
    let head = world.run_to_head();
    assert_eq!(world.ask(head, order("0", CONFIG)), taken());
    world.kill(head);
    let successor = world.run_to_head();
    assert_ne!(successor, head);
    assert_eq!(world.ask(successor, OperatorCall::Read), config());
    assert_eq!(world.ask(successor, order("0", CONFIG)), taken());
}

#[test]
fn it_outlasts_the_death_of_all() {
    let mut world = World::start(3);
    let head = world.run_to_head();
    assert_eq!(world.ask(head, order("0", CONFIG)), taken());
    (0..3).for_each(|member| world.kill(member));
    (0..3).for_each(|member| world.restart(member));
    let head = world.run_to_head();
    assert_eq!(world.ask(head, OperatorCall::Read), config());
}

/// A row has changed on the disk of a member: it sets its database aside, and is a member again once it has all rows from
/// the others. Then they die, and it leads with what it got.
#[test]
fn a_member_whose_disk_has_changed_a_row_gets_it_from_the_others() {
    let mut world = World::start(3);
    let head = world.run_to_head();
    assert_eq!(world.ask(head, order("0", CONFIG)), taken());
    let (damaged, third) = ((head + 1) % 3, (head + 2) % 3);
    world.run_until(|world| world.node(damaged).is_needed() && world.node(third).is_needed());
    world.kill(damaged);
    world.flip_bit(damaged, "version");
    world.restart(damaged);
    world.run_until(|world| world.node(damaged).is_needed());
    world.kill(head);
    let successor = world.run_to_head();
    assert_eq!(world.ask(successor, OperatorCall::Read), config());
    if successor != damaged {
        world.restart(head);
        world.run_until(|world| world.node(head).is_needed());
        world.kill(successor);
        let last = world.run_to_head();
        assert_eq!(world.ask(last, OperatorCall::Read), config());
    }
}

#[test]
fn a_head_that_steps_down_is_followed_at_once() {
    let mut world = World::start(3);
    let head = world.run_to_head();
    assert_eq!(world.ask(head, order("0", CONFIG)), taken());
    let before_ms = world.now_ms();
    world.input(head, Input::StepDown);
    world.run_until(|world| !world.node(head).is_needed());
    let successor = world.run_to_head();
    assert_ne!(successor, head);
    assert!(
        world.now_ms() < before_ms + 1_000,
        "{} ms",
        world.now_ms() - before_ms
    );
    assert_eq!(world.ask(successor, OperatorCall::Read), config());
}

#[test]
fn a_head_that_is_cut_off_answers_nothing_and_its_order_is_left_unclear() {
    let mut world = World::start(3);
    let head = world.run_to_head();
    world.cut_off(head);
    let call = world.call(head, order("0", CONFIG));
    let successor = world.run_to_head_other_than(head);
    assert!(!matches!(
        world.answer(call),
        Some(OperatorAnswer::Order(Answer::Taken { .. }))
    ));
    assert_eq!(
        world.ask(successor, OperatorCall::Read),
        OperatorAnswer::NoConfig
    );
    assert!(!matches!(
        world.ask(head, OperatorCall::Read),
        OperatorAnswer::NoConfig
    ));
    world.run_until(|world| !world.node(head).is_head());
    assert!(matches!(
        world.answer(call),
        Some(OperatorAnswer::Order(Answer::Unclear) | OperatorAnswer::NoHead)
    ));
}

#[rstest]
#[case::at_once(0, true)]
#[case::after_a_freeze(FREEZE_MS, false)]
fn what_was_looked_up_is_not_told_once_the_lease_has_run_out(
    #[case] freeze_ms: u64,
    #[case] is_told: bool,
) {
    let mut world = World::start(3);
    let head = world.run_to_head();
    assert_eq!(world.ask(head, order("0", CONFIG)), taken());
    world.input(
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
    let outputs = world.freeze(
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
        ClientOutcome::UnknownRoute => is_told,
        ClientOutcome::Unavailable { .. } => !is_told,
        _ => false,
    };
    assert!(
        replies.len() == 1 && replies.iter().all(expected),
        "{replies:?}"
    );
}

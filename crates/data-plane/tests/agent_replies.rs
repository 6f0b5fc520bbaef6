//! Replies to heartbeats: they wait for expected orders and carry those received while waiting.

mod common;

use common::agent_harness::{AgentHarness, CONNECTION, WORKER, run, start};
use indigofold_data_plane::agent::{HeartbeatAdmission, HeartbeatOutcome, HeartbeatReceipt};
use indigofold_protocol::worker::{HeartbeatReply, RunEnd};

/// A harness whose worker lists one run.
fn with_one_run() -> AgentHarness {
    let mut harness = AgentHarness::confirmed();
    harness.order_start(&[start(run(1), 1_000)]);
    let reply = harness.send_heartbeat();
    harness.carry_out(&reply);
    harness.send_heartbeat();
    harness
}

fn receive(harness: &mut AgentHarness) -> HeartbeatReceipt {
    match harness.send_once(WORKER, CONNECTION) {
        HeartbeatAdmission::Accepted(receipt) => receipt,
        other => panic!("expected the newest heartbeat to be accepted, got {other:?}"),
    }
}

fn answer(harness: &mut AgentHarness, receipt: HeartbeatReceipt) -> HeartbeatReply {
    match harness
        .agent
        .poll_heartbeat_reply(harness.now_ms, WORKER, receipt.seq_no)
    {
        HeartbeatOutcome::Answered(reply) => reply,
        HeartbeatOutcome::Superseded => {
            panic!("expected a reply, but the heartbeat was superseded")
        }
    }
}

#[test]
fn orders_are_expected_once_after_each_end() {
    let mut harness = with_one_run();
    assert!(!receive(&mut harness).expects_orders);
    harness.end(run(1), RunEnd::Done);
    assert!(receive(&mut harness).expects_orders);
    assert!(!receive(&mut harness).expects_orders);
}

#[test]
fn without_a_head_no_orders_are_expected() {
    let mut harness = with_one_run();
    harness.end(run(1), RunEnd::Done);
    harness.agent.handle_disconnected();
    assert!(!receive(&mut harness).expects_orders);
}

/// The reply to the heartbeat that lists an end can already start a run on the capacity that became free.
#[test]
fn orders_received_while_a_heartbeat_waits_are_in_its_reply() {
    let mut harness = with_one_run();
    harness.end(run(1), RunEnd::Done);
    let receipt = receive(&mut harness);
    harness.report_and_echo();
    harness.order_start(&[start(run(2), 1_000)]);
    let reply = answer(&mut harness, receipt);
    assert_eq!(AgentHarness::started(&reply), vec![run(2).task.to_string()]);
}

/// If the worker sends another heartbeat before it receives the reply, only the reply to the newer one carries orders.
#[test]
fn a_superseded_heartbeat_receives_no_orders() {
    let mut harness = with_one_run();
    harness.end(run(1), RunEnd::Done);
    let superseded = receive(&mut harness);
    let newest = receive(&mut harness);
    harness.order_start(&[start(run(2), 1_000)]);
    assert_eq!(
        harness
            .agent
            .poll_heartbeat_reply(harness.now_ms, WORKER, superseded.seq_no),
        HeartbeatOutcome::Superseded
    );
    assert_eq!(
        AgentHarness::started(&answer(&mut harness, newest)),
        vec![run(2).task.to_string()]
    );
}

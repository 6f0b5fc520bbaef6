//! Reports to the head: changes at once, otherwise at intervals, and the complete state on a new connection.

mod common;

use common::agent_harness::{AgentHarness, CONNECTION, START_MS, WORKER, run, start};
use indigofold_data_plane::agent::{
    HeartbeatAdmission, REPORT_INTERVAL_MS, REPORT_SPACING_MS, UPDATE_RETRY_MS, expires_by_ms,
};
use indigofold_protocol::internal::{AgentOrders, AgentReport, RUN_LEASE_MS, RunningRun};
use indigofold_protocol::worker::{RunEnd, WorkerState};

#[test]
fn no_report_is_sent_without_a_connection() {
    let mut harness = AgentHarness::unconnected();
    harness.send_heartbeat();
    assert_eq!(harness.report(), None);
    harness.agent.handle_connected();
    assert!(harness.report().is_some());
}

#[test]
fn a_report_is_sent_at_least_every_interval() {
    let mut harness = AgentHarness::confirmed();
    let sent_ms = harness.now_ms;
    assert_eq!(
        harness.agent.next_timeout_ms(),
        Some(sent_ms + REPORT_INTERVAL_MS)
    );
    harness.now_ms = sent_ms + REPORT_INTERVAL_MS - 1;
    assert_eq!(harness.agent.poll_report(harness.now_ms), None);
    harness.advance(1);
    assert!(harness.agent.poll_report(harness.now_ms).is_some());
}

#[test]
fn reports_of_changes_are_coalesced() {
    let mut harness = AgentHarness::confirmed();
    harness.running.push(run(1));
    harness.send_heartbeat();
    assert!(harness.agent.poll_report(harness.now_ms).is_some());
    let reported_ms = harness.now_ms;
    harness.running.push(run(2));
    harness.advance(1);
    assert!(matches!(
        harness.send_once(WORKER, CONNECTION),
        HeartbeatAdmission::Accepted(_)
    ));
    assert_eq!(harness.agent.poll_report(harness.now_ms), None);
    assert_eq!(
        harness.agent.next_timeout_ms(),
        Some(reported_ms + REPORT_SPACING_MS)
    );
}

#[test]
fn an_unchanged_heartbeat_triggers_no_report() {
    let mut harness = AgentHarness::confirmed();
    harness.send_heartbeat();
    assert_eq!(harness.report(), None);
}

#[test]
fn changes_are_reported_at_once() {
    let mut harness = AgentHarness::confirmed();
    harness.running.push(run(1));
    harness.send_heartbeat();
    assert!(harness.report().is_some(), "a run appeared");
    harness.end(run(1), RunEnd::Done);
    harness.send_heartbeat();
    assert!(harness.report().is_some(), "a run ended");
    harness.order_start(&[start(run(2), 100)]);
    harness.send_heartbeat();
    assert!(harness.report().is_some(), "a start is in flight");
    harness.state = WorkerState::Draining;
    harness.send_heartbeat();
    assert!(harness.report().is_some(), "the worker drains");
}

/// The list of runs in a report with an instance.
fn listed_runs(report: AgentReport) -> Option<Vec<RunningRun>> {
    report.instance.expect("the instance is reported").running
}

#[test]
fn unchanged_runs_are_reported_until_answered_and_once_more_per_connection() {
    let mut harness = AgentHarness::confirmed();
    harness.running.push(run(1));
    harness.send_heartbeat();
    assert!(listed_runs(harness.report_now()).is_some());
    harness.advance(UPDATE_RETRY_MS);
    assert!(listed_runs(harness.report_and_echo()).is_some());
    harness.advance(REPORT_INTERVAL_MS);
    assert_eq!(listed_runs(harness.report_now()), None);
    harness.agent.handle_disconnected();
    harness.agent.handle_connected();
    let runs = listed_runs(harness.report_now()).expect("the runs are listed");
    assert_eq!(runs.len(), 1);
}

#[test]
fn ended_instances_and_starts_never_sent_are_reported_until_answered_and_once_more_per_connection()
{
    let mut harness = AgentHarness::confirmed();
    harness.order_start(&[start(run(1), 100)]);
    harness.order_stop(&[run(1)]);
    harness.agent.handle_deregistration(WORKER);
    let updates = |report: &AgentReport| {
        (
            report.ended_instances.clone(),
            report.not_started.clone(),
            report.newest_update > 0,
        )
    };
    let all_updates = (vec![WORKER.to_owned()], vec![run(1)], true);
    assert_eq!(updates(&harness.report_now()), all_updates);
    harness.advance(UPDATE_RETRY_MS);
    assert_eq!(updates(&harness.report_and_echo()), all_updates);
    harness.advance(REPORT_INTERVAL_MS);
    assert_eq!(
        updates(&harness.report_now()),
        (Vec::new(), Vec::new(), false)
    );
    harness.agent.handle_disconnected();
    harness.agent.handle_connected();
    assert_eq!(updates(&harness.report_now()), all_updates);
}

/// The head sends orders for an instance that has not registered, and sends more after another instance has registered
/// but before it learns of that.
#[test]
fn an_unknown_instance_that_was_replaced_is_reported_as_ended_once() {
    const UNKNOWN: &str = "i-0";
    let mut harness = AgentHarness::unconnected();
    harness.agent.handle_connected();
    harness.report_now();
    let name_unknown = |harness: &mut AgentHarness| {
        let orders = AgentOrders {
            instance: UNKNOWN.to_owned(),
            ..harness.no_orders()
        };
        harness.deliver_orders(orders);
    };
    name_unknown(&mut harness);
    harness.send_heartbeat();
    name_unknown(&mut harness);
    assert_eq!(harness.report_and_echo().ended_instances, vec![UNKNOWN]);
    let leases_expired_ms = expires_by_ms(START_MS, RUN_LEASE_MS);
    while harness.now_ms <= leases_expired_ms {
        harness.send_heartbeat();
        let report = harness.report();
        let ended = report.map(|report| report.ended_instances);
        assert_eq!(
            ended.unwrap_or_default(),
            Vec::<String>::new(),
            "at {} ms",
            harness.now_ms
        );
    }
}

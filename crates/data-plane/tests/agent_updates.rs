//! Updates of the node agent (ended instances, starts not carried out, lists of runs): each is kept and reported again
//! until the head has acknowledged its number.

mod common;

use common::agent_harness::{AgentHarness, CONNECTION, WORKER, run, start};
use indigofold_data_plane::agent::{
    ACKNOWLEDGEMENT_TIMEOUT_MS, AgentEvent, BUSY_HEARTBEAT_MS, ENDED_INSTANCES_MAX,
    HeartbeatAdmission, NOT_STARTED_MAX, REPORT_INTERVAL_MS, UPDATE_RETRY_MS,
};
use indigofold_protocol::internal::{AgentOrders, AgentReport};
use indigofold_protocol::task::RunId;
use indigofold_protocol::worker::{HeartbeatReply, WorkerState};

/// The head answers a report, and has committed the updates up to `acknowledged`. It knows the instance in the report.
fn answer(harness: &mut AgentHarness, report: &AgentReport, acknowledged: u64) {
    let instance = report.instance.as_ref();
    let orders = AgentOrders {
        instance: instance.map_or_else(String::new, |instance| instance.id.clone()),
        echo_sent_ms: Some(report.sent_ms),
        acknowledged_update: Some(acknowledged),
        ..harness.no_orders()
    };
    harness.deliver_orders(orders);
}

/// The head answers a report, and has committed all of its updates.
fn acknowledge(harness: &mut AgentHarness, report: &AgentReport) {
    answer(harness, report, report.newest_update);
}

/// An agent whose worker has registered, and whose head has acknowledged all updates.
fn acknowledged_agent() -> AgentHarness {
    let mut harness = AgentHarness::unconnected();
    harness.agent.handle_connected();
    harness.send_heartbeat();
    let report = harness.report_now();
    acknowledge(&mut harness, &report);
    harness
}

/// A start of the worker's run `index` is ordered and withdrawn, so that it is reported as not started.
fn withdraw_start(harness: &mut AgentHarness, index: u32) {
    harness.order_start(&[start(run(index), 100)]);
    harness.order_stop(&[run(index)]);
}

/// The next report that carries updates, and the time until it is sent.
///
/// # Panics
///
/// If no report carries updates within twice the longest time until they are repeated.
fn next_updates(harness: &mut AgentHarness) -> (AgentReport, u64) {
    let started_ms = harness.now_ms;
    while harness.now_ms <= started_ms + 2 * ACKNOWLEDGEMENT_TIMEOUT_MS {
        let due_ms = harness.agent.next_timeout_ms();
        harness.now_ms = due_ms
            .expect("a report is due at some time")
            .max(harness.now_ms);
        let report = harness.agent.poll_report(harness.now_ms);
        if let Some(report) = report.filter(|report| report.newest_update > 0) {
            return (report, harness.now_ms - started_ms);
        }
        harness.now_ms += 1;
    }
    panic!("no report carries updates");
}

/// Whether any of the reports in the next two seconds carries updates; the head answers them.
fn reports_updates(harness: &mut AgentHarness, acknowledged: u64) -> bool {
    let end_ms = harness.now_ms + 2 * ACKNOWLEDGEMENT_TIMEOUT_MS;
    let mut has_updates = false;
    while harness.now_ms < end_ms {
        harness.send_heartbeat();
        if let Some(report) = harness.report() {
            has_updates |= report.newest_update > 0;
            answer(harness, &report, acknowledged);
        }
    }
    has_updates
}

fn not_started(report: &AgentReport) -> &[RunId] {
    &report.not_started
}

/// Failure: a report with the end of an instance was ignored by a head without a lease. The agent counted the end as
/// received because it had sent it, and the tasks of the instance were never started again.
#[test]
fn an_update_that_the_head_ignores_is_reported_again() {
    let mut harness = acknowledged_agent();
    harness.agent.handle_deregistration(WORKER);
    let ignored_report = harness.report_now();
    assert_eq!(ignored_report.ended_instances, [WORKER]);
    let (repeated_report, elapsed_ms) = next_updates(&mut harness);
    assert_eq!(repeated_report.ended_instances, [WORKER]);
    assert_eq!(repeated_report.newest_update, ignored_report.newest_update);
    assert_eq!(elapsed_ms, UPDATE_RETRY_MS);
    acknowledge(&mut harness, &repeated_report);
    harness.advance(REPORT_INTERVAL_MS);
    assert!(harness.report_now().ended_instances.is_empty());
}

/// Failure: the answer to a later report counted for an earlier one that the head had ignored.
#[test]
fn the_answer_to_a_report_without_updates_settles_none() {
    let mut harness = acknowledged_agent();
    withdraw_start(&mut harness, 1);
    assert_eq!(not_started(&harness.report_now()), [run(1)]);
    harness.state = WorkerState::Draining;
    harness.send_once(WORKER, CONNECTION);
    let later_report = harness.report_now();
    assert_eq!(later_report.newest_update, 0);
    harness.echo(later_report.sent_ms);
    let (report, _) = next_updates(&mut harness);
    assert_eq!(not_started(&report), [run(1)]);
}

#[test]
fn a_report_with_any_update_carries_all_that_are_not_settled() {
    let mut harness = acknowledged_agent();
    withdraw_start(&mut harness, 1);
    let ignored_report = harness.report_now();
    withdraw_start(&mut harness, 2);
    let report = harness.report_now();
    assert_eq!(not_started(&report), [run(1), run(2)]);
    assert!(report.newest_update > ignored_report.newest_update);
}

#[test]
fn an_update_that_is_answered_but_not_committed_is_reported_again() {
    let mut harness = acknowledged_agent();
    withdraw_start(&mut harness, 1);
    let report = harness.report_now();
    answer(&mut harness, &report, report.newest_update - 1);
    let (repeated_report, elapsed_ms) = next_updates(&mut harness);
    assert_eq!(not_started(&repeated_report), [run(1)]);
    assert_eq!(elapsed_ms, ACKNOWLEDGEMENT_TIMEOUT_MS);
    acknowledge(&mut harness, &repeated_report);
    assert!(!reports_updates(
        &mut harness,
        repeated_report.newest_update
    ));
}

/// A head that is lost before it has committed an update is followed by one that does not know it.
#[test]
fn updates_without_an_acknowledgement_are_reported_to_the_next_head() {
    let mut harness = acknowledged_agent();
    withdraw_start(&mut harness, 1);
    let first_report = harness.report_now();
    acknowledge(&mut harness, &first_report);
    withdraw_start(&mut harness, 2);
    let second_report = harness.report_now();
    answer(&mut harness, &second_report, first_report.newest_update);
    harness.agent.handle_disconnected();
    harness.agent.handle_connected();
    harness.epoch += 1;
    let report = harness.report_now();
    assert_eq!(not_started(&report), [run(2)]);
    assert!(
        report
            .instance
            .as_ref()
            .is_some_and(|instance| instance.running.is_some()),
        "the next head gets the complete list of runs"
    );
    acknowledge(&mut harness, &report);
    assert!(!reports_updates(&mut harness, report.newest_update));
}

#[test]
fn a_list_of_runs_that_the_head_ignores_is_reported_again() {
    let mut harness = acknowledged_agent();
    harness.running.push(run(1));
    harness.send_heartbeat();
    harness.report_now();
    harness.running.clear();
    harness.send_heartbeat();
    harness.report_now();
    let (report, elapsed_ms) = next_updates(&mut harness);
    let instance = report.instance.as_ref().expect("the instance is reported");
    assert_eq!(instance.running.as_deref(), Some(&[][..]));
    assert_eq!(elapsed_ms, UPDATE_RETRY_MS);
    acknowledge(&mut harness, &report);
    assert!(!reports_updates(&mut harness, report.newest_update));
}

#[test]
fn numbers_of_updates_rise_and_reports_without_updates_have_none() {
    let mut harness = acknowledged_agent();
    let mut numbers = Vec::new();
    for index in 1..4 {
        withdraw_start(&mut harness, index);
        let report = harness.report_now();
        numbers.push(report.newest_update);
        acknowledge(&mut harness, &report);
        harness.advance(REPORT_INTERVAL_MS);
        assert_eq!(harness.report_now().newest_update, 0);
    }
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}

/// An instance that has returned has not ended, though the head may not have answered the report of its end.
#[test]
fn the_end_of_an_instance_that_returns_is_not_reported_again() {
    let mut harness = acknowledged_agent();
    harness.advance(10_000);
    assert_eq!(harness.report_now().ended_instances, [WORKER]);
    harness.send_heartbeat();
    let (report, _) = next_updates(&mut harness);
    assert!(report.ended_instances.is_empty());
    assert!(report.instance.is_some());
}

/// Failure: the seventeenth end dropped the first one, which no head had handled yet.
#[test]
fn no_instance_registers_while_the_head_has_not_settled_the_ends_of_many() {
    let mut harness = acknowledged_agent();
    for number in 2..=ENDED_INSTANCES_MAX as u32 + 1 {
        harness.send_heartbeat_of(&format!("i-{number}"));
    }
    harness.agent.poll_events();
    let next = format!("i-{}", ENDED_INSTANCES_MAX + 2);
    let pending = HeartbeatAdmission::Pending(HeartbeatReply {
        retry_delay_ms: Some(BUSY_HEARTBEAT_MS),
        ..HeartbeatReply::default()
    });
    harness.send_once(&next, CONNECTION);
    assert_eq!(harness.send_once(&next, CONNECTION), pending);
    assert_eq!(harness.send_once(&next, CONNECTION), pending);
    let deferred = AgentEvent::RegistrationDeferred {
        instance: next.clone(),
    };
    let events = harness.agent.poll_events();
    let deferrals = events.iter().filter(|event| **event == deferred);
    assert_eq!(deferrals.count(), 1, "{events:?}");
    let report = harness.report_now();
    let ended = report.ended_instances.clone();
    assert_eq!(ended.len(), ENDED_INSTANCES_MAX);
    assert_eq!(ended[0], WORKER);
    acknowledge(&mut harness, &report);
    assert!(matches!(
        harness.send_once(&next, CONNECTION),
        HeartbeatAdmission::Accepted(_)
    ));
    assert_eq!(harness.report_now().ended_instances.len(), 1);
}

/// Heads of earlier builds acknowledge nothing: what they have answered is dropped first, what they ignored is kept.
#[test]
fn only_updates_that_a_head_without_acknowledgements_has_answered_are_dropped() {
    let mut harness = AgentHarness::confirmed();
    withdraw_start(&mut harness, 0);
    assert_eq!(not_started(&harness.report_and_echo()), [run(0)]);
    let count = NOT_STARTED_MAX as u32 + 10;
    (1..=count).for_each(|index| withdraw_start(&mut harness, index));
    let report = harness.report_now();
    let expected: Vec<RunId> = (1..=count).map(run).collect();
    assert_eq!(not_started(&report), expected);
    harness.echo(report.sent_ms);
    harness.agent.handle_disconnected();
    harness.agent.handle_connected();
    assert_eq!(
        not_started(&harness.report_now()),
        expected,
        "the next head may not know them"
    );
}

#[test]
fn an_acknowledgement_of_an_update_that_was_never_reported_is_ignored() {
    let mut harness = acknowledged_agent();
    withdraw_start(&mut harness, 1);
    let report = harness.report_now();
    let unknown = report.newest_update + 1;
    answer(&mut harness, &report, unknown);
    assert!(
        harness
            .agent
            .poll_events()
            .contains(&AgentEvent::UnknownUpdateAcknowledged { number: unknown })
    );
    harness.agent.handle_disconnected();
    harness.agent.handle_connected();
    assert_eq!(not_started(&harness.report_now()), [run(1)]);
}

#[test]
fn an_acknowledgement_that_goes_back_changes_nothing() {
    let mut harness = acknowledged_agent();
    withdraw_start(&mut harness, 1);
    let report = harness.report_now();
    acknowledge(&mut harness, &report);
    answer(&mut harness, &report, 1);
    assert!(!reports_updates(&mut harness, 0));
}

/// Failure: a head that had dropped the end of an instance went on naming it, and the agent passed over the name because
/// it had reported that end once.
#[test]
fn a_head_that_names_an_instance_after_its_end_is_told_of_it_again() {
    let mut harness = acknowledged_agent();
    harness.agent.handle_deregistration(WORKER);
    let report = harness.report_now();
    acknowledge(&mut harness, &report);
    harness.advance(REPORT_INTERVAL_MS);
    let next_report = harness.report_now();
    assert!(next_report.ended_instances.is_empty());
    let orders = AgentOrders {
        echo_sent_ms: Some(next_report.sent_ms),
        acknowledged_update: Some(report.newest_update),
        ..harness.no_orders()
    };
    assert_eq!(orders.instance, WORKER);
    harness.deliver_orders(orders);
    let repeated_report = harness.report_now();
    assert_eq!(repeated_report.ended_instances, [WORKER]);
    assert!(repeated_report.newest_update > report.newest_update);
}

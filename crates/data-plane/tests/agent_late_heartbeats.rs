//! Late heartbeats: the network may deliver a heartbeat seconds after it was sent, when its instance has ended and the
//! next one runs. An instance therefore registers with its second heartbeat, which shows that it has read a reply.

mod common;

use common::agent_harness::{AgentHarness, CONNECTION, START_MS, WORKER, run, start};
use indigofold_data_plane::agent::{
    AgentEvent, BUSY_HEARTBEAT_MS, HeartbeatAdmission, PENDING_INSTANCES_MAX,
    REGISTRATION_HEARTBEAT_MS, WorkerConnectionId, expires_by_ms,
};
use indigofold_protocol::internal::{AgentOrders, RUN_LEASE_MS};
use indigofold_protocol::worker::HeartbeatReply;
use rstest::rstest;

/// Instance whose heartbeats are late, or that follows [`WORKER`].
const OTHER: &str = "i-0";
const OTHER_CONNECTION: WorkerConnectionId = WorkerConnectionId(2);

fn pending(retry_delay_ms: u64) -> HeartbeatAdmission {
    HeartbeatAdmission::Pending(HeartbeatReply {
        retry_delay_ms: Some(retry_delay_ms),
        ..HeartbeatReply::default()
    })
}

fn is_accepted(admission: &HeartbeatAdmission) -> bool {
    matches!(admission, HeartbeatAdmission::Accepted(_))
}

/// The instance in the next report, and the instances that it names as ended.
fn reported(harness: &mut AgentHarness) -> (Option<String>, Vec<String>) {
    let report = harness.report_now();
    (
        report.instance.map(|instance| instance.id),
        report.ended_instances,
    )
}

/// The head answers a report without an instance; `known` is the instance that it knows on this machine.
fn answer_without_instance(harness: &mut AgentHarness, known: &str) {
    let report = harness.report_now();
    let orders = AgentOrders {
        instance: known.to_owned(),
        echo_sent_ms: Some(report.sent_ms),
        ..harness.no_orders()
    };
    harness.deliver_orders(orders);
}

/// Failure: the late heartbeat of an instance that had crashed ended the running one, and its tasks were started
/// elsewhere beside their first runs.
#[test]
fn a_single_heartbeat_of_another_instance_does_not_end_the_current_one() {
    let mut harness = AgentHarness::confirmed();
    harness.start_and_confirm(&[start(run(1), 100)]);
    harness.report_and_echo();
    assert_eq!(
        harness.send_once(OTHER, OTHER_CONNECTION),
        pending(REGISTRATION_HEARTBEAT_MS)
    );
    let reply = harness.send_heartbeat();
    assert_eq!(reply.lease_ms, Some(RUN_LEASE_MS));
    harness.advance(300);
    assert_eq!(
        reported(&mut harness),
        (Some(WORKER.to_owned()), Vec::new())
    );
    assert_eq!(
        harness.agent.poll_events().last(),
        Some(&AgentEvent::Pending {
            instance: OTHER.to_owned(),
            current: Some(WORKER.to_owned()),
        })
    );
}

/// Failure: after a restart of the agent, which forgets ended instances, the late heartbeat of one was reported, and the
/// head ended the running instance.
#[test]
fn a_restarted_agent_reports_no_instance_after_a_single_heartbeat() {
    let mut harness = AgentHarness::unconnected();
    harness.agent.handle_connected();
    harness.send_once(OTHER, OTHER_CONNECTION);
    assert_eq!(reported(&mut harness), (None, Vec::new()));
    harness.send_heartbeat();
    assert_eq!(
        reported(&mut harness),
        (Some(WORKER.to_owned()), Vec::new())
    );
}

/// Failure: the late heartbeat of a crashed instance registered it once more, and tasks waited for it until its leases
/// expired.
#[test]
fn an_expired_instance_does_not_return_after_a_single_heartbeat() {
    let mut harness = AgentHarness::confirmed();
    harness.advance(expires_by_ms(0, RUN_LEASE_MS));
    assert_eq!(
        reported(&mut harness),
        (None, vec![WORKER.to_owned()]),
        "the leases have expired"
    );
    harness.echo(harness.now_ms);
    assert_eq!(
        harness.send_once(WORKER, CONNECTION),
        pending(REGISTRATION_HEARTBEAT_MS)
    );
    harness.advance(300);
    assert_eq!(reported(&mut harness), (None, Vec::new()));
    assert!(is_accepted(&harness.send_once(WORKER, CONNECTION)));
    assert_eq!(
        reported(&mut harness),
        (Some(WORKER.to_owned()), Vec::new())
    );
}

/// Heartbeats that were sent without reading a reply may all be late ones.
#[test]
fn heartbeats_on_several_connections_do_not_replace_an_instance_with_leases() {
    let mut harness = AgentHarness::confirmed();
    for connection in 2..10 {
        harness.send_once(OTHER, WorkerConnectionId(connection));
    }
    harness.advance(300);
    assert_eq!(
        reported(&mut harness),
        (Some(WORKER.to_owned()), Vec::new())
    );
}

#[test]
fn only_the_first_pending_heartbeat_asks_for_the_next_one_early() {
    let mut harness = AgentHarness::confirmed();
    assert_eq!(
        harness.send_once(OTHER, OTHER_CONNECTION),
        pending(REGISTRATION_HEARTBEAT_MS)
    );
    let repeated = harness.heartbeat();
    assert_eq!(
        harness.receive(OTHER, OTHER_CONNECTION, repeated),
        pending(BUSY_HEARTBEAT_MS),
        "a sequence number that does not rise shows nothing"
    );
    assert_eq!(
        harness.send_once(OTHER, WorkerConnectionId(3)),
        pending(BUSY_HEARTBEAT_MS)
    );
}

/// The reply between the two heartbeats was sent before the current instance registered, so the second one may have been
/// sent before the current instance started.
#[test]
fn a_second_heartbeat_that_arrives_after_a_registration_counts_as_the_first() {
    let mut harness = AgentHarness::unconnected();
    harness.agent.handle_connected();
    harness.send_once(OTHER, OTHER_CONNECTION);
    harness.send_heartbeat();
    harness.report_and_echo();
    assert_eq!(
        harness.send_once(OTHER, OTHER_CONNECTION),
        pending(REGISTRATION_HEARTBEAT_MS)
    );
    assert_eq!(harness.send_heartbeat().lease_ms, Some(RUN_LEASE_MS));
    assert!(is_accepted(&harness.send_once(OTHER, OTHER_CONNECTION)));
    assert_eq!(
        reported(&mut harness),
        (Some(OTHER.to_owned()), vec![WORKER.to_owned()])
    );
}

#[test]
fn late_heartbeats_of_many_instances_do_not_keep_a_new_one_from_registering() {
    let mut harness = AgentHarness::confirmed();
    harness.send_once(OTHER, OTHER_CONNECTION);
    for number in 1..PENDING_INSTANCES_MAX as u64 {
        harness.send_once(&format!("late-{number}"), WorkerConnectionId(10 + number));
    }
    assert!(is_accepted(&harness.send_once(OTHER, OTHER_CONNECTION)));
}

/// The state of the previous process is lost; the worker's lease must be renewed before it expires.
#[rstest]
#[case::the_head_knows_no_instance("")]
#[case::the_head_knows_the_same_instance(WORKER)]
fn an_instance_that_opens_a_connection_for_each_heartbeat_registers_if_no_other_is_known(
    #[case] known: &str,
) {
    let mut harness = AgentHarness::unconnected();
    harness.agent.handle_connected();
    let reply = harness.send_once(WORKER, CONNECTION);
    assert_eq!(reply, pending(REGISTRATION_HEARTBEAT_MS));
    let reply = harness.send_once(WORKER, WorkerConnectionId(2));
    assert_eq!(
        reply,
        pending(BUSY_HEARTBEAT_MS),
        "the head has not answered"
    );
    answer_without_instance(&mut harness, known);
    let reply = harness.send_once(WORKER, WorkerConnectionId(3));
    assert!(is_accepted(&reply), "{reply:?}");
}

/// Without a reply that it has read, the instance waits until the runs of any other one have ended.
#[rstest]
#[case::another_instance_is_known(true)]
#[case::the_head_has_not_answered(false)]
fn an_instance_that_opens_a_connection_for_each_heartbeat_waits_for_leases_of_others(
    #[case] is_other_known: bool,
) {
    let mut harness = AgentHarness::unconnected();
    harness.agent.handle_connected();
    if is_other_known {
        answer_without_instance(&mut harness, OTHER);
    }
    let leases_expire_ms = expires_by_ms(START_MS, RUN_LEASE_MS);
    let mut connection = 2;
    let mut registered_ms = None;
    while registered_ms.is_none() && harness.now_ms < leases_expire_ms + 1_000 {
        harness.advance(20);
        harness.agent.poll_report(harness.now_ms);
        connection += 1;
        let reply = harness.send_once(WORKER, WorkerConnectionId(connection));
        registered_ms = is_accepted(&reply).then_some(harness.now_ms);
    }
    let registered_ms = registered_ms.expect("the instance registers");
    assert!((leases_expire_ms..leases_expire_ms + 20).contains(&registered_ms));
}

/// An instance that was replaced without evidence that it has ended may return, and no lease of its successor is left
/// behind when it does.
#[test]
fn an_expired_instance_that_was_replaced_without_evidence_can_return() {
    let mut harness = AgentHarness::confirmed();
    harness.advance(expires_by_ms(0, RUN_LEASE_MS));
    harness.report_and_echo();
    harness.send_once(OTHER, WorkerConnectionId(2));
    assert!(is_accepted(
        &harness.send_once(OTHER, WorkerConnectionId(3))
    ));
    assert_eq!(reported(&mut harness), (Some(OTHER.to_owned()), Vec::new()));
    harness.send_heartbeat();
    assert_eq!(
        reported(&mut harness),
        (Some(WORKER.to_owned()), vec![OTHER.to_owned()])
    );
}

/// The `DELETE` of an instance between its first two heartbeats counts once it registers.
#[test]
fn a_deregistration_before_the_registration_counts() {
    let mut harness = AgentHarness::unconnected();
    harness.agent.handle_connected();
    harness.send_once(WORKER, CONNECTION);
    harness.agent.handle_deregistration(WORKER);
    harness.send_once(WORKER, CONNECTION);
    assert_eq!(
        reported(&mut harness),
        (None, vec![WORKER.to_owned()]),
        "an idle instance ends with its deregistration"
    );
}

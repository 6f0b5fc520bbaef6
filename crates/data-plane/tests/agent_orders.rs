//! Orders of the head: the node agent sends starts within the worker's capacity and never starts a run twice, repeats
//! stops, and reports starts that were not carried out.

mod common;

use common::agent_harness::{AgentHarness, CONNECTION, WORKER, attempt, run, start};
use indigofold_data_plane::agent::{CAPACITY_WAIT_MS, HeartbeatAdmission, SEND_ATTEMPTS_MAX};
use indigofold_protocol::internal::AgentOrders;
use indigofold_protocol::worker::{RunEnd, WorkerState};

#[test]
fn a_start_is_sent_in_the_next_reply_and_in_flight_until_listed() {
    let mut harness = AgentHarness::confirmed();
    harness.order_start(&[start(run(1), 500)]);
    let reply = harness.send_heartbeat();
    assert_eq!(AgentHarness::started(&reply), [run(1).task.to_string()]);
    assert_eq!(reply.fencing_token, Some(3));
    let instance = harness
        .report_now()
        .instance
        .expect("the instance is reported");
    assert_eq!(instance.in_flight, [run(1)]);
    harness.carry_out(&reply);
    assert!(harness.send_heartbeat().start.is_empty());
    let instance = harness
        .report_now()
        .instance
        .expect("the instance is reported");
    assert!(instance.in_flight.is_empty());
    assert_eq!(
        instance.running.expect("changed runs are listed")[0].run,
        run(1)
    );
}

#[test]
fn an_unlisted_start_is_resent() {
    let mut harness = AgentHarness::confirmed();
    harness.order_start(&[start(run(1), 500)]);
    assert_eq!(harness.send_heartbeat().start.len(), 1);
    assert_eq!(harness.send_heartbeat().start.len(), 1);
}

#[test]
fn a_start_never_listed_is_stopped_and_reported_as_not_started() {
    let mut harness = AgentHarness::confirmed();
    harness.order_start(&[start(run(1), 500)]);
    for _ in 0..SEND_ATTEMPTS_MAX {
        assert_eq!(harness.send_heartbeat().start.len(), 1);
    }
    let reply = harness.send_heartbeat();
    assert!(reply.start.is_empty());
    assert_eq!(reply.stop.len(), 1);
    harness.send_heartbeat();
    assert_eq!(harness.report_now().not_started, [run(1)]);
}

#[test]
fn a_known_run_is_not_started_twice() {
    let mut harness = AgentHarness::confirmed();
    harness.order_start(&[start(run(1), 100)]);
    harness.order_start(&[start(run(1), 100)]);
    let reply = harness.send_heartbeat();
    assert_eq!(reply.start.len(), 1);
    harness.carry_out(&reply);
    harness.order_start(&[start(run(1), 100)]);
    assert!(harness.send_heartbeat().start.is_empty());
    harness.end(run(1), RunEnd::Done);
    harness.send_heartbeat();
    harness.order_start(&[start(run(1), 100)]);
    assert!(harness.send_heartbeat().start.is_empty());
    assert!(harness.report_now().not_started.is_empty());
}

#[test]
fn starts_stay_within_capacity_and_those_that_do_not_fit_are_reported_as_not_started() {
    let mut harness = AgentHarness::confirmed();
    harness.order_start(&[start(run(1), 600), start(run(2), 600)]);
    let reply = harness.send_heartbeat();
    assert_eq!(AgentHarness::started(&reply), [run(1).task.to_string()]);
    harness.carry_out(&reply);
    assert!(harness.send_heartbeat().start.is_empty());
    harness.advance(CAPACITY_WAIT_MS);
    assert!(harness.send_heartbeat().start.is_empty());
    assert_eq!(harness.report_now().not_started, [run(2)]);
    harness.end(run(1), RunEnd::Done);
    assert!(
        harness.send_heartbeat().start.is_empty(),
        "a start reported as not started is never carried out"
    );
    harness.order_start(&[start(run(2), 600)]);
    assert!(harness.send_heartbeat().start.is_empty());
    assert_eq!(
        harness.report_now().not_started,
        [run(2)],
        "reported again because the head repeated its order"
    );
}

#[test]
fn a_stopping_run_occupies_capacity_until_its_end_is_listed() {
    let mut harness = AgentHarness::confirmed();
    harness.start_and_confirm(&[start(run(1), 600)]);
    harness.order_stop(&[run(1)]);
    harness.order_start(&[start(run(2), 600)]);
    let reply = harness.send_heartbeat();
    assert_eq!((reply.stop.len(), reply.start.len()), (1, 0));
    let reply = harness.send_heartbeat();
    assert_eq!(
        (reply.stop.len(), reply.start.len()),
        (1, 0),
        "a stop is repeated"
    );
    harness.carry_out(&reply);
    let reply = harness.send_heartbeat();
    assert_eq!((reply.stop.len(), reply.start.len()), (0, 1));
}

#[test]
fn a_stop_before_the_start_is_sent_withdraws_it_at_once() {
    let mut harness = AgentHarness::confirmed();
    harness.order_start(&[start(run(1), 600)]);
    harness.order_stop(&[run(1)]);
    let reply = harness.send_heartbeat();
    assert!(reply.start.is_empty() && reply.stop.is_empty());
    assert_eq!(harness.report_now().not_started, [run(1)]);
}

#[test]
fn a_stop_of_a_start_in_flight_is_sent_until_the_run_is_known_not_to_have_started() {
    let mut harness = AgentHarness::confirmed();
    harness.order_start(&[start(run(1), 600)]);
    harness.send_heartbeat();
    harness.order_stop(&[run(1)]);
    let reply = harness.send_heartbeat();
    assert_eq!((reply.stop.len(), reply.start.len()), (1, 0));
    assert!(harness.report_now().not_started.is_empty());
    assert!(harness.send_heartbeat().stop.is_empty());
    assert_eq!(harness.report_now().not_started, [run(1)]);
}

#[test]
fn a_stop_of_an_unknown_run_is_sent() {
    let mut harness = AgentHarness::confirmed();
    harness.order_stop(&[run(9)]);
    assert_eq!(harness.send_heartbeat().stop.len(), 1);
    assert!(harness.send_heartbeat().stop.is_empty());
    assert_eq!(harness.report_now().not_started, [run(9)]);
}

#[test]
fn a_draining_worker_gets_no_starts() {
    let mut harness = AgentHarness::confirmed();
    harness.order_start(&[start(run(1), 100)]);
    harness.state = WorkerState::Draining;
    assert!(harness.send_heartbeat().start.is_empty());
    let report = harness.report_now();
    assert_eq!(report.not_started, [run(1)]);
    assert_eq!(
        report.instance.expect("the instance is reported").state,
        WorkerState::Draining
    );
}

#[test]
fn a_start_in_flight_at_draining_is_stopped_unless_listed() {
    let mut harness = AgentHarness::confirmed();
    harness.order_start(&[start(run(1), 100), start(run(2), 100)]);
    harness.send_heartbeat();
    harness.running.push(run(1));
    harness.state = WorkerState::Draining;
    let reply = harness.send_heartbeat();
    assert!(reply.start.is_empty());
    assert_eq!(reply.stop[0].task, run(2).task.to_string());
    harness.send_heartbeat();
    assert_eq!(harness.report_now().not_started, [run(2)]);
}

#[test]
fn orders_of_a_lower_epoch_are_dropped() {
    let mut harness = AgentHarness::confirmed();
    let old = AgentOrders {
        epoch: 2,
        start: vec![start(run(1), 100)],
        ..harness.no_orders()
    };
    harness.deliver_orders(old);
    let reply = harness.send_heartbeat();
    assert!(reply.start.is_empty());
    assert_eq!(reply.fencing_token, Some(3));
    harness.epoch = 5;
    harness.order_start(&[start(run(2), 100)]);
    let reply = harness.send_heartbeat();
    assert_eq!((reply.start.len(), reply.fencing_token), (1, Some(5)));
}

#[test]
fn an_echo_of_a_lower_epoch_grants_no_lease() {
    let mut harness = AgentHarness::unconnected();
    harness.agent.handle_connected();
    harness.deliver_orders(AgentOrders {
        instance: String::new(),
        ..harness.no_orders()
    });
    harness.send_heartbeat();
    let report = harness.report_now();
    harness.epoch = 2;
    harness.echo(report.sent_ms);
    assert_eq!(harness.send_heartbeat().lease_ms, None);
}

#[test]
fn orders_for_another_instance_are_dropped() {
    let mut harness = AgentHarness::confirmed();
    let start = vec![start(run(1), 100)];
    harness.deliver_orders(AgentOrders {
        instance: "i-0".to_owned(),
        start,
        ..harness.no_orders()
    });
    assert!(harness.send_heartbeat().start.is_empty());
    assert_eq!(harness.report_now().ended_instances, ["i-0"]);
}

#[test]
fn a_superseded_heartbeat_is_answered_without_orders() {
    let mut harness = AgentHarness::confirmed();
    harness.send_heartbeat();
    harness.order_start(&[start(run(1), 100)]);
    harness.seq_no -= 1;
    let late = harness.heartbeat();
    assert_eq!(
        harness.receive(WORKER, CONNECTION, late),
        HeartbeatAdmission::Superseded
    );
    harness.seq_no += 1;
    assert_eq!(harness.send_heartbeat().start.len(), 1);
}

#[test]
fn each_attempt_of_a_task_is_a_separate_run() {
    let mut harness = AgentHarness::confirmed();
    harness.order_start(&[start(run(1), 100)]);
    let reply = harness.send_heartbeat();
    harness.carry_out(&reply);
    harness.end(run(1), RunEnd::Failed);
    harness.send_heartbeat();
    harness.order_start(&[start(attempt(1, 2), 100)]);
    assert_eq!(harness.send_heartbeat().start[0].attempt, 2);
}

#[test]
fn ends_are_acknowledged_to_the_worker_after_the_head_acknowledged_them() {
    let mut harness = AgentHarness::confirmed();
    harness.running.push(run(1));
    harness.send_heartbeat();
    harness.end(run(1), RunEnd::Done);
    assert_eq!(harness.send_heartbeat().acknowledged_end, None);
    assert_eq!(
        harness
            .report_now()
            .instance
            .expect("the instance is reported")
            .finished[0]
            .number,
        1
    );
    harness.deliver_orders(AgentOrders {
        acknowledged_end: Some(1),
        ..harness.no_orders()
    });
    assert_eq!(harness.send_heartbeat().acknowledged_end, Some(1));
    harness.advance(300);
    assert!(
        harness
            .report_now()
            .instance
            .expect("the instance is reported")
            .finished
            .is_empty()
    );
}

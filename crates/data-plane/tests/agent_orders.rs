//! The companion passes orders on: once each, within capacity, only where they are safe.

mod common;

use common::{Bench, WORKER, attempt, run, start};
use indigofold_data_plane::agent::{BeatOutcome, MISFIT_MS, PASSES_MAX};
use indigofold_protocol::internal::AgentOrders;
use indigofold_protocol::worker::{RunEnd, WorkerState};

#[test]
fn a_start_goes_into_the_next_answer_and_is_in_flight_until_listed() {
    let mut bench = Bench::settled();
    bench.order_start(&[start(run(1), 500)]);
    let reply = bench.beat();
    assert_eq!(Bench::started(&reply), [run(1).task.to_string()]);
    assert_eq!(reply.fencing_token, Some(3));
    let instance = bench.report_now().instance.expect("registered");
    assert_eq!(instance.in_flight, [run(1)]);
    bench.obey(&reply);
    assert!(bench.beat().start.is_empty());
    let instance = bench.report_now().instance.expect("registered");
    assert!(instance.in_flight.is_empty());
    assert_eq!(instance.running.expect("changed")[0].run, run(1));
}

#[test]
fn a_start_that_a_later_heartbeat_does_not_list_is_passed_on_again() {
    let mut bench = Bench::settled();
    bench.order_start(&[start(run(1), 500)]);
    assert_eq!(bench.beat().start.len(), 1);
    assert_eq!(bench.beat().start.len(), 1);
}

#[test]
fn a_start_that_the_worker_never_lists_is_stopped_and_given_back() {
    let mut bench = Bench::settled();
    bench.order_start(&[start(run(1), 500)]);
    for _ in 0..PASSES_MAX {
        assert_eq!(bench.beat().start.len(), 1);
    }
    let reply = bench.beat();
    assert!(reply.start.is_empty());
    assert_eq!(reply.stop.len(), 1);
    bench.beat();
    assert_eq!(bench.report_now().not_started, [run(1)]);
}

#[test]
fn a_known_run_is_not_started_twice() {
    let mut bench = Bench::settled();
    bench.order_start(&[start(run(1), 100)]);
    bench.order_start(&[start(run(1), 100)]);
    let reply = bench.beat();
    assert_eq!(reply.start.len(), 1);
    bench.obey(&reply);
    bench.order_start(&[start(run(1), 100)]);
    assert!(bench.beat().start.is_empty());
    bench.end(run(1), RunEnd::Done);
    bench.beat();
    bench.order_start(&[start(run(1), 100)]);
    assert!(bench.beat().start.is_empty());
    assert!(bench.report_now().not_started.is_empty());
}

#[test]
fn starts_stay_within_capacity_and_what_does_not_fit_is_given_back() {
    let mut bench = Bench::settled();
    bench.order_start(&[start(run(1), 600), start(run(2), 600)]);
    let reply = bench.beat();
    assert_eq!(Bench::started(&reply), [run(1).task.to_string()]);
    bench.obey(&reply);
    assert!(bench.beat().start.is_empty());
    bench.pass(MISFIT_MS);
    assert!(bench.beat().start.is_empty());
    assert_eq!(bench.report_now().not_started, [run(2)]);
    bench.end(run(1), RunEnd::Done);
    assert!(
        bench.beat().start.is_empty(),
        "a start given back is never carried out"
    );
    bench.order_start(&[start(run(2), 600)]);
    assert!(bench.beat().start.is_empty());
    assert_eq!(
        bench.report_now().not_started,
        [run(2)],
        "told again, as the head has not understood"
    );
}

#[test]
fn a_run_that_is_being_stopped_takes_room_until_its_end_is_listed() {
    let mut bench = Bench::settled();
    bench.run_all(&[start(run(1), 600)]);
    bench.order_stop(&[run(1)]);
    bench.order_start(&[start(run(2), 600)]);
    let reply = bench.beat();
    assert_eq!((reply.stop.len(), reply.start.len()), (1, 0));
    let reply = bench.beat();
    assert_eq!(
        (reply.stop.len(), reply.start.len()),
        (1, 0),
        "a stop is repeated"
    );
    bench.obey(&reply);
    let reply = bench.beat();
    assert_eq!((reply.stop.len(), reply.start.len()), (0, 1));
}

#[test]
fn a_stop_before_the_start_was_passed_on_gives_it_back_at_once() {
    let mut bench = Bench::settled();
    bench.order_start(&[start(run(1), 600)]);
    bench.order_stop(&[run(1)]);
    let reply = bench.beat();
    assert!(reply.start.is_empty() && reply.stop.is_empty());
    assert_eq!(bench.report_now().not_started, [run(1)]);
}

#[test]
fn a_stop_of_a_start_in_flight_is_sent_and_the_start_given_back_once_it_is_surely_not_there() {
    let mut bench = Bench::settled();
    bench.order_start(&[start(run(1), 600)]);
    bench.beat();
    bench.order_stop(&[run(1)]);
    let reply = bench.beat();
    assert_eq!((reply.stop.len(), reply.start.len()), (1, 0));
    assert!(bench.report_now().not_started.is_empty());
    assert!(bench.beat().stop.is_empty());
    assert_eq!(bench.report_now().not_started, [run(1)]);
}

#[test]
fn a_stop_of_an_unknown_run_is_passed_on() {
    let mut bench = Bench::settled();
    bench.order_stop(&[run(9)]);
    assert_eq!(bench.beat().stop.len(), 1);
    assert!(bench.beat().stop.is_empty());
    assert_eq!(bench.report_now().not_started, [run(9)]);
}

#[test]
fn a_draining_worker_gets_no_starts() {
    let mut bench = Bench::settled();
    bench.order_start(&[start(run(1), 100)]);
    bench.state = WorkerState::Draining;
    assert!(bench.beat().start.is_empty());
    let report = bench.report_now();
    assert_eq!(report.not_started, [run(1)]);
    assert_eq!(
        report.instance.expect("registered").state,
        WorkerState::Draining
    );
}

#[test]
fn a_start_passed_on_before_the_drain_is_stopped_unless_it_is_listed() {
    let mut bench = Bench::settled();
    bench.order_start(&[start(run(1), 100), start(run(2), 100)]);
    bench.beat();
    bench.running.push(run(1));
    bench.state = WorkerState::Draining;
    let reply = bench.beat();
    assert!(reply.start.is_empty());
    assert_eq!(reply.stop[0].task, run(2).task.to_string());
    bench.beat();
    assert_eq!(bench.report_now().not_started, [run(2)]);
}

#[test]
fn orders_of_a_lower_epoch_are_dropped() {
    let mut bench = Bench::settled();
    let old = AgentOrders {
        epoch: 2,
        start: vec![start(run(1), 100)],
        ..bench.no_orders()
    };
    bench.orders(old);
    let reply = bench.beat();
    assert!(reply.start.is_empty());
    assert_eq!(reply.fencing_token, Some(3));
    bench.epoch = 5;
    bench.order_start(&[start(run(2), 100)]);
    let reply = bench.beat();
    assert_eq!((reply.start.len(), reply.fencing_token), (1, Some(5)));
}

#[test]
fn an_echo_of_a_lower_epoch_renews_no_hold() {
    let mut bench = Bench::fresh();
    bench.agent.link_up();
    bench.orders(AgentOrders {
        instance: String::new(),
        ..bench.no_orders()
    });
    bench.beat();
    let report = bench.report_now();
    bench.epoch = 2;
    bench.echo(report.sent_ms);
    assert_eq!(bench.beat().lease_ms, None);
}

#[test]
fn orders_for_another_life_are_dropped() {
    let mut bench = Bench::settled();
    let start = vec![start(run(1), 100)];
    bench.orders(AgentOrders {
        instance: "i-0".to_owned(),
        start,
        ..bench.no_orders()
    });
    assert!(bench.beat().start.is_empty());
    assert_eq!(bench.report_now().ended_instances, ["i-0"]);
}

#[test]
fn a_late_heartbeat_is_acknowledged_without_orders() {
    let mut bench = Bench::settled();
    bench.beat();
    bench.order_start(&[start(run(1), 100)]);
    bench.seq_no -= 1;
    let late = bench.heartbeat();
    assert_eq!(bench.take(WORKER, late), BeatOutcome::Late);
    bench.seq_no += 1;
    assert_eq!(bench.beat().start.len(), 1);
}

#[test]
fn a_later_attempt_of_a_task_is_a_run_of_its_own() {
    let mut bench = Bench::settled();
    bench.order_start(&[start(run(1), 100)]);
    let reply = bench.beat();
    bench.obey(&reply);
    bench.end(run(1), RunEnd::Failed);
    bench.beat();
    bench.order_start(&[start(attempt(1, 2), 100)]);
    assert_eq!(bench.beat().start[0].attempt, 2);
}

#[test]
fn ends_are_acknowledged_to_the_worker_only_once_the_head_has_them() {
    let mut bench = Bench::settled();
    bench.running.push(run(1));
    bench.beat();
    bench.end(run(1), RunEnd::Done);
    assert_eq!(bench.beat().acknowledged_end, None);
    assert_eq!(
        bench.report_now().instance.expect("registered").finished[0].number,
        1
    );
    bench.orders(AgentOrders {
        acknowledged_end: Some(1),
        ..bench.no_orders()
    });
    assert_eq!(bench.beat().acknowledged_end, Some(1));
    bench.pass(300);
    assert!(
        bench
            .report_now()
            .instance
            .expect("registered")
            .finished
            .is_empty()
    );
}

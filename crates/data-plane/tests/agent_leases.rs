//! The companion extends holds only with authority, and tells lives gone only when nothing of theirs can run.

mod common;

use common::{Bench, START_MS, WORKER, run, start};
use indigofold_data_plane::agent::{
    Agent, BUSY_BEAT_MS, BeatOutcome, IDLE_BEAT_MS, ORDERED_LATELY_MS, expires_by_ms,
};
use indigofold_protocol::internal::{AgentOrders, LEASE_AUTHORITY_MS, RUN_LEASE_MS};
use indigofold_protocol::worker::{RunEnd, WorkerState};

/// Long enough for every hold to lapse.
const SILENCE_MS: u64 = RUN_LEASE_MS + 1_500;

#[test]
fn a_hold_is_the_shorter_of_ours_and_the_workers() {
    let mut bench = Bench::settled();
    assert_eq!(bench.beat().lease_ms, Some(RUN_LEASE_MS));
    bench.agent = Agent::new(START_MS, 900);
    bench.agent.link_up();
    bench.beat();
    bench.report_and_echo();
    assert_eq!(bench.beat().lease_ms, Some(900));
}

#[test]
fn after_a_start_of_its_own_nothing_is_held_or_started_before_the_head_has_answered() {
    let mut bench = Bench::fresh();
    bench.agent.link_up();
    bench.running.push(run(5));
    bench.order_start(&[start(run(1), 100)]);
    let reply = bench.beat();
    assert_eq!((reply.lease_ms, reply.start.len()), (None, 0));
    bench.order_start(&[start(run(1), 100), start(run(5), 100)]);
    let reply = bench.beat();
    assert_eq!((reply.lease_ms, reply.start.len()), (None, 0));
    bench.report_and_echo();
    let reply = bench.beat();
    assert_eq!(
        (reply.lease_ms, Bench::started(&reply)),
        (Some(RUN_LEASE_MS), vec![run(1).task.to_string()])
    );
}

#[test]
fn an_answer_to_a_report_without_the_worker_is_not_enough() {
    let mut bench = Bench::fresh();
    bench.agent.link_up();
    let empty = bench.report_now();
    assert_eq!(empty.instance, None);
    bench.beat();
    bench.echo(empty.sent_ms);
    assert_eq!(bench.beat().lease_ms, None);
    bench.report_and_echo();
    assert_eq!(bench.beat().lease_ms, Some(RUN_LEASE_MS));
}

#[test]
fn authority_ends_some_time_after_the_newest_answered_report() {
    let mut bench = Bench::settled();
    bench.agent.link_down();
    bench.pass(LEASE_AUTHORITY_MS - 300);
    assert_eq!(bench.beat().lease_ms, Some(RUN_LEASE_MS));
    bench.pass(300);
    bench.order_start(&[start(run(1), 100)]);
    let reply = bench.beat();
    assert_eq!((reply.lease_ms, reply.start.len()), (None, 0));
}

#[test]
fn an_echo_that_was_never_sent_gives_no_authority() {
    let mut bench = Bench::fresh();
    bench.agent.link_up();
    bench.beat();
    bench.report_now();
    bench.echo(bench.now_ms + 5_000);
    bench.echo(START_MS - 1);
    assert_eq!(bench.beat().lease_ms, None);
}

#[test]
fn authority_is_gone_after_a_freeze() {
    let mut bench = Bench::settled();
    bench.beat();
    bench.pass(LEASE_AUTHORITY_MS);
    bench.agent.tick(bench.now_ms);
    assert_eq!(bench.beat().lease_ms, None);
}

#[test]
fn starts_that_outlast_the_authority_are_given_back() {
    let mut bench = Bench::settled();
    for _ in 0..LEASE_AUTHORITY_MS / 100 {
        bench.beat();
    }
    bench.order_start(&[start(run(1), 100)]);
    bench.beat();
    let report = bench.report_now();
    assert_eq!(
        report.not_started,
        [run(1)],
        "another head may have started it elsewhere"
    );
    bench.echo(report.sent_ms);
    let reply = bench.beat();
    assert_eq!((reply.lease_ms, reply.start.len()), (Some(RUN_LEASE_MS), 0));
}

#[test]
fn a_new_life_makes_the_former_one_gone() {
    let mut bench = Bench::settled();
    bench.order_start(&[start(run(1), 100)]);
    let reply = bench.beat_of("i-2");
    assert!(
        reply.start.is_empty(),
        "orders for the former life do not reach the new one"
    );
    assert_eq!(
        reply.lease_ms, None,
        "the head does not know the new life yet"
    );
    let report = bench.report_now();
    assert_eq!(report.ended_instances, [WORKER]);
    assert_eq!(report.instance.expect("registered").id, "i-2");
    let beat = bench.heartbeat();
    assert_eq!(bench.take(WORKER, beat), BeatOutcome::Late);
}

#[test]
fn a_worker_that_leaves_is_gone() {
    let mut bench = Bench::settled();
    bench.agent.delete("i-0");
    bench.agent.delete(WORKER);
    let report = bench.report_now();
    assert_eq!(
        (report.ended_instances, report.instance),
        (vec![WORKER.to_owned()], None)
    );
}

/// A worker that sends `DELETE` without having drained serves on: what runs there must not run elsewhere meanwhile.
#[test]
fn a_worker_that_leaves_unannounced_is_gone_once_its_runs_have_ended() {
    let mut bench = Bench::settled();
    bench.run_all(&[start(run(1), 100), start(run(2), 100)]);
    bench.agent.delete(WORKER);
    let report = bench.report_and_echo();
    let instance = report.instance.expect("it still has runs");
    assert!(report.ended_instances.is_empty(), "its runs may be at work");
    assert_eq!(
        (instance.state, instance.remaining_ms),
        (WorkerState::Draining, Some(0))
    );
    bench.order_start(&[start(run(3), 100)]);
    bench.order_stop(&[run(1), run(2)]);
    let reply = bench.beat();
    assert_eq!((reply.start.len(), reply.stop.len()), (0, 2));
    bench.obey(&reply);
    bench.beat();
    let report = bench.report_and_echo();
    assert_eq!(
        report
            .instance
            .expect("its ends are not acknowledged")
            .finished
            .len(),
        2
    );
    bench.orders(AgentOrders {
        acknowledged_end: Some(2),
        ..bench.no_orders()
    });
    bench.beat();
    assert_eq!(bench.report_now().ended_instances, [WORKER]);
}

#[test]
fn a_worker_that_leaves_unannounced_and_falls_silent_is_gone_once_its_holds_have_lapsed() {
    let mut bench = Bench::settled();
    bench.run_all(&[start(run(1), 100)]);
    let beat_ms = bench.now_ms;
    bench.agent.delete(WORKER);
    bench.now_ms = expires_by_ms(beat_ms, RUN_LEASE_MS) - 1;
    let report = bench.agent.tick(bench.now_ms).expect("due");
    assert!(report.ended_instances.is_empty() && report.instance.is_some());
    bench.pass(1);
    bench.agent.tick(bench.now_ms);
    assert_eq!(bench.report_now().ended_instances, [WORKER]);
}

#[test]
fn a_silent_worker_is_gone_once_its_holds_have_lapsed() {
    let mut bench = Bench::settled();
    bench.beat();
    let beat_ms = bench.now_ms;
    bench.now_ms = expires_by_ms(beat_ms, RUN_LEASE_MS) - 1;
    let report = bench.agent.tick(bench.now_ms).expect("due");
    assert!(report.ended_instances.is_empty() && report.instance.is_some());
    bench.pass(1);
    bench.agent.tick(bench.now_ms);
    let report = bench.report_now();
    assert_eq!(
        (report.ended_instances, report.instance),
        (vec![WORKER.to_owned()], None)
    );
}

#[test]
fn the_hold_of_a_predecessor_counts_for_a_silent_worker() {
    let mut bench = Bench::fresh();
    bench.agent.link_up();
    bench.beat();
    let lapses_ms = bench.agent.next_tick_ms().expect("a report is due");
    assert!(lapses_ms <= bench.now_ms);
    bench.report_now();
    bench.now_ms = START_MS + RUN_LEASE_MS;
    let report = bench.agent.tick(bench.now_ms).expect("due");
    assert!(report.ended_instances.is_empty() && report.instance.is_some());
}

#[test]
fn heartbeats_without_hold_keep_a_worker_from_being_gone() {
    let mut bench = Bench::fresh();
    bench.agent.link_up();
    for _ in 0..100 {
        bench.beat();
        bench.agent.tick(bench.now_ms);
    }
    bench.pass(300);
    let report = bench.report_now();
    assert!(report.ended_instances.is_empty() && report.instance.is_some());
}

#[test]
fn a_life_that_comes_back_is_told_again_and_gets_no_start_from_before() {
    let mut bench = Bench::settled();
    bench.order_start(&[start(run(1), 100), start(run(2), 100)]);
    let reply = bench.beat();
    bench.obey(&reply);
    bench.end(run(2), RunEnd::Expired);
    bench.order_start(&[start(run(3), 100)]);
    bench.pass(SILENCE_MS);
    bench.agent.tick(bench.now_ms);
    bench.order_start(&[start(run(4), 100)]);
    let reply = bench.beat();
    assert_eq!((reply.lease_ms, reply.start.len()), (None, 0));
    bench.order_start(&[start(run(5), 100)]);
    let report = bench.report_now();
    assert!(report.ended_instances.is_empty());
    assert_eq!(
        report.instance.expect("back").running.expect("all")[0].run,
        run(1)
    );
    assert_eq!(report.not_started, [run(4), run(5)]);
    bench.echo(report.sent_ms);
    bench.order_start(&[start(run(6), 100)]);
    let reply = bench.beat();
    assert_eq!(
        (reply.lease_ms, Bench::started(&reply)),
        (Some(RUN_LEASE_MS), vec![run(6).task.to_string()])
    );
}

#[test]
fn starts_in_flight_at_a_silence_are_stopped_when_the_life_comes_back() {
    let mut bench = Bench::settled();
    bench.order_start(&[start(run(1), 100)]);
    bench.beat();
    bench.pass(SILENCE_MS);
    bench.agent.tick(bench.now_ms);
    let reply = bench.beat();
    assert_eq!((reply.start.len(), reply.stop.len()), (0, 1));
    bench.beat();
    assert_eq!(bench.report_now().not_started, [run(1)]);
}

#[test]
fn a_life_that_only_the_head_knows_is_gone_after_the_longest_hold() {
    let mut bench = Bench::fresh();
    bench.agent.link_up();
    bench.report_now();
    bench.orders(AgentOrders {
        instance: "i-0".to_owned(),
        ..bench.no_orders()
    });
    bench.now_ms = expires_by_ms(START_MS, RUN_LEASE_MS) - 21;
    assert!(bench.report_now().ended_instances.is_empty());
    assert_eq!(bench.report_now().ended_instances, ["i-0"]);
}

#[test]
fn a_worker_is_asked_to_call_more_often_while_it_is_busy() {
    let mut bench = Bench::settled();
    bench.pass(ORDERED_LATELY_MS);
    assert_eq!(bench.beat().retry_delay_ms, Some(IDLE_BEAT_MS));
    bench.running.push(run(1));
    assert_eq!(bench.beat().retry_delay_ms, Some(BUSY_BEAT_MS));
}

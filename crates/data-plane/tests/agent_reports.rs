//! The companion tells the head what matters at once, the rest now and then, and everything on a new connection.

mod common;

use common::{Bench, WORKER, run, start};
use indigofold_data_plane::agent::{REPORT_INTERVAL_MS, REPORT_SPACING_MS};
use indigofold_protocol::worker::{RunEnd, WorkerState};

#[test]
fn nothing_is_told_without_a_connection() {
    let mut bench = Bench::fresh();
    bench.beat();
    assert_eq!(bench.report(), None);
    bench.agent.link_up();
    assert!(bench.report().is_some());
}

#[test]
fn a_report_comes_at_least_every_interval() {
    let mut bench = Bench::settled();
    let sent_ms = bench.now_ms;
    assert_eq!(
        bench.agent.next_tick_ms(),
        Some(sent_ms + REPORT_INTERVAL_MS)
    );
    bench.now_ms = sent_ms + REPORT_INTERVAL_MS - 1;
    assert_eq!(bench.agent.tick(bench.now_ms), None);
    bench.pass(1);
    assert!(bench.agent.tick(bench.now_ms).is_some());
}

#[test]
fn reports_of_changes_are_coalesced() {
    let mut bench = Bench::settled();
    bench.running.push(run(1));
    bench.beat();
    assert!(bench.agent.tick(bench.now_ms).is_some());
    bench.running.push(run(2));
    bench.seq_no += 1;
    let beat = bench.heartbeat();
    assert!(bench.agent.hear(bench.now_ms + 1, WORKER, beat).is_some());
    assert_eq!(bench.agent.tick(bench.now_ms + 1), None);
    assert_eq!(
        bench.agent.next_tick_ms(),
        Some(bench.now_ms + REPORT_SPACING_MS)
    );
}

#[test]
fn an_unchanged_heartbeat_is_no_news() {
    let mut bench = Bench::settled();
    bench.beat();
    assert_eq!(bench.report(), None);
}

#[test]
fn changes_are_told_at_once() {
    let mut bench = Bench::settled();
    bench.running.push(run(1));
    bench.beat();
    assert!(bench.report().is_some(), "a run appeared");
    bench.end(run(1), RunEnd::Done);
    bench.beat();
    assert!(bench.report().is_some(), "a run ended");
    bench.order_start(&[start(run(2), 100)]);
    bench.beat();
    assert!(bench.report().is_some(), "a start is in flight");
    bench.state = WorkerState::Draining;
    bench.beat();
    assert!(bench.report().is_some(), "the worker drains");
}

#[test]
fn unchanged_lists_are_told_once_on_each_connection() {
    let mut bench = Bench::settled();
    bench.running.push(run(1));
    bench.beat();
    assert!(
        bench
            .report_now()
            .instance
            .expect("registered")
            .running
            .is_some()
    );
    bench.pass(REPORT_INTERVAL_MS);
    assert_eq!(
        bench.report_now().instance.expect("registered").running,
        None
    );
    bench.agent.link_down();
    bench.agent.link_up();
    assert_eq!(
        bench
            .report_now()
            .instance
            .expect("registered")
            .running
            .expect("all")
            .len(),
        1
    );
}

#[test]
fn lives_gone_and_starts_given_back_are_told_once_on_each_connection() {
    let mut bench = Bench::settled();
    bench.order_start(&[start(run(1), 100)]);
    bench.order_stop(&[run(1)]);
    bench.agent.delete(WORKER);
    let report = bench.report_now();
    assert_eq!(
        (report.ended_instances, report.not_started),
        (vec![WORKER.to_owned()], vec![run(1)])
    );
    bench.pass(REPORT_INTERVAL_MS);
    let report = bench.report_now();
    assert!(report.ended_instances.is_empty() && report.not_started.is_empty());
    bench.agent.link_down();
    bench.agent.link_up();
    let report = bench.report_now();
    assert_eq!(
        (report.ended_instances, report.not_started),
        (vec![WORKER.to_owned()], vec![run(1)])
    );
}

//! The answer to a heartbeat waits for orders that are expected, and carries what came in meanwhile.

mod common;

use common::{Bench, WORKER, run, start};
use indigofold_data_plane::agent::{BeatOutcome, Heard};
use indigofold_protocol::worker::{HeartbeatReply, RunEnd};

/// A worker at work on one run.
fn at_work() -> Bench {
    let mut bench = Bench::settled();
    bench.order_start(&[start(run(1), 1_000)]);
    let reply = bench.beat();
    bench.obey(&reply);
    bench.beat();
    bench
}

fn hear(bench: &mut Bench) -> Heard {
    bench.seq_no += 1;
    let beat = bench.heartbeat();
    bench
        .agent
        .hear(bench.now_ms, WORKER, beat)
        .expect("the heartbeat is the newest")
}

fn answer(bench: &mut Bench, heard: Heard) -> HeartbeatReply {
    match bench.agent.answer(bench.now_ms, WORKER, heard.seq_no) {
        BeatOutcome::Answered(reply) => reply,
        BeatOutcome::Late => panic!("the heartbeat is the newest"),
    }
}

#[test]
fn orders_are_expected_once_after_each_end() {
    let mut bench = at_work();
    assert!(!hear(&mut bench).expects_orders);
    bench.end(run(1), RunEnd::Done);
    assert!(hear(&mut bench).expects_orders);
    assert!(!hear(&mut bench).expects_orders);
}

#[test]
fn without_a_head_no_orders_are_expected() {
    let mut bench = at_work();
    bench.end(run(1), RunEnd::Done);
    bench.agent.link_down();
    assert!(!hear(&mut bench).expects_orders);
}

/// The room of a run that has ended is used by the very answer to the heartbeat that lists its end.
#[test]
fn orders_that_come_meanwhile_are_in_the_answer() {
    let mut bench = at_work();
    bench.end(run(1), RunEnd::Done);
    let heard = hear(&mut bench);
    bench.report_and_echo();
    bench.order_start(&[start(run(2), 1_000)]);
    let reply = answer(&mut bench, heard);
    assert_eq!(Bench::started(&reply), vec![run(2).task.to_string()]);
}

/// The worker has given up waiting and sent another heartbeat: its answer alone starts anything.
#[test]
fn an_overtaken_heartbeat_is_given_nothing() {
    let mut bench = at_work();
    bench.end(run(1), RunEnd::Done);
    let overtaken = hear(&mut bench);
    let newest = hear(&mut bench);
    bench.order_start(&[start(run(2), 1_000)]);
    assert_eq!(
        bench.agent.answer(bench.now_ms, WORKER, overtaken.seq_no),
        BeatOutcome::Late
    );
    assert_eq!(
        Bench::started(&answer(&mut bench, newest)),
        vec![run(2).task.to_string()]
    );
}

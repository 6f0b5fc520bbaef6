//! The stand-in worker of the quick start.

use indigofold_ctl::quickstart::{StandIn, WorkerLimits};
use indigofold_protocol::worker::{HeartbeatReply, RunEnd, Start, Stop};

const TASK: &str = "00000000000000f1.0.0.0";

fn worker() -> StandIn {
    let mut worker = StandIn::new("127.0.0.1:1".to_owned(), WorkerLimits::default());
    worker
        .advance(0)
        .expect("the first heartbeat is due at once");
    worker
}

fn orders(lease_ms: u64) -> HeartbeatReply {
    HeartbeatReply {
        lease_ms: Some(lease_ms),
        fencing_token: Some(3),
        ..HeartbeatReply::default()
    }
}

fn start() -> Vec<Start> {
    vec![Start {
        task: TASK.to_owned(),
        attempt: 1,
        spec: "300".to_owned(),
        checkpoint: String::new(),
    }]
}

#[test]
fn a_task_runs_for_its_time_and_is_told_until_acknowledged() {
    let mut worker = worker();
    worker.answered(
        0,
        10,
        HeartbeatReply {
            start: start(),
            retry_delay_ms: Some(20),
            ..orders(4_000)
        },
    );
    let beat = worker.advance(30).expect("a heartbeat");
    assert_eq!(
        (
            beat.running[0].task.as_str(),
            beat.running[0].attempt,
            beat.finished.len()
        ),
        (TASK, 1, 0)
    );
    worker.answered(
        30,
        31,
        HeartbeatReply {
            retry_delay_ms: Some(1_000),
            ..orders(4_000)
        },
    );
    assert_eq!(worker.next_due_ms(), 310);
    assert!(worker.advance(310).is_none());
    let beat = worker
        .advance(worker.next_due_ms())
        .expect("a heartbeat soon after the end");
    assert_eq!(
        (
            beat.running.len(),
            beat.finished[0].number,
            beat.finished[0].end
        ),
        (0, 1, RunEnd::Done)
    );
    worker.answered(
        360,
        361,
        HeartbeatReply {
            acknowledged_end: Some(1),
            ..orders(4_000)
        },
    );
    assert!(
        worker
            .advance(worker.next_due_ms())
            .expect("a heartbeat")
            .finished
            .is_empty()
    );
}

#[test]
fn what_is_not_held_lapses() {
    let mut worker = worker();
    worker.answered(
        0,
        10,
        HeartbeatReply {
            start: start(),
            ..orders(200)
        },
    );
    assert!(worker.advance(200).is_none());
    let beat = worker.advance(worker.next_due_ms()).expect("a heartbeat");
    assert_eq!(beat.finished[0].end, RunEnd::Expired);
}

#[test]
fn a_stop_ends_the_run() {
    let mut worker = worker();
    worker.answered(
        0,
        10,
        HeartbeatReply {
            start: start(),
            ..orders(4_000)
        },
    );
    worker.answered(
        0,
        20,
        HeartbeatReply {
            stop: vec![Stop {
                task: TASK.to_owned(),
                attempt: 1,
            }],
            ..orders(4_000)
        },
    );
    assert_eq!(
        worker.advance(70).expect("a heartbeat").finished[0].end,
        RunEnd::Stopped
    );
}

#[test]
fn orders_of_an_older_head_and_those_without_a_hold_start_nothing() {
    let mut worker = worker();
    worker.answered(0, 1, orders(4_000));
    worker.answered(
        0,
        2,
        HeartbeatReply {
            start: start(),
            fencing_token: Some(2),
            ..orders(4_000)
        },
    );
    worker.answered(
        0,
        3,
        HeartbeatReply {
            start: start(),
            fencing_token: Some(3),
            ..HeartbeatReply::default()
        },
    );
    assert!(
        worker
            .advance(1_000)
            .expect("a heartbeat")
            .running
            .is_empty()
    );
}

#[test]
fn the_same_start_again_starts_nothing() {
    let mut worker = worker();
    worker.answered(
        0,
        10,
        HeartbeatReply {
            start: start(),
            ..orders(4_000)
        },
    );
    worker.answered(
        0,
        20,
        HeartbeatReply {
            start: start(),
            ..orders(4_000)
        },
    );
    assert_eq!(worker.advance(520).expect("a heartbeat").finished.len(), 1);
    worker.answered(
        520,
        530,
        HeartbeatReply {
            start: start(),
            ..orders(4_000)
        },
    );
    assert!(
        worker
            .advance(worker.next_due_ms())
            .expect("a heartbeat")
            .running
            .is_empty()
    );
}

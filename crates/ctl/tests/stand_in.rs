//! Tests of the stand-in worker of `quickstart`.

use indigofold_ctl::quickstart::{StandInWorker, WorkerLimits};
use indigofold_protocol::worker::{HeartbeatReply, RunEnd, Start, Stop};

const TASK: &str = "00000000000000f1.0.0.0";

fn worker() -> StandInWorker {
    let mut worker = StandInWorker::new("127.0.0.1:1".to_owned(), WorkerLimits::default());
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

fn start_orders(lease_ms: u64) -> HeartbeatReply {
    HeartbeatReply {
        start: start(),
        ..orders(lease_ms)
    }
}

#[test]
fn a_task_runs_for_its_time_and_its_end_is_reported_until_acknowledged() {
    let mut worker = worker();
    let reply = HeartbeatReply {
        retry_delay_ms: Some(20),
        ..start_orders(4_000)
    };
    worker.handle_reply(0, 10, reply);
    let heartbeat = worker.advance(30).expect("a heartbeat is due");
    let run = &heartbeat.running[0];
    assert_eq!((run.task.as_str(), run.attempt), (TASK, 1));
    assert!(heartbeat.finished.is_empty());
    let reply = HeartbeatReply {
        retry_delay_ms: Some(1_000),
        ..orders(4_000)
    };
    worker.handle_reply(30, 31, reply);
    assert_eq!(worker.next_due_ms(), 310);
    assert!(worker.advance(310).is_none());
    let heartbeat = worker
        .advance(worker.next_due_ms())
        .expect("a heartbeat is due soon after the run ends");
    assert!(heartbeat.running.is_empty());
    let end = &heartbeat.finished[0];
    assert_eq!((end.number, end.end), (1, RunEnd::Done));
    let reply = HeartbeatReply {
        acknowledged_end: Some(1),
        ..orders(4_000)
    };
    worker.handle_reply(360, 361, reply);
    assert!(
        worker
            .advance(worker.next_due_ms())
            .expect("a heartbeat is due")
            .finished
            .is_empty()
    );
}

#[test]
fn runs_expire_with_their_lease() {
    let mut worker = worker();
    worker.handle_reply(0, 10, start_orders(200));
    assert!(worker.advance(200).is_none());
    let heartbeat = worker
        .advance(worker.next_due_ms())
        .expect("a heartbeat is due");
    assert_eq!(heartbeat.finished[0].end, RunEnd::Expired);
}

#[test]
fn a_stop_order_ends_the_run() {
    let mut worker = worker();
    worker.handle_reply(0, 10, start_orders(4_000));
    let reply = HeartbeatReply {
        stop: vec![Stop {
            task: TASK.to_owned(),
            attempt: 1,
        }],
        ..orders(4_000)
    };
    worker.handle_reply(0, 20, reply);
    assert_eq!(
        worker.advance(70).expect("a heartbeat is due").finished[0].end,
        RunEnd::Stopped
    );
}

#[test]
fn orders_with_an_old_fencing_token_or_without_a_lease_start_nothing() {
    let mut worker = worker();
    worker.handle_reply(0, 1, orders(4_000));
    let reply = HeartbeatReply {
        fencing_token: Some(2),
        ..start_orders(4_000)
    };
    worker.handle_reply(0, 2, reply);
    let reply = HeartbeatReply {
        start: start(),
        fencing_token: Some(3),
        ..HeartbeatReply::default()
    };
    worker.handle_reply(0, 3, reply);
    assert!(
        worker
            .advance(1_000)
            .expect("a heartbeat is due")
            .running
            .is_empty()
    );
}

#[test]
fn a_duplicate_start_starts_nothing() {
    let mut worker = worker();
    worker.handle_reply(0, 10, start_orders(4_000));
    worker.handle_reply(0, 20, start_orders(4_000));
    assert_eq!(
        worker
            .advance(520)
            .expect("a heartbeat is due")
            .finished
            .len(),
        1
    );
    worker.handle_reply(520, 530, start_orders(4_000));
    assert!(
        worker
            .advance(worker.next_due_ms())
            .expect("a heartbeat is due")
            .running
            .is_empty()
    );
}

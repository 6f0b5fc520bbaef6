//! Tests of encoding and decoding frames.

mod frames;

use frames::any_frame;
use indigofold_protocol::codec::{
    CodecError, FRAME_BYTES_MAX, LENGTH_BYTES, decode, encode, missing_bytes,
};
use indigofold_protocol::internal::{
    AgentOrders, AgentReport, ClientCall, ClientOperation, Frame, InstanceReport,
};
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::{JobId, RunId, TaskName};
use indigofold_protocol::worker::WorkerState;
use proptest::prelude::*;
use rstest::rstest;

/// Returns a short frame.
fn call() -> Frame {
    let operation = ClientOperation::Get;
    Frame::Call(ClientCall {
        call: 7,
        host: "ficu95.example".to_owned(),
        path: "/a/1".to_owned(),
        operation,
    })
}

proptest! {
    #[test]
    fn every_frame_is_decoded_unchanged(frame in any_frame()) {
        let bytes = encode(&frame);
        let (decoded, length) = decode(&bytes).expect("a valid frame").expect("a complete frame");
        prop_assert_eq!(decoded, frame);
        prop_assert_eq!(length, bytes.len());
    }

    #[test]
    fn random_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes);
        let mut framed = (bytes.len() as u32).to_be_bytes().to_vec();
        framed.extend_from_slice(&bytes);
        let _ = decode(&framed);
    }

    #[test]
    fn damaged_frames_do_not_panic(
        frame in any_frame(),
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
    ) {
        let mut bytes = encode(&frame);
        for (position, value) in damage {
            let position = LENGTH_BYTES + position.index(bytes.len() - LENGTH_BYTES);
            bytes[position] = value;
        }
        let _ = decode(&bytes);
    }
}

#[test]
fn a_truncated_frame_is_incomplete_with_the_missing_bytes_counted() {
    let bytes = encode(&call());
    for length in 0..bytes.len() {
        let truncated = &bytes[..length];
        assert!(
            decode(truncated)
                .expect("a truncated frame is not an error")
                .is_none()
        );
        let expected = if length < LENGTH_BYTES {
            LENGTH_BYTES - length
        } else {
            bytes.len() - length
        };
        assert_eq!(missing_bytes(truncated), expected);
    }
    assert_eq!(missing_bytes(&bytes), 0);
}

#[test]
fn consecutive_frames_are_separated() {
    let second = Frame::Replication(vec![1, 2, 3]);
    let bytes = [encode(&call()), encode(&second)].concat();
    let (first, length) = decode(&bytes)
        .expect("a valid frame")
        .expect("a complete frame");
    assert_eq!(first, call());
    assert_eq!(
        decode(&bytes[length..])
            .expect("a valid frame")
            .expect("a complete frame")
            .0,
        second
    );
}

#[test]
fn a_frame_of_a_megabyte_is_decoded_unchanged() {
    let frame = Frame::Replication((0..1 << 20).map(|i| i as u8).collect());
    assert_eq!(
        decode(&encode(&frame))
            .expect("a valid frame")
            .expect("a complete frame")
            .0,
        frame
    );
}

#[rstest]
#[case::one_too_many(FRAME_BYTES_MAX as u32 + 1)]
#[case::largest(u32::MAX)]
fn a_length_above_the_limit_is_rejected_immediately(#[case] length: u32) {
    let head = length.to_be_bytes();
    assert!(matches!(decode(&head), Err(CodecError::TooLong { .. })));
    assert_eq!(missing_bytes(&head), 0);
}

/// A report as a build without numbers of updates encodes it.
const REPORT_WITHOUT_NUMBERS: &str = concat!(
    "0000012000000000230000000000000001000100040000000000000000000000010003002a0000000000000008000000",
    "040008005d0000000e000000610000001f00000000000000000000000000000000000000000000000000000003000000",
    "000000001d000000220000001d000000120000001d000000120000001c00000003000000250000000e00000000000000",
    "0000000025000000070000002500000007000000692d32000000000073000000000000006100000000000000e8030000",
    "000000000a00000000000000000000000000000001000000120000007800000000000000000000000200020000000000",
    "030000000100000022000000692d31000000000004000000030000000700000000000000000000000000000001000000",
    "01000000",
);
/// Orders as a build without acknowledgements of updates encodes them.
const ORDERS_WITHOUT_ACKNOWLEDGEMENT: &str = concat!(
    "000000880000000010000000000000000100010005000000000000000000000004000300030000000000000001000100",
    "000000002a00000000000000050000000000000009000000220000000900000007000000090000001f000000692d3200",
    "0000000000000000000004000400000003000000070000000000000000000000000000000200000001000000",
);

/// Length of a report with an instance and nothing else, as encoded by the build without numbers.
const REPORT_AT_REST_BYTES: usize = 252;
/// Length of orders with an acknowledged end and nothing else, as encoded by the build without acknowledgements.
const ORDERS_AT_REST_BYTES: usize = 116;

fn decode_hex(hex: &str) -> Frame {
    let bytes: Vec<u8> = (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("a hexadecimal byte"))
        .collect();
    let (frame, length) = decode(&bytes)
        .expect("a valid frame")
        .expect("a complete frame");
    assert_eq!(length, bytes.len());
    frame
}

/// The first attempt of a task of job 7.
fn first_attempt(index: u32) -> RunId {
    let task = TaskName {
        job: JobId(7),
        repeat: 0,
        step: 0,
        index,
    };
    RunId { task, attempt: 1 }
}

#[test]
fn a_report_of_a_build_without_numbers_is_decoded() {
    let expected = AgentReport {
        sent_ms: 42,
        instance: Some(InstanceReport {
            id: "i-2".to_owned(),
            backend: "s".to_owned(),
            zone: "a".to_owned(),
            state: WorkerState::Ready,
            remaining_ms: None,
            warmup_remaining_ms: 0,
            capacity: Resources {
                cpu: 1_000,
                mem_mb: 10,
                gpu: 0,
            },
            labels: vec!["x".to_owned()],
            since_heartbeat_ms: 3,
            running: None,
            finished: Vec::new(),
            in_flight: Vec::new(),
        }),
        ended_instances: vec!["i-1".to_owned()],
        not_started: vec![first_attempt(1)],
        newest_update: 0,
    };
    assert!(expected.has_unnumbered_updates());
    assert_eq!(decode_hex(REPORT_WITHOUT_NUMBERS), Frame::Report(expected));
}

#[test]
fn orders_of_a_build_without_acknowledgements_are_decoded() {
    let expected = AgentOrders {
        epoch: 3,
        echo_sent_ms: Some(42),
        instance: "i-2".to_owned(),
        start: Vec::new(),
        stop: vec![first_attempt(2)],
        acknowledged_end: Some(5),
        acknowledged_update: None,
    };
    let decoded = decode_hex(ORDERS_WITHOUT_ACKNOWLEDGEMENT);
    assert_eq!(decoded, Frame::Orders(expected));
}

/// Failure: the numbers of updates made each report and each answer of a fleet at rest longer.
#[test]
fn frames_at_rest_are_no_longer_than_without_numbers_of_updates() {
    let Frame::Report(report) = decode_hex(REPORT_WITHOUT_NUMBERS) else {
        panic!("expected a report");
    };
    let Frame::Orders(orders) = decode_hex(ORDERS_WITHOUT_ACKNOWLEDGEMENT) else {
        panic!("expected orders");
    };
    let report_at_rest = AgentReport {
        ended_instances: Vec::new(),
        not_started: Vec::new(),
        ..report
    };
    let orders_at_rest = AgentOrders {
        stop: Vec::new(),
        acknowledged_update: Some(9),
        ..orders
    };
    assert!(encode(&Frame::Report(report_at_rest)).len() <= REPORT_AT_REST_BYTES);
    assert!(encode(&Frame::Orders(orders_at_rest)).len() <= ORDERS_AT_REST_BYTES);
}

//! Tests of encoding and decoding frames.

mod frames;

use frames::any_frame;
use indigofold_protocol::codec::{
    CodecError, FRAME_BYTES_MAX, LENGTH_BYTES, decode, encode, missing_bytes,
};
use indigofold_protocol::internal::{ClientCall, ClientOperation, Frame};
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

//! Tests of framed connections over loopback sockets.

use indigofold_net::framed::{self, Connection, FrameListener};
use indigofold_net::{NetError, runtime};
use indigofold_protocol::codec::{self, LENGTH_BYTES};
use indigofold_protocol::internal::Frame;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time limit for a connection on loopback, reached only if the test fails.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the loopback address with port 0, which selects a free port.
fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a frame with a payload of `bytes` bytes, the first of which is `tag`.
fn frame(tag: u8, bytes: usize) -> Frame {
    let mut payload = vec![0; bytes.max(1)];
    payload[0] = tag;
    Frame::Replication(payload)
}

/// Opens a connection and returns both ends and the listener.
async fn pair() -> (Connection, Connection, FrameListener) {
    let listener = framed::listen(loopback())
        .await
        .expect("a listener opens on loopback");
    let dialled = framed::connect(listener.local_address(), TIMEOUT)
        .await
        .expect("the listener accepts the connection");
    let accepted = listener
        .accept()
        .await
        .expect("the connection was established");
    (dialled, accepted, listener)
}

#[test]
fn frames_arrive_complete_and_in_order() {
    runtime::run(async {
        let (dialled, mut accepted, _listener) = pair().await;
        let frames: Vec<Frame> = [1, 10, 9_000, 300_000, 3]
            .iter()
            .enumerate()
            .map(|(i, bytes)| frame(i as u8, *bytes))
            .collect();
        for frame in &frames {
            dialled.sender.send(frame).expect("the connection is open");
        }
        for frame in &frames {
            assert_eq!(
                accepted
                    .reader
                    .next()
                    .await
                    .expect("a valid frame")
                    .as_ref(),
                Some(frame)
            );
        }
    })
    .expect("the runtime starts");
}

#[test]
fn both_directions_are_independent() {
    runtime::run(async {
        let (mut dialled, mut accepted, _listener) = pair().await;
        for tag in 0..100 {
            dialled
                .sender
                .send(&frame(tag, 100))
                .expect("the connection is open");
            assert_eq!(
                accepted.reader.next().await.expect("a valid frame"),
                Some(frame(tag, 100))
            );
            accepted
                .sender
                .send(&frame(tag, 50))
                .expect("the connection is open");
            assert_eq!(
                dialled.reader.next().await.expect("a valid frame"),
                Some(frame(tag, 50))
            );
        }
    })
    .expect("the runtime starts");
}

#[test]
fn queued_frames_are_delivered_after_all_senders_are_dropped() {
    runtime::run(async {
        let (dialled, mut accepted, _listener) = pair().await;
        let Connection {
            sender,
            reader: _reader,
            ..
        } = dialled;
        let clone = sender.clone();
        sender
            .send(&frame(1, 200_000))
            .expect("the connection is open");
        drop(sender);
        clone
            .send(&frame(2, 10))
            .expect("a clone keeps the connection open");
        drop(clone);
        assert_eq!(
            accepted.reader.next().await.expect("a valid frame"),
            Some(frame(1, 200_000))
        );
        assert_eq!(
            accepted.reader.next().await.expect("a valid frame"),
            Some(frame(2, 10))
        );
        assert_eq!(
            accepted
                .reader
                .next()
                .await
                .expect("the connection ends without an error"),
            None
        );
    })
    .expect("the runtime starts");
}

#[test]
fn closing_wakes_the_local_reader_and_ends_the_peers() {
    runtime::run(async {
        let (mut dialled, mut accepted, _listener) = pair().await;
        let sender = dialled.sender.clone();
        let waiting = runtime::spawn_scoped(async move { dialled.reader.next().await });
        let closing = runtime::spawn_scoped(async move { sender.close() });
        closing.await.expect("closing does not fail");
        assert_eq!(
            waiting
                .await
                .expect("the task does not panic")
                .expect("the connection ends without an error"),
            None
        );
        assert_eq!(
            accepted
                .reader
                .next()
                .await
                .expect("the connection ends without an error"),
            None
        );
        assert!(accepted.sender.is_closed());
        assert!(accepted.sender.send(&frame(0, 1)).is_err());
    })
    .expect("the runtime starts");
}

#[rstest]
#[case::length_above_the_limit(&[0xff; 64], "sent an invalid frame")]
#[case::truncated(&[0, 0, 0, 9, 1], "closed the connection within a frame")]
fn invalid_bytes_are_an_error(#[case] bytes: &'static [u8], #[case] expected: &'static str) {
    runtime::run(async move {
        let listener = framed::listen(loopback())
            .await
            .expect("a listener opens on loopback");
        let mut client = TcpStream::connect(listener.local_address())
            .expect("the listener accepts the connection");
        client.write_all(bytes).expect("the connection is open");
        drop(client);
        let mut accepted = listener
            .accept()
            .await
            .expect("the connection was established");
        let error = accepted
            .reader
            .next()
            .await
            .expect_err("the bytes are not a frame");
        assert!(error.to_string().contains(expected), "{error}");
    })
    .expect("the runtime starts");
}

#[test]
fn frames_queued_together_leave_in_one_segment() {
    runtime::run(async {
        let listener = framed::listen(loopback())
            .await
            .expect("a listener opens on loopback");
        let mut peer = TcpStream::connect(listener.local_address())
            .expect("the listener accepts the connection");
        let accepted = listener
            .accept()
            .await
            .expect("the connection was established");
        let sent: Vec<Frame> = (0..20).map(|i| frame(i, 20)).collect();
        for frame in &sent {
            accepted.sender.send(frame).expect("the connection is open");
        }
        let expected: usize = sent.iter().map(|frame| codec::encode(frame).len()).sum();
        assert_eq!(accepted.sender.queued_bytes(), expected);
        // The blocking read hangs forever unless the writing task has run before it: the queue is written when the main
        // task yields.
        let read = runtime::spawn_scoped(async move {
            let mut bytes = vec![0; expected + LENGTH_BYTES];
            (peer.read(&mut bytes).expect("the connection is open"), peer)
        });
        let (received, _peer) = read.await.expect("the task does not panic");
        assert_eq!(received, expected);
    })
    .expect("the runtime starts");
}

#[test]
fn a_refused_connection_is_an_error_with_the_address() {
    runtime::run(async {
        let address = framed::listen(loopback())
            .await
            .expect("a listener opens on loopback")
            .local_address();
        let error = framed::connect(address, TIMEOUT)
            .await
            .expect_err("the listener is closed");
        assert!(
            matches!(error, NetError::Connect { address: named, .. } if named == address),
            "{error}"
        );
    })
    .expect("the runtime starts");
}

#[test]
fn a_released_address_can_be_bound_immediately() {
    runtime::run(async {
        let (dialled, accepted, listener) = pair().await;
        let address = listener.local_address();
        drop((listener, accepted, dialled));
        assert_eq!(
            framed::listen(address)
                .await
                .expect("the address is free")
                .local_address(),
            address
        );
    })
    .expect("the runtime starts");
}

//! Tests of which members are dialled, and when failed dials are retried.

use indigofold_control_plane::peers::Peers;
use indigofold_control_plane::sessions::ConnectionId;
use rstest::rstest;
use std::collections::BTreeSet;
use std::net::SocketAddr;

const NOW_MS: u64 = 1_000_000;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7380))
}

fn peers_with(last_bytes: &[u8]) -> Peers {
    let mut peers = Peers::new(7);
    assert!(
        peers
            .set_addresses(NOW_MS, last_bytes.iter().copied().map(address).collect())
            .is_empty()
    );
    peers
}

#[test]
fn each_peer_is_dialled_once() {
    let mut peers = peers_with(&[1, 2]);
    assert_eq!(peers.next_due_ms(), NOW_MS);
    assert_eq!(peers.poll_dials(NOW_MS), [address(1), address(2)]);
    assert!(peers.poll_dials(NOW_MS).is_empty());
    assert_eq!(peers.next_due_ms(), u64::MAX);
}

#[rstest]
#[case::after_the_first_failure(1, 100)]
#[case::after_the_third(3, 400)]
#[case::after_many(40, 800)]
fn failed_dials_are_retried_with_backoff_and_jitter(
    #[case] failures: u32,
    #[case] longest_ms: u64,
) {
    let mut peers = peers_with(&[1]);
    let mut now_ms = NOW_MS;
    for _ in 0..failures {
        now_ms = peers.next_due_ms();
        assert_eq!(peers.poll_dials(now_ms), [address(1)]);
        peers.dial_failed(now_ms, address(1));
    }
    let wait_ms = peers.next_due_ms() - now_ms;
    assert!(
        (longest_ms / 2..=longest_ms).contains(&wait_ms),
        "{wait_ms}"
    );
}

#[test]
fn closed_connection_is_dialled_anew() {
    let mut peers = peers_with(&[1]);
    peers.poll_dials(NOW_MS);
    assert!(peers.dial_succeeded(address(1), ConnectionId(4)));
    assert_eq!(peers.connection(address(1)), Some(ConnectionId(4)));
    assert_eq!(peers.connection_closed(NOW_MS, ConnectionId(9)), None);
    assert_eq!(
        peers.connection_closed(NOW_MS, ConnectionId(4)),
        Some(address(1))
    );
    assert_eq!(peers.connection(address(1)), None);
    assert!(peers.next_due_ms() <= NOW_MS + 100);
}

/// A dial to a machine that is down hangs until its timeout. A connection from the peer shows that the machine is up again, so
/// the peer is dialled without waiting for the timeout.
#[test]
fn connecting_peer_is_dialled_at_once() {
    let mut peers = peers_with(&[1, 2]);
    peers.poll_dials(NOW_MS);
    peers.peer_connected(NOW_MS + 5, address(1));
    peers.dial_failed(NOW_MS + 5, address(2));
    peers.peer_connected(NOW_MS + 6, address(2));
    assert_eq!(peers.poll_dials(NOW_MS + 6), [address(1), address(2)]);
    assert!(peers.dial_succeeded(address(1), ConnectionId(4)));
    assert!(
        !peers.dial_succeeded(address(1), ConnectionId(5)),
        "a second connection to the same peer is not needed"
    );
    peers.dial_failed(NOW_MS + 400, address(1));
    peers.peer_connected(NOW_MS + 400, address(1));
    assert_eq!(peers.connection(address(1)), Some(ConnectionId(4)));
    assert!(peers.poll_dials(NOW_MS + 400).is_empty());
}

#[test]
fn connection_of_a_removed_peer_is_closed() {
    let mut peers = peers_with(&[1, 2]);
    peers.poll_dials(NOW_MS);
    peers.dial_succeeded(address(1), ConnectionId(4));
    assert_eq!(
        peers.set_addresses(NOW_MS, BTreeSet::from([address(3)])),
        [ConnectionId(4)]
    );
    assert!(!peers.dial_succeeded(address(2), ConnectionId(5)));
    assert_eq!(peers.poll_dials(NOW_MS), [address(3)]);
}

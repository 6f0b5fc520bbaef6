//! The link to the core: finding the acting head, staying connected to it, and finding the next head.

use indigofold_data_plane::core_link::{
    BACKOFF_MAX_MS, CONNECT_TIMEOUT_MS, ConnectionId, CoreLink, GREETING_TIMEOUT_MS,
    HEAD_TIMEOUT_MS, Head, IDLE_PROBE_MS, LISTEN_MS, LinkAction, SEARCH_CONNECTIONS_MAX,
    SUSPICION_TIMEOUT_MS,
};
use indigofold_protocol::config::IngressLimits;
use indigofold_protocol::internal::{MemberAddress, Welcome};
use rstest::rstest;
use std::net::{IpAddr, SocketAddr};

const NOW_MS: u64 = 1_000_000;

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_000))
}

fn host(address: SocketAddr) -> u8 {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets()[3],
        IpAddr::V6(ip) => panic!("expected an IPv4 address, got {ip}"),
    }
}

fn member(host: u8) -> MemberAddress {
    MemberAddress {
        node_name: format!("core-{host}"),
        internal: address(host),
        control: address(host),
    }
}

fn welcome(view: u64, head: Option<u8>, acting: bool) -> Welcome {
    Welcome {
        view,
        head: head.map(member),
        members: (1..=4).map(member).collect(),
        acting,
        config_version: if acting { 9 } else { 0 },
        limits: IngressLimits::default(),
    }
}

fn link() -> CoreLink {
    CoreLink::new(&[address(1), address(2), address(3)], 11)
}

/// A connection that the link has asked the process to open.
#[derive(Clone, Copy, Debug)]
struct Dial {
    connection: ConnectionId,
    address: SocketAddr,
}

fn dialled(link: &mut CoreLink) -> Vec<Dial> {
    let dials = link
        .poll_actions()
        .into_iter()
        .filter_map(|action| match action {
            LinkAction::Dial {
                connection,
                address,
            } => Some(Dial {
                connection,
                address,
            }),
            _ => None,
        });
    dials.collect()
}

fn position(actions: &[LinkAction], action: &LinkAction) -> usize {
    let position = actions.iter().position(|other| other == action);
    position.expect("the link requested the action")
}

/// Returns a link attached to the head of view 5, its connection and the head's address.
fn attached() -> (CoreLink, ConnectionId, SocketAddr) {
    attach(link())
}

/// Like [`attached`], for a link that probes an idle head.
fn attached_probing() -> (CoreLink, ConnectionId, SocketAddr) {
    attach(link().with_idle_probing())
}

fn attach(mut link: CoreLink) -> (CoreLink, ConnectionId, SocketAddr) {
    link.handle_timeout(NOW_MS);
    let Dial {
        connection: id,
        address,
    } = dialled(&mut link)[0];
    link.handle_connected(NOW_MS, id);
    let head_host = host(address);
    link.handle_welcome(NOW_MS, id, &welcome(5, Some(head_host), true));
    assert!(link.poll_actions().contains(&LinkAction::Attached(id)));
    (link, id, address)
}

#[test]
fn seeds_are_dialled_and_unused_connections_closed_once_attached() {
    let mut link = link();
    link.handle_timeout(NOW_MS);
    let dials = dialled(&mut link);
    assert_eq!(dials.len(), SEARCH_CONNECTIONS_MAX);
    link.handle_connected(NOW_MS, dials[0].connection);
    link.handle_welcome(NOW_MS, dials[0].connection, &welcome(5, Some(1), true));
    assert_eq!(
        link.poll_actions(),
        [
            LinkAction::Attached(dials[0].connection),
            LinkAction::Close(dials[1].connection)
        ]
    );
    assert_eq!(
        (link.config_version(), link.next_timeout_ms(NOW_MS)),
        (9, None)
    );
}

#[test]
fn a_head_named_by_another_member_is_dialled() {
    let mut link = link();
    link.handle_timeout(NOW_MS);
    let first_dial = dialled(&mut link)[0];
    link.handle_connected(NOW_MS, first_dial.connection);
    link.handle_welcome(NOW_MS, first_dial.connection, &welcome(5, Some(4), false));
    let dials = dialled(&mut link);
    assert_eq!(
        dials.iter().map(|dial| dial.address).collect::<Vec<_>>(),
        [address(4)]
    );
    link.handle_connected(NOW_MS, dials[0].connection);
    link.handle_welcome(NOW_MS, dials[0].connection, &welcome(5, Some(4), true));
    assert_eq!(
        link.head(),
        Some(Head {
            address: address(4),
            view: 5
        })
    );
}

#[test]
fn a_failed_address_backs_off_while_others_are_dialled() {
    let mut link = link();
    link.handle_timeout(NOW_MS);
    let dials = dialled(&mut link);
    link.handle_disconnected(NOW_MS, dials[0].connection);
    let next = dialled(&mut link);
    assert_eq!(next.len(), 1);
    assert!(dials.iter().all(|dial| dial.address != next[0].address));
    link.handle_disconnected(NOW_MS, next[0].connection);
    link.handle_disconnected(NOW_MS, dials[1].connection);
    assert!(dialled(&mut link).is_empty());
    let wake_ms = link.next_timeout_ms(NOW_MS).expect("another dial is due");
    assert!(wake_ms > NOW_MS && wake_ms <= NOW_MS + BACKOFF_MAX_MS);
    link.handle_timeout(wake_ms);
    assert!(!dialled(&mut link).is_empty());
}

/// Processes that restart together at first fail to connect to each other. Once a member names the head, its backoff
/// must not delay the connection.
#[test]
fn the_head_of_a_new_view_is_dialled_regardless_of_its_backoff() {
    let mut link = link();
    link.handle_timeout(NOW_MS);
    let dials = dialled(&mut link);
    let Dial {
        connection: failed,
        address: failed_address,
    } = dials[0];
    link.handle_disconnected(NOW_MS, failed);
    let other_dials = dialled(&mut link);
    assert!(
        other_dials
            .iter()
            .all(|dial| dial.address != failed_address)
    );
    let head_host = host(failed_address);
    link.handle_connected(NOW_MS, dials[1].connection);
    link.handle_welcome(
        NOW_MS + 1,
        dials[1].connection,
        &welcome(6, Some(head_host), false),
    );
    assert_eq!(
        dialled(&mut link).first().map(|dial| dial.address),
        Some(failed_address)
    );
}

/// A connection attempt that began while the head's machine had no power hangs. When a member names the head of a new
/// view, the machine is up, so the attempt is replaced.
#[test]
fn a_hanging_dial_is_restarted_once_the_head_is_named() {
    let mut link = link();
    link.handle_timeout(NOW_MS);
    let dials = dialled(&mut link);
    let Dial {
        connection: hanging,
        address,
    } = dials[0];
    let head_host = host(address);
    link.handle_connected(NOW_MS, dials[1].connection);
    link.handle_welcome(
        NOW_MS + 1,
        dials[1].connection,
        &welcome(6, Some(head_host), false),
    );
    let actions = link.poll_actions();
    assert_eq!(actions.first(), Some(&LinkAction::Close(hanging)));
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, LinkAction::Dial { address: to, .. } if *to == address))
    );
}

#[test]
fn connections_time_out_while_dialling_and_greeting() {
    let mut link = link();
    link.handle_timeout(NOW_MS);
    let dials = dialled(&mut link);
    link.handle_connected(NOW_MS + 10, dials[0].connection);
    link.handle_timeout(NOW_MS + CONNECT_TIMEOUT_MS);
    assert!(
        link.poll_actions()
            .contains(&LinkAction::Close(dials[1].connection))
    );
    assert!(link.is_in_use(dials[0].connection) && !link.is_in_use(dials[1].connection));
    link.handle_timeout(NOW_MS + 10 + GREETING_TIMEOUT_MS);
    assert!(
        link.poll_actions()
            .contains(&LinkAction::Close(dials[0].connection))
    );
}

#[test]
fn a_connection_to_a_member_without_a_head_stays_open_for_the_listen_time() {
    let mut link = link();
    link.handle_timeout(NOW_MS);
    let first_dial = dialled(&mut link)[0];
    link.handle_connected(NOW_MS, first_dial.connection);
    link.handle_welcome(NOW_MS, first_dial.connection, &welcome(5, None, false));
    link.handle_timeout(NOW_MS + LISTEN_MS - 1);
    assert!(link.is_in_use(first_dial.connection));
    link.handle_welcome(
        NOW_MS + LISTEN_MS - 1,
        first_dial.connection,
        &welcome(6, Some(1), true),
    );
    assert_eq!(link.attached(), Some(first_dial.connection));
}

#[test]
fn a_head_that_stops_acting_is_detached() {
    let (mut link, id, _) = attached();
    link.handle_welcome(NOW_MS, id, &welcome(6, Some(4), false));
    let actions = link.poll_actions();
    assert_eq!(actions[0], LinkAction::Detached);
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, LinkAction::Dial { address: a, .. } if *a == address(4)))
    );
    assert_eq!((link.attached(), link.config_version()), (None, 0));
}

#[test]
fn a_lost_connection_detaches_and_starts_a_search() {
    let (mut link, id, lost_address) = attached();
    link.handle_disconnected(NOW_MS, id);
    let actions = link.poll_actions();
    assert_eq!(actions[0], LinkAction::Detached);
    let dials: Vec<_> = actions
        .iter()
        .filter(|a| matches!(a, LinkAction::Dial { .. }))
        .collect();
    assert_eq!(dials.len(), SEARCH_CONNECTIONS_MAX);
    assert!(
        !dials
            .iter()
            .any(|a| matches!(a, LinkAction::Dial { address, .. } if *address == lost_address))
    );
}

#[test]
fn a_suspected_head_stays_attached_while_others_are_dialled() {
    let (mut link, id, head) = attached();
    link.handle_request_sent(NOW_MS);
    link.handle_request_sent(NOW_MS + 300);
    assert_eq!(
        link.next_timeout_ms(NOW_MS),
        Some(NOW_MS + SUSPICION_TIMEOUT_MS)
    );
    link.handle_timeout(NOW_MS + SUSPICION_TIMEOUT_MS);
    let dials = dialled(&mut link);
    assert_eq!(dials.len(), SEARCH_CONNECTIONS_MAX);
    assert!(dials.iter().all(|dial| dial.address != head));
    link.handle_reply(NOW_MS + SUSPICION_TIMEOUT_MS, id);
    link.handle_timeout(NOW_MS + SUSPICION_TIMEOUT_MS + 1);
    assert_eq!(
        link.poll_actions().len(),
        SEARCH_CONNECTIONS_MAX,
        "the others are closed"
    );
    assert_eq!(link.attached(), Some(id));
}

#[test]
fn a_suspected_head_is_replaced_only_by_one_of_a_higher_view() {
    let (mut link, id, _) = attached();
    link.handle_request_sent(NOW_MS);
    let now_ms = NOW_MS + SUSPICION_TIMEOUT_MS;
    link.handle_timeout(now_ms);
    let dials = dialled(&mut link);
    link.handle_connected(now_ms, dials[0].connection);
    link.handle_welcome(now_ms, dials[0].connection, &welcome(5, Some(4), true));
    assert_eq!(link.attached(), Some(id));
    link.handle_welcome(now_ms, dials[0].connection, &welcome(6, Some(4), true));
    assert_eq!(link.attached(), Some(dials[0].connection));
    let actions = link.poll_actions();
    assert!(
        position(&actions, &LinkAction::Detached)
            < position(&actions, &LinkAction::Attached(dials[0].connection))
    );
    assert!(actions.contains(&LinkAction::Close(id)));
}

#[test]
fn a_newer_configuration_version_is_adopted() {
    let (mut link, id, _) = attached();
    link.handle_welcome(
        NOW_MS,
        id,
        &Welcome {
            config_version: 12,
            ..welcome(5, Some(1), true)
        },
    );
    assert_eq!(link.config_version(), 12);
    assert_eq!(link.poll_actions(), []);
}

#[test]
fn new_seeds_are_dialled() {
    let mut link = CoreLink::new(&[], 1);
    link.handle_timeout(NOW_MS);
    assert!(dialled(&mut link).is_empty());
    link.set_seeds(&[address(9)]);
    link.handle_timeout(NOW_MS);
    assert_eq!(dialled(&mut link)[0].address, address(9));
}

#[test]
fn an_idle_head_is_probed_once_until_a_frame_arrives() {
    let (mut link, id, _) = attached_probing();
    assert_eq!(link.next_timeout_ms(NOW_MS), Some(NOW_MS + IDLE_PROBE_MS));
    link.handle_timeout(NOW_MS + IDLE_PROBE_MS - 1);
    assert_eq!(link.poll_actions(), []);
    let requested_ms = NOW_MS + IDLE_PROBE_MS;
    link.handle_timeout(requested_ms);
    link.handle_timeout(requested_ms + 1);
    assert_eq!(link.poll_actions(), [LinkAction::ProbeHead(id)]);
    assert_eq!(
        link.next_timeout_ms(requested_ms),
        Some(requested_ms + SUSPICION_TIMEOUT_MS)
    );
    link.handle_reply(requested_ms + 5, id);
    link.handle_welcome(requested_ms + 5, id, &welcome(5, Some(1), true));
    assert_eq!(link.head_responsive_ms(requested_ms + 6), requested_ms + 6);
    assert_eq!(
        link.next_timeout_ms(requested_ms + 6),
        Some(requested_ms + 5 + IDLE_PROBE_MS)
    );
    assert_eq!(link.poll_actions(), []);
}

#[test]
fn an_active_head_is_not_probed() {
    let (mut link, id, _) = attached_probing();
    for step in 1..10 {
        let now_ms = NOW_MS + step * (IDLE_PROBE_MS - 1);
        link.handle_reply(now_ms, id);
        link.handle_timeout(now_ms);
    }
    assert_eq!(link.poll_actions(), []);
}

#[rstest]
#[case::idle(None, IDLE_PROBE_MS + SUSPICION_TIMEOUT_MS)]
#[case::request_at_once(Some(0), SUSPICION_TIMEOUT_MS)]
#[case::request_later(Some(100), 100 + SUSPICION_TIMEOUT_MS)]
fn an_unresponsive_head_is_suspected_within_a_second(
    #[case] requested_ms: Option<u64>,
    #[case] suspected_ms: u64,
) {
    let (mut link, id, head) = attached_probing();
    if let Some(requested_ms) = requested_ms {
        link.handle_request_sent(NOW_MS + requested_ms);
    }
    let mut now_ms = NOW_MS;
    let dials = loop {
        now_ms = link.next_timeout_ms(now_ms).expect("a timeout is due");
        link.handle_timeout(now_ms);
        let dials = dialled(&mut link);
        if !dials.is_empty() {
            break dials;
        }
    };
    assert_eq!(now_ms, NOW_MS + suspected_ms);
    assert!(dials.len() == SEARCH_CONNECTIONS_MAX && dials.iter().all(|dial| dial.address != head));
    assert_eq!(link.attached(), Some(id));
    link.handle_connected(now_ms, dials[0].connection);
    link.handle_welcome(now_ms, dials[0].connection, &welcome(6, Some(4), true));
    assert_eq!(
        link.head(),
        Some(Head {
            address: dials[0].address,
            view: 6
        })
    );
    assert_eq!(link.head_responsive_ms(now_ms), now_ms);
}

/// Failure: a node agent, which sends no probes, stayed with a head that answered none of its reports for as long as the
/// connection was open and the head led.
#[rstest]
#[case::node_agent(attached())]
#[case::edge(attached_probing())]
fn a_timed_out_head_is_detached_and_dialled_anew(
    #[case] attached: (CoreLink, ConnectionId, SocketAddr),
) {
    let (mut link, id, head) = attached;
    link.handle_request_sent(NOW_MS);
    assert_eq!(
        link.head_responsive_ms(NOW_MS + SUSPICION_TIMEOUT_MS),
        NOW_MS
    );
    let mut now_ms = NOW_MS;
    while link.attached().is_some() {
        now_ms = link
            .next_timeout_ms(now_ms)
            .filter(|due_ms| *due_ms > now_ms)
            .expect("something is due later");
        assert!(now_ms <= NOW_MS + HEAD_TIMEOUT_MS, "still attached");
        link.handle_timeout(now_ms);
    }
    assert_eq!(now_ms, NOW_MS + HEAD_TIMEOUT_MS);
    let actions = link.poll_actions();
    assert!(position(&actions, &LinkAction::Detached) < position(&actions, &LinkAction::Close(id)));
    let mut dials = Vec::new();
    while !dials.iter().any(|dial: &Dial| dial.address == head) {
        assert!(now_ms < NOW_MS + 2 * HEAD_TIMEOUT_MS);
        now_ms = link.next_timeout_ms(now_ms).expect("another dial is due");
        link.handle_timeout(now_ms);
        dials = dialled(&mut link);
    }
    let reconnected = dials
        .iter()
        .find(|dial| dial.address == head)
        .expect("the head was dialled again")
        .connection;
    link.handle_connected(now_ms, reconnected);
    link.handle_welcome(now_ms, reconnected, &welcome(5, Some(1), true));
    assert_eq!(link.attached(), Some(reconnected));
}

/// A welcome says what has changed at the head; it does not show that the head reads what it is sent.
#[test]
fn welcomes_do_not_keep_a_head_that_answers_no_request() {
    let (mut link, id, head) = attached();
    link.handle_request_sent(NOW_MS);
    let welcome = welcome(5, Some(host(head)), true);
    for elapsed_ms in (0..HEAD_TIMEOUT_MS).step_by(100) {
        link.handle_welcome(NOW_MS + elapsed_ms, id, &welcome);
        assert_eq!(link.attached(), Some(id));
    }
    link.handle_timeout(NOW_MS + HEAD_TIMEOUT_MS);
    assert_eq!(link.attached(), None);
    let actions = link.poll_actions();
    assert!(position(&actions, &LinkAction::Detached) < position(&actions, &LinkAction::Close(id)));
}

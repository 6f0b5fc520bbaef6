//! Tests of the report and the findings of `status`.

use indigofold_ctl::status::{ClusterStatus, UnresponsiveMember, report};
use indigofold_protocol::inspection::{
    MemberStatus, PeerStatus, QueueStatus, StoredState, TaskCounts, ViewStatus, WorkStatus,
};
use indigofold_protocol::internal::MemberAddress;
use rstest::rstest;
use std::net::SocketAddr;

fn internal(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7380).into()
}

fn address(number: u8) -> MemberAddress {
    let control = ([10, 0, 0, number], 8144).into();
    MemberAddress {
        node_name: format!("core-{number}"),
        internal: internal(number),
        control,
    }
}

fn member(number: u8) -> MemberStatus {
    let others = (1..=3).filter(|other| *other != number);
    let peer = |other| PeerStatus {
        internal: internal(other),
        node_name: Some(format!("core-{other}")),
        connected: true,
    };
    let all: Vec<SocketAddr> = (1..=3).map(internal).collect();
    MemberStatus {
        version: "1".to_owned(),
        address: address(number),
        view: Some(ViewStatus {
            number: 4,
            agreed: true,
            voters: all.clone(),
            chain: all,
        }),
        head: Some(address(1)),
        acting: number == 1,
        stored: StoredState { view: 4, seq: 9 },
        storage_failing: false,
        peers: others.map(peer).collect(),
        agents: 2,
        edges: 1,
        work: (number == 1).then(work),
    }
}

fn work() -> WorkStatus {
    let tasks = TaskCounts {
        waiting: 5,
        blocked: 6,
        running: 7,
        done: 8,
    };
    let queue = QueueStatus {
        queue: "orders".to_owned(),
        queued: 3,
        running: 4,
        tasks,
    };
    WorkStatus {
        config_version: 12,
        queues: vec![queue],
        ..WorkStatus::default()
    }
}

fn cluster() -> ClusterStatus {
    ClusterStatus {
        members: (1..=3).map(member).collect(),
        unresponsive: Vec::new(),
    }
}

#[test]
fn the_report_of_a_healthy_cluster_shows_its_work() {
    let report = report(&cluster());
    assert_eq!((report.exit_code(), report.findings.len()), (0, 0));
    for expected in [
        "voters:  core-1, core-2, core-3",
        "core-1 > core-2",
        "version 12",
        "orders",
        "2 companions",
    ] {
        assert!(
            report.text.contains(expected),
            "`{expected}` is missing: {}",
            report.text
        );
    }
    assert_eq!(
        report.data["members"][0]["work"]["queues"][0]["tasks"]["blocked"],
        6
    );
}

fn without_head(status: &mut ClusterStatus) {
    status.members[0].acting = false;
}

fn unresponsive_voter(status: &mut ClusterStatus) {
    status.members.remove(2);
    status.unresponsive.push(UnresponsiveMember {
        internal: internal(3),
        reason: "timed out".to_owned(),
    });
}

fn voter_outside_the_chain(status: &mut ClusterStatus) {
    for member in &mut status.members {
        member
            .view
            .as_mut()
            .expect("each member has a view")
            .chain
            .remove(1);
    }
}

fn failing_disk(status: &mut ClusterStatus) {
    status.members[1].storage_failing = true;
}

fn disconnected_peer(status: &mut ClusterStatus) {
    status.members[1].peers[1].connected = false;
}

fn unreadable_rows(status: &mut ClusterStatus) {
    status.members[0]
        .work
        .as_mut()
        .expect("the head reports its work")
        .unreadable_rows = 2;
}

#[rstest]
#[case(without_head, "no member acts as head")]
#[case(unresponsive_voter, "core-3 does not answer: timed out")]
#[case(voter_outside_the_chain, "core-2 votes and is not in the chain")]
#[case(failing_disk, "the disk of core-2 refuses writes")]
#[case(disconnected_peer, "core-2 has no connection to core-3")]
#[case(unreadable_rows, "2 rows cannot be read")]
fn each_fault_is_a_finding(#[case] inject_fault: fn(&mut ClusterStatus), #[case] finding: &str) {
    let mut status = cluster();
    inject_fault(&mut status);
    let report = report(&status);
    assert_eq!(
        (report.exit_code(), report.findings.len()),
        (1, 1),
        "{:?}",
        report.findings
    );
    assert!(
        report.findings[0].contains(finding) && report.plain().contains(finding),
        "{:?}",
        report.findings
    );
}

#[test]
fn an_unresponsive_member_that_is_not_a_voter_is_no_finding() {
    let mut status = cluster();
    status.unresponsive.push(UnresponsiveMember {
        internal: internal(9),
        reason: "gone".to_owned(),
    });
    let report = report(&status);
    assert_eq!(report.exit_code(), 0, "{:?}", report.findings);
    assert!(report.text.contains("no answer"));
    assert_eq!(report.data["silent"][0]["reason"], "gone");
}

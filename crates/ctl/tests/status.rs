//! What `status` finds wrong, and how it tells.

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
fn a_sound_cluster_is_told_with_its_work() {
    let report = report(&cluster());
    assert_eq!((report.exit_code(), report.findings.len()), (0, 0));
    for part in [
        "voters:  core-1, core-2, core-3",
        "core-1 > core-2",
        "version 12",
        "orders",
        "2 companions",
    ] {
        assert!(
            report.text.contains(part),
            "`{part}` is missing: {}",
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

fn silent_voter(status: &mut ClusterStatus) {
    status.members.remove(2);
    status.unresponsive.push(UnresponsiveMember {
        internal: internal(3),
        reason: "cut".to_owned(),
    });
}

fn left_out(status: &mut ClusterStatus) {
    for member in &mut status.members {
        member.view.as_mut().expect("a view").chain.remove(1);
    }
}

fn failing_disk(status: &mut ClusterStatus) {
    status.members[1].storage_failing = true;
}

fn cut_link(status: &mut ClusterStatus) {
    status.members[1].peers[1].connected = false;
}

fn unreadable(status: &mut ClusterStatus) {
    status.members[0]
        .work
        .as_mut()
        .expect("work")
        .unreadable_rows = 2;
}

#[rstest]
#[case(without_head, "no member acts as head")]
#[case(silent_voter, "core-3 does not answer: cut")]
#[case(left_out, "core-2 votes and is not in the chain")]
#[case(failing_disk, "the disk of core-2 refuses writes")]
#[case(cut_link, "core-2 has no connection to core-3")]
#[case(unreadable, "2 rows cannot be read")]
fn what_is_wrong_is_found(#[case] harm: fn(&mut ClusterStatus), #[case] finding: &str) {
    let mut status = cluster();
    harm(&mut status);
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
fn a_seed_that_is_no_voter_may_be_silent() {
    let mut status = cluster();
    status.unresponsive.push(UnresponsiveMember {
        internal: internal(9),
        reason: "gone".to_owned(),
    });
    let report = report(&status);
    assert_eq!(report.exit_code(), 0, "{:?}", report.findings);
    assert!(report.text.contains("no answer"));
}

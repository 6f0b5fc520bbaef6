//! Problems that the status of a cluster shows.

use super::cluster::ClusterStatus;
use indigofold_protocol::inspection::{MemberStatus, ViewStatus};
use std::net::SocketAddr;

/// The problems of a cluster, one sentence each. Empty means that nothing is wrong.
pub fn findings(status: &ClusterStatus) -> Vec<String> {
    let view = status.newest().and_then(|member| member.view.as_ref());
    let mut findings = Vec::new();
    if status.head().is_none() {
        findings.push(
            "no member acts as head: jobs and configuration changes are not accepted".to_owned(),
        );
    }
    findings.extend(unresponsive_findings(status, view));
    findings.extend(chain_findings(status, view));
    for member in &status.members {
        findings.extend(member_findings(status, member, view));
    }
    findings.extend(work_finding(status));
    findings
}

fn is_voter(view: Option<&ViewStatus>, internal: SocketAddr) -> bool {
    view.is_some_and(|view| view.voters.contains(&internal))
}

/// Voters that do not answer. While no view is known, every member that does not answer.
fn unresponsive_findings<'a>(
    status: &'a ClusterStatus,
    view: Option<&'a ViewStatus>,
) -> impl Iterator<Item = String> + 'a {
    let members = status
        .unresponsive
        .iter()
        .filter(move |member| view.is_none() || is_voter(view, member.internal));
    members.map(|member| {
        format!(
            "{} does not answer: {}",
            status.name(member.internal),
            member.reason
        )
    })
}

/// Voters of the view that are not in its chain.
fn chain_findings(status: &ClusterStatus, view: Option<&ViewStatus>) -> Vec<String> {
    let Some(view) = view.filter(|view| !view.chain.is_empty()) else {
        return Vec::new();
    };
    let outside = view
        .voters
        .iter()
        .filter(|voter| !view.chain.contains(voter));
    outside
        .map(|voter| format!("{} votes and is not in the chain", status.name(*voter)))
        .collect()
}

fn member_findings(
    status: &ClusterStatus,
    member: &MemberStatus,
    view: Option<&ViewStatus>,
) -> Vec<String> {
    let name = &member.address.node_name;
    let mut findings = Vec::new();
    if member.storage_failing {
        findings.push(format!("the disk of {name} refuses writes"));
    }
    let disconnected = member
        .peers
        .iter()
        .filter(|peer| !peer.connected && is_voter(view, peer.internal));
    findings.extend(
        disconnected
            .map(|peer| format!("{name} has no connection to {}", status.name(peer.internal))),
    );
    findings
}

fn work_finding(status: &ClusterStatus) -> Option<String> {
    let work = status.head()?.work.as_ref()?;
    (work.unreadable_rows > 0).then(|| {
        format!(
            "{} rows cannot be read by this version",
            work.unreadable_rows
        )
    })
}

//! The status of a cluster, combined from the answers of its members.

use indigofold_protocol::inspection::MemberStatus;
use serde::Serialize;
use std::net::SocketAddr;

/// The answers of all members that were queried.
#[derive(Debug, Default, Serialize)]
pub struct ClusterStatus {
    /// Status of each member that answered, ordered by internal address.
    pub members: Vec<MemberStatus>,
    /// Members that did not answer.
    #[serde(rename = "silent")]
    pub unresponsive: Vec<UnresponsiveMember>,
}

/// A member that did not answer.
#[derive(Debug, Serialize)]
pub struct UnresponsiveMember {
    /// The member's internal address.
    pub internal: SocketAddr,
    /// The reason why there is no answer.
    pub reason: String,
}

impl ClusterStatus {
    /// The acting head. If two members act as head, the one with the newer view.
    pub fn head(&self) -> Option<&MemberStatus> {
        let acting = self.members.iter().filter(|member| member.acting);
        acting.max_by_key(|member| view_number(member))
    }

    /// The member whose view is shown: the acting head, or without one the member with the newest view.
    pub(super) fn newest(&self) -> Option<&MemberStatus> {
        let by_view = || self.members.iter().max_by_key(|member| view_number(member));
        self.head().or_else(by_view)
    }

    /// The node name of a member, as given by itself or by a peer; its internal address if no name is known.
    pub(super) fn name(&self, internal: SocketAddr) -> String {
        let member = self
            .members
            .iter()
            .find(|member| member.address.internal == internal);
        let own_name = member.map(|member| member.address.node_name.clone());
        let named_by_peer = || {
            let mut peers = self.members.iter().flat_map(|member| &member.peers);
            peers
                .find(|peer| peer.internal == internal)
                .and_then(|peer| peer.node_name.clone())
        };
        own_name
            .or_else(named_by_peer)
            .unwrap_or_else(|| internal.to_string())
    }

    /// The names of several members, joined with `separator`.
    pub(super) fn names(&self, addresses: &[SocketAddr], separator: &str) -> String {
        let names = addresses.iter().map(|address| self.name(*address));
        names.collect::<Vec<_>>().join(separator)
    }
}

fn view_number(member: &MemberStatus) -> u64 {
    member.view.as_ref().map_or(0, |view| view.number)
}

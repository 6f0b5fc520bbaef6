//! The answers of all members, and what follows from them together.

use indigofold_protocol::inspection::MemberStatus;
use serde::Serialize;
use std::net::SocketAddr;

/// The answers of all members.
#[derive(Debug, Default, Serialize)]
pub struct ClusterStatus {
    /// Those that answered.
    pub members: Vec<MemberStatus>,
    /// Those that did not, and why.
    #[serde(rename = "silent")]
    pub unresponsive: Vec<UnresponsiveMember>,
}

/// A member that did not answer.
#[derive(Debug, Serialize)]
pub struct UnresponsiveMember {
    /// Its internal address.
    pub internal: SocketAddr,
    /// Why.
    pub reason: String,
}

impl ClusterStatus {
    /// The acting head; of two, the one of the newer view.
    pub fn head(&self) -> Option<&MemberStatus> {
        let acting = self.members.iter().filter(|member| member.acting);
        acting.max_by_key(|member| view_number(member))
    }

    /// The member whose view is the newest: the head, if there is one.
    pub(super) fn newest(&self) -> Option<&MemberStatus> {
        let by_view = || self.members.iter().max_by_key(|member| view_number(member));
        self.head().or_else(by_view)
    }

    /// Name of a member's machine, or its address while nobody has named it.
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

    /// The names of several members.
    pub(super) fn names(&self, addresses: &[SocketAddr], separator: &str) -> String {
        let names = addresses.iter().map(|address| self.name(*address));
        names.collect::<Vec<_>>().join(separator)
    }
}

fn view_number(member: &MemberStatus) -> u64 {
    member.view.as_ref().map_or(0, |view| view.number)
}

//! Queries all members of a cluster for their status.

use super::cluster::{ClusterStatus, UnresponsiveMember};
use crate::query::{self, MemberResponse, QueryError};
use indigofold_protocol::inspection::{InspectionAnswer, InspectionQuery};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of members that are queried because another member named them.
const DISCOVERED_MEMBERS_MAX: usize = 32;

/// Queries the members at these internal addresses, then the peers that they name. Fails if none of the former
/// answers.
pub(super) async fn gather(addresses: Vec<SocketAddr>) -> Result<ClusterStatus, QueryError> {
    let responses = query::query_all(&addresses, InspectionQuery::Status).await;
    if responses.iter().all(|response| response.result.is_err()) {
        return Err(query::no_answer(responses));
    }
    let mut status = ClusterStatus::default();
    collect(&mut status, responses);
    let discovered = discovered(&status, &addresses);
    let responses = query::query_all(&discovered, InspectionQuery::Status).await;
    collect(&mut status, responses);
    status.members.sort_by_key(|member| member.address.internal);
    Ok(status)
}

/// Peers that the members name and that are not among `queried`, ordered by address.
fn discovered(status: &ClusterStatus, queried: &[SocketAddr]) -> Vec<SocketAddr> {
    let peers = status.members.iter().flat_map(|member| &member.peers);
    let discovered: BTreeSet<SocketAddr> = peers
        .map(|peer| peer.internal)
        .filter(|address| !queried.contains(address))
        .collect();
    discovered
        .into_iter()
        .take(DISCOVERED_MEMBERS_MAX)
        .collect()
}

fn collect(status: &mut ClusterStatus, responses: Vec<MemberResponse>) {
    for MemberResponse { address, result } in responses {
        let reason = match result {
            Ok(InspectionAnswer::Status(member)) => {
                status.members.push(*member);
                continue;
            }
            Ok(InspectionAnswer::Unavailable { reason }) => reason,
            Ok(InspectionAnswer::Job(_) | InspectionAnswer::NotHead { .. }) => {
                "it answered a different question than it was asked".to_owned()
            }
            Err(error) => error.to_string(),
        };
        status.unresponsive.push(UnresponsiveMember {
            internal: address,
            reason,
        });
    }
}

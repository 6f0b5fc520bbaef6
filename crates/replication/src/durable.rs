//! What a member keeps on disk beside the rows, and how both are changed.

use crate::timing::ADDRESSES_MAX;
use crate::types::{Batch, Member, Row, View, ViewNumber, ViewStart, Viewstamp};
use indigofold_protocol::internal::MemberAddress;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// A member's own record. It is encoded with postcard: the order of fields is the stored format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Durable {
    /// The member itself.
    pub member: Member,
    /// It takes part in no view below this number.
    pub promised: ViewNumber,
    /// The view accepted last.
    pub view: Option<View>,
    /// That view is known to be agreed: accepted by majorities of its electorates.
    pub agreed: bool,
    /// The state of its rows.
    pub viewstamp: Viewstamp,
    /// The views that led to this state, oldest first; early ones may be missing.
    pub history: Vec<ViewStart>,
    /// Rows deleted at or before this sequence number have no tombstone any more.
    pub trimmed: u64,
    /// Members' addresses as far as they are known.
    pub addresses: Vec<MemberAddress>,
}

impl Durable {
    /// Number of the view accepted last; [`ViewNumber::NONE`](crate::types::ViewNumber::NONE) before the first.
    pub fn view_number(&self) -> ViewNumber {
        self.view
            .as_ref()
            .map_or(ViewNumber::NONE, |view| view.number)
    }

    /// Internal addresses of the voters of the view accepted last.
    pub(crate) fn voter_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let voters = self.view.iter().flat_map(|view| &view.voters);
        voters.map(|voter| voter.internal)
    }

    /// The addresses of a member, if they are known.
    pub(crate) fn address_of(&self, member: Member) -> Option<&MemberAddress> {
        let mut addresses = self.addresses.iter();
        addresses.find(|address| address.internal == member.internal)
    }

    /// Takes a member's addresses; `false` if they were known. At most [`ADDRESSES_MAX`] are kept: the oldest one that is
    /// neither a voter's nor this member's own (`own`) is removed.
    pub(crate) fn learn_address(&mut self, address: MemberAddress, own: SocketAddr) -> bool {
        let mut addresses = self.addresses.iter_mut();
        if let Some(known) = addresses.find(|known| known.internal == address.internal) {
            let is_changed = *known != address;
            *known = address;
            return is_changed;
        }
        self.addresses.push(address);
        if self.addresses.len() > ADDRESSES_MAX {
            self.forget_surplus_address(own);
        }
        true
    }

    fn forget_surplus_address(&mut self, own: SocketAddr) {
        let voters: Vec<SocketAddr> = self.voter_addresses().collect();
        let is_surplus = |a: &MemberAddress| a.internal != own && !voters.contains(&a.internal);
        if let Some(position) = self.addresses.iter().position(is_surplus) {
            self.addresses.remove(position);
        }
    }
}

/// One change of the rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOperation {
    /// Drop all rows.
    Clear,
    /// Apply a write.
    Write(Arc<Batch>),
    /// Write rows as another member has them.
    Put(Vec<Row>),
    /// Drop the tombstones of rows deleted at or before this sequence number.
    Trim(u64),
}

/// Changes to make in one transaction, with one sync.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRequest {
    /// The record after it.
    pub durable: Durable,
    /// Changes of the rows, in order.
    pub operations: Vec<StoreOperation>,
}

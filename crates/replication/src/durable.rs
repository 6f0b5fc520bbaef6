//! The record that a member stores next to the rows, and requests to change both.

use crate::timing::ADDRESSES_MAX;
use crate::types::{Batch, Member, Row, View, ViewNumber, ViewStart, Viewstamp};
use indigofold_protocol::internal::MemberAddress;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The record of a member. It is encoded with postcard: the order of fields is the stored format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The member that the record belongs to.
    pub member: Member,
    /// Highest number that the member has promised: it takes part in no view with a lower number.
    pub promised: ViewNumber,
    /// View that the member accepted last, if any.
    pub view: Option<View>,
    /// Whether that view is known to be agreed: accepted by a majority of its voters and of `previous_voters`.
    pub agreed: bool,
    /// Viewstamp of the member's rows: it identifies the last write that they contain.
    pub viewstamp: Viewstamp,
    /// Views that led to this viewstamp, oldest first; at most [`HISTORY_MAX`](crate::timing::HISTORY_MAX) of them.
    pub history: Vec<ViewStart>,
    /// Tombstones of rows deleted at or before this sequence number have been dropped.
    pub trimmed: u64,
    /// Known addresses of members, at most [`ADDRESSES_MAX`].
    pub addresses: Vec<MemberAddress>,
}

impl MemberRecord {
    /// Returns the number of the view accepted last, or [`ViewNumber::NONE`](crate::types::ViewNumber::NONE) if there
    /// is none.
    pub fn view_number(&self) -> ViewNumber {
        self.view
            .as_ref()
            .map_or(ViewNumber::NONE, |view| view.number)
    }

    /// Returns the internal addresses of the voters of the view accepted last.
    pub(crate) fn voter_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let voters = self.view.iter().flat_map(|view| &view.voters);
        voters.map(|voter| voter.internal)
    }

    /// Returns the addresses of a member, if they are known.
    pub(crate) fn address_of(&self, member: Member) -> Option<&MemberAddress> {
        let mut addresses = self.addresses.iter();
        addresses.find(|address| address.internal == member.internal)
    }

    /// Adds or updates a member's addresses; returns false if nothing changed. At most [`ADDRESSES_MAX`] entries are
    /// kept: beyond that, the oldest one that belongs neither to a voter nor to this member (`own_address`) is
    /// removed.
    pub(crate) fn learn_address(
        &mut self,
        address: MemberAddress,
        own_address: SocketAddr,
    ) -> bool {
        let mut addresses = self.addresses.iter_mut();
        if let Some(known_address) =
            addresses.find(|known_address| known_address.internal == address.internal)
        {
            let is_changed = *known_address != address;
            *known_address = address;
            return is_changed;
        }
        self.addresses.push(address);
        if self.addresses.len() > ADDRESSES_MAX {
            self.forget_surplus_address(own_address);
        }
        true
    }

    fn forget_surplus_address(&mut self, own_address: SocketAddr) {
        let voters: Vec<SocketAddr> = self.voter_addresses().collect();
        let is_surplus =
            |a: &MemberAddress| a.internal != own_address && !voters.contains(&a.internal);
        if let Some(position) = self.addresses.iter().position(is_surplus) {
            self.addresses.remove(position);
        }
    }
}

/// A change to the stored rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOperation {
    /// Drops all rows.
    Clear,
    /// Applies a write.
    Write(Arc<Batch>),
    /// Writes rows with the sequence numbers that they have at another member.
    Put(Vec<Row>),
    /// Drops the tombstones of rows deleted at or before this sequence number.
    Trim(u64),
}

/// Changes to make in one transaction, with one sync.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRequest {
    /// The record as it is after the changes.
    pub record: MemberRecord,
    /// Changes to the rows, in order.
    pub operations: Vec<StoreOperation>,
}

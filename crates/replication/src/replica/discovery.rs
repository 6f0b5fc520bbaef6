//! How members find each other: the addresses that a member knows, and its announcements while it knows no head.

use super::Replica;
use crate::message::Message;
use crate::types::Member;
use indigofold_protocol::internal::MemberAddress;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Replica {
    /// Returns the known addresses of this member, of the voters and, on the head, of all members that it knows,
    /// including those that want to join.
    pub fn members(&self) -> Vec<MemberAddress> {
        let record = &self.context.record;
        let own_address = self.context.settings().address.internal;
        let mut known_addresses: BTreeSet<SocketAddr> = BTreeSet::from([own_address]);
        known_addresses.extend(record.voter_addresses());
        known_addresses.extend(self.head.peer_addresses());
        let addresses = record.addresses.iter();
        addresses
            .filter(|address| known_addresses.contains(&address.internal))
            .cloned()
            .collect()
    }

    /// Returns the internal addresses to connect to: seeds, voters, and all other known addresses, without this
    /// member's own.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let (record, settings) = (&self.context.record, self.context.settings());
        let mut peers: BTreeSet<SocketAddr> = settings.seeds.iter().copied().collect();
        peers.extend(record.voter_addresses());
        peers.extend(record.addresses.iter().map(|address| address.internal));
        peers.remove(&settings.address.internal);
        peers.into_iter().collect()
    }

    /// Returns the addresses of the head if this member knows it: itself while it may act, or else the holder of a
    /// running lease that it has granted.
    pub fn head(&self, now_ms: u64) -> Option<MemberAddress> {
        if self.may_act(now_ms) {
            return Some(self.context.settings().address.clone());
        }
        let lease = self.follower.voter().lease();
        let lease = lease.filter(|lease| now_ms < lease.until_ms)?;
        self.context.record.address_of(lease.head).cloned()
    }

    pub(super) fn announcement_due_ms(&self) -> Option<u64> {
        (!self.head.is_leading()).then(|| self.follower.announcement_due_ms())
    }

    pub(super) fn run_announcement(&mut self) {
        let now_ms = self.context.now_ms();
        if self
            .announcement_due_ms()
            .is_some_and(|due_ms| now_ms >= due_ms)
        {
            let peers = self.peers();
            self.follower.run_announcement(&mut self.context, peers);
        }
    }

    pub(super) fn handle_announce(&mut self, from: Member, address: MemberAddress) {
        let is_campaigning = self.candidate.is_campaigning();
        let context = &mut self.context;
        context.learn_address(address);
        if self.head.is_leading() {
            return self.head.handle_newcomer(context, from, is_campaigning);
        }
        let addresses = context.record.addresses.clone();
        context.send(from.internal, Message::Addresses { addresses });
    }
}

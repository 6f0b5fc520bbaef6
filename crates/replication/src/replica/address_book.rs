//! Addresses of members, and how members find each other.

use super::Replica;
use crate::message::Message;
use crate::timing::{ADDRESSES_MAX, ANNOUNCE_INTERVAL_MS};
use crate::types::Member;
use indigofold_protocol::internal::MemberAddress;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Replica {
    /// The members of the view, and those that want to join, as far as their addresses are known.
    pub fn members(&self) -> Vec<MemberAddress> {
        let mut known: BTreeSet<SocketAddr> = BTreeSet::from([self.settings.address.internal]);
        known.extend(self.durable.voter_addresses());
        known.extend(
            self.leadership
                .iter()
                .flat_map(|leadership| leadership.peers.keys())
                .map(|m| m.internal),
        );
        self.durable
            .addresses
            .iter()
            .filter(|a| known.contains(&a.internal))
            .cloned()
            .collect()
    }

    /// Internal addresses of all to connect to: seeds, members, and those whose addresses are known; without this member.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let mut peers: BTreeSet<SocketAddr> = self.settings.seeds.iter().copied().collect();
        peers.extend(self.durable.voter_addresses());
        peers.extend(self.durable.addresses.iter().map(|a| a.internal));
        peers.remove(&self.settings.address.internal);
        peers.into_iter().collect()
    }

    /// The head, as far as this member knows: itself while it may act, or the holder of the lease that it has granted.
    pub fn head(&self, now_ms: u64) -> Option<MemberAddress> {
        if self.may_act(now_ms) {
            return Some(self.settings.address.clone());
        }
        let lease = self.voter.lease().filter(|lease| now_ms < lease.until_ms)?;
        self.address_of(lease.head)
    }

    fn address_of(&self, member: Member) -> Option<MemberAddress> {
        self.durable
            .addresses
            .iter()
            .find(|a| a.internal == member.internal)
            .cloned()
    }

    /// Takes an address; it is stored with the record, so that it survives a restart.
    pub(super) fn learn_address(&mut self, address: MemberAddress) {
        let addresses = &mut self.durable.addresses;
        if let Some(known) = addresses
            .iter_mut()
            .find(|a| a.internal == address.internal)
        {
            if *known == address {
                return;
            }
            *known = address;
        } else {
            addresses.push(address);
            self.forget_surplus_address();
        }
        if self.durable.view.is_some() {
            self.stores.request_store();
        }
    }

    fn forget_surplus_address(&mut self) {
        if self.durable.addresses.len() <= ADDRESSES_MAX {
            return;
        }
        let own = self.settings.address.internal;
        let voters: Vec<SocketAddr> = self
            .durable
            .view
            .iter()
            .flat_map(|view| &view.voters)
            .map(|m| m.internal)
            .collect();
        let is_surplus = |a: &MemberAddress| a.internal != own && !voters.contains(&a.internal);
        if let Some(position) = self.durable.addresses.iter().position(is_surplus) {
            self.durable.addresses.remove(position);
        }
    }

    pub(super) fn announcement_due_ms(&self) -> Option<u64> {
        self.leadership.is_none().then_some(self.announce_at_ms)
    }

    pub(super) fn run_announcement(&mut self) {
        if self.leadership.is_some() || self.now_ms < self.announce_at_ms {
            return;
        }
        self.announce_at_ms = self.now_ms + ANNOUNCE_INTERVAL_MS;
        for peer in self.peers() {
            self.send(
                peer,
                Message::Announce {
                    address: self.settings.address.clone(),
                },
            );
        }
    }

    pub(super) fn on_announce(&mut self, from: Member, address: MemberAddress) {
        self.learn_address(address);
        if self.leadership.is_some() {
            self.on_newcomer(from);
        } else {
            self.send(
                from.internal,
                Message::Addresses {
                    addresses: self.durable.addresses.clone(),
                },
            );
        }
    }
}

//! How members find each other: whom a member knows, and its announcements while it has no head.

use super::Replica;
use crate::message::Message;
use crate::timing::ANNOUNCE_INTERVAL_MS;
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
        self.durable.address_of(lease.head).cloned()
    }

    /// Takes an address; it is stored with the record, so that it survives a restart.
    pub(super) fn learn_address(&mut self, address: MemberAddress) {
        let own = self.settings.address.internal;
        let is_changed = self.durable.learn_address(address, own);
        if is_changed && self.durable.view.is_some() {
            self.stores.request_store();
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

//! The lease that a voter grants, and its answer to the head's heartbeats.

use super::{AfterStore, Replica};
use crate::message::Message;
use crate::timing::{BACKOFF_OUTSIDE_CHAIN_MS, BACKOFF_SPREAD_MS, LEASE_MS, UNRESPONSIVE_HEAD_MS};
use crate::types::{Member, View};
use indigofold_protocol::internal::MemberAddress;

/// A promise to support no candidate but `head` for a time.
#[derive(Debug)]
pub(super) struct Lease {
    pub head: Member,
    /// Number of the head's view.
    pub number: u64,
    /// The heartbeat's `sent_ms`.
    pub sent_ms: u64,
    pub until_ms: u64,
}

impl Replica {
    pub(super) fn on_heartbeat(
        &mut self,
        from: Member,
        view: View,
        sent_ms: u64,
        seq: u64,
        address: MemberAddress,
    ) {
        self.learn_address(address);
        if view.number < self.durable.promised || view.head() != Some(from) {
            self.send(
                from.internal,
                Message::PrepareReject {
                    number: view.number,
                    promised: self.durable.promised,
                },
            );
            return;
        }
        self.follow(&view);
        self.grant(from, &view, sent_ms);
        self.catch_up(&view, seq);
    }

    /// Takes over a view that is known to hold and that another member leads.
    pub(super) fn follow(&mut self, view: &View) {
        let known = self
            .durable
            .view
            .as_ref()
            .filter(|v| v.number == view.number);
        let is_followed = self.durable.agreed && self.durable.promised == view.number;
        if let Some(known) = known.filter(|_| is_followed) {
            if view.is_established() && !known.is_established() {
                self.durable.view = Some(view.clone());
                self.stores.request_store();
            }
            return;
        }
        self.withdraw();
        self.durable.promised = view.number;
        self.durable.view = Some(view.clone());
        self.durable.agreed = true;
        self.transfer = None;
        self.stores.request_store();
    }

    fn grant(&mut self, head: Member, view: &View, sent_ms: u64) {
        let until_ms = self.now_ms + LEASE_MS;
        self.campaign = None;
        self.lease = Some(Lease {
            head,
            number: view.number,
            sent_ms,
            until_ms,
        });
        self.announce_at_ms = self.now_ms + UNRESPONSIVE_HEAD_MS;
        let in_chain = view.chain.contains(&self.durable.member);
        let extra = if in_chain {
            0
        } else {
            BACKOFF_OUTSIDE_CHAIN_MS
        };
        self.campaign_at_ms = until_ms + extra + self.random_below(BACKOFF_SPREAD_MS);
        if view.number > self.stored_view {
            self.stores.request_store_then(AfterStore::Grant);
        } else {
            self.send_grant();
        }
    }

    /// Answers the heartbeat heard last, once its view is on disk: after a restart the view on disk tells to which head a
    /// lease may have been granted.
    pub(super) fn send_grant(&mut self) {
        let Some(lease) = self
            .lease
            .as_ref()
            .filter(|lease| lease.number <= self.stored_view)
        else {
            return;
        };
        let (to, number, sent_ms) = (lease.head.internal, lease.number, lease.sent_ms);
        let message = Message::Grant {
            number,
            sent_ms,
            viewstamp: self.stored_viewstamp,
            store_age_ms: self.stores.age_ms(self.now_ms),
            draining: self.is_draining(),
            address: self.settings.address.clone(),
        };
        self.send(to, message);
    }

    /// Number of the view accepted last, if this member heads it; 0 otherwise.
    pub(super) fn headed_view(&self) -> u64 {
        let heads =
            self.durable.view.as_ref().and_then(|view| view.head()) == Some(self.durable.member);
        if heads { self.durable.view_number() } else { 0 }
    }

    /// This member has been started again as the head of the view on its disk. It stands at once: no lease but its own,
    /// which ended with its process, can run in that view.
    pub(super) fn is_resuming(&self) -> bool {
        self.headed_view() > 0 && self.leadership.is_none() && self.now_ms < self.vote_from_ms
    }

    /// Whether a lease that this member granted before its start can only have been `candidate`'s, which stands again. Leases
    /// are granted once their view is on disk, so that none can have been granted in a later view than that one; heads of
    /// earlier views lost theirs when a majority promised for it. `headed_view` is what the candidate says of its own disk.
    fn granted_to_none_but(&self, candidate: Member, headed_view: u64) -> bool {
        let view = self.durable.view.as_ref();
        view.is_some_and(|view| view.number == headed_view && view.head() == Some(candidate))
    }

    /// Whether this member is bound to a head other than `candidate`, which heads the view of number `headed_view` on its disk (0:
    /// none).
    pub(super) fn is_bound_against(&self, candidate: Member, headed_view: u64) -> bool {
        let granted = self
            .lease
            .as_ref()
            .is_some_and(|l| l.head != candidate && self.now_ms < l.until_ms);
        let own = candidate != self.durable.member && self.may_act(self.now_ms);
        let unknown =
            self.now_ms < self.vote_from_ms && !self.granted_to_none_but(candidate, headed_view);
        granted || own || unknown
    }

    /// Until when this member may not stand itself.
    pub(super) fn bound_until_ms(&self) -> u64 {
        let granted = self.lease.as_ref().map_or(0, |lease| lease.until_ms);
        granted.max(self.vote_from_ms).max(self.now_ms)
    }

    pub(super) fn on_release(&mut self, from: Member, number: u64) {
        if self
            .lease
            .as_ref()
            .is_some_and(|l| l.head == from && l.number == number)
        {
            self.lease = None;
            self.campaign_at_ms =
                self.now_ms + BACKOFF_SPREAD_MS + self.random_below(BACKOFF_SPREAD_MS);
        }
    }

    pub(super) fn on_campaign_now(&mut self, from: Member, number: u64) {
        if self.view() != number || self.campaign.is_some() || self.leadership.is_some() {
            return;
        }
        if self.lease.as_ref().is_none_or(|l| l.head == from) {
            self.lease = None;
            self.start_campaign();
        }
    }
}

//! How a member follows the head: its answers to heartbeats, the leases that it grants with them, and which candidate it
//! is bound against.
//!
//! A head acts while a majority has granted it a lease (Gray and Cheriton 1989), and counts each one from when it sent the
//! heartbeat, so that clocks need not agree; they only have to run at nearly the same rate.

use super::Replica;
use super::store_queue::AfterStore;
use super::voter::Lease;
use crate::message::{Grant, Heartbeat, Message};
use crate::timing::{BACKOFF_OUTSIDE_CHAIN_MS, BACKOFF_SPREAD_MS, LEASE_MS, UNRESPONSIVE_HEAD_MS};
use crate::types::{Member, View};

impl Replica {
    pub(super) fn on_heartbeat(&mut self, from: Member, heartbeat: Heartbeat) {
        let Heartbeat {
            view,
            sent_ms,
            seq,
            address,
        } = heartbeat;
        self.learn_address(address);
        if view.number < self.durable.promised || view.head() != Some(from) {
            self.reject(from, view.number);
            return;
        }
        self.follow(&view);
        self.grant(from, &view, sent_ms);
        self.catch_up(&view, seq);
    }

    /// Takes over an agreed view that another member leads.
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
        self.abandon_leadership_and_campaign();
        self.durable.promised = view.number;
        self.durable.view = Some(view.clone());
        self.durable.agreed = true;
        self.transfer = None;
        self.stores.request_store();
    }

    fn grant(&mut self, head: Member, view: &View, sent_ms: u64) {
        let until_ms = self.now_ms + LEASE_MS;
        self.campaign = None;
        self.voter.grant_lease(Lease {
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
        if view.number > self.stores.stored_view() {
            self.stores.request_store_then(AfterStore::Grant);
        } else {
            self.send_grant();
        }
    }

    /// Answers the last heartbeat once its view is on disk: after a restart only the view on disk says to which head a
    /// lease may have been granted.
    pub(super) fn send_grant(&mut self) {
        let Some(lease) = self
            .voter
            .lease()
            .filter(|lease| lease.number <= self.stores.stored_view())
        else {
            return;
        };
        let (to, number, sent_ms) = (lease.head.internal, lease.number, lease.sent_ms);
        let message = Message::Grant(Grant {
            number,
            sent_ms,
            viewstamp: self.stores.stored_viewstamp(),
            store_age_ms: self.stores.age_ms(self.now_ms),
            draining: self.is_draining(),
            address: self.settings.address.clone(),
        });
        self.send(to, message);
    }

    /// Number of the view accepted last, if this member heads it; 0 otherwise.
    pub(super) fn headed_view(&self) -> u64 {
        let heads = self.durable.view.as_ref().and_then(View::head) == Some(self.durable.member);
        if heads { self.durable.view_number() } else { 0 }
    }

    /// This member has been started again as the head of the view on its disk. It campaigns at once: no lease but its own,
    /// which ended with its process, can run in that view.
    pub(super) fn is_resuming(&self) -> bool {
        self.headed_view() > 0
            && self.leadership.is_none()
            && self.voter.may_have_unknown_lease(self.now_ms)
    }

    /// Whether a lease that this member granted before its start can only have been `candidate`'s, which campaigns again. Leases
    /// are granted once their view is on disk, so that none can have been granted in a later view than that one; heads of
    /// earlier views lost theirs when a majority promised for it. `headed_view` is what the candidate says of its own disk.
    fn granted_to_none_but(&self, candidate: Member, headed_view: u64) -> bool {
        let view = self.durable.view.as_ref();
        view.is_some_and(|view| view.number == headed_view && view.head() == Some(candidate))
    }

    /// Whether this member is bound to a head other than `candidate`, which heads the view `headed_view` on its disk (0:
    /// none).
    pub(super) fn is_bound_against(&self, candidate: Member, headed_view: u64) -> bool {
        let is_leased = self.voter.is_leased_against(candidate, self.now_ms);
        let is_acting = candidate != self.durable.member && self.may_act(self.now_ms);
        let may_be_leased = self.voter.may_have_unknown_lease(self.now_ms)
            && !self.granted_to_none_but(candidate, headed_view);
        is_leased || is_acting || may_be_leased
    }

    pub(super) fn on_release(&mut self, from: Member, number: u64) {
        if self.voter.release_lease(from, number) {
            self.campaign_at_ms =
                self.now_ms + BACKOFF_SPREAD_MS + self.random_below(BACKOFF_SPREAD_MS);
        }
    }

    pub(super) fn on_campaign_now(&mut self, from: Member, number: u64) {
        if self.view() != number || self.campaign.is_some() || self.leadership.is_some() {
            return;
        }
        if self.voter.lease().is_none_or(|lease| lease.head == from) {
            self.voter.clear_lease();
            self.start_campaign();
        }
    }
}

//! How a member follows a head: the leases that it grants with its answers to heartbeats, the candidates that it must
//! reject because of a lease, its answers to pre-votes, and its announcements while it knows no head. The submodule
//! `voter` keeps the lease and the pre-vote granted last.
//!
//! A head acts while a majority has granted it a lease (Gray and Cheriton 1989), and counts each lease from when it
//! sent the heartbeat. Clocks therefore need not be synchronized; they only have to run at nearly the same rate.

mod voter;

use super::context::Context;
use super::store_queue::AfterStore;
use crate::message::{Grant, Message, PreVote, PreVoteReply};
use crate::timing::{ANNOUNCE_INTERVAL_MS, LEASE_MS, UNRESPONSIVE_HEAD_MS};
use crate::types::{Member, View, ViewNumber};
use std::net::SocketAddr;
use voter::{Lease, Voter};

/// A member's state as a voter that follows a head or looks for one.
#[derive(Debug)]
pub(super) struct Follower {
    voter: Voter,
    /// When the next announcement is due; heartbeats postpone it.
    announcement_due_ms: u64,
}

impl Follower {
    /// Creates a voter that may have granted a lease before its start, which ends by `vote_from_ms`. It announces
    /// itself at once.
    pub(super) fn new(vote_from_ms: u64, now_ms: u64) -> Follower {
        Follower {
            voter: Voter::new(vote_from_ms),
            announcement_due_ms: now_ms,
        }
    }

    /// Returns the lease and the pre-vote that bind this member.
    pub(super) fn voter(&self) -> &Voter {
        &self.voter
    }

    /// Forgets the lease granted last, because this member leads itself or its head asks it to campaign.
    pub(super) fn clear_lease(&mut self) {
        self.voter.clear_lease();
    }

    /// Handles a head's release of its lease; returns false if the lease granted last is for another head or view.
    pub(super) fn handle_release(&mut self, head: Member, number: ViewNumber) -> bool {
        self.voter.release_lease(head, number)
    }

    /// Returns true if no lease has been granted or the one granted last is for `head`.
    pub(super) fn is_unbound_or_bound_to(&self, head: Member) -> bool {
        self.voter.lease().is_none_or(|lease| lease.head == head)
    }

    /// Grants a lease to the head of a view that this member follows, and answers the heartbeat sent at `sent_ms` of
    /// the head's clock. Returns until when this member is bound by the lease.
    pub(super) fn grant_lease(
        &mut self,
        context: &mut Context,
        head: Member,
        view: &View,
        sent_ms: u64,
    ) -> u64 {
        let until_ms = context.now_ms() + LEASE_MS;
        self.voter.grant_lease(Lease {
            head,
            number: view.number,
            sent_ms,
            until_ms,
        });
        self.announcement_due_ms = context.now_ms() + UNRESPONSIVE_HEAD_MS;
        if view.number > context.stores.stored_view() {
            context.stores.request_store_then(AfterStore::Grant);
        } else {
            self.send_grant(context);
        }
        until_ms
    }

    /// Answers the last heartbeat if its view is on disk: after a restart only the view on disk shows to which head a
    /// lease may have been granted.
    pub(super) fn send_grant(&self, context: &mut Context) {
        let stored_view = context.stores.stored_view();
        let lease = self
            .voter
            .lease()
            .filter(|lease| lease.number <= stored_view);
        let Some(lease) = lease else {
            return;
        };
        let message = Message::Grant(Grant {
            number: lease.number,
            sent_ms: lease.sent_ms,
            viewstamp: context.stores.stored_viewstamp(),
            store_age_ms: context.stores.age_ms(context.now_ms()),
            draining: context.is_draining(),
            address: context.settings().address.clone(),
        });
        context.send(lease.head.internal, message);
    }

    /// Returns true if a lease binds this member to a head other than `candidate`, or may do so after a restart.
    /// `headed_view` is the number of the view on the candidate's disk if the candidate heads it, and 0 otherwise.
    pub(super) fn is_bound_to_other_than(
        &self,
        context: &Context,
        candidate: Member,
        headed_view: ViewNumber,
    ) -> bool {
        let now_ms = context.now_ms();
        let may_be_leased = self.voter.may_have_unknown_lease(now_ms)
            && !can_only_have_granted_to(context, candidate, headed_view);
        self.voter.has_leased_to_other_than(candidate, now_ms) || may_be_leased
    }

    /// Returns true if another candidate has been granted a pre-vote within
    /// [`PRE_VOTE_HOLD_MS`](crate::timing::PRE_VOTE_HOLD_MS).
    pub(super) fn has_pre_voted_for_other_than(&self, candidate: Member, now_ms: u64) -> bool {
        self.voter.has_pre_voted_for_other_than(candidate, now_ms)
    }

    /// Answers a pre-vote and remembers it if it is granted.
    pub(super) fn answer_pre_vote(
        &mut self,
        context: &mut Context,
        from: Member,
        pre_vote: &PreVote,
        granted: bool,
    ) {
        if granted {
            self.voter.grant_pre_vote(from, context.now_ms());
        }
        let reply = Message::PreVoteReply(PreVoteReply {
            request_id: pre_vote.request_id,
            granted,
            promised: context.record.promised,
            view: context.record.view.clone(),
            agreed: context.record.agreed,
        });
        context.send(from.internal, reply);
    }

    /// Returns when the next announcement is due, for a member that does not lead.
    pub(super) fn announcement_due_ms(&self) -> u64 {
        self.announcement_due_ms
    }

    /// Announces this member to `peers` and schedules the next announcement.
    pub(super) fn run_announcement(&mut self, context: &mut Context, peers: Vec<SocketAddr>) {
        self.announcement_due_ms = context.now_ms() + ANNOUNCE_INTERVAL_MS;
        for peer in peers {
            let address = context.settings().address.clone();
            context.send(peer, Message::Announce { address });
        }
    }
}

/// Returns true if a lease that this member granted before its start can only have been granted to `candidate`, which
/// campaigns again. A lease is granted once its view is on disk, so none can belong to a view later than the one on
/// disk; heads of earlier views lost their leases when a majority promised the number of that view. `headed_view` is
/// the number of the view on the candidate's disk if the candidate heads it, and 0 otherwise.
fn can_only_have_granted_to(context: &Context, candidate: Member, headed_view: ViewNumber) -> bool {
    let view = context.record.view.as_ref();
    view.is_some_and(|view| view.number == headed_view && view.head() == Some(candidate))
}

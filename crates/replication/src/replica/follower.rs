//! How a member follows a head: the leases that it grants with its answers to heartbeats, which candidate it is bound
//! against, its pre-votes, and its announcements while it hears of no head. Child: what binds it.
//!
//! A head acts while a majority has granted it a lease (Gray and Cheriton 1989), and counts each one from when it sent the
//! heartbeat, so that clocks need not agree; they only have to run at nearly the same rate.

mod voter;

use super::context::Context;
use super::store_queue::AfterStore;
use crate::message::{Grant, Message, PreVote, PreVoteReply};
use crate::timing::{ANNOUNCE_INTERVAL_MS, LEASE_MS, UNRESPONSIVE_HEAD_MS};
use crate::types::{Member, View, ViewNumber};
use std::net::SocketAddr;
use voter::{Lease, Voter};

/// A member as a voter that follows a head, or looks for one.
#[derive(Debug)]
pub(super) struct Follower {
    voter: Voter,
    /// When to announce itself, unless a heartbeat comes before.
    announce_at_ms: u64,
}

impl Follower {
    /// A voter that may have granted a lease which ends by `vote_from_ms`; it announces itself at once.
    pub(super) fn new(vote_from_ms: u64, now_ms: u64) -> Follower {
        Follower {
            voter: Voter::new(vote_from_ms),
            announce_at_ms: now_ms,
        }
    }

    /// Whom this member is bound to.
    pub(super) fn voter(&self) -> &Voter {
        &self.voter
    }

    /// The lease granted is not in force any more: this member leads itself, or its head has released it.
    pub(super) fn clear_lease(&mut self) {
        self.voter.clear_lease();
    }

    /// The head of this view gives its lease back; `false` if another head's is in force.
    pub(super) fn handle_release(&mut self, head: Member, number: ViewNumber) -> bool {
        self.voter.release_lease(head, number)
    }

    /// Whether the lease granted last, if any, is this head's.
    pub(super) fn is_bound_to_none_but(&self, head: Member) -> bool {
        self.voter.lease().is_none_or(|lease| lease.head == head)
    }

    /// Grants a lease to the head of a view that this member follows, and answers the heartbeat sent at `sent_ms` of the
    /// head's clock. Returns until when it is bound.
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
        self.announce_at_ms = context.now_ms() + UNRESPONSIVE_HEAD_MS;
        if view.number > context.stores.stored_view() {
            context.stores.request_store_then(AfterStore::Grant);
        } else {
            self.send_grant(context);
        }
        until_ms
    }

    /// Answers the last heartbeat once its view is on disk: after a restart only the view on disk says to which head a
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

    /// Whether this member, as a voter, is bound to a head other than `candidate`, which heads the view `headed_view` on
    /// its disk (0: none).
    pub(super) fn is_bound_against(
        &self,
        context: &Context,
        candidate: Member,
        headed_view: ViewNumber,
    ) -> bool {
        let now_ms = context.now_ms();
        let may_be_leased = self.voter.may_have_unknown_lease(now_ms)
            && !granted_to_none_but(context, candidate, headed_view);
        self.voter.is_leased_against(candidate, now_ms) || may_be_leased
    }

    /// Whether another candidate has been granted a pre-vote just now.
    pub(super) fn has_pre_voted_against(&self, candidate: Member, now_ms: u64) -> bool {
        self.voter.has_pre_voted_against(candidate, now_ms)
    }

    /// Answers a pre-vote.
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

    /// When the next announcement is due, for a member that does not lead.
    pub(super) fn announcement_due_ms(&self) -> u64 {
        self.announce_at_ms
    }

    /// Announces this member to `peers` when that is due.
    pub(super) fn run_announcement(&mut self, context: &mut Context, peers: Vec<SocketAddr>) {
        self.announce_at_ms = context.now_ms() + ANNOUNCE_INTERVAL_MS;
        for peer in peers {
            let address = context.settings().address.clone();
            context.send(peer, Message::Announce { address });
        }
    }
}

/// Whether a lease that this member granted before its start can only have been `candidate`'s, which campaigns again. Leases
/// are granted once their view is on disk, so that none can have been granted in a later view than that one; heads of
/// earlier views lost theirs when a majority promised for it. `headed_view` is what the candidate says of its own disk.
fn granted_to_none_but(context: &Context, candidate: Member, headed_view: ViewNumber) -> bool {
    let view = context.record.view.as_ref();
    view.is_some_and(|view| view.number == headed_view && view.head() == Some(candidate))
}

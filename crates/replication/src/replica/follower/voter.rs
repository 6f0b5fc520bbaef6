//! What binds a voter in addition to the promises in its record: the lease and the pre-vote that it granted last.
//! `follower` grants and clears leases when it handles heartbeats and releases of the head.
//!
//! None of this is on disk. A restarted voter therefore counts as bound for one lease time after its start.

use crate::timing::PRE_VOTE_HOLD_MS;
use crate::types::{Member, ViewNumber};

/// A promise to vote for no candidate other than `head` until `until_ms`.
#[derive(Clone, Copy, Debug)]
pub(in crate::replica) struct Lease {
    pub head: Member,
    /// Number of the head's view.
    pub number: ViewNumber,
    /// `sent_ms` of the heartbeat; the answer carries it.
    pub sent_ms: u64,
    /// When the lease expires, on this member's clock.
    pub until_ms: u64,
}

/// The pre-vote that this member granted last.
#[derive(Debug)]
struct PreVoteGranted {
    candidate: Member,
    until_ms: u64,
}

/// The lease and the pre-vote that bind a voter.
#[derive(Debug)]
pub(in crate::replica) struct Voter {
    /// Set by each heartbeat of the followed head; cleared when the head gives up the lease or asks this member to
    /// campaign, or when this member leads itself.
    lease: Option<Lease>,
    pre_vote: Option<PreVoteGranted>,
    /// Time until which a lease granted before the start may run.
    vote_from_ms: u64,
}

impl Voter {
    /// Creates a voter that may have granted a lease before its start, which ends by `vote_from_ms`.
    pub(in crate::replica) fn new(vote_from_ms: u64) -> Voter {
        Voter {
            lease: None,
            pre_vote: None,
            vote_from_ms,
        }
    }

    /// Returns the lease granted last, even if it has expired; `None` if it was cleared or none was granted.
    pub(in crate::replica) fn lease(&self) -> Option<&Lease> {
        self.lease.as_ref()
    }

    /// Replaces the lease granted last.
    pub(in crate::replica) fn grant_lease(&mut self, lease: Lease) {
        self.lease = Some(lease);
    }

    /// Forgets the lease granted last.
    pub(in crate::replica) fn clear_lease(&mut self) {
        self.lease = None;
    }

    /// Forgets the lease if it is for this head and view; returns false otherwise.
    pub(in crate::replica) fn release_lease(&mut self, head: Member, number: ViewNumber) -> bool {
        let is_released = |lease: &mut Lease| lease.head == head && lease.number == number;
        self.lease.take_if(is_released).is_some()
    }

    /// Returns true if a lease granted to a member other than `candidate` is running.
    pub(in crate::replica) fn has_leased_to_other_than(
        &self,
        candidate: Member,
        now_ms: u64,
    ) -> bool {
        self.lease
            .is_some_and(|lease| lease.head != candidate && now_ms < lease.until_ms)
    }

    /// Returns true if a lease granted before the start may still run.
    pub(in crate::replica) fn may_have_unknown_lease(&self, now_ms: u64) -> bool {
        now_ms < self.vote_from_ms
    }

    /// Returns until when this member may not campaign itself; at least `now_ms`.
    pub(in crate::replica) fn bound_until_ms(&self, now_ms: u64) -> u64 {
        let lease_until_ms = self.lease.map_or(0, |lease| lease.until_ms);
        lease_until_ms.max(self.vote_from_ms).max(now_ms)
    }

    /// Records a granted pre-vote; for [`PRE_VOTE_HOLD_MS`] no other candidate gets one.
    pub(in crate::replica) fn grant_pre_vote(&mut self, candidate: Member, now_ms: u64) {
        self.pre_vote = Some(PreVoteGranted {
            candidate,
            until_ms: now_ms + PRE_VOTE_HOLD_MS,
        });
    }

    /// Returns true if another candidate has been granted a pre-vote within [`PRE_VOTE_HOLD_MS`].
    pub(in crate::replica) fn has_pre_voted_for_other_than(
        &self,
        candidate: Member,
        now_ms: u64,
    ) -> bool {
        self.pre_vote
            .as_ref()
            .is_some_and(|granted| granted.candidate != candidate && now_ms < granted.until_ms)
    }
}

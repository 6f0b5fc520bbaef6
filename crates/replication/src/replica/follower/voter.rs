//! What binds a voter beside the record on its disk: the lease that it has granted, and its answer to a pre-vote.
//! Leases are granted and given up in `follower`, where heartbeats and releases of the head are handled.
//!
//! Nothing of this is on disk. A voter that was started again therefore counts as bound for a whole lease after its start.

use crate::timing::PRE_VOTE_GRANTED_MS;
use crate::types::{Member, ViewNumber};

/// A promise to vote for no candidate but `head` for a time.
#[derive(Clone, Copy, Debug)]
pub(in crate::replica) struct Lease {
    pub head: Member,
    /// Number of the head's view.
    pub number: ViewNumber,
    /// The heartbeat's `sent_ms`; the answer carries it.
    pub sent_ms: u64,
    /// On this member's clock.
    pub until_ms: u64,
}

/// The candidate to which this member has granted a pre-vote last.
#[derive(Debug)]
struct PreVoteGranted {
    candidate: Member,
    until_ms: u64,
}

/// To whom a voter is bound.
#[derive(Debug)]
pub(in crate::replica) struct Voter {
    /// Set by each heartbeat that is answered; cleared when the head gives the lease back, or this member leads itself.
    lease: Option<Lease>,
    pre_vote: Option<PreVoteGranted>,
    /// Until then a lease may run that was granted before the start.
    vote_from_ms: u64,
}

impl Voter {
    /// A voter that may have granted a lease which ends by `vote_from_ms`.
    pub(in crate::replica) fn new(vote_from_ms: u64) -> Voter {
        Voter {
            lease: None,
            pre_vote: None,
            vote_from_ms,
        }
    }

    /// The lease granted last, whether it has expired or not.
    pub(in crate::replica) fn lease(&self) -> Option<&Lease> {
        self.lease.as_ref()
    }

    /// Grants a lease, in place of any other.
    pub(in crate::replica) fn grant_lease(&mut self, lease: Lease) {
        self.lease = Some(lease);
    }

    /// Forgets the lease granted.
    pub(in crate::replica) fn clear_lease(&mut self) {
        self.lease = None;
    }

    /// Forgets the lease of this head and view; `false` if it is another's.
    pub(in crate::replica) fn release_lease(&mut self, head: Member, number: ViewNumber) -> bool {
        let is_released = |lease: &mut Lease| lease.head == head && lease.number == number;
        self.lease.take_if(is_released).is_some()
    }

    /// A lease runs that was granted to another member than `candidate`.
    pub(in crate::replica) fn is_leased_against(&self, candidate: Member, now_ms: u64) -> bool {
        self.lease
            .is_some_and(|lease| lease.head != candidate && now_ms < lease.until_ms)
    }

    /// A lease may run that was granted before the start.
    pub(in crate::replica) fn may_have_unknown_lease(&self, now_ms: u64) -> bool {
        now_ms < self.vote_from_ms
    }

    /// Until when this member may not campaign itself.
    pub(in crate::replica) fn bound_until_ms(&self, now_ms: u64) -> u64 {
        let granted = self.lease.map_or(0, |lease| lease.until_ms);
        granted.max(self.vote_from_ms).max(now_ms)
    }

    /// Grants a pre-vote; for [`PRE_VOTE_GRANTED_MS`] no other candidate gets one.
    pub(in crate::replica) fn grant_pre_vote(&mut self, candidate: Member, now_ms: u64) {
        self.pre_vote = Some(PreVoteGranted {
            candidate,
            until_ms: now_ms + PRE_VOTE_GRANTED_MS,
        });
    }

    /// Another candidate has been granted a pre-vote just now.
    pub(in crate::replica) fn has_pre_voted_against(&self, candidate: Member, now_ms: u64) -> bool {
        self.pre_vote
            .as_ref()
            .is_some_and(|granted| granted.candidate != candidate && now_ms < granted.until_ms)
    }
}

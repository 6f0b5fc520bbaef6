//! Plans the next view of a head: members that are slow, unresponsive or draining leave the chain, others join it;
//! voters are added, removed and replaced one at a time.
//!
//! Voters change one at a time and only on top of an established view, so that majorities of the old and the new view
//! overlap. An even number of voters tolerates no more losses than the odd number below it, so the planner aims at odd
//! numbers.

use super::leadership::Leadership;
use super::peer::Peer;
use crate::replica::candidate::Plan;
use crate::replica::io::Settings;
use crate::timing::{
    REJOIN_LAG_WRITES, REJOIN_STORE_AGE_MS, REMOVE_AFTER_MS, REMOVE_LONE_AFTER_MS,
    REPLACE_AFTER_MS, SLOW_MEMBER_MS, SYNCHRONIZE_TIMEOUT_MS, UNRESPONSIVE_MEMBER_MS, VOTERS_MAX,
};
use crate::types::{Member, ViewNumber};

/// A single change to the voters.
enum VoterChange {
    Add(Member),
    Remove(Member),
    Replace {
        old_voter: Member,
        new_voter: Member,
    },
}

/// Snapshot of the head's knowledge of its cluster, from which it plans the next view.
#[derive(Debug)]
pub(super) struct Planner<'a> {
    pub settings: &'a Settings,
    pub leadership: &'a Leadership,
    /// The head.
    pub own_member: Member,
    /// Highest number that the head has promised.
    pub promised: ViewNumber,
    /// Sequence number of the head's last write.
    pub head_seq: u64,
    pub now_ms: u64,
}

impl Planner<'_> {
    /// Returns voters and chain of the next view; `None` if the current view needs no change.
    pub(super) fn plan(&self) -> Option<Plan> {
        let view = self.leadership.view();
        let voters = self.planned_voters();
        let chain = self.planned_chain(&voters);
        let is_changed = voters != view.voters || chain != view.chain;
        let has_promised_later = |voter| self.peer(voter).is_some_and(Peer::has_promised_later);
        let is_superseded =
            self.promised != view.number || view.voters.iter().copied().any(has_promised_later);
        (is_changed || is_superseded).then_some(Plan { voters, chain })
    }

    fn peer(&self, member: Member) -> Option<&Peer> {
        self.leadership.peer(member)
    }

    fn planned_voters(&self) -> Vec<Member> {
        let mut voters = self.leadership.view().voters.clone();
        match self.voter_change() {
            Some(VoterChange::Add(new_voter)) => voters.push(new_voter),
            Some(VoterChange::Remove(old_voter)) => voters.retain(|&voter| voter != old_voter),
            Some(VoterChange::Replace {
                old_voter,
                new_voter,
            }) => {
                voters.retain(|&voter| voter != old_voter);
                voters.push(new_voter);
            }
            None => {}
        }
        voters
    }

    /// Returns the next step towards an odd number of responsive voters. With an even number a partition into two
    /// halves would leave neither half a majority.
    fn voter_change(&self) -> Option<VoterChange> {
        if !self.leadership.is_synchronized() {
            return None;
        }
        let newcomers = self.ready_newcomers();
        self.lost_disk_replacement(&newcomers)
            .or_else(|| self.unresponsive_replacement(&newcomers))
            .or_else(|| self.addition(&newcomers))
            .or_else(|| self.surplus_voter().map(VoterChange::Remove))
    }

    /// Replaces a voter that has lost its disk by the newcomer at the same address.
    fn lost_disk_replacement(&self, newcomers: &[Member]) -> Option<VoterChange> {
        let voters = &self.leadership.view().voters;
        newcomers.iter().find_map(|&new_voter| {
            let has_address = |voter: &&Member| voter.internal == new_voter.internal;
            let old_voter = *voters.iter().find(has_address)?;
            Some(VoterChange::Replace {
                old_voter,
                new_voter,
            })
        })
    }

    fn unresponsive_replacement(&self, newcomers: &[Member]) -> Option<VoterChange> {
        let old_voter = *self.unresponsive_voters(REPLACE_AFTER_MS).first()?;
        let new_voter = *newcomers.first()?;
        Some(VoterChange::Replace {
            old_voter,
            new_voter,
        })
    }

    fn addition(&self, newcomers: &[Member]) -> Option<VoterChange> {
        let voter_count = self.leadership.view().voters.len();
        let is_voter_wanted = voter_count < self.target_voter_count(voter_count + newcomers.len());
        let new_voter = *newcomers.first().filter(|_| is_voter_wanted)?;
        Some(VoterChange::Add(new_voter))
    }

    /// Returns the members that do not vote but could.
    fn ready_newcomers(&self) -> Vec<Member> {
        let is_ready = |peer: &Peer| self.is_fit(peer) && peer.may_rejoin(self.now_ms);
        let peers = self.leadership.peers().iter();
        peers
            .filter(|(member, _)| !self.leadership.view().voters.contains(member))
            .filter(|(_, peer)| is_ready(peer))
            .map(|(&member, _)| member)
            .collect()
    }

    /// Returns the voters that have sent nothing for at least `silence_duration_ms`, the longest silent one first.
    fn unresponsive_voters(&self, silence_duration_ms: u64) -> Vec<Member> {
        let since_received_ms = |voter: Member| {
            self.peer(voter)
                .map_or(0, |peer| peer.since_received_ms(self.now_ms))
        };
        let voters = self.leadership.view().voters.iter().copied();
        let mut unresponsive_voters: Vec<Member> = voters
            .filter(|&voter| voter != self.own_member)
            .filter(|&voter| since_received_ms(voter) >= silence_duration_ms)
            .collect();
        unresponsive_voters.sort_by_key(|&voter| std::cmp::Reverse(since_received_ms(voter)));
        unresponsive_voters
    }

    /// Returns a voter to remove while there are more voters than required. If the number of voters is even, this is an
    /// unresponsive voter, or else one outside the chain, or else the last of the chain. If it is odd, this is one of
    /// several unresponsive voters, or a single one that has been unresponsive for [`REMOVE_LONE_AFTER_MS`].
    fn surplus_voter(&self) -> Option<Member> {
        let view = self.leadership.view();
        if view.voters.len() <= self.settings.voters_min() {
            return None;
        }
        let unresponsive_voters = self.unresponsive_voters(REMOVE_AFTER_MS);
        if view.voters.len().is_multiple_of(2) {
            let voter_outside_chain = view.voters.iter().find(|voter| !view.chain.contains(voter));
            let surplus_voter = unresponsive_voters
                .first()
                .or(voter_outside_chain)
                .or(view.chain.last());
            return surplus_voter.copied();
        }
        let long_unresponsive_voters = self.unresponsive_voters(REMOVE_LONE_AFTER_MS);
        let one_of_several = unresponsive_voters
            .first()
            .filter(|_| unresponsive_voters.len() > 1);
        one_of_several.or(long_unresponsive_voters.first()).copied()
    }

    /// Returns how many of `member_count` members should vote: an odd number, at least the minimum of the settings and
    /// at most [`VOTERS_MAX`].
    fn target_voter_count(&self, member_count: usize) -> usize {
        let odd_count = if member_count.is_multiple_of(2) {
            member_count.saturating_sub(1)
        } else {
            member_count
        };
        odd_count.max(self.settings.voters_min()).min(VOTERS_MAX)
    }

    /// Returns true if a member outside the chain could join it: it has nearly all of the head's rows, is responsive
    /// with a fast disk, and is not draining.
    fn is_fit(&self, peer: &Peer) -> bool {
        let viewstamp = peer.report().viewstamp;
        viewstamp.view == self.leadership.view().number
            && viewstamp.seq + REJOIN_LAG_WRITES >= self.head_seq
            && peer.report().store_age_ms < REJOIN_STORE_AGE_MS
            && peer.since_received_ms(self.now_ms) < UNRESPONSIVE_MEMBER_MS / 2
            && !peer.report().draining
    }

    /// Returns the current chain without the members that delay it, and with those that have caught up.
    fn planned_chain(&self, voters: &[Member]) -> Vec<Member> {
        let chain = self.leadership.view().chain.iter().copied();
        let (delaying_members, mut planned_members): (Vec<Member>, Vec<Member>) = chain
            .filter(|member| voters.contains(member))
            .partition(|&member| self.delays_chain(member));
        planned_members.extend(self.joining_voters(voters, !delaying_members.is_empty()));
        // A chain that would be too short keeps some of the members that delay it.
        let lacking_count = self
            .settings
            .chain_min(voters.len())
            .saturating_sub(planned_members.len());
        planned_members.extend(delaying_members.into_iter().take(lacking_count));
        planned_members
    }

    /// Returns the voters outside the chain that join it. Until the chain has taken over the view's first state, they
    /// join only to replace a member that delays it (`is_needed`); without a replacement such a chain might never be
    /// complete.
    fn joining_voters(&self, voters: &[Member], is_needed: bool) -> Vec<Member> {
        let is_synchronizing = !self.leadership.is_synchronized();
        if is_synchronizing && !is_needed {
            return Vec::new();
        }
        let may_rejoin = |peer: &Peer| is_synchronizing || peer.may_rejoin(self.now_ms);
        let joins = |peer: &Peer| self.is_fit(peer) && may_rejoin(peer);
        // A member that is removed from the chain now is not among these; it rejoins after its exclusion.
        let voters_outside_chain = voters
            .iter()
            .copied()
            .filter(|voter| !self.leadership.view().chain.contains(voter));
        voters_outside_chain
            .filter(|&voter| self.peer(voter).is_some_and(joins))
            .collect()
    }

    /// Returns true if a member of the chain is unresponsive, draining, or slower than the others.
    fn delays_chain(&self, member: Member) -> bool {
        if member == self.own_member {
            return false;
        }
        let Some(peer) = self.peer(member) else {
            return false;
        };
        let lacks_first_state = peer.report().viewstamp.view != self.leadership.view().number
            && self.leadership.view_age_ms(self.now_ms) >= SYNCHRONIZE_TIMEOUT_MS;
        peer.report().draining
            || peer.since_received_ms(self.now_ms) >= UNRESPONSIVE_MEMBER_MS
            || lacks_first_state
            || self.is_slow(member)
    }

    /// Returns true if a member has not stored a write for [`SLOW_MEMBER_MS`] that enough other members for a chain
    /// have stored.
    fn is_slow(&self, member: Member) -> bool {
        let leadership = self.leadership;
        let Some(oldest_missing_batch) = leadership.oldest_missing(member) else {
            return false;
        };
        let has_stored = |&&chain_member: &&Member| {
            leadership.viewstamp_of(chain_member).seq >= oldest_missing_batch.batch.seq
        };
        let stored_count = leadership.view().chain.iter().filter(has_stored).count();
        let is_late = self.now_ms >= oldest_missing_batch.sent_ms + SLOW_MEMBER_MS;
        let chain_min = self.settings.chain_min(leadership.view().voters.len());
        leadership.is_synchronized() && is_late && stored_count >= chain_min
    }
}

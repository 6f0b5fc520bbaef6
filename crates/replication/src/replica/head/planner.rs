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
    Replace { old: Member, new: Member },
}

/// Snapshot of the head's knowledge of its cluster, from which it plans the next view.
#[derive(Debug)]
pub(super) struct Planner<'a> {
    pub settings: &'a Settings,
    pub leadership: &'a Leadership,
    /// The head.
    pub own: Member,
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
            Some(VoterChange::Add(new)) => voters.push(new),
            Some(VoterChange::Remove(old)) => voters.retain(|&voter| voter != old),
            Some(VoterChange::Replace { old, new }) => {
                voters.retain(|&voter| voter != old);
                voters.push(new);
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
        newcomers.iter().find_map(|&new| {
            let has_address = |voter: &&Member| voter.internal == new.internal;
            let old = *voters.iter().find(has_address)?;
            Some(VoterChange::Replace { old, new })
        })
    }

    fn unresponsive_replacement(&self, newcomers: &[Member]) -> Option<VoterChange> {
        let old = *self.unresponsive_voters(REPLACE_AFTER_MS).first()?;
        let new = *newcomers.first()?;
        Some(VoterChange::Replace { old, new })
    }

    fn addition(&self, newcomers: &[Member]) -> Option<VoterChange> {
        let voters = self.leadership.view().voters.len();
        let is_wanted = voters < self.target_voter_count(voters + newcomers.len());
        let new = *newcomers.first().filter(|_| is_wanted)?;
        Some(VoterChange::Add(new))
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

    /// Returns the voters that have sent nothing for at least `for_ms`, the longest silent one first.
    fn unresponsive_voters(&self, for_ms: u64) -> Vec<Member> {
        let since_received_ms = |voter: Member| {
            self.peer(voter)
                .map_or(0, |peer| peer.since_received_ms(self.now_ms))
        };
        let voters = self.leadership.view().voters.iter().copied();
        let mut unresponsive: Vec<Member> = voters
            .filter(|&voter| voter != self.own)
            .filter(|&voter| since_received_ms(voter) >= for_ms)
            .collect();
        unresponsive.sort_by_key(|&voter| std::cmp::Reverse(since_received_ms(voter)));
        unresponsive
    }

    /// Returns a voter to remove while there are more voters than required. If the number of voters is even, this is an
    /// unresponsive voter, or else one outside the chain, or else the last of the chain. If it is odd, this is one of
    /// several unresponsive voters, or a single one that has been unresponsive for [`REMOVE_LONE_AFTER_MS`].
    fn surplus_voter(&self) -> Option<Member> {
        let view = self.leadership.view();
        if view.voters.len() <= self.settings.voters_min() {
            return None;
        }
        let unresponsive = self.unresponsive_voters(REMOVE_AFTER_MS);
        if view.voters.len().is_multiple_of(2) {
            let outside = view.voters.iter().find(|voter| !view.chain.contains(voter));
            let surplus = unresponsive.first().or(outside).or(view.chain.last());
            return surplus.copied();
        }
        let lone = self.unresponsive_voters(REMOVE_LONE_AFTER_MS);
        let several = unresponsive.first().filter(|_| unresponsive.len() > 1);
        several.or(lone.first()).copied()
    }

    /// Returns how many of `members` members should vote: an odd number, at least the minimum of the settings and at
    /// most [`VOTERS_MAX`].
    fn target_voter_count(&self, members: usize) -> usize {
        let odd = if members.is_multiple_of(2) {
            members.saturating_sub(1)
        } else {
            members
        };
        odd.max(self.settings.voters_min()).min(VOTERS_MAX)
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
        let (delaying, mut planned): (Vec<Member>, Vec<Member>) = chain
            .filter(|member| voters.contains(member))
            .partition(|&member| self.delays_chain(member));
        planned.extend(self.joining_voters(voters, !delaying.is_empty()));
        // A chain that would be too short keeps some of the members that delay it.
        let lacking = self
            .settings
            .chain_min(voters.len())
            .saturating_sub(planned.len());
        planned.extend(delaying.into_iter().take(lacking));
        planned
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
        let outside = voters
            .iter()
            .copied()
            .filter(|voter| !self.leadership.view().chain.contains(voter));
        outside
            .filter(|&voter| self.peer(voter).is_some_and(joins))
            .collect()
    }

    /// Returns true if a member of the chain is unresponsive, draining, or slower than the others.
    fn delays_chain(&self, member: Member) -> bool {
        if member == self.own {
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
        let Some(oldest) = leadership.oldest_missing(member) else {
            return false;
        };
        let has_stored = |&&other: &&Member| leadership.viewstamp_of(other).seq >= oldest.batch.seq;
        let stored = leadership.view().chain.iter().filter(has_stored).count();
        let is_late = self.now_ms >= oldest.sent_ms + SLOW_MEMBER_MS;
        let chain_min = self.settings.chain_min(leadership.view().voters.len());
        leadership.is_synchronized() && is_late && stored >= chain_min
    }
}

//! What a head's view should become: members that are slow, unresponsive or draining leave the chain, others join it;
//! voters are added, removed and replaced one at a time.
//!
//! One change of the voters at a time, on top of an established view, keeps majorities of the view before and the view
//! after overlapping. An even number of voters bears no more losses than the odd number below it, so that the planner aims
//! at odd numbers.

use super::leadership::Leadership;
use super::peer::Peer;
use crate::replica::candidate::Plan;
use crate::replica::io::Settings;
use crate::timing::{
    REJOIN_LAG_WRITES, REJOIN_STORE_AGE_MS, REMOVE_AFTER_MS, REMOVE_LONE_AFTER_MS,
    REPLACE_AFTER_MS, SLOW_MEMBER_MS, SYNCHRONIZE_MS, UNRESPONSIVE_MEMBER_MS, VOTERS_MAX,
};
use crate::types::{Member, ViewNumber};

/// One change of the voters.
enum VoterChange {
    Add(Member),
    Remove(Member),
    Replace { old: Member, new: Member },
}

/// A head's view of its cluster at one moment.
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
    /// What the view should become; `None` where it is good as it is.
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

    /// The next step towards an odd number of voters, all of them responsive. With an even number a partition into two
    /// halves would leave neither half a majority.
    fn voter_change(&self) -> Option<VoterChange> {
        if !self.leadership.is_synchronized() {
            return None;
        }
        let newcomers = self.ready_newcomers();
        self.wiped_replacement(&newcomers)
            .or_else(|| self.unresponsive_replacement(&newcomers))
            .or_else(|| self.addition(&newcomers))
            .or_else(|| self.surplus_voter().map(VoterChange::Remove))
    }

    /// A newcomer takes the place of the voter that had its address, and has lost its disk.
    fn wiped_replacement(&self, newcomers: &[Member]) -> Option<VoterChange> {
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
        let is_wanted = voters < self.voters_aimed_at(voters + newcomers.len());
        let new = *newcomers.first().filter(|_| is_wanted)?;
        Some(VoterChange::Add(new))
    }

    /// Members that are no voters, and could be.
    fn ready_newcomers(&self) -> Vec<Member> {
        let is_ready = |peer: &Peer| self.is_fit(peer) && peer.may_rejoin(self.now_ms);
        let peers = self.leadership.peers().iter();
        peers
            .filter(|(member, _)| !self.leadership.view().voters.contains(member))
            .filter(|(_, peer)| is_ready(peer))
            .map(|(&member, _)| member)
            .collect()
    }

    /// Voters of which nothing has been received for `for_ms`, the longest first.
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

    /// A voter beyond those wanted: an unresponsive one (later if an even number would be left for it alone), and of an
    /// even number one that is not in the chain, or the last of the chain.
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

    /// How many voters there should be among so many members.
    fn voters_aimed_at(&self, members: usize) -> usize {
        let odd = if members.is_multiple_of(2) {
            members.saturating_sub(1)
        } else {
            members
        };
        odd.max(self.settings.voters_min()).min(VOTERS_MAX)
    }

    /// Whether a member outside the chain has the head's rows, stays, and could go on as a part of the chain.
    fn is_fit(&self, peer: &Peer) -> bool {
        let viewstamp = peer.report().viewstamp;
        viewstamp.view == self.leadership.view().number
            && viewstamp.seq + REJOIN_LAG_WRITES >= self.head_seq
            && peer.report().store_age_ms < REJOIN_STORE_AGE_MS
            && peer.since_received_ms(self.now_ms) < UNRESPONSIVE_MEMBER_MS / 2
            && !peer.report().draining
    }

    /// The present chain without those that delay it, and with those that have caught up.
    fn planned_chain(&self, voters: &[Member]) -> Vec<Member> {
        let chain = self.leadership.view().chain.iter().copied();
        let (delaying, mut planned): (Vec<Member>, Vec<Member>) = chain
            .filter(|member| voters.contains(member))
            .partition(|&member| self.slows_chain(member));
        planned.extend(self.joining(voters, !delaying.is_empty()));
        // A chain that would be too short keeps some of those that delay it.
        let lacking = self
            .settings
            .chain_min(voters.len())
            .saturating_sub(planned.len());
        planned.extend(delaying.into_iter().take(lacking));
        planned
    }

    /// Voters outside the chain that are taken into it. While the chain has not taken over the view's first state, only
    /// to replace one that delays it (`is_needed`): such a chain may never come together otherwise.
    fn joining(&self, voters: &[Member], is_needed: bool) -> Vec<Member> {
        let is_synchronizing = !self.leadership.is_synchronized();
        if is_synchronizing && !is_needed {
            return Vec::new();
        }
        let may_rejoin = |peer: &Peer| is_synchronizing || peer.may_rejoin(self.now_ms);
        let joins = |peer: &Peer| self.is_fit(peer) && may_rejoin(peer);
        // One that is left out now has been in the chain: it joins again later, when its time of exclusion is over.
        let outside = voters
            .iter()
            .copied()
            .filter(|voter| !self.leadership.view().chain.contains(voter));
        outside
            .filter(|&voter| self.peer(voter).is_some_and(joins))
            .collect()
    }

    /// A member of the chain that is unresponsive, draining, or slower than the others.
    fn slows_chain(&self, member: Member) -> bool {
        if member == self.own {
            return false;
        }
        let Some(peer) = self.peer(member) else {
            return false;
        };
        let lacks_first_state = peer.report().viewstamp.view != self.leadership.view().number
            && self.leadership.view_age_ms(self.now_ms) >= SYNCHRONIZE_MS;
        peer.report().draining
            || peer.since_received_ms(self.now_ms) >= UNRESPONSIVE_MEMBER_MS
            || lacks_first_state
            || self.is_slow(member)
    }

    /// A member that has not stored a write for a while, which enough others for a chain have stored.
    fn is_slow(&self, member: Member) -> bool {
        let leadership = self.leadership;
        let Some(oldest) = leadership.oldest_lacking(member) else {
            return false;
        };
        let has_stored = |&&other: &&Member| leadership.viewstamp_of(other).seq >= oldest.batch.seq;
        let stored = leadership.view().chain.iter().filter(has_stored).count();
        let is_late = self.now_ms >= oldest.sent_ms + SLOW_MEMBER_MS;
        let chain_min = self.settings.chain_min(leadership.view().voters.len());
        leadership.is_synchronized() && is_late && stored >= chain_min
    }
}

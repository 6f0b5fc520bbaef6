//! How the head changes its view: members that are slow, silent or about to stop leave the chain, others join it;
//! voters are added, removed and replaced one at a time.

use super::Replica;
use super::campaign::Plan;
use super::leadership::{Leadership, Peer};
use crate::timing::{
    INSTALL_MS, RECONFIGURE_MS, REJOIN_LAG_WRITES, REJOIN_STORE_AGE_MS, REMOVE_AFTER_MS,
    REMOVE_LONE_AFTER_MS, REPLACE_AFTER_MS, SLOW_MEMBER_MS, UNRESPONSIVE_MEMBER_MS, VOTERS_MAX,
};
use crate::types::Member;

/// One change of the voters.
enum VoterChange {
    Add(Member),
    Remove(Member),
    Replace { old: Member, new: Member },
}

impl Replica {
    /// Starts a new view under this head where the present one should change.
    pub(super) fn reconfigure(&mut self) {
        let own = self.durable.member;
        if self.campaign.is_some() || self.is_draining() || self.stores.is_failing() {
            return;
        }
        let Some(leadership) = &self.leadership else {
            return;
        };
        let has_lease = self.now_ms < leadership.lease_until_ms(own);
        if self.now_ms < leadership.reconfigure_ms || !has_lease {
            return;
        }
        let Some(plan) = self.plan(leadership) else {
            return;
        };
        let number = self
            .durable
            .promised
            .max(self.number_floor)
            .max(leadership.view.number)
            + 1;
        self.exclude_dropped(&plan);
        self.delay_reconfiguration();
        self.prepare(number, None, Some(plan));
    }

    pub(super) fn delay_reconfiguration(&mut self) {
        if let Some(leadership) = &mut self.leadership {
            leadership.reconfigure_ms = self.now_ms + RECONFIGURE_MS;
        }
    }

    fn exclude_dropped(&mut self, plan: &Plan) {
        let now_ms = self.now_ms;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        for member in &leadership.view.chain {
            if !plan.chain.contains(member)
                && let Some(peer) = leadership.peers.get_mut(member)
            {
                peer.exclude(now_ms);
            }
        }
    }

    /// What the view should become; `None` where it is good as it is.
    fn plan(&self, leadership: &Leadership) -> Option<Plan> {
        let voters = self.planned_voters(leadership);
        let chain = self.planned_chain(leadership, &voters);
        let changed = voters != leadership.view.voters || chain != leadership.view.chain;
        let superseded = self.durable.promised != leadership.view.number
            || leadership.view.voters.iter().any(|v| {
                leadership
                    .peers
                    .get(v)
                    .is_some_and(|peer| peer.has_promised_later)
            });
        (changed || superseded).then_some(Plan { voters, chain })
    }

    fn planned_voters(&self, leadership: &Leadership) -> Vec<Member> {
        let mut voters = leadership.view.voters.clone();
        match self.voter_change(leadership) {
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

    /// The next step towards an odd number of voters, all of them in touch. An even number bears no more losses than the
    /// odd one below it, and a cut into two halves leaves neither half a majority.
    fn voter_change(&self, leadership: &Leadership) -> Option<VoterChange> {
        if !leadership.is_installed {
            return None;
        }
        let newcomers = self.ready_newcomers(leadership);
        let replacement = newcomers.iter().find_map(|&new| {
            let old = wiped_voter(leadership, new)?;
            Some(VoterChange::Replace { old, new })
        });
        let replace_unresponsive = || {
            let old = self
                .unresponsive_voters(leadership, REPLACE_AFTER_MS)
                .first()
                .copied()?;
            Some(VoterChange::Replace {
                old,
                new: newcomers.first().copied()?,
            })
        };
        let members = leadership.view.voters.len() + newcomers.len();
        let add = || {
            let is_wanted = leadership.view.voters.len() < self.voters_aimed_at(members);
            newcomers
                .first()
                .copied()
                .filter(|_| is_wanted)
                .map(VoterChange::Add)
        };
        let remove = || self.surplus_voter(leadership).map(VoterChange::Remove);
        replacement
            .or_else(replace_unresponsive)
            .or_else(add)
            .or_else(remove)
    }

    /// Members that are no voters, and could be.
    fn ready_newcomers(&self, leadership: &Leadership) -> Vec<Member> {
        let is_ready = |peer: &Peer| self.is_fit(leadership, peer) && self.now_ms >= peer.rejoin_ms;
        let newcomers = leadership
            .peers
            .iter()
            .filter(|(member, _)| !leadership.view.voters.contains(member));
        newcomers
            .filter(|(_, peer)| is_ready(peer))
            .map(|(&member, _)| member)
            .collect()
    }

    /// Voters that have not been heard for `for_ms`, the most silent first.
    fn unresponsive_voters(&self, leadership: &Leadership, for_ms: u64) -> Vec<Member> {
        let own = self.durable.member;
        let since_received_ms = |voter: Member| {
            leadership
                .peers
                .get(&voter)
                .map_or(0, |p| p.since_received_ms(self.now_ms))
        };
        let others = leadership
            .view
            .voters
            .iter()
            .copied()
            .filter(|&voter| voter != own);
        let mut unresponsive: Vec<Member> = others
            .filter(|&voter| since_received_ms(voter) >= for_ms)
            .collect();
        unresponsive.sort_by_key(|&voter| std::cmp::Reverse(since_received_ms(voter)));
        unresponsive
    }

    /// A voter beyond those wanted: a silent one (later if an even number would be left for it alone), and of an even
    /// number one that is not in the chain, or the last of the chain.
    fn surplus_voter(&self, leadership: &Leadership) -> Option<Member> {
        let voters = &leadership.view.voters;
        if voters.len() <= self.voters_wanted() {
            return None;
        }
        let unresponsive = self.unresponsive_voters(leadership, REMOVE_AFTER_MS);
        if voters.len().is_multiple_of(2) {
            let outside = voters
                .iter()
                .copied()
                .find(|voter| !leadership.view.chain.contains(voter));
            return unresponsive.first().copied().or(outside).or(leadership
                .view
                .chain
                .last()
                .copied());
        }
        let lone = self.unresponsive_voters(leadership, REMOVE_LONE_AFTER_MS);
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
        odd.max(self.voters_wanted()).min(VOTERS_MAX)
    }

    fn voters_wanted(&self) -> usize {
        self.settings
            .seeds
            .len()
            .max(2 * self.settings.tolerated_losses + 1)
    }

    /// Whether a member outside the chain has the head's rows, stays, and could go on as a part of the chain.
    fn is_fit(&self, leadership: &Leadership, peer: &Peer) -> bool {
        let viewstamp = peer.health.viewstamp;
        viewstamp.view == leadership.view.number
            && viewstamp.seq + REJOIN_LAG_WRITES >= self.durable.viewstamp.seq
            && peer.health.store_age_ms < REJOIN_STORE_AGE_MS
            && peer.since_received_ms(self.now_ms) < UNRESPONSIVE_MEMBER_MS / 2
            && !peer.health.draining
    }

    /// The present chain without those that hold it up, and with those that have caught up.
    fn planned_chain(&self, leadership: &Leadership, voters: &[Member]) -> Vec<Member> {
        let chain_min = self.chain_min(voters.len());
        let present: Vec<Member> = leadership
            .view
            .chain
            .iter()
            .copied()
            .filter(|member| voters.contains(member))
            .collect();
        let (delaying, mut chain): (Vec<Member>, Vec<Member>) = present
            .into_iter()
            .partition(|&member| self.slows_chain(leadership, member));
        chain.extend(self.joining(leadership, voters, !delaying.is_empty()));
        // A chain that would be too short keeps some of those that hold it up.
        let lacking = chain_min.saturating_sub(chain.len());
        chain.extend(delaying.into_iter().take(lacking));
        chain
    }

    /// Voters outside the chain that are taken into it. While the chain has not taken over the view's first state, only
    /// to replace one that holds it up (`needed`): such a chain may never come together otherwise.
    fn joining(&self, leadership: &Leadership, voters: &[Member], needed: bool) -> Vec<Member> {
        let installing = !leadership.is_installed;
        if installing && !needed {
            return Vec::new();
        }
        let joins = |voter: &Member| {
            let may_rejoin = |peer: &Peer| installing || self.now_ms >= peer.rejoin_ms;
            leadership
                .peers
                .get(voter)
                .is_some_and(|peer| self.is_fit(leadership, peer) && may_rejoin(peer))
        };
        // One that is left out now has been in the chain: it joins again later, when its time of exclusion is over.
        voters
            .iter()
            .copied()
            .filter(|v| !leadership.view.chain.contains(v) && joins(v))
            .collect()
    }

    /// A member of the chain that is silent, about to stop, or slower than the others.
    fn slows_chain(&self, leadership: &Leadership, member: Member) -> bool {
        let own = self.durable.member;
        if member == own {
            return false;
        }
        let Some(peer) = leadership.peers.get(&member) else {
            return false;
        };
        let lacks_start = peer.health.viewstamp.view != leadership.view.number
            && self.now_ms >= leadership.view_since_ms + INSTALL_MS;
        peer.health.draining
            || peer.since_received_ms(self.now_ms) >= UNRESPONSIVE_MEMBER_MS
            || lacks_start
            || self.is_slow(leadership, member)
    }

    fn is_slow(&self, leadership: &Leadership, member: Member) -> bool {
        let own = self.durable.member;
        let Some(oldest) = leadership.oldest_lacking(member, own) else {
            return false;
        };
        let seq = oldest.batch.seq;
        let have = leadership
            .view
            .chain
            .iter()
            .filter(|&&m| leadership.viewstamp_of(m, own).seq >= seq)
            .count();
        let late = self.now_ms >= oldest.sent_ms + SLOW_MEMBER_MS;
        leadership.is_installed && late && have >= self.chain_min(leadership.view.voters.len())
    }
}

/// The voter that had the address of `new`, and has lost its disk.
fn wiped_voter(leadership: &Leadership, new: Member) -> Option<Member> {
    leadership
        .view
        .voters
        .iter()
        .copied()
        .find(|voter| voter.internal == new.internal)
}

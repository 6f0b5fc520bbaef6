//! How a voter becomes the head of the next view: canvass, promises, newest state, acceptance.

use super::campaign::{Campaign, Phase, Plan, Promised, is_majority};
use super::{AfterStore, Replica};
use crate::message::Message;
use crate::timing::{
    BACKOFF_MS, BACKOFF_SPREAD_MS, CANVASS_MS, MORE_PROMISES_MS, PHASE_MS, REFUSED_WAIT_MS,
    RESUME_CANVASS_MS, RESUME_STAND_MS,
};
use crate::types::{Member, View, Viewstamp, majority};
use std::collections::{BTreeMap, BTreeSet};

impl Replica {
    pub(super) fn election_due_ms(&self) -> Option<u64> {
        match &self.campaign {
            Some(campaign) => {
                let more = campaign
                    .majority_ms
                    .filter(|_| campaign.phase == Phase::Prepare);
                let more_due = more.map_or(u64::MAX, |at| at + MORE_PROMISES_MS);
                Some(campaign.deadline_ms.min(more_due))
            }
            None => (self.leadership.is_none() && self.may_stand()).then_some(self.stand_at_ms),
        }
    }

    pub(super) fn run_election(&mut self) {
        if self
            .campaign
            .as_ref()
            .is_some_and(|c| self.now_ms >= c.deadline_ms)
        {
            self.fail_candidacy();
        }
        self.decide_promises();
        let due =
            self.campaign.is_none() && self.leadership.is_none() && self.now_ms >= self.stand_at_ms;
        if due && self.may_stand() {
            self.start_candidacy();
        }
    }

    fn may_stand(&self) -> bool {
        let Some(view) = &self.durable.view else {
            return false;
        };
        let own = &self.durable.member;
        let votes = view.voters.contains(own)
            || (!self.durable.agreed && view.previous_voters.contains(own));
        votes && !self.is_leaving()
    }

    /// Gives up being a candidate; stands again after a random time.
    pub(super) fn fail_candidacy(&mut self) {
        self.campaign = None;
        if matches!(&self.pull, Some(pull) if pull.is_for_candidate()) {
            self.pull = None;
        }
        self.stand_at_ms = match self.resumes() {
            true => self.now_ms + RESUME_STAND_MS,
            false => self.now_ms + BACKOFF_MS + self.random_below(BACKOFF_SPREAD_MS),
        };
        self.delay_reconfiguration();
    }

    /// Asks whether a majority would support this member; nothing is promised yet.
    pub(super) fn start_candidacy(&mut self) {
        let own = self.durable.member;
        if self.is_bound_against(own, self.headed()) {
            self.stand_at_ms =
                self.bound_until_ms() + BACKOFF_MS + self.random_below(BACKOFF_SPREAD_MS);
            return;
        }
        self.last_round += 1;
        let phase = Phase::PreVote {
            round: self.last_round,
        };
        let deadline_ms = self.now_ms
            + if self.resumes() {
                RESUME_CANVASS_MS
            } else {
                CANVASS_MS
            };
        let Some(campaign) = self.new_candidacy(phase, deadline_ms, None) else {
            return;
        };
        self.campaign = Some(campaign);
        self.ask_voters();
        self.count_canvass(own);
    }

    fn new_candidacy(
        &self,
        phase: Phase,
        deadline_ms: u64,
        plan: Option<Plan>,
    ) -> Option<Campaign> {
        Some(Campaign {
            phase,
            number: 0,
            known: self.durable.view.clone()?,
            promised: self.durable.promised,
            asked: BTreeSet::from([self.durable.member]),
            agreed: BTreeSet::new(),
            refused: BTreeSet::new(),
            promises: BTreeMap::new(),
            majority_ms: None,
            deadline_ms,
            plan,
        })
    }

    /// Sends this phase's question to all voters that have not had it yet.
    fn ask_voters(&mut self) {
        let headed = self.headed();
        let Some(campaign) = &mut self.campaign else {
            return;
        };
        let message = match campaign.phase {
            Phase::PreVote { round } => Message::PreVote {
                round,
                viewstamp: self.durable.viewstamp,
                headed,
            },
            Phase::Prepare => Message::Prepare {
                number: campaign.number,
                headed,
            },
            Phase::Fetch | Phase::Propose { .. } => return,
        };
        let new: Vec<Member> = campaign
            .voters()
            .difference(&campaign.asked)
            .copied()
            .collect();
        campaign.asked.extend(&new);
        for voter in new {
            self.send(voter.internal, message.clone());
        }
    }

    pub(super) fn on_canvass_reply(
        &mut self,
        from: Member,
        round: u64,
        support: bool,
        promised: u64,
        view: Option<View>,
    ) {
        let Some(campaign) = &mut self.campaign else {
            return;
        };
        if campaign.phase != (Phase::PreVote { round }) {
            return;
        }
        campaign.promised = campaign.promised.max(promised);
        if let Some(view) = view {
            campaign.learn(view);
        }
        if support {
            self.count_canvass(from);
        } else {
            campaign.refused.insert(from);
            if campaign.is_hopeless() {
                self.fail_candidacy();
                return;
            }
        }
        self.ask_voters();
    }

    fn count_canvass(&mut self, from: Member) {
        let Some(campaign) = &mut self.campaign else {
            return;
        };
        campaign.agreed.insert(from);
        if !campaign.has_majority(&campaign.agreed) {
            return;
        }
        let number = campaign.promised.max(campaign.known.number) + 1;
        let known = campaign.known.clone();
        if known.voters.contains(&self.durable.member) {
            self.prepare(number, Some(known), None);
        } else {
            self.fail_candidacy();
        }
    }

    /// Asks for promises; `plan` is what a head wants to change.
    pub(super) fn prepare(&mut self, number: u64, known: Option<View>, plan: Option<Plan>) {
        let deadline_ms = self.now_ms + PHASE_MS;
        let Some(mut campaign) = self.new_candidacy(Phase::Prepare, deadline_ms, plan) else {
            return;
        };
        campaign.number = number;
        campaign.known = known.unwrap_or(campaign.known);
        self.campaign = Some(campaign);
        self.pull = None;
        self.durable.promised = number;
        self.stores.want_then(AfterStore::OwnPromise { number });
        self.ask_voters();
    }

    pub(super) fn on_own_promise(&mut self, number: u64) {
        self.on_promise(
            self.durable.member,
            number,
            self.durable.view.clone(),
            self.durable.viewstamp,
            false,
        );
    }

    pub(super) fn on_promise(
        &mut self,
        from: Member,
        number: u64,
        view: Option<View>,
        viewstamp: Viewstamp,
        leaving: bool,
    ) {
        let Some(campaign) = self.campaign.as_mut().filter(|c| c.number == number) else {
            return;
        };
        if campaign.phase != Phase::Prepare {
            return;
        }
        if let Some(view) = view {
            campaign.learn(view);
        }
        campaign.agreed.insert(from);
        campaign
            .promises
            .insert(from, Promised { viewstamp, leaving });
        self.ask_voters();
        self.decide_promises();
    }

    /// Goes on once there is a majority of promises, and all others have come or take too long.
    fn decide_promises(&mut self) {
        let own = self.durable.member;
        let Some(campaign) = self.campaign.as_mut().filter(|c| c.phase == Phase::Prepare) else {
            return;
        };
        let ready = campaign.agreed.contains(&own) && campaign.has_majority(&campaign.agreed);
        if !ready {
            return;
        }
        let since = *campaign.majority_ms.get_or_insert(self.now_ms);
        let answered = campaign.agreed.len() + campaign.refused.len();
        if answered < campaign.asked.len() && self.now_ms < since + MORE_PROMISES_MS {
            return;
        }
        let Some((holder, newest)) = campaign.newest(own) else {
            return;
        };
        let number = campaign.number;
        if holder == own {
            self.propose(newest);
        } else {
            campaign.phase = Phase::Fetch;
            campaign.deadline_ms = self.now_ms + PHASE_MS;
            self.abdicate();
            self.pull_as_candidate(holder, number, newest);
        }
    }

    pub(super) fn on_fetched(&mut self, number: u64) {
        let fetched = self
            .campaign
            .as_ref()
            .is_some_and(|c| c.number == number && c.phase == Phase::Fetch);
        if fetched {
            self.propose(self.durable.viewstamp);
        }
    }

    /// Proposes the view on top of the state `base`, which this member has on disk.
    fn propose(&mut self, base: Viewstamp) {
        let own = self.durable.member;
        let Some(view) = self.campaign.as_ref().and_then(|c| self.next_view(c, base)) else {
            self.fail_candidacy();
            return;
        };
        let Some(campaign) = &mut self.campaign else {
            return;
        };
        campaign.phase = Phase::Propose { view: view.clone() };
        campaign.deadline_ms = self.now_ms + PHASE_MS;
        campaign.agreed.clear();
        campaign.refused.clear();
        let number = view.number;
        let all: BTreeSet<Member> = view
            .voters
            .iter()
            .chain(&view.previous_voters)
            .copied()
            .collect();
        self.durable.view = Some(view.clone());
        self.durable.agreed = false;
        self.stores.want_then(AfterStore::OwnAccepted { number });
        for member in all.into_iter().filter(|&member| member != own) {
            self.send(member.internal, Message::Accept { view: view.clone() });
        }
    }

    /// The view to propose; `None` where no chain comes together.
    fn next_view(&self, campaign: &Campaign, base: Viewstamp) -> Option<View> {
        let known = &campaign.known;
        // Voters change only on top of an established view.
        let fits = |plan: &&Plan| known.is_established() || plan.voters == known.voters;
        let plan = campaign.plan.as_ref().filter(fits);
        let voters = plan.map_or(&known.voters, |plan| &plan.voters);
        let chain = match plan {
            Some(plan) => planned_chain(plan, campaign, known),
            None => elected_chain(
                self.durable.member,
                voters,
                campaign,
                base,
                self.chain_min(voters.len()),
            ),
        };
        let enough = chain.len() >= self.chain_min(voters.len());
        let leads =
            chain.first() == Some(&self.durable.member) && voters.contains(&self.durable.member);
        (enough && leads).then(|| View {
            number: campaign.number,
            voters: voters.clone(),
            previous_voters: known.previous_voters.clone(),
            chain,
            base,
        })
    }

    /// Least length of the chain with so many voters.
    pub(super) fn chain_min(&self, voters: usize) -> usize {
        majority(voters).max(voters.min(self.settings.tolerated_losses + 1))
    }

    pub(super) fn on_accepted(&mut self, from: Member, number: u64) {
        let Some(campaign) = self.campaign.as_mut().filter(|c| c.number == number) else {
            return;
        };
        let Phase::Propose { view } = &campaign.phase else {
            return;
        };
        campaign.agreed.insert(from);
        let own = campaign.agreed.contains(&self.durable.member);
        let holds = is_majority(&view.voters, &campaign.agreed)
            && is_majority(&view.previous_voters, &campaign.agreed);
        if own && holds {
            let view = view.clone();
            self.campaign = None;
            self.lead(view);
        }
    }

    pub(super) fn on_refuse(&mut self, from: Member, number: u64, promised: u64) {
        self.note_refusal(from, number, promised);
        let Some(campaign) = self.campaign.as_mut().filter(|c| c.number == number) else {
            return;
        };
        campaign.promised = campaign.promised.max(promised);
        campaign.refused.insert(from);
        if promised >= number {
            campaign.deadline_ms = campaign.deadline_ms.min(self.now_ms + REFUSED_WAIT_MS);
        }
        if campaign.is_hopeless() {
            self.fail_candidacy();
        }
    }
}

/// The chain that a head has planned, without those that have not promised.
fn planned_chain(plan: &Plan, campaign: &Campaign, known: &View) -> Vec<Member> {
    let may_join =
        |member: &Member| campaign.promises.contains_key(member) || !known.voters.contains(member);
    plan.chain.iter().copied().filter(may_join).collect()
}

/// The candidate, then the voters that have promised: those that are up to date, and others where these are too few.
fn elected_chain(
    own: Member,
    voters: &[Member],
    campaign: &Campaign,
    base: Viewstamp,
    least: usize,
) -> Vec<Member> {
    let mut others: Vec<(Member, Promised)> = campaign
        .promises
        .iter()
        .filter(|(member, _)| **member != own && voters.contains(member))
        .map(|(&member, &promised)| (member, promised))
        .collect();
    others.sort_by_key(|(member, promised)| {
        (
            promised.leaving,
            std::cmp::Reverse(promised.viewstamp),
            *member,
        )
    });
    let mut chain = vec![own];
    for (member, promised) in others {
        let fit = promised.viewstamp.view == base.view && !promised.leaving;
        if fit || chain.len() < least {
            chain.push(member);
        }
    }
    chain
}

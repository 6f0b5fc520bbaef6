//! How a voter becomes the head of the next view: canvass, promises, newest state, acceptance.

use super::candidacy::{Candidacy, Phase, Plan, Promised, is_majority};
use super::{AfterStore, Replica};
use crate::message::Message;
use crate::timing::{
    BACKOFF_MS, BACKOFF_SPREAD_MS, CANVASS_MS, MORE_PROMISES_MS, PHASE_MS, REFUSED_WAIT_MS,
    RESUME_CANVASS_MS, RESUME_STAND_MS,
};
use crate::types::{Mark, Member, View, majority};
use std::collections::{BTreeMap, BTreeSet};

impl Replica {
    pub(super) fn election_due_ms(&self) -> Option<u64> {
        match &self.candidacy {
            Some(candidacy) => {
                let more = candidacy
                    .majority_ms
                    .filter(|_| candidacy.phase == Phase::Prepare);
                let more_due = more.map_or(u64::MAX, |at| at + MORE_PROMISES_MS);
                Some(candidacy.deadline_ms.min(more_due))
            }
            None => (self.tenure.is_none() && self.may_stand()).then_some(self.stand_at_ms),
        }
    }

    pub(super) fn run_election(&mut self) {
        if self
            .candidacy
            .as_ref()
            .is_some_and(|c| self.now_ms >= c.deadline_ms)
        {
            self.fail_candidacy();
        }
        self.decide_promises();
        let due =
            self.candidacy.is_none() && self.tenure.is_none() && self.now_ms >= self.stand_at_ms;
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
        self.candidacy = None;
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
        let phase = Phase::Canvass {
            round: self.last_round,
        };
        let deadline_ms = self.now_ms
            + if self.resumes() {
                RESUME_CANVASS_MS
            } else {
                CANVASS_MS
            };
        let Some(candidacy) = self.new_candidacy(phase, deadline_ms, None) else {
            return;
        };
        self.candidacy = Some(candidacy);
        self.ask_voters();
        self.count_canvass(own);
    }

    fn new_candidacy(
        &self,
        phase: Phase,
        deadline_ms: u64,
        plan: Option<Plan>,
    ) -> Option<Candidacy> {
        Some(Candidacy {
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
        let Some(candidacy) = &mut self.candidacy else {
            return;
        };
        let message = match candidacy.phase {
            Phase::Canvass { round } => Message::Canvass {
                round,
                mark: self.durable.mark,
                headed,
            },
            Phase::Prepare => Message::Prepare {
                number: candidacy.number,
                headed,
            },
            Phase::Fetch | Phase::Propose { .. } => return,
        };
        let new: Vec<Member> = candidacy
            .voters()
            .difference(&candidacy.asked)
            .copied()
            .collect();
        candidacy.asked.extend(&new);
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
        let Some(candidacy) = &mut self.candidacy else {
            return;
        };
        if candidacy.phase != (Phase::Canvass { round }) {
            return;
        }
        candidacy.promised = candidacy.promised.max(promised);
        if let Some(view) = view {
            candidacy.learn(view);
        }
        if support {
            self.count_canvass(from);
        } else {
            candidacy.refused.insert(from);
            if candidacy.is_hopeless() {
                self.fail_candidacy();
                return;
            }
        }
        self.ask_voters();
    }

    fn count_canvass(&mut self, from: Member) {
        let Some(candidacy) = &mut self.candidacy else {
            return;
        };
        candidacy.agreed.insert(from);
        if !candidacy.has_majority(&candidacy.agreed) {
            return;
        }
        let number = candidacy.promised.max(candidacy.known.number) + 1;
        let known = candidacy.known.clone();
        if known.voters.contains(&self.durable.member) {
            self.prepare(number, Some(known), None);
        } else {
            self.fail_candidacy();
        }
    }

    /// Asks for promises; `plan` is what a head wants to change.
    pub(super) fn prepare(&mut self, number: u64, known: Option<View>, plan: Option<Plan>) {
        let deadline_ms = self.now_ms + PHASE_MS;
        let Some(mut candidacy) = self.new_candidacy(Phase::Prepare, deadline_ms, plan) else {
            return;
        };
        candidacy.number = number;
        candidacy.known = known.unwrap_or(candidacy.known);
        self.candidacy = Some(candidacy);
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
            self.durable.mark,
            false,
        );
    }

    pub(super) fn on_promise(
        &mut self,
        from: Member,
        number: u64,
        view: Option<View>,
        mark: Mark,
        leaving: bool,
    ) {
        let Some(candidacy) = self.candidacy.as_mut().filter(|c| c.number == number) else {
            return;
        };
        if candidacy.phase != Phase::Prepare {
            return;
        }
        if let Some(view) = view {
            candidacy.learn(view);
        }
        candidacy.agreed.insert(from);
        candidacy.promises.insert(from, Promised { mark, leaving });
        self.ask_voters();
        self.decide_promises();
    }

    /// Goes on once there is a majority of promises, and all others have come or take too long.
    fn decide_promises(&mut self) {
        let own = self.durable.member;
        let Some(candidacy) = self
            .candidacy
            .as_mut()
            .filter(|c| c.phase == Phase::Prepare)
        else {
            return;
        };
        let ready = candidacy.agreed.contains(&own) && candidacy.has_majority(&candidacy.agreed);
        if !ready {
            return;
        }
        let since = *candidacy.majority_ms.get_or_insert(self.now_ms);
        let answered = candidacy.agreed.len() + candidacy.refused.len();
        if answered < candidacy.asked.len() && self.now_ms < since + MORE_PROMISES_MS {
            return;
        }
        let Some((holder, newest)) = candidacy.newest(own) else {
            return;
        };
        let number = candidacy.number;
        if holder == own {
            self.propose(newest);
        } else {
            candidacy.phase = Phase::Fetch;
            candidacy.deadline_ms = self.now_ms + PHASE_MS;
            self.abdicate();
            self.pull_as_candidate(holder, number, newest);
        }
    }

    pub(super) fn on_fetched(&mut self, number: u64) {
        let fetched = self
            .candidacy
            .as_ref()
            .is_some_and(|c| c.number == number && c.phase == Phase::Fetch);
        if fetched {
            self.propose(self.durable.mark);
        }
    }

    /// Proposes the view on top of the state `base`, which this member has on disk.
    fn propose(&mut self, base: Mark) {
        let own = self.durable.member;
        let Some(view) = self
            .candidacy
            .as_ref()
            .and_then(|c| self.next_view(c, base))
        else {
            self.fail_candidacy();
            return;
        };
        let Some(candidacy) = &mut self.candidacy else {
            return;
        };
        candidacy.phase = Phase::Propose { view: view.clone() };
        candidacy.deadline_ms = self.now_ms + PHASE_MS;
        candidacy.agreed.clear();
        candidacy.refused.clear();
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
    fn next_view(&self, candidacy: &Candidacy, base: Mark) -> Option<View> {
        let known = &candidacy.known;
        // Voters change only on top of an established view.
        let fits = |plan: &&Plan| known.is_established() || plan.voters == known.voters;
        let plan = candidacy.plan.as_ref().filter(fits);
        let voters = plan.map_or(&known.voters, |plan| &plan.voters);
        let chain = match plan {
            Some(plan) => planned_chain(plan, candidacy, known),
            None => elected_chain(
                self.durable.member,
                voters,
                candidacy,
                base,
                self.chain_min(voters.len()),
            ),
        };
        let enough = chain.len() >= self.chain_min(voters.len());
        let leads =
            chain.first() == Some(&self.durable.member) && voters.contains(&self.durable.member);
        (enough && leads).then(|| View {
            number: candidacy.number,
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
        let Some(candidacy) = self.candidacy.as_mut().filter(|c| c.number == number) else {
            return;
        };
        let Phase::Propose { view } = &candidacy.phase else {
            return;
        };
        candidacy.agreed.insert(from);
        let own = candidacy.agreed.contains(&self.durable.member);
        let holds = is_majority(&view.voters, &candidacy.agreed)
            && is_majority(&view.previous_voters, &candidacy.agreed);
        if own && holds {
            let view = view.clone();
            self.candidacy = None;
            self.lead(view);
        }
    }

    pub(super) fn on_refuse(&mut self, from: Member, number: u64, promised: u64) {
        self.note_refusal(from, number, promised);
        let Some(candidacy) = self.candidacy.as_mut().filter(|c| c.number == number) else {
            return;
        };
        candidacy.promised = candidacy.promised.max(promised);
        candidacy.refused.insert(from);
        if promised >= number {
            candidacy.deadline_ms = candidacy.deadline_ms.min(self.now_ms + REFUSED_WAIT_MS);
        }
        if candidacy.is_hopeless() {
            self.fail_candidacy();
        }
    }
}

/// The chain that a head has planned, without those that have not promised.
fn planned_chain(plan: &Plan, candidacy: &Candidacy, known: &View) -> Vec<Member> {
    let may_join =
        |member: &Member| candidacy.promises.contains_key(member) || !known.voters.contains(member);
    plan.chain.iter().copied().filter(may_join).collect()
}

/// The candidate, then the voters that have promised: those that are up to date, and others where these are too few.
fn elected_chain(
    own: Member,
    voters: &[Member],
    candidacy: &Candidacy,
    base: Mark,
    least: usize,
) -> Vec<Member> {
    let mut others: Vec<(Member, Promised)> = candidacy
        .promises
        .iter()
        .filter(|(member, _)| **member != own && voters.contains(member))
        .map(|(&member, &promised)| (member, promised))
        .collect();
    others.sort_by_key(|(member, promised)| {
        (promised.leaving, std::cmp::Reverse(promised.mark), *member)
    });
    let mut chain = vec![own];
    for (member, promised) in others {
        let fit = promised.mark.view == base.view && !promised.leaving;
        if fit || chain.len() < least {
            chain.push(member);
        }
    }
    chain
}

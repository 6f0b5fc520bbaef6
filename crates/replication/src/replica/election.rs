//! How a voter becomes the head of the next view, in the phases of Paxos: a pre-vote (Raft thesis, section 9.6), promises,
//! the transfer of the newest state among those that have promised, and acceptance.

use super::campaign::{Campaign, Phase, Plan, Promised, is_majority};
use super::proposal::next_view;
use super::{AfterStore, Replica};
use crate::message::{Message, PreVote, PreVoteReply, PrepareOk};
use crate::timing::{
    BACKOFF_MS, BACKOFF_SPREAD_MS, MORE_PREPARE_OKS_MS, PHASE_MS, PRE_VOTE_MS, REJECTED_WAIT_MS,
    RESUME_CAMPAIGN_MS, RESUME_PRE_VOTE_MS,
};
use crate::types::{Member, View, Viewstamp};
use std::collections::{BTreeMap, BTreeSet};

impl Replica {
    pub(super) fn election_due_ms(&self) -> Option<u64> {
        match &self.campaign {
            Some(campaign) => {
                let more = campaign
                    .majority_ms
                    .filter(|_| campaign.phase == Phase::Prepare);
                let more_due = more.map_or(u64::MAX, |at| at + MORE_PREPARE_OKS_MS);
                Some(campaign.deadline_ms.min(more_due))
            }
            None => {
                (self.leadership.is_none() && self.may_campaign()).then_some(self.campaign_at_ms)
            }
        }
    }

    pub(super) fn run_election(&mut self) {
        if self
            .campaign
            .as_ref()
            .is_some_and(|c| self.now_ms >= c.deadline_ms)
        {
            self.fail_campaign();
        }
        self.decide_prepare();
        let due = self.campaign.is_none()
            && self.leadership.is_none()
            && self.now_ms >= self.campaign_at_ms;
        if due && self.may_campaign() {
            self.start_campaign();
        }
    }

    fn may_campaign(&self) -> bool {
        let Some(view) = &self.durable.view else {
            return false;
        };
        let own = &self.durable.member;
        let votes = view.voters.contains(own)
            || (!self.durable.agreed && view.previous_voters.contains(own));
        votes && !self.is_draining()
    }

    /// Gives up being a candidate; stands again after a random time.
    pub(super) fn fail_campaign(&mut self) {
        self.campaign = None;
        if matches!(&self.transfer, Some(transfer) if transfer.is_for_candidate()) {
            self.transfer = None;
        }
        self.campaign_at_ms = match self.is_resuming() {
            true => self.now_ms + RESUME_CAMPAIGN_MS,
            false => self.now_ms + BACKOFF_MS + self.random_below(BACKOFF_SPREAD_MS),
        };
        self.delay_reconfiguration();
    }

    /// Asks whether a majority would support this member; nothing is promised yet.
    pub(super) fn start_campaign(&mut self) {
        let own = self.durable.member;
        if self.is_bound_against(own, self.headed_view()) {
            self.campaign_at_ms = self.voter.bound_until_ms(self.now_ms)
                + BACKOFF_MS
                + self.random_below(BACKOFF_SPREAD_MS);
            return;
        }
        self.last_request_id += 1;
        let phase = Phase::PreVote {
            request_id: self.last_request_id,
        };
        let deadline_ms = self.now_ms
            + if self.is_resuming() {
                RESUME_PRE_VOTE_MS
            } else {
                PRE_VOTE_MS
            };
        let Some(campaign) = self.new_campaign(phase, deadline_ms, None) else {
            return;
        };
        self.campaign = Some(campaign);
        self.request_votes();
        self.count_pre_vote(own);
    }

    fn new_campaign(&self, phase: Phase, deadline_ms: u64, plan: Option<Plan>) -> Option<Campaign> {
        Some(Campaign {
            phase,
            number: 0,
            known: self.durable.view.clone()?,
            promised: self.durable.promised,
            requested: BTreeSet::from([self.durable.member]),
            agreed: BTreeSet::new(),
            rejected: BTreeSet::new(),
            promises: BTreeMap::new(),
            majority_ms: None,
            deadline_ms,
            plan,
        })
    }

    /// Sends this phase's question to all voters that have not had it yet.
    fn request_votes(&mut self) {
        let headed_view = self.headed_view();
        let Some(campaign) = &mut self.campaign else {
            return;
        };
        let message = match campaign.phase {
            Phase::PreVote { request_id } => Message::PreVote(PreVote {
                request_id,
                viewstamp: self.durable.viewstamp,
                headed_view,
            }),
            Phase::Prepare => Message::Prepare {
                number: campaign.number,
                headed_view,
            },
            Phase::Fetch | Phase::Propose { .. } => return,
        };
        let new: Vec<Member> = campaign
            .voters()
            .difference(&campaign.requested)
            .copied()
            .collect();
        campaign.requested.extend(&new);
        for voter in new {
            self.send(voter.internal, message.clone());
        }
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: Member, reply: PreVoteReply) {
        let Some(campaign) = &mut self.campaign else {
            return;
        };
        let request_id = reply.request_id;
        if campaign.phase != (Phase::PreVote { request_id }) {
            return;
        }
        campaign.promised = campaign.promised.max(reply.promised);
        if let Some(view) = reply.view {
            campaign.learn(view);
        }
        if reply.granted {
            self.count_pre_vote(from);
        } else {
            campaign.rejected.insert(from);
            if campaign.is_hopeless() {
                self.fail_campaign();
                return;
            }
        }
        self.request_votes();
    }

    fn count_pre_vote(&mut self, from: Member) {
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
            self.fail_campaign();
        }
    }

    /// Asks for promises; `plan` is what a head wants to change.
    pub(super) fn prepare(&mut self, number: u64, known: Option<View>, plan: Option<Plan>) {
        let deadline_ms = self.now_ms + PHASE_MS;
        let Some(mut campaign) = self.new_campaign(Phase::Prepare, deadline_ms, plan) else {
            return;
        };
        campaign.number = number;
        campaign.known = known.unwrap_or(campaign.known);
        self.campaign = Some(campaign);
        self.transfer = None;
        self.durable.promised = number;
        self.stores
            .request_store_then(AfterStore::OwnPrepareOk { number });
        self.request_votes();
    }

    /// This member's own promise is on its disk.
    pub(super) fn on_own_prepare_ok(&mut self, number: u64) {
        let prepare_ok = PrepareOk {
            number,
            view: self.durable.view.clone(),
            agreed: self.durable.agreed,
            viewstamp: self.durable.viewstamp,
            draining: false,
        };
        self.on_prepare_ok(self.durable.member, prepare_ok);
    }

    pub(super) fn on_prepare_ok(&mut self, from: Member, prepare_ok: PrepareOk) {
        let number = prepare_ok.number;
        let Some(campaign) = self.campaign.as_mut().filter(|c| c.number == number) else {
            return;
        };
        if campaign.phase != Phase::Prepare {
            return;
        }
        if let Some(view) = prepare_ok.view {
            campaign.learn(view);
        }
        campaign.agreed.insert(from);
        let promised = Promised {
            viewstamp: prepare_ok.viewstamp,
            draining: prepare_ok.draining,
        };
        campaign.promises.insert(from, promised);
        self.request_votes();
        self.decide_prepare();
    }

    /// Goes on once there is a majority of promises, and all others have come or take too long.
    fn decide_prepare(&mut self) {
        let own = self.durable.member;
        let Some(campaign) = self.campaign.as_mut().filter(|c| c.phase == Phase::Prepare) else {
            return;
        };
        let ready = campaign.agreed.contains(&own) && campaign.has_majority(&campaign.agreed);
        if !ready {
            return;
        }
        let since = *campaign.majority_ms.get_or_insert(self.now_ms);
        let answered = campaign.agreed.len() + campaign.rejected.len();
        if answered < campaign.requested.len() && self.now_ms < since + MORE_PREPARE_OKS_MS {
            return;
        }
        let Some((source, newest)) = campaign.newest(own) else {
            return;
        };
        let number = campaign.number;
        if source == own {
            self.propose(newest);
        } else {
            campaign.phase = Phase::Fetch;
            campaign.deadline_ms = self.now_ms + PHASE_MS;
            self.end_leadership();
            self.transfer_to_candidate(source, number, newest);
        }
    }

    pub(super) fn on_transfer_stored(&mut self, number: u64) {
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
        let campaign = self.campaign.as_ref();
        let view = campaign.and_then(|c| next_view(c, own, base, &self.settings));
        let Some(view) = view else {
            self.fail_campaign();
            return;
        };
        let Some(campaign) = &mut self.campaign else {
            return;
        };
        campaign.phase = Phase::Propose { view: view.clone() };
        campaign.deadline_ms = self.now_ms + PHASE_MS;
        campaign.agreed.clear();
        campaign.rejected.clear();
        let number = view.number;
        let all: BTreeSet<Member> = view
            .voters
            .iter()
            .chain(&view.previous_voters)
            .copied()
            .collect();
        self.durable.view = Some(view.clone());
        self.durable.agreed = false;
        self.stores
            .request_store_then(AfterStore::OwnAccepted { number });
        for member in all.into_iter().filter(|&member| member != own) {
            self.send(member.internal, Message::Accept { view: view.clone() });
        }
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
        let is_accepted = is_majority(&view.voters, &campaign.agreed)
            && is_majority(&view.previous_voters, &campaign.agreed);
        if own && is_accepted {
            let view = view.clone();
            self.campaign = None;
            self.lead(view);
        }
    }

    pub(super) fn on_prepare_reject(&mut self, from: Member, number: u64, promised: u64) {
        self.on_heartbeat_rejected(from, number, promised);
        let Some(campaign) = self.campaign.as_mut().filter(|c| c.number == number) else {
            return;
        };
        campaign.promised = campaign.promised.max(promised);
        campaign.rejected.insert(from);
        if promised >= number {
            campaign.deadline_ms = campaign.deadline_ms.min(self.now_ms + REJECTED_WAIT_MS);
        }
        if campaign.is_hopeless() {
            self.fail_campaign();
        }
    }
}

//! How a voter becomes the head of the next view, in the phases of Paxos: a pre-vote (Raft thesis, section 9.6), promises,
//! the transfer of the newest state among those that have promised, and acceptance.

use super::Replica;
use super::campaign::{Campaign, Plan};
use super::proposal::next_view;
use super::store_queue::AfterStore;
use crate::message::{Message, PreVoteReply, PrepareOk};
use crate::timing::{
    BACKOFF_MS, BACKOFF_SPREAD_MS, PHASE_MS, PRE_VOTE_MS, RESUME_CAMPAIGN_MS, RESUME_PRE_VOTE_MS,
};
use crate::types::{Member, View, Viewstamp};
use std::collections::BTreeSet;

impl Replica {
    pub(super) fn election_due_ms(&self) -> Option<u64> {
        match &self.campaign {
            Some(campaign) => Some(campaign.due_ms()),
            None => {
                (self.leadership.is_none() && self.may_campaign()).then_some(self.campaign_at_ms)
            }
        }
    }

    pub(super) fn run_election(&mut self) {
        let campaign = self.campaign.as_ref();
        if campaign.is_some_and(|campaign| campaign.is_timed_out(self.now_ms)) {
            self.fail_campaign();
        }
        self.decide_prepare();
        let is_due = self.campaign.is_none()
            && self.leadership.is_none()
            && self.now_ms >= self.campaign_at_ms;
        if is_due && self.may_campaign() {
            self.start_campaign();
        }
    }

    /// This member votes, and is not about to stop.
    fn may_campaign(&self) -> bool {
        let Some(view) = &self.durable.view else {
            return false;
        };
        let own = &self.durable.member;
        let votes = view.voters.contains(own)
            || (!self.durable.agreed && view.previous_voters.contains(own));
        votes && !self.is_draining()
    }

    /// Gives the campaign up; the next one begins after a random time.
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

    /// Asks whether a majority would vote for this member; nothing is promised yet.
    pub(super) fn start_campaign(&mut self) {
        let own = self.durable.member;
        if self.is_bound_against(own, self.headed_view()) {
            self.campaign_at_ms = self.voter.bound_until_ms(self.now_ms)
                + BACKOFF_MS
                + self.random_below(BACKOFF_SPREAD_MS);
            return;
        }
        self.last_request_id += 1;
        let Some(known) = self.durable.view.clone() else {
            return;
        };
        let wait_ms = if self.is_resuming() {
            RESUME_PRE_VOTE_MS
        } else {
            PRE_VOTE_MS
        };
        let promised = self.durable.promised;
        let mut campaign = Campaign::pre_vote(own, known, promised, self.last_request_id);
        campaign.set_deadline(self.now_ms + wait_ms);
        self.campaign = Some(campaign);
        self.send_requests();
        if let Some(campaign) = &mut self.campaign {
            campaign.count(own);
        }
        self.decide_pre_vote();
    }

    /// Sends this phase's request to all voters that have not had it yet.
    fn send_requests(&mut self) {
        let headed_view = self.headed_view();
        let viewstamp = self.durable.viewstamp;
        let Some(campaign) = &mut self.campaign else {
            return;
        };
        let Some((message, voters)) = campaign.next_requests(viewstamp, headed_view) else {
            return;
        };
        for voter in voters {
            self.send(voter.internal, message.clone());
        }
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: Member, reply: PreVoteReply) {
        let is_granted = reply.granted;
        let Some(campaign) = &mut self.campaign else {
            return;
        };
        if !campaign.receive_pre_vote_reply(from, reply) {
            return;
        }
        if is_granted {
            self.decide_pre_vote();
        } else if campaign.is_hopeless() {
            self.fail_campaign();
            return;
        }
        self.send_requests();
    }

    /// Asks for promises once a majority would vote for this member.
    fn decide_pre_vote(&mut self) {
        let Some(campaign) = self.campaign.as_ref().filter(|c| c.has_majority()) else {
            return;
        };
        let (number, known) = (campaign.next_number(), campaign.known().clone());
        if known.voters.contains(&self.durable.member) {
            self.prepare(number, Some(known), None);
        } else {
            self.fail_campaign();
        }
    }

    /// Asks for promises; `plan` is what a head wants to change.
    pub(super) fn prepare(&mut self, number: u64, known: Option<View>, plan: Option<Plan>) {
        let Some(known) = known.or_else(|| self.durable.view.clone()) else {
            return;
        };
        let (own, promised) = (self.durable.member, self.durable.promised);
        let mut campaign = Campaign::prepare(own, known, promised, number, plan);
        campaign.set_deadline(self.now_ms + PHASE_MS);
        self.campaign = Some(campaign);
        self.transfer = None;
        self.durable.promised = number;
        self.stores
            .request_store_then(AfterStore::OwnPrepareOk { number });
        self.send_requests();
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
        let Some(campaign) = &mut self.campaign else {
            return;
        };
        if campaign.receive_prepare_ok(from, prepare_ok) {
            self.send_requests();
            self.decide_prepare();
        }
    }

    /// Proposes a view once the newest state is decided, or fetches that state first.
    fn decide_prepare(&mut self) {
        let own = self.durable.member;
        let Some(campaign) = &mut self.campaign else {
            return;
        };
        let Some(newest) = campaign.decided_state(own, self.now_ms) else {
            return;
        };
        if newest.source == own {
            self.propose(newest.viewstamp);
            return;
        }
        let number = campaign.number();
        campaign.fetch();
        campaign.set_deadline(self.now_ms + PHASE_MS);
        self.end_leadership();
        self.transfer_to_candidate(newest.source, number, newest.viewstamp);
    }

    /// The state that a candidate has fetched is on its disk.
    pub(super) fn on_transfer_stored(&mut self, number: u64) {
        let campaign = self.campaign.as_ref();
        if campaign.is_some_and(|campaign| campaign.is_fetching(number)) {
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
        if let Some(campaign) = &mut self.campaign {
            campaign.propose(view.clone());
            campaign.set_deadline(self.now_ms + PHASE_MS);
        }
        self.durable.view = Some(view.clone());
        self.durable.agreed = false;
        let number = view.number;
        self.stores
            .request_store_then(AfterStore::OwnAccepted { number });
        let electorates = view.voters.iter().chain(&view.previous_voters);
        let others: BTreeSet<Member> = electorates.copied().filter(|&m| m != own).collect();
        for member in others {
            self.send(member.internal, Message::Accept { view: view.clone() });
        }
    }

    pub(super) fn on_accepted(&mut self, from: Member, number: u64) {
        let own = self.durable.member;
        let campaign = self.campaign.as_mut();
        if let Some(view) = campaign.and_then(|c| c.receive_accepted(from, number, own)) {
            self.campaign = None;
            self.lead(view);
        }
    }

    pub(super) fn on_prepare_reject(&mut self, from: Member, number: u64, promised: u64) {
        self.on_heartbeat_rejected(from, number, promised);
        let Some(campaign) = &mut self.campaign else {
            return;
        };
        let is_own = campaign.receive_reject(from, number, promised, self.now_ms);
        if is_own && campaign.is_hopeless() {
            self.fail_campaign();
        }
    }
}

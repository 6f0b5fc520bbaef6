//! How a voter becomes the head of the next view: a pre-vote (Raft thesis, section 9.6), the promises of Paxos, the
//! transfer of the newest state among the members that have promised, and the acceptance of Paxos. The submodule
//! `campaign` keeps the answers; `proposal` computes the proposed view.

mod campaign;
mod proposal;

pub(super) use campaign::{NewestState, Plan};

use super::context::Context;
use super::store_queue::AfterStore;
use crate::message::{Message, PreVoteReply, PrepareOk};
use crate::timing::{
    BACKOFF_MS, BACKOFF_OUTSIDE_CHAIN_MS, BACKOFF_SPREAD_MS, PHASE_TIMEOUT_MS, PRE_VOTE_HOLD_MS,
    PRE_VOTE_TIMEOUT_MS, PREPARED_DEFER_MS, RESUME_CAMPAIGN_INTERVAL_MS,
    RESUME_PRE_VOTE_TIMEOUT_MS,
};
use crate::types::{Member, View, ViewNumber, Viewstamp};
use campaign::Campaign;
use proposal::next_view;
use std::collections::BTreeSet;

/// Next step of a campaign that the other parts of the member carry out.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum CampaignStep {
    /// The campaign waits for answers, or none is under way.
    Wait,
    /// A majority would vote for this member: it asks for promises for `number`, on top of the view `known_view`.
    Prepare {
        number: ViewNumber,
        known_view: View,
    },
    /// The newest state has to be fetched from another member first.
    Fetch {
        number: ViewNumber,
        newest_state: NewestState,
    },
    /// No majority is possible, or no view can be proposed: the campaign has failed.
    Fail,
}

/// A member's state as a candidate: its campaign, and when it begins the next one.
#[derive(Debug)]
pub(super) struct Candidate {
    campaign: Option<Campaign>,
    /// When to start the next campaign; heartbeats postpone it.
    campaign_due_ms: u64,
}

impl Candidate {
    /// Creates the state of a member that campaigns at `campaign_due_ms` unless a heartbeat arrives before.
    pub(super) fn new(campaign_due_ms: u64) -> Candidate {
        Candidate {
            campaign: None,
            campaign_due_ms,
        }
    }

    /// Returns true if a campaign is under way.
    pub(super) fn is_campaigning(&self) -> bool {
        self.campaign.is_some()
    }

    /// Returns the view number of the campaign under way; `None` if there is none.
    pub(super) fn view_number(&self) -> Option<ViewNumber> {
        self.campaign.as_ref().map(Campaign::view_number)
    }

    /// Returns when the campaign under way fails or goes on without the members that have not answered; `None` if there
    /// is none.
    pub(super) fn due_ms(&self) -> Option<u64> {
        self.campaign.as_ref().map(Campaign::due_ms)
    }

    /// Returns when the next campaign is due.
    pub(super) fn campaign_due_ms(&self) -> u64 {
        self.campaign_due_ms
    }

    /// Returns true if the current phase of the campaign has timed out.
    pub(super) fn is_timed_out(&self, now_ms: u64) -> bool {
        let campaign = self.campaign.as_ref();
        campaign.is_some_and(|campaign| campaign.is_timed_out(now_ms))
    }

    /// Gives up the campaign, for example in favour of another candidate or head.
    pub(super) fn abandon(&mut self) {
        self.campaign = None;
    }

    /// Ends a failed campaign; the next one begins after a random time, or after [`RESUME_CAMPAIGN_INTERVAL_MS`] if
    /// this member resumes as the head.
    pub(super) fn fail(&mut self, context: &mut Context, is_resuming: bool) {
        self.campaign = None;
        self.campaign_due_ms = if is_resuming {
            context.now_ms() + RESUME_CAMPAIGN_INTERVAL_MS
        } else {
            context.now_ms() + BACKOFF_MS + context.random_below(BACKOFF_SPREAD_MS)
        };
    }

    /// Schedules the next campaign at a random time, up to [`BACKOFF_SPREAD_MS`] after `earliest_ms`.
    pub(super) fn postpone_beyond(&mut self, context: &mut Context, earliest_ms: u64) {
        self.campaign_due_ms = earliest_ms + context.random_below(BACKOFF_SPREAD_MS);
    }

    /// Schedules the next campaign at `campaign_due_ms`.
    pub(super) fn postpone_until(&mut self, campaign_due_ms: u64) {
        self.campaign_due_ms = campaign_due_ms;
    }

    /// Gives up the campaign for a head to which this member is bound until `until_ms`. The member campaigns after that
    /// time unless another heartbeat arrives.
    pub(super) fn yield_to_head(&mut self, context: &mut Context, until_ms: u64, in_chain: bool) {
        self.campaign = None;
        let extra_delay_ms = if in_chain {
            0
        } else {
            BACKOFF_OUTSIDE_CHAIN_MS
        };
        self.postpone_beyond(context, until_ms + extra_delay_ms);
    }

    /// Gives up the campaign for a candidate that has been granted a pre-vote, and leaves it time for its own.
    pub(super) fn yield_to_pre_vote(&mut self, context: &mut Context) {
        self.campaign = None;
        self.defer_campaign(context, PRE_VOTE_HOLD_MS);
    }

    /// Postpones the next campaign for a candidate that has received a promise, to leave it time for its own.
    pub(super) fn yield_to_prepare(&mut self, context: &mut Context) {
        self.defer_campaign(context, PREPARED_DEFER_MS);
    }

    fn defer_campaign(&mut self, context: &mut Context, duration_ms: u64) {
        let due_ms = context.now_ms() + duration_ms + context.random_below(BACKOFF_SPREAD_MS);
        self.campaign_due_ms = self.campaign_due_ms.max(due_ms);
    }

    /// Returns true if this member's own campaign has priority over one of `candidate`, whose rows are at `viewstamp`:
    /// the own one is past its pre-vote, or its state is newer (ties are broken by member).
    pub(super) fn has_priority_over(
        &self,
        context: &Context,
        candidate: Member,
        viewstamp: Viewstamp,
    ) -> bool {
        let own_state = (context.record.viewstamp, candidate);
        self.campaign.as_ref().is_some_and(|campaign| {
            !campaign.is_pre_vote() || own_state > (viewstamp, context.own_member())
        })
    }

    /// Starts a campaign with a pre-vote, which asks whether a majority would vote for this member; nothing is promised
    /// yet.
    pub(super) fn start_pre_vote(
        &mut self,
        context: &mut Context,
        is_resuming: bool,
    ) -> CampaignStep {
        let request_id = context.next_request_id();
        let Some(known_view) = context.record.view.clone() else {
            return CampaignStep::Wait;
        };
        let timeout_ms = if is_resuming {
            RESUME_PRE_VOTE_TIMEOUT_MS
        } else {
            PRE_VOTE_TIMEOUT_MS
        };
        let own_member = context.own_member();
        let mut campaign =
            Campaign::pre_vote(own_member, known_view, context.record.promised, request_id);
        campaign.set_deadline(context.now_ms() + timeout_ms);
        self.campaign = Some(campaign);
        self.send_requests(context);
        if let Some(campaign) = &mut self.campaign {
            campaign.count_vote(own_member);
        }
        self.decide_pre_vote(context.own_member())
    }

    /// Handles a voter's answer to the pre-vote.
    pub(super) fn handle_pre_vote_reply(
        &mut self,
        context: &mut Context,
        from: Member,
        reply: PreVoteReply,
    ) -> CampaignStep {
        let is_granted = reply.granted;
        let Some(campaign) = &mut self.campaign else {
            return CampaignStep::Wait;
        };
        if !campaign.receive_pre_vote_reply(from, reply) {
            return CampaignStep::Wait;
        }
        if !is_granted && campaign.cannot_win() {
            return CampaignStep::Fail;
        }
        let step = if is_granted {
            self.decide_pre_vote(context.own_member())
        } else {
            CampaignStep::Wait
        };
        if step == CampaignStep::Wait {
            self.send_requests(context);
        }
        step
    }

    /// Asks the voters of `known_view` for promises for `number`; `plan` is the change that a head wants to make to
    /// its view.
    pub(super) fn prepare(
        &mut self,
        context: &mut Context,
        number: ViewNumber,
        known_view: View,
        plan: Option<Plan>,
    ) {
        let promised = context.record.promised;
        let mut campaign =
            Campaign::prepare(context.own_member(), known_view, promised, number, plan);
        campaign.set_deadline(context.now_ms() + PHASE_TIMEOUT_MS);
        self.campaign = Some(campaign);
        context.record.promised = number;
        let own_promise = AfterStore::OwnPrepareOk { number };
        context.stores.request_store_then(own_promise);
        self.send_requests(context);
    }

    /// Handles a voter's promise.
    pub(super) fn handle_prepare_ok(
        &mut self,
        context: &mut Context,
        from: Member,
        prepare_ok: PrepareOk,
    ) -> CampaignStep {
        let campaign = self.campaign.as_mut();
        if !campaign.is_some_and(|campaign| campaign.receive_prepare_ok(from, prepare_ok)) {
            return CampaignStep::Wait;
        }
        self.send_requests(context);
        self.decide_prepare(context)
    }

    /// Proposes a view once the newest state is decided, or returns the member from which that state is to be fetched
    /// first.
    pub(super) fn decide_prepare(&mut self, context: &mut Context) -> CampaignStep {
        let (own_member, now_ms) = (context.own_member(), context.now_ms());
        let Some(campaign) = &mut self.campaign else {
            return CampaignStep::Wait;
        };
        let Some(newest_state) = campaign.decided_state(own_member, now_ms) else {
            return CampaignStep::Wait;
        };
        if newest_state.source == own_member {
            return self.propose(context, newest_state.viewstamp);
        }
        campaign.enter_fetch_phase();
        campaign.set_deadline(now_ms + PHASE_TIMEOUT_MS);
        let number = campaign.view_number();
        CampaignStep::Fetch {
            number,
            newest_state,
        }
    }

    /// Proposes the view `number`, for which the fetched state is on disk now.
    pub(super) fn handle_fetched(
        &mut self,
        context: &mut Context,
        number: ViewNumber,
    ) -> CampaignStep {
        let campaign = self.campaign.as_ref();
        if campaign.is_some_and(|campaign| campaign.is_fetching(number)) {
            self.propose(context, context.record.viewstamp)
        } else {
            CampaignStep::Wait
        }
    }

    /// Handles a voter's acceptance of the view `number`; returns the view once it is agreed.
    pub(super) fn handle_accepted(
        &mut self,
        from: Member,
        number: ViewNumber,
        own_member: Member,
    ) -> Option<View> {
        let view = self
            .campaign
            .as_mut()?
            .receive_accepted(from, number, own_member)?;
        self.campaign = None;
        Some(view)
    }

    /// Handles the rejection by a voter that has promised a higher number or is bound to another head.
    pub(super) fn handle_reject(
        &mut self,
        from: Member,
        number: ViewNumber,
        promised: ViewNumber,
        now_ms: u64,
    ) -> CampaignStep {
        let Some(campaign) = &mut self.campaign else {
            return CampaignStep::Wait;
        };
        let is_own = campaign.receive_reject(from, number, promised, now_ms);
        if is_own && campaign.cannot_win() {
            CampaignStep::Fail
        } else {
            CampaignStep::Wait
        }
    }

    /// Sends the request of the current phase to all voters to which it has not been sent yet.
    fn send_requests(&mut self, context: &mut Context) {
        let (viewstamp, headed_view) = (context.record.viewstamp, context.headed_view());
        let campaign = self.campaign.as_mut();
        let requests = campaign.and_then(|c| c.next_requests(viewstamp, headed_view));
        let Some((message, voters)) = requests else {
            return;
        };
        for voter in voters {
            context.send(voter.internal, message.clone());
        }
    }

    /// Returns [`CampaignStep::Prepare`] once a majority would vote for this member.
    fn decide_pre_vote(&self, own_member: Member) -> CampaignStep {
        let Some(campaign) = self.campaign.as_ref().filter(|c| c.has_majority()) else {
            return CampaignStep::Wait;
        };
        let (number, known_view) = (campaign.next_number(), campaign.known_view().clone());
        if known_view.voters.contains(&own_member) {
            CampaignStep::Prepare { number, known_view }
        } else {
            CampaignStep::Fail
        }
    }

    /// Proposes a view on top of the state `base`, which this member has on disk.
    fn propose(&mut self, context: &mut Context, base: Viewstamp) -> CampaignStep {
        let own_member = context.own_member();
        let campaign = self.campaign.as_mut();
        let proposed = campaign.and_then(|campaign| {
            let view = next_view(campaign, own_member, base, context.settings())?;
            campaign.enter_propose_phase(view.clone());
            campaign.set_deadline(context.now_ms() + PHASE_TIMEOUT_MS);
            Some(view)
        });
        let Some(view) = proposed else {
            return CampaignStep::Fail;
        };
        context.record.view = Some(view.clone());
        context.record.agreed = false;
        let number = view.number;
        let own_acceptance = AfterStore::OwnAccepted { number };
        context.stores.request_store_then(own_acceptance);
        let electorates = view.voters.iter().chain(&view.previous_voters);
        let others: BTreeSet<Member> = electorates.copied().filter(|&m| m != own_member).collect();
        for member in others {
            context.send(member.internal, Message::Accept { view: view.clone() });
        }
        CampaignStep::Wait
    }
}

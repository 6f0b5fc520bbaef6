//! Role changes of a member that involve several of its parts: it follows a head, promises, campaigns, leads, changes
//! its view, and transfers its leadership.

use super::Replica;
use super::candidate::{CampaignStep, Plan};
use super::head::LeadershipTransfer;
use super::transfers::TransferOutcome;
use crate::message::{Heartbeat, Message, PreVote, PrepareOk, Rows};
use crate::timing::{BACKOFF_MS, BACKOFF_SPREAD_MS, LEASE_MS, RESIGNED_DEFER_MS};
use crate::types::{Member, View, ViewNumber};

impl Replica {
    // Following.

    pub(super) fn handle_heartbeat(&mut self, from: Member, heartbeat: Heartbeat) {
        let Heartbeat {
            view,
            sent_ms,
            seq,
            address,
        } = heartbeat;
        self.context.learn_address(address);
        if view.number < self.context.record.promised || view.head() != Some(from) {
            return self.context.reject(from, view.number);
        }
        self.follow(&view);
        let context = &mut self.context;
        let until_ms = self.follower.grant_lease(context, from, &view, sent_ms);
        let in_chain = view.chain.contains(&context.own_member());
        self.candidate.yield_to_head(context, until_ms, in_chain);
        self.transfers.catch_up(context, &view, seq);
    }

    /// Adopts an agreed view that another member leads.
    fn follow(&mut self, view: &View) {
        let record = &self.context.record;
        let known_view = record.view.as_ref().filter(|v| v.number == view.number);
        let is_followed = record.agreed && record.promised == view.number;
        if let Some(known_view) = known_view.filter(|_| is_followed) {
            if view.is_established() && !known_view.is_established() {
                self.context.record.view = Some(view.clone());
                self.context.stores.request_store();
            }
            return;
        }
        self.abandon_leadership_and_campaign();
        let record = &mut self.context.record;
        record.promised = view.number;
        record.view = Some(view.clone());
        record.agreed = true;
        self.transfers.abandon();
        self.context.stores.request_store();
    }

    pub(super) fn handle_release(&mut self, from: Member, number: ViewNumber) {
        if self.follower.handle_release(from, number) {
            let from_ms = self.context.now_ms() + BACKOFF_SPREAD_MS;
            self.candidate.postpone_beyond(&mut self.context, from_ms);
        }
    }

    /// Returns true if this member is bound to a head other than `candidate`, by a lease that it has granted or because
    /// it is that head itself. `headed_view` is the number of the view on the candidate's disk if the candidate heads
    /// it, and 0 otherwise.
    fn is_bound_to_other_than(&self, candidate: Member, headed_view: ViewNumber) -> bool {
        let context = &self.context;
        let is_acting = candidate != context.own_member() && self.head.may_act(context.now_ms());
        let follower = &self.follower;
        is_acting || follower.is_bound_to_other_than(context, candidate, headed_view)
    }

    // Voting.

    pub(super) fn handle_pre_vote(&mut self, from: Member, pre_vote: &PreVote) {
        let context = &mut self.context;
        let now_ms = context.now_ms();
        let has_other = self.follower.has_pre_voted_for_other_than(from, now_ms);
        let has_own_priority = self
            .candidate
            .has_priority_over(context, from, pre_vote.viewstamp);
        let prefers = !has_other && !has_own_priority;
        let granted = prefers && !self.is_bound_to_other_than(from, pre_vote.headed_view);
        if granted {
            self.candidate.yield_to_pre_vote(&mut self.context);
        }
        let context = &mut self.context;
        self.follower
            .answer_pre_vote(context, from, pre_vote, granted);
    }

    pub(super) fn handle_prepare(
        &mut self,
        from: Member,
        number: ViewNumber,
        headed_view: ViewNumber,
    ) {
        let is_superseded = number <= self.context.record.promised;
        if is_superseded || self.is_bound_to_other_than(from, headed_view) {
            return self.context.reject(from, number);
        }
        self.adopt_number(number);
        let prepare_ok = Message::PrepareOk(self.prepare_ok(number, self.context.is_draining()));
        self.context.send_once_stored(from, prepare_ok);
    }

    pub(super) fn handle_accept(&mut self, from: Member, view: View) {
        let number = view.number;
        if number < self.context.record.promised || view.head() != Some(from) {
            return self.context.reject(from, number);
        }
        self.adopt_number(number);
        let record = &mut self.context.record;
        if record.view.as_ref().is_none_or(|v| v.number < number) {
            record.view = Some(view);
            record.agreed = false;
        }
        let accepted = Message::Accepted { number };
        self.context.send_once_stored(from, accepted);
    }

    /// Promises `number`: this member takes part in no lower view any more. Postpones its own campaign to leave the
    /// candidate time.
    fn adopt_number(&mut self, number: ViewNumber) {
        self.abandon_leadership_and_campaign();
        self.context.record.promised = number;
        self.transfers.abandon();
        self.candidate.yield_to_prepare(&mut self.context);
    }

    /// Returns this member's promise for `number`, with the view that it has accepted and the state of its rows.
    fn prepare_ok(&self, number: ViewNumber, draining: bool) -> PrepareOk {
        let record = &self.context.record;
        PrepareOk {
            number,
            view: record.view.clone(),
            agreed: record.agreed,
            viewstamp: record.viewstamp,
            draining,
        }
    }

    // Campaigning.

    /// Returns true if this member has restarted, within the last lease time, as the head of the view on its disk. It
    /// campaigns at once: only its own lease could still run in that view, and that lease ended with its process.
    pub(super) fn is_resuming(&self) -> bool {
        let voter = self.follower.voter();
        self.context.headed_view() > ViewNumber::NONE
            && !self.head.is_leading()
            && voter.may_have_unknown_lease(self.context.now_ms())
    }

    /// Returns true if this member is a voter and is not about to stop.
    fn may_campaign(&self) -> bool {
        let record = &self.context.record;
        let Some(view) = &record.view else {
            return false;
        };
        let own_member = &record.member;
        let is_voter = view.voters.contains(own_member)
            || (!record.agreed && view.previous_voters.contains(own_member));
        is_voter && !self.context.is_draining()
    }

    pub(super) fn election_due_ms(&self) -> Option<u64> {
        let may_begin = !self.head.is_leading() && self.may_campaign();
        let begin_ms = || may_begin.then_some(self.candidate.campaign_due_ms());
        self.candidate.due_ms().or_else(begin_ms)
    }

    pub(super) fn run_election(&mut self) {
        let now_ms = self.context.now_ms();
        if self.candidate.is_timed_out(now_ms) {
            self.fail_campaign();
        }
        let step = self.candidate.decide_prepare(&mut self.context);
        self.handle_campaign_step(step);
        let is_due = !self.candidate.is_campaigning()
            && !self.head.is_leading()
            && now_ms >= self.candidate.campaign_due_ms();
        if is_due && self.may_campaign() {
            self.start_campaign();
        }
    }

    fn start_campaign(&mut self) {
        let own_member = self.context.own_member();
        if self.is_bound_to_other_than(own_member, self.context.headed_view()) {
            let now_ms = self.context.now_ms();
            let earliest_ms = self.follower.voter().bound_until_ms(now_ms) + BACKOFF_MS;
            return self
                .candidate
                .postpone_beyond(&mut self.context, earliest_ms);
        }
        let is_resuming = self.is_resuming();
        let context = &mut self.context;
        let step = self.candidate.start_pre_vote(context, is_resuming);
        self.handle_campaign_step(step);
    }

    pub(super) fn handle_campaign_now(&mut self, from: Member, number: ViewNumber) {
        let is_busy = self.candidate.is_campaigning() || self.head.is_leading();
        if self.context.record.view_number() != number || is_busy {
            return;
        }
        if self.follower.is_unbound_or_bound_to(from) {
            self.follower.clear_lease();
            self.start_campaign();
        }
    }

    /// Carries out the next step of the campaign, as far as it involves other parts.
    pub(super) fn handle_campaign_step(&mut self, step: CampaignStep) {
        match step {
            CampaignStep::Wait => {}
            CampaignStep::Prepare { number, known_view } => self.prepare(number, known_view, None),
            CampaignStep::Fetch {
                number,
                newest_state,
            } => {
                self.head.end_leadership(&mut self.context);
                let context = &mut self.context;
                let (source, newest_viewstamp) = (newest_state.source, newest_state.viewstamp);
                self.transfers
                    .fetch_for_candidate(context, source, number, newest_viewstamp);
            }
            CampaignStep::Fail => self.fail_campaign(),
        }
    }

    fn prepare(&mut self, number: ViewNumber, known_view: View, plan: Option<Plan>) {
        self.transfers.abandon();
        self.candidate
            .prepare(&mut self.context, number, known_view, plan);
    }

    /// Ends the campaign without success; the next one begins after a random time.
    fn fail_campaign(&mut self) {
        self.transfers.abandon_for_candidate();
        let is_resuming = self.is_resuming();
        self.candidate.fail(&mut self.context, is_resuming);
        self.head.delay_view_change(self.context.now_ms());
    }

    /// Counts this member's own promise, which is on its disk now.
    pub(super) fn handle_own_prepare_ok(&mut self, number: ViewNumber) {
        let prepare_ok = self.prepare_ok(number, false);
        self.handle_prepare_ok(self.context.own_member(), prepare_ok);
    }

    pub(super) fn handle_prepare_ok(&mut self, from: Member, prepare_ok: PrepareOk) {
        let context = &mut self.context;
        let step = self.candidate.handle_prepare_ok(context, from, prepare_ok);
        self.handle_campaign_step(step);
    }

    pub(super) fn handle_prepare_reject(
        &mut self,
        from: Member,
        number: ViewNumber,
        promised: ViewNumber,
    ) {
        let context = &mut self.context;
        self.head.handle_reject(context, from, number, promised);
        let now_ms = context.now_ms();
        let step = self.candidate.handle_reject(from, number, promised, now_ms);
        self.handle_campaign_step(step);
    }

    pub(super) fn handle_rows(&mut self, from: Member, rows: Rows) {
        let campaign = self.candidate.view_number();
        let context = &mut self.context;
        let outcome = self.transfers.handle_rows(context, from, rows, campaign);
        if outcome == TransferOutcome::WrongState {
            self.fail_campaign();
        }
    }

    // Leading.

    pub(super) fn handle_accepted(&mut self, from: Member, number: ViewNumber) {
        let own_member = self.context.own_member();
        if let Some(view) = self.candidate.handle_accepted(from, number, own_member) {
            self.follower.clear_lease();
            self.head.lead(&mut self.context, view);
        }
    }

    pub(super) fn run_leadership(&mut self) {
        if !self.head.is_leading() {
            return;
        }
        let now_ms = self.context.now_ms();
        if self.head.is_lost(now_ms) {
            self.abandon_leadership_and_campaign();
            let earliest_ms = now_ms + LEASE_MS;
            return self
                .candidate
                .postpone_beyond(&mut self.context, earliest_ms);
        }
        // This precedes the heartbeats: one sent after the leadership was transferred would bind its receiver to this
        // head again.
        if let Some(transfer) = self.head.due_leadership_transfer(&self.context) {
            return self.transfer_leadership(transfer);
        }
        if !self.candidate.is_campaigning() {
            self.head.run_heartbeats(&mut self.context);
            self.reconfigure();
        }
    }

    /// Starts a view change under this head if the current view should change.
    fn reconfigure(&mut self) {
        let context = &self.context;
        if context.is_draining() || context.stores.is_failing() {
            return;
        }
        let change = self.head.due_view_change(context);
        if let Some((change, known_view)) = change.zip(context.record.view.clone()) {
            self.prepare(change.number, known_view, Some(change.plan));
        }
    }

    /// Gives up the lease and asks the member with the newest state to campaign (Raft thesis, section 3.10).
    fn transfer_leadership(&mut self, transfer: LeadershipTransfer) {
        let number = transfer.number;
        self.abandon_leadership_and_campaign();
        let context = &mut self.context;
        for internal in transfer.others {
            context.send(internal, Message::Release { number });
        }
        context.send(transfer.successor, Message::CampaignNow { number });
        let campaign_due_ms = context.now_ms() + RESIGNED_DEFER_MS;
        self.candidate.postpone_until(campaign_due_ms);
    }

    pub(super) fn handle_step_down(&mut self) {
        if self.context.begin_draining() && !self.head.is_leading() {
            self.candidate.abandon();
            self.follower.send_grant(&mut self.context);
        }
    }

    /// Ends this member's campaign and leadership, if any.
    fn abandon_leadership_and_campaign(&mut self) {
        self.candidate.abandon();
        self.head.end_leadership(&mut self.context);
    }
}

//! How a voter answers candidates. What it promises or accepts is on its disk before it says so (Paxos).

use super::Replica;
use super::store_queue::AfterStore;
use crate::message::{Message, PreVote, PreVoteReply, PrepareOk};
use crate::timing::{BACKOFF_SPREAD_MS, PRE_VOTE_GRANTED_MS, PREPARED_DEFER_MS};
use crate::types::{Member, View, Viewstamp};

impl Replica {
    pub(super) fn on_pre_vote(&mut self, from: Member, pre_vote: &PreVote) {
        let granted = !self.is_bound_against(from, pre_vote.headed_view)
            && self.prefers(from, pre_vote.viewstamp);
        if granted {
            self.voter.grant_pre_vote(from, self.now_ms);
            self.campaign = None;
            self.campaign_at_ms = self
                .campaign_at_ms
                .max(self.now_ms + PRE_VOTE_GRANTED_MS + self.random_below(BACKOFF_SPREAD_MS));
        }
        let reply = Message::PreVoteReply(PreVoteReply {
            request_id: pre_vote.request_id,
            granted,
            promised: self.durable.promised,
            view: self.durable.view.clone(),
            agreed: self.durable.agreed,
        });
        self.send(from.internal, reply);
    }

    /// Whether `candidate` goes before this member's own campaign, and no other candidate has been granted a pre-vote just
    /// now.
    fn prefers(&self, candidate: Member, viewstamp: Viewstamp) -> bool {
        let is_granted_to_other = self.voter.has_pre_voted_against(candidate, self.now_ms);
        let own_goes_first = self.campaign.as_ref().is_some_and(|own| {
            !own.is_pre_vote()
                || (self.durable.viewstamp, candidate) > (viewstamp, self.durable.member)
        });
        !is_granted_to_other && !own_goes_first
    }

    pub(super) fn on_prepare(&mut self, from: Member, number: u64, headed_view: u64) {
        if number <= self.durable.promised || self.is_bound_against(from, headed_view) {
            self.reject(from, number);
            return;
        }
        self.adopt_number(number);
        let prepare_ok = Message::PrepareOk(PrepareOk {
            number,
            view: self.durable.view.clone(),
            agreed: self.durable.agreed,
            viewstamp: self.durable.viewstamp,
            draining: self.is_draining(),
        });
        self.send_once_stored(from, prepare_ok);
    }

    pub(super) fn on_accept(&mut self, from: Member, view: View) {
        let number = view.number;
        if number < self.durable.promised || view.head() != Some(from) {
            self.reject(from, number);
            return;
        }
        self.adopt_number(number);
        if self.durable.view.as_ref().is_none_or(|v| v.number < number) {
            self.durable.view = Some(view);
            self.durable.agreed = false;
        }
        self.send_once_stored(from, Message::Accepted { number });
    }

    /// Says that this member has promised a higher number, or is bound to another head.
    pub(super) fn reject(&mut self, from: Member, number: u64) {
        let promised = self.durable.promised;
        self.send(from.internal, Message::PrepareReject { number, promised });
    }

    /// Takes part in no view below `number` any more, and leaves its candidate time.
    fn adopt_number(&mut self, number: u64) {
        self.abandon_leadership_and_campaign();
        self.durable.promised = number;
        self.transfer = None;
        self.defer_campaign();
    }

    fn send_once_stored(&mut self, to: Member, message: Message) {
        self.stores.request_store_then(AfterStore::Send {
            to: to.internal,
            message: Box::new(message),
        });
    }

    /// Another member's campaign goes first: this member is neither head nor candidate any more.
    pub(super) fn abandon_leadership_and_campaign(&mut self) {
        self.campaign = None;
        self.end_leadership();
    }

    fn defer_campaign(&mut self) {
        let until = self.now_ms + PREPARED_DEFER_MS + self.random_below(BACKOFF_SPREAD_MS);
        self.campaign_at_ms = self.campaign_at_ms.max(until);
    }
}

//! A voter's promises and acceptances, kept on disk before they are told.

use super::campaign::Phase;
use super::{AfterStore, Replica};
use crate::message::Message;
use crate::timing::{BACKOFF_SPREAD_MS, PRE_VOTE_GRANTED_MS, PREPARED_DEFER_MS};
use crate::types::{Member, View, Viewstamp};

/// The candidate that this member has told that it would support it.
#[derive(Debug)]
pub(super) struct PreVoteGranted {
    candidate: Member,
    until_ms: u64,
}

impl Replica {
    pub(super) fn on_pre_vote(
        &mut self,
        from: Member,
        request_id: u64,
        viewstamp: Viewstamp,
        headed_view: u64,
    ) {
        let granted = !self.is_bound_against(from, headed_view) && self.prefers(from, viewstamp);
        if granted {
            self.pre_vote = Some(PreVoteGranted {
                candidate: from,
                until_ms: self.now_ms + PRE_VOTE_GRANTED_MS,
            });
            self.campaign = None;
            self.campaign_at_ms = self
                .campaign_at_ms
                .max(self.now_ms + PRE_VOTE_GRANTED_MS + self.random_below(BACKOFF_SPREAD_MS));
        }
        let reply = Message::PreVoteReply {
            request_id,
            granted,
            promised: self.durable.promised,
            view: self.durable.view.clone(),
            agreed: self.durable.agreed,
        };
        self.send(from.internal, reply);
    }

    /// Whether `candidate` goes before this member's own candidacy and before the one it has supported just now.
    fn prefers(&self, candidate: Member, viewstamp: Viewstamp) -> bool {
        let supports_other = self
            .pre_vote
            .as_ref()
            .is_some_and(|s| s.candidate != candidate && self.now_ms < s.until_ms);
        let own_goes_first = self.campaign.as_ref().is_some_and(|own| {
            !matches!(own.phase, Phase::PreVote { .. })
                || (self.durable.viewstamp, candidate) > (viewstamp, self.durable.member)
        });
        !supports_other && !own_goes_first
    }

    pub(super) fn on_prepare(&mut self, from: Member, number: u64, headed_view: u64) {
        if number <= self.durable.promised || self.is_bound_against(from, headed_view) {
            self.send(
                from.internal,
                Message::PrepareReject {
                    number,
                    promised: self.durable.promised,
                },
            );
            return;
        }
        self.withdraw();
        self.durable.promised = number;
        self.transfer = None;
        self.defer_campaign();
        let prepare_ok = Message::PrepareOk {
            number,
            view: self.durable.view.clone(),
            agreed: self.durable.agreed,
            viewstamp: self.durable.viewstamp,
            draining: self.is_draining(),
        };
        self.stores.request_store_then(AfterStore::Send {
            to: from.internal,
            message: Box::new(prepare_ok),
        });
    }

    pub(super) fn on_accept(&mut self, from: Member, view: View) {
        let number = view.number;
        if number < self.durable.promised || view.head() != Some(from) {
            self.send(
                from.internal,
                Message::PrepareReject {
                    number,
                    promised: self.durable.promised,
                },
            );
            return;
        }
        self.withdraw();
        self.durable.promised = number;
        if self.durable.view.as_ref().is_none_or(|v| v.number < number) {
            self.durable.view = Some(view);
            self.durable.agreed = false;
        }
        self.transfer = None;
        self.defer_campaign();
        let accepted = Message::Accepted { number };
        self.stores.request_store_then(AfterStore::Send {
            to: from.internal,
            message: Box::new(accepted),
        });
    }

    /// Another member's candidacy goes first: this member is neither head nor candidate any more.
    pub(super) fn withdraw(&mut self) {
        self.campaign = None;
        self.end_leadership();
    }

    fn defer_campaign(&mut self) {
        let until = self.now_ms + PREPARED_DEFER_MS + self.random_below(BACKOFF_SPREAD_MS);
        self.campaign_at_ms = self.campaign_at_ms.max(until);
    }
}

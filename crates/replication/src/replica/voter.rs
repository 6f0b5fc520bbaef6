//! A voter's promises and acceptances, kept on disk before they are told.

use super::campaign::Phase;
use super::{AfterStore, Replica};
use crate::message::Message;
use crate::timing::{BACKOFF_SPREAD_MS, QUIET_MS, SUPPORT_MS};
use crate::types::{Member, View, Viewstamp};

/// The candidate that this member has told that it would support it.
#[derive(Debug)]
pub(super) struct Supported {
    candidate: Member,
    until_ms: u64,
}

impl Replica {
    pub(super) fn on_canvass(
        &mut self,
        from: Member,
        round: u64,
        viewstamp: Viewstamp,
        headed: u64,
    ) {
        let support = !self.is_bound_against(from, headed) && self.prefers(from, viewstamp);
        if support {
            self.supported = Some(Supported {
                candidate: from,
                until_ms: self.now_ms + SUPPORT_MS,
            });
            self.campaign = None;
            self.stand_at_ms = self
                .stand_at_ms
                .max(self.now_ms + SUPPORT_MS + self.random_below(BACKOFF_SPREAD_MS));
        }
        let reply = Message::PreVoteReply {
            round,
            support,
            promised: self.durable.promised,
            view: self.durable.view.clone(),
            agreed: self.durable.agreed,
        };
        self.send(from.internal, reply);
    }

    /// Whether `candidate` goes before this member's own candidacy and before the one it has supported just now.
    fn prefers(&self, candidate: Member, viewstamp: Viewstamp) -> bool {
        let supports_other = self
            .supported
            .as_ref()
            .is_some_and(|s| s.candidate != candidate && self.now_ms < s.until_ms);
        let own_goes_first = self.campaign.as_ref().is_some_and(|own| {
            !matches!(own.phase, Phase::PreVote { .. })
                || (self.durable.viewstamp, candidate) > (viewstamp, self.durable.member)
        });
        !supports_other && !own_goes_first
    }

    pub(super) fn on_prepare(&mut self, from: Member, number: u64, headed: u64) {
        if number <= self.durable.promised || self.is_bound_against(from, headed) {
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
        self.pull = None;
        self.stay_quiet();
        let promise = Message::PrepareOk {
            number,
            view: self.durable.view.clone(),
            agreed: self.durable.agreed,
            viewstamp: self.durable.viewstamp,
            leaving: self.is_leaving(),
        };
        self.stores.want_then(AfterStore::Send {
            to: from.internal,
            message: Box::new(promise),
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
        self.pull = None;
        self.stay_quiet();
        let accepted = Message::Accepted { number };
        self.stores.want_then(AfterStore::Send {
            to: from.internal,
            message: Box::new(accepted),
        });
    }

    /// Another member's candidacy goes first: this member is neither head nor candidate any more.
    pub(super) fn withdraw(&mut self) {
        self.campaign = None;
        self.abdicate();
    }

    fn stay_quiet(&mut self) {
        let until = self.now_ms + QUIET_MS + self.random_below(BACKOFF_SPREAD_MS);
        self.stand_at_ms = self.stand_at_ms.max(until);
    }
}

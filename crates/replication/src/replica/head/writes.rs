//! Writes at the head: it sends batches down the chain and resends them to members that lack them.

use super::Head;
use super::peer::Peer;
use crate::durable::StoreOperation;
use crate::message::{Message, Write};
use crate::replica::context::Context;
use crate::replica::io::Output;
use crate::timing::RESEND_AFTER_MS;
use crate::types::{Batch, Member, RowChange, SubmissionId, Viewstamp};
use std::sync::Arc;

impl Head {
    /// Queues a write submitted by the driver. It is rejected if this member is not reported as the head yet, is
    /// draining, has a failing disk, or has too many writes waiting.
    pub(in crate::replica) fn handle_submit(
        &mut self,
        context: &mut Context,
        write_id: SubmissionId,
        changes: Vec<RowChange>,
    ) {
        let accepts = !context.is_draining() && !context.stores.is_failing();
        let leadership = self.leadership.as_mut();
        let is_taken = leadership
            .filter(|leadership| leadership.is_gained() && accepts)
            .is_some_and(|leadership| leadership.writes_mut().submit(write_id, changes));
        if !is_taken {
            context.add_output(Output::Rejected { write_id });
        }
    }

    /// Sends and stores all waiting writes as one batch, unless a store is under way or the chain is not synchronized.
    pub(in crate::replica) fn make_batch(&mut self, context: &mut Context) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let is_current = context.record.promised == leadership.view().number;
        let is_ready = leadership.is_synchronized() && context.stores.is_idle() && is_current;
        if !is_ready || !leadership.writes().has_pending() {
            return;
        }
        context.record.viewstamp.seq += 1;
        let seq = context.record.viewstamp.seq;
        let batch = leadership.writes_mut().next_batch(seq, context.now_ms());
        let write = StoreOperation::Write(Arc::clone(&batch));
        context.stores.add_operation(write);
        context.stores.request_store();
        self.send_batch(context, &batch);
    }

    /// Handles the report of a member that lacks writes after `viewstamp`.
    pub(in crate::replica) fn handle_write_gap(
        &mut self,
        context: &mut Context,
        from: Member,
        viewstamp: Viewstamp,
    ) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let view = leadership.view();
        if viewstamp.view == view.number && view.chain.contains(&from) {
            self.resend(context, from, viewstamp.seq);
        }
    }

    /// Resends writes to members that have not stored them for [`RESEND_AFTER_MS`].
    pub(super) fn resend_missing(&mut self, context: &mut Context) {
        let (own_member, now_ms) = (context.own_member(), context.now_ms());
        let leadership = self.leadership.as_ref();
        let Some(leadership) = leadership.filter(|leads| leads.is_synchronized()) else {
            return;
        };
        let is_late = |member: Member| {
            let oldest_missing_batch = leadership.oldest_missing(member);
            oldest_missing_batch.is_some_and(|oldest_missing_batch| {
                now_ms >= oldest_missing_batch.sent_ms + RESEND_AFTER_MS
            })
        };
        let chain = leadership.view().chain.iter().copied();
        let late_members: Vec<(Member, u64)> = chain
            .filter(|&member| member != own_member && is_late(member))
            .map(|member| (member, leadership.viewstamp_of(member).seq))
            .collect();
        for (member, after_seq) in late_members {
            self.resend(context, member, after_seq);
        }
    }

    fn send_batch(&self, context: &mut Context, batch: &Arc<Batch>) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let view = leadership.view();
        let successor = view.successor(context.own_member());
        let needs_direct_writes = |member: Member| {
            leadership
                .peer(member)
                .is_some_and(Peer::needs_direct_writes)
        };
        let others = view.chain.iter().copied().skip(1);
        let direct_receivers =
            others.filter(|&member| Some(member) != successor && needs_direct_writes(member));
        for member in successor.into_iter().chain(direct_receivers) {
            let message = Message::Write(Write {
                number: view.number,
                batches: vec![Arc::clone(batch)],
                relay: Some(member) == successor,
            });
            context.send(member.internal, message);
        }
    }

    fn resend(&mut self, context: &mut Context, member: Member, after_seq: u64) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let peer = leadership.peer_mut(member);
        if !peer.is_some_and(|peer| peer.begin_resend(context.now_ms())) {
            return;
        }
        let batches = leadership.writes().batches_after(after_seq);
        if !batches.is_empty() {
            let message = Message::Write(Write {
                number: leadership.view().number,
                batches,
                relay: false,
            });
            context.send(member.internal, message);
        }
    }
}

//! State transfer, as in Viewstamped Replication: a member fetches the rows that it lacks from the head or, as a
//! candidate, from another voter, and serves rows to other members. This module also drops old tombstones.

mod rows_server;
mod state_transfer;
mod trim_schedule;

use super::context::Context;
use super::io::Output;
use super::store_queue::AfterStore;
use crate::durable::{MemberRecord, StoreOperation};
use crate::message::{Fetch, Message, Rows};
use crate::timing::TRANSFER_BYTES;
use crate::types::{Member, RowsChunk, View, ViewNumber, ViewStart, Viewstamp};
use rows_server::{RowsRequest, RowsServer};
use state_transfer::{Progress, Purpose, StateTransfer};
use trim_schedule::TrimSchedule;

/// The transfer to this member, if one is under way, the requests of other members, and the schedule for trimming.
#[derive(Debug)]
pub(super) struct Transfers {
    transfer: Option<StateTransfer>,
    rows_server: RowsServer,
    trim_schedule: TrimSchedule,
}

/// Outcome of a chunk of rows for a campaign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TransferOutcome {
    /// The transfer continues, its rows are being stored, or it was not for a candidate.
    Pending,
    /// The transfer led to a state other than the one that the candidate needs.
    WrongState,
}

impl Transfers {
    /// Creates the state without a transfer under way.
    pub(super) fn new(now_ms: u64) -> Transfers {
        Transfers {
            transfer: None,
            rows_server: RowsServer::default(),
            trim_schedule: TrimSchedule::new(now_ms),
        }
    }

    /// Gives up the transfer to this member, because this member follows, promises or prepares another view.
    pub(super) fn abandon(&mut self) {
        self.transfer = None;
    }

    /// Gives up the transfer if it is for a campaign, because the campaign has failed.
    pub(super) fn abandon_for_candidate(&mut self) {
        self.transfer
            .take_if(|transfer| transfer.is_for_candidate());
    }

    /// Starts a transfer from the head if this member lacks rows that it does not receive through the chain, or enters
    /// the view if it has the first state already.
    pub(super) fn catch_up(&mut self, context: &mut Context, view: &View, head_seq: u64) {
        let Some(head) = view.head() else { return };
        let viewstamp = context.record.viewstamp;
        let in_chain = view.chain.contains(&context.own_member());
        if viewstamp.view == view.number && (in_chain || viewstamp.seq >= head_seq) {
            return;
        }
        if viewstamp == view.base {
            context.enter_view(view);
        } else if self.transfer.is_none() {
            let number = view.number;
            self.start(context, head, Purpose::Follow { number });
        }
    }

    /// Fetches the newest state, on top of which this member proposes the view `number`.
    pub(super) fn fetch_for_candidate(
        &mut self,
        context: &mut Context,
        source: Member,
        number: ViewNumber,
        newest: Viewstamp,
    ) {
        self.start(context, source, Purpose::Candidate { number, newest });
    }

    /// Returns when the request of the transfer under way is repeated; `None` if there is none.
    pub(super) fn due_ms(&self) -> Option<u64> {
        self.transfer.as_ref().map(StateTransfer::due_ms)
    }

    /// Repeats an unanswered request when that is due, or gives up a transfer that has timed out.
    pub(super) fn run(&mut self, context: &mut Context) {
        let now_ms = context.now_ms();
        let Some(transfer) = &self.transfer else {
            return;
        };
        if transfer.is_timed_out(now_ms) {
            self.transfer = None;
        } else if now_ms >= transfer.due_ms() {
            self.request_rows(context);
        }
    }

    /// Handles another member's request for rows that it lacks.
    pub(super) fn handle_fetch(&mut self, context: &mut Context, from: Member, fetch: &Fetch) {
        let viewstamp = fetch.viewstamp;
        let (after, clear) = match fetch.after {
            Some(after) => (after, false),
            None if is_earlier_state_of(viewstamp, &context.record) => (viewstamp.seq, false),
            None => (0, true),
        };
        let read_id = self.rows_server.start(RowsRequest {
            requester: from,
            request_id: fetch.request_id,
            after,
            clear,
            view: context.record.viewstamp.view,
        });
        context.add_output(Output::ReadRows {
            read: read_id,
            since: after,
            bytes_max: TRANSFER_BYTES,
        });
    }

    /// Sends rows that have been read for another member.
    pub(super) fn handle_rows_read(
        &mut self,
        context: &mut Context,
        read_id: u64,
        chunk: RowsChunk,
    ) {
        let Some(request) = self.rows_server.finish(read_id) else {
            return;
        };
        // The rows have been replaced since the request arrived: an answer would mix two states.
        if chunk.viewstamp.view != request.view {
            return;
        }
        let message = Message::Rows(Rows {
            request_id: request.request_id,
            after: request.after,
            clear: request.clear,
            rows: chunk.rows,
            more: chunk.more,
            viewstamp: chunk.viewstamp,
            history: chunk.history,
        });
        context.send(request.requester.internal, message);
    }

    /// Drops a request whose rows cannot be read; the other member repeats it.
    pub(super) fn handle_read_failed(&mut self, read_id: u64) {
        self.rows_server.finish(read_id);
    }

    /// Handles a chunk of rows; `campaign` is the view number of this member's campaign, if any.
    pub(super) fn handle_rows(
        &mut self,
        context: &mut Context,
        from: Member,
        mut rows: Rows,
        campaign: Option<ViewNumber>,
    ) -> TransferOutcome {
        let Some(transfer) = &mut self.transfer else {
            return TransferOutcome::Pending;
        };
        match transfer.receive(context.now_ms(), from, &mut rows) {
            Progress::Ignored => TransferOutcome::Pending,
            Progress::MoreNeeded => {
                self.request_rows(context);
                TransferOutcome::Pending
            }
            Progress::Complete => self.finish(context, rows.viewstamp, rows.history, campaign),
        }
    }

    /// Returns when the trim schedule is due next.
    pub(super) fn trim_due_ms(&self) -> u64 {
        self.trim_schedule.due_ms()
    }

    /// Drops tombstones older than [`TRIM_AFTER_MS`](crate::timing::TRIM_AFTER_MS), together with the next store.
    pub(super) fn run_trim_schedule(&mut self, context: &mut Context) {
        let stored_seq = context.stores.stored_viewstamp().seq;
        let Some(seq) = self.trim_schedule.run(context.now_ms(), stored_seq) else {
            return;
        };
        if seq > context.record.trimmed {
            context.record.trimmed = seq;
            context.stores.add_operation(StoreOperation::Trim(seq));
        }
    }

    fn start(&mut self, context: &mut Context, source: Member, purpose: Purpose) {
        let request_id = context.next_request_id();
        let transfer = StateTransfer::new(source, request_id, purpose, context.now_ms());
        self.transfer = Some(transfer);
        self.request_rows(context);
    }

    fn request_rows(&mut self, context: &mut Context) {
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        let source_address = transfer.source().internal;
        let request = transfer.next_request(context.now_ms(), context.record.viewstamp);
        context.send(source_address, request);
    }

    fn finish(
        &mut self,
        context: &mut Context,
        viewstamp: Viewstamp,
        history: Vec<ViewStart>,
        campaign: Option<ViewNumber>,
    ) -> TransferOutcome {
        let Some(transfer) = self.transfer.take() else {
            return TransferOutcome::Pending;
        };
        let purpose = transfer.purpose();
        if !may_adopt(context, purpose, viewstamp, campaign) {
            return if transfer.is_for_candidate() {
                TransferOutcome::WrongState
            } else {
                TransferOutcome::Pending
            };
        }
        if transfer.replaces_all() {
            context.record.trimmed = viewstamp.seq;
        }
        for operation in transfer.into_operations() {
            context.stores.add_operation(operation);
        }
        context.record.viewstamp = viewstamp;
        context.record.history = history;
        match purpose {
            Purpose::Follow { .. } => context.stores.request_store(),
            Purpose::Candidate { number, .. } => {
                let after_store = AfterStore::TransferStored { number };
                context.stores.request_store_then(after_store);
            }
        }
        TransferOutcome::Pending
    }
}

/// Returns true if a transfer led to the state that it was started for and that state is not older than this member's
/// own.
fn may_adopt(
    context: &Context,
    purpose: Purpose,
    viewstamp: Viewstamp,
    campaign: Option<ViewNumber>,
) -> bool {
    let record = &context.record;
    let is_expected = match purpose {
        Purpose::Follow { number } => {
            viewstamp.view == number && record.promised == number && record.view_number() == number
        }
        Purpose::Candidate { number, newest } => viewstamp == newest && campaign == Some(number),
    };
    is_expected && viewstamp >= record.viewstamp
}

/// Returns true if the state `viewstamp` is a prefix of the state of `record`, and the tombstones of all later
/// deletions are still there. A member with that state needs only the rows that changed after it.
fn is_earlier_state_of(viewstamp: Viewstamp, record: &MemberRecord) -> bool {
    if viewstamp.seq < record.trimmed || viewstamp.view == ViewNumber::NONE {
        return false;
    }
    if viewstamp.view == record.viewstamp.view {
        return viewstamp.seq <= record.viewstamp.seq;
    }
    let position = record
        .history
        .iter()
        .position(|start| start.view == viewstamp.view);
    let next = position.and_then(|position| record.history.get(position + 1));
    next.is_some_and(|next| viewstamp.seq <= next.seq)
}

//! State transfer: how a member gets the rows that it lacks, from the head or, as a candidate, from another voter; and how
//! it serves others (Viewstamped Replication's state transfer).

use super::Replica;
use super::io::Output;
use super::rows_server::RowsRequest;
use super::state_transfer::{Progress, Purpose, StateTransfer};
use super::store_queue::AfterStore;
use crate::durable::{Durable, StoreOperation};
use crate::message::{Fetch, Message, Rows};
use crate::timing::TRANSFER_BYTES;
use crate::types::{Member, RowsChunk, View, ViewStart, Viewstamp};

impl Replica {
    /// Brings the rows up to the head's where writes down the chain do not do it.
    pub(super) fn catch_up(&mut self, view: &View, head_seq: u64) {
        let Some(head) = view.head() else { return };
        let viewstamp = self.durable.viewstamp;
        let in_chain = view.chain.contains(&self.durable.member);
        if viewstamp.view == view.number && (in_chain || viewstamp.seq >= head_seq) {
            return;
        }
        if viewstamp == view.base {
            self.enter_view(view);
        } else if self.transfer.is_none() {
            let number = view.number;
            self.start_transfer(head, Purpose::Follow { number });
        }
    }

    /// Fetches the newest state, on top of which this member wants to propose the view `number`.
    pub(super) fn transfer_to_candidate(&mut self, source: Member, number: u64, newest: Viewstamp) {
        self.start_transfer(source, Purpose::Candidate { number, newest });
    }

    fn start_transfer(&mut self, source: Member, purpose: Purpose) {
        self.last_request_id += 1;
        let transfer = StateTransfer::new(source, self.last_request_id, purpose, self.now_ms);
        self.transfer = Some(transfer);
        self.request_rows();
    }

    fn request_rows(&mut self) {
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        let to = transfer.source().internal;
        let request = transfer.next_request(self.now_ms, self.durable.viewstamp);
        self.send(to, request);
    }

    pub(super) fn transfer_due_ms(&self) -> Option<u64> {
        self.transfer.as_ref().map(StateTransfer::due_ms)
    }

    pub(super) fn run_transfer(&mut self) {
        let Some(transfer) = &self.transfer else {
            return;
        };
        if transfer.is_timed_out(self.now_ms) {
            self.transfer = None;
        } else if self.now_ms >= transfer.due_ms() {
            self.request_rows();
        }
    }

    pub(super) fn on_fetch(&mut self, from: Member, fetch: &Fetch) {
        let viewstamp = fetch.viewstamp;
        let (after, clear) = match fetch.after {
            Some(after) => (after, false),
            None if is_earlier_state_of(viewstamp, &self.durable) => (viewstamp.seq, false),
            None => (0, true),
        };
        let read = self.rows_server.start(RowsRequest {
            to: from,
            request_id: fetch.request_id,
            after,
            clear,
            view: self.durable.viewstamp.view,
        });
        self.outputs.push(Output::ReadRows {
            read,
            since: after,
            bytes_max: TRANSFER_BYTES,
        });
    }

    pub(super) fn on_rows_read(&mut self, read: u64, chunk: RowsChunk) {
        let Some(request) = self.rows_server.finish(read) else {
            return;
        };
        // The rows have been replaced since the request came: its answer would mix two states.
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
        self.send(request.to.internal, message);
    }

    pub(super) fn on_rows(&mut self, from: Member, mut rows: Rows) {
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        match transfer.receive(self.now_ms, from, &mut rows) {
            Progress::Ignored => {}
            Progress::MoreNeeded => self.request_rows(),
            Progress::Complete => self.finish_transfer(rows.viewstamp, rows.history),
        }
    }

    fn finish_transfer(&mut self, viewstamp: Viewstamp, history: Vec<ViewStart>) {
        let Some(transfer) = self.transfer.take() else {
            return;
        };
        let purpose = transfer.purpose();
        if !self.may_adopt(purpose, viewstamp) {
            if transfer.is_for_candidate() {
                self.fail_campaign();
            }
            return;
        }
        if transfer.replaces_all() {
            self.durable.trimmed = viewstamp.seq;
        }
        for operation in transfer.into_operations() {
            self.stores.add(operation);
        }
        self.durable.viewstamp = viewstamp;
        self.durable.history = history;
        match purpose {
            Purpose::Follow { .. } => self.stores.request_store(),
            Purpose::Candidate { number, .. } => {
                self.stores
                    .request_store_then(AfterStore::TransferStored { number });
            }
        }
    }

    /// The state that a transfer led to is the one that it was started for, and is not older than this member's own.
    fn may_adopt(&self, purpose: Purpose, viewstamp: Viewstamp) -> bool {
        let is_expected = match purpose {
            Purpose::Follow { number } => {
                viewstamp.view == number && self.durable.promised == number && self.view() == number
            }
            Purpose::Candidate { number, newest } => {
                viewstamp == newest && self.campaign.as_ref().is_some_and(|c| c.number() == number)
            }
        };
        is_expected && viewstamp >= self.durable.viewstamp
    }

    /// Drops tombstones of rows deleted long ago, together with the next store.
    pub(super) fn run_trim_schedule(&mut self) {
        let stored_seq = self.stores.stored_viewstamp().seq;
        let Some(seq) = self.trim_schedule.run(self.now_ms, stored_seq) else {
            return;
        };
        if seq > self.durable.trimmed {
            self.durable.trimmed = seq;
            self.stores.add(StoreOperation::Trim(seq));
        }
    }
}

/// Whether the state `viewstamp` is a prefix of the state of `durable`, so that a member that has it lacks only later
/// rows.
fn is_earlier_state_of(viewstamp: Viewstamp, durable: &Durable) -> bool {
    if viewstamp.seq < durable.trimmed || viewstamp.view == 0 {
        return false;
    }
    if viewstamp.view == durable.viewstamp.view {
        return viewstamp.seq <= durable.viewstamp.seq;
    }
    let position = durable
        .history
        .iter()
        .position(|start| start.view == viewstamp.view);
    let next = position.and_then(|position| durable.history.get(position + 1));
    next.is_some_and(|next| viewstamp.seq <= next.seq)
}

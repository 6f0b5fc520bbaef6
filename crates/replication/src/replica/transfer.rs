//! Transfers: how a member gets the rows that it lacks, from the head or, as a candidate, from another voter.

use super::{AfterStore, Output, Replica};
use crate::durable::{Durable, StoreOperation};
use crate::message::Message;
use crate::timing::{
    FETCH_RETRY_MS, TRANSFER_BYTES, TRANSFER_TIMEOUT_MS, TRIM_AFTER_MS, TRIM_INTERVAL_MS,
};
use crate::types::{Member, Row, RowsChunk, View, ViewStart, Viewstamp};
use std::collections::VecDeque;

/// A reading for another member.
#[derive(Debug)]
pub(super) struct RowsRequest {
    to: Member,
    request_id: u64,
    after: u64,
    clear: bool,
    view: u64,
}

/// Rows that another member has sent.
#[derive(Debug)]
pub(super) struct TransferChunk {
    pub request_id: u64,
    pub after: u64,
    pub clear: bool,
    pub rows: Vec<Row>,
    pub more: bool,
    pub viewstamp: Viewstamp,
    pub history: Vec<ViewStart>,
}

#[derive(Debug, PartialEq, Eq)]
enum Purpose {
    /// To follow the head of this view.
    Follow { number: u64 },
    /// To propose a view on top of the newest state.
    Candidate { number: u64, newest: Viewstamp },
}

/// A transfer to this member. The rows are kept in memory until all have come, for a part of them is no state.
#[derive(Debug)]
pub(super) struct StateTransfer {
    source: Member,
    request_id: u64,
    purpose: Purpose,
    clear: bool,
    rows: Vec<Row>,
    next_after: Option<u64>,
    requested_ms: u64,
    last_received_ms: u64,
}

impl StateTransfer {
    pub(super) fn is_for_candidate(&self) -> bool {
        matches!(self.purpose, Purpose::Candidate { .. })
    }
}

/// How far the table had come at earlier times, to drop traces of deleted rows.
#[derive(Debug)]
pub(super) struct TrimSchedule {
    samples: VecDeque<(u64, u64)>,
    due_ms: u64,
}

impl TrimSchedule {
    pub(super) fn new(now_ms: u64) -> TrimSchedule {
        TrimSchedule {
            samples: VecDeque::new(),
            due_ms: now_ms + TRIM_INTERVAL_MS,
        }
    }

    pub(super) fn due_ms(&self) -> u64 {
        self.due_ms
    }
}

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
            self.start_transfer(
                head,
                Purpose::Follow {
                    number: view.number,
                },
            );
        }
    }

    pub(super) fn transfer_to_candidate(&mut self, source: Member, number: u64, newest: Viewstamp) {
        self.start_transfer(source, Purpose::Candidate { number, newest });
    }

    fn start_transfer(&mut self, source: Member, purpose: Purpose) {
        self.last_request_id += 1;
        self.transfer = Some(StateTransfer {
            source,
            request_id: self.last_request_id,
            purpose,
            clear: false,
            rows: Vec::new(),
            next_after: None,
            requested_ms: 0,
            last_received_ms: self.now_ms,
        });
        self.request_rows();
    }

    fn request_rows(&mut self) {
        let viewstamp = self.durable.viewstamp;
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        transfer.requested_ms = self.now_ms;
        let (to, request_id, after) = (
            transfer.source.internal,
            transfer.request_id,
            transfer.next_after,
        );
        self.send(
            to,
            Message::Fetch {
                request_id,
                viewstamp,
                after,
            },
        );
    }

    pub(super) fn transfer_due_ms(&self) -> Option<u64> {
        self.transfer
            .as_ref()
            .map(|transfer| transfer.requested_ms + FETCH_RETRY_MS)
    }

    pub(super) fn run_transfer(&mut self) {
        let Some(transfer) = &self.transfer else {
            return;
        };
        if self.now_ms >= transfer.last_received_ms + TRANSFER_TIMEOUT_MS {
            self.transfer = None;
        } else if self.now_ms >= transfer.requested_ms + FETCH_RETRY_MS {
            self.request_rows();
        }
    }

    pub(super) fn on_fetch(
        &mut self,
        from: Member,
        request_id: u64,
        viewstamp: Viewstamp,
        after: Option<u64>,
    ) {
        let (after, clear) = match after {
            Some(after) => (after, false),
            None if is_earlier_state_of(viewstamp, &self.durable) => (viewstamp.seq, false),
            None => (0, true),
        };
        self.last_read += 1;
        let read = self.last_read;
        self.reads.retain(|_, request| request.to != from);
        self.reads.insert(
            read,
            RowsRequest {
                to: from,
                request_id,
                after,
                clear,
                view: self.durable.viewstamp.view,
            },
        );
        self.outputs.push(Output::ReadRows {
            read,
            since: after,
            bytes_max: TRANSFER_BYTES,
        });
    }

    pub(super) fn on_rows_read(&mut self, read: u64, chunk: RowsChunk) {
        let Some(request) = self.reads.remove(&read) else {
            return;
        };
        if chunk.viewstamp.view != request.view {
            return;
        }
        let RowsChunk {
            rows,
            more,
            viewstamp,
            history,
        } = chunk;
        let RowsRequest {
            to,
            request_id,
            after,
            clear,
            ..
        } = request;
        self.send(
            to.internal,
            Message::Rows {
                request_id,
                after,
                clear,
                rows,
                more,
                viewstamp,
                history,
            },
        );
    }

    pub(super) fn on_rows(&mut self, from: Member, chunk: TransferChunk) {
        let now_ms = self.now_ms;
        let is_answer = |transfer: &&mut StateTransfer| {
            transfer.source == from && transfer.request_id == chunk.request_id
        };
        let Some(transfer) = self.transfer.as_mut().filter(is_answer) else {
            return;
        };
        if transfer
            .next_after
            .is_some_and(|after| after != chunk.after)
        {
            return;
        }
        transfer.last_received_ms = now_ms;
        if transfer.next_after.is_none() {
            transfer.clear = chunk.clear;
        }
        let last_seq = chunk.rows.last().map_or(chunk.after, |row| row.seq);
        transfer.rows.extend(chunk.rows);
        if chunk.more {
            transfer.next_after = Some(last_seq);
            self.request_rows();
        } else if let Some(transfer) = self.transfer.take() {
            self.finish_transfer(transfer, chunk.viewstamp, chunk.history);
        }
    }

    fn finish_transfer(
        &mut self,
        transfer: StateTransfer,
        viewstamp: Viewstamp,
        history: Vec<ViewStart>,
    ) {
        let fits = match &transfer.purpose {
            Purpose::Follow { number } => {
                viewstamp.view == *number
                    && self.durable.promised == *number
                    && self.view() == *number
            }
            Purpose::Candidate { number, newest } => {
                viewstamp == *newest && self.campaign.as_ref().is_some_and(|c| c.number == *number)
            }
        };
        if !fits || viewstamp < self.durable.viewstamp {
            if transfer.is_for_candidate() {
                self.fail_campaign();
            }
            return;
        }
        if transfer.clear {
            self.stores.add(StoreOperation::Clear);
            self.durable.trimmed = viewstamp.seq;
        }
        self.stores.add(StoreOperation::Put(transfer.rows));
        self.durable.viewstamp = viewstamp;
        self.durable.history = history;
        match transfer.purpose {
            Purpose::Follow { .. } => self.stores.request_store(),
            Purpose::Candidate { number, .. } => self
                .stores
                .request_store_then(AfterStore::TransferStored { number }),
        }
    }

    /// Drops traces of rows deleted long ago, together with the next store.
    pub(super) fn run_trim_schedule(&mut self) {
        if self.now_ms < self.trim_schedule.due_ms {
            return;
        }
        self.trim_schedule.due_ms = self.now_ms + TRIM_INTERVAL_MS;
        self.trim_schedule
            .samples
            .push_back((self.now_ms, self.stored_viewstamp.seq));
        let is_old = |(at_ms, _): &&(u64, u64)| at_ms + TRIM_AFTER_MS <= self.now_ms;
        let Some(&(_, seq)) = self.trim_schedule.samples.front().filter(is_old) else {
            return;
        };
        self.trim_schedule.samples.pop_front();
        if seq > self.durable.trimmed {
            self.durable.trimmed = seq;
            self.stores.add(StoreOperation::Trim(seq));
        }
    }
}

/// Whether a member at `viewstamp` has a part of the state of `durable`, so that it lacks only later rows.
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

//! A transfer of rows to this member, chunk by chunk.
//!
//! The rows are kept in memory until all of them have come, because a part of them is no state that the table ever had.
//! They are stored in one transaction.

use crate::durable::StoreOperation;
use crate::message::{Fetch, Message, Rows};
use crate::timing::{FETCH_RETRY_MS, TRANSFER_TIMEOUT_MS};
use crate::types::{Member, Row, ViewNumber, Viewstamp};

/// What the rows are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// To follow the head of this view.
    Follow { number: ViewNumber },
    /// To propose a view on top of the newest state.
    Candidate {
        number: ViewNumber,
        newest: Viewstamp,
    },
}

/// What a chunk has led to.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// It belongs to another transfer, or has come before.
    Ignored,
    /// The next chunk has to be requested.
    MoreNeeded,
    /// All rows are there.
    Complete,
}

/// A transfer from one other member.
#[derive(Debug)]
pub(super) struct StateTransfer {
    source: Member,
    request_id: u64,
    purpose: Purpose,
    /// The first chunk said that rows have to be dropped.
    clear: bool,
    rows: Vec<Row>,
    /// Where the next chunk goes on; `None` until the first has come.
    next_after: Option<u64>,
    requested_ms: u64,
    last_received_ms: u64,
}

impl StateTransfer {
    pub(super) fn new(
        source: Member,
        request_id: u64,
        purpose: Purpose,
        now_ms: u64,
    ) -> StateTransfer {
        StateTransfer {
            source,
            request_id,
            purpose,
            clear: false,
            rows: Vec::new(),
            next_after: None,
            requested_ms: 0,
            last_received_ms: now_ms,
        }
    }

    pub(super) fn source(&self) -> Member {
        self.source
    }

    pub(super) fn purpose(&self) -> Purpose {
        self.purpose
    }

    pub(super) fn is_for_candidate(&self) -> bool {
        matches!(self.purpose, Purpose::Candidate { .. })
    }

    /// When the present request is repeated.
    pub(super) fn due_ms(&self) -> u64 {
        self.requested_ms + FETCH_RETRY_MS
    }

    /// The source has not answered for so long that the transfer is given up.
    pub(super) fn is_timed_out(&self, now_ms: u64) -> bool {
        now_ms >= self.last_received_ms + TRANSFER_TIMEOUT_MS
    }

    /// The request for the next chunk; `viewstamp` is the state of this member's rows.
    pub(super) fn next_request(&mut self, now_ms: u64, viewstamp: Viewstamp) -> Message {
        self.requested_ms = now_ms;
        Message::Fetch(Fetch {
            request_id: self.request_id,
            viewstamp,
            after: self.next_after,
        })
    }

    /// Takes the rows of a chunk.
    pub(super) fn receive(&mut self, now_ms: u64, from: Member, chunk: &mut Rows) -> Progress {
        let is_answer = self.source == from && self.request_id == chunk.request_id;
        let is_next = self.next_after.is_none_or(|after| after == chunk.after);
        if !is_answer || !is_next {
            return Progress::Ignored;
        }
        self.last_received_ms = now_ms;
        if self.next_after.is_none() {
            self.clear = chunk.clear;
        }
        let last_seq = chunk.rows.last().map_or(chunk.after, |row| row.seq);
        self.rows.append(&mut chunk.rows);
        if !chunk.more {
            return Progress::Complete;
        }
        self.next_after = Some(last_seq);
        Progress::MoreNeeded
    }

    /// All rows of this member are replaced, tombstones of deleted ones included.
    pub(super) fn replaces_all(&self) -> bool {
        self.clear
    }

    /// How the rows are stored.
    pub(super) fn into_operations(self) -> Vec<StoreOperation> {
        let clear = self.clear.then_some(StoreOperation::Clear);
        clear
            .into_iter()
            .chain([StoreOperation::Put(self.rows)])
            .collect()
    }
}

//! A transfer of rows to this member, chunk by chunk.
//!
//! The rows are kept in memory until all chunks have arrived and are then stored in one transaction: a part of them
//! would be a state that the table never had.

use crate::durable::StoreOperation;
use crate::message::{Fetch, Message, Rows};
use crate::timing::{FETCH_RETRY_MS, TRANSFER_TIMEOUT_MS};
use crate::types::{Member, Row, ViewNumber, Viewstamp};

/// Purpose of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Follow the head of the view `number`.
    Follow { number: ViewNumber },
    /// Propose the view `number` on top of the state `newest`.
    Candidate {
        number: ViewNumber,
        newest: Viewstamp,
    },
}

/// Result of receiving a chunk.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// The chunk belongs to another transfer, or has been received before.
    Ignored,
    /// The next chunk has to be requested.
    MoreNeeded,
    /// All rows have been received.
    Complete,
}

/// A transfer from one other member.
#[derive(Debug)]
pub(super) struct StateTransfer {
    source: Member,
    request_id: u64,
    purpose: Purpose,
    /// Whether all current rows are dropped first, as stated by the first chunk.
    clear: bool,
    rows: Vec<Row>,
    /// Sequence number after which the next chunk continues; `None` until the first chunk has arrived.
    next_after_seq: Option<u64>,
    last_request_ms: u64,
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
            next_after_seq: None,
            last_request_ms: 0,
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

    /// Returns when the current request is repeated.
    pub(super) fn due_ms(&self) -> u64 {
        self.last_request_ms + FETCH_RETRY_MS
    }

    /// Returns true if the source has not answered for [`TRANSFER_TIMEOUT_MS`].
    pub(super) fn is_timed_out(&self, now_ms: u64) -> bool {
        now_ms >= self.last_received_ms + TRANSFER_TIMEOUT_MS
    }

    /// Returns the request for the next chunk; `viewstamp` is that of this member's rows.
    pub(super) fn next_request(&mut self, now_ms: u64, viewstamp: Viewstamp) -> Message {
        self.last_request_ms = now_ms;
        Message::Fetch(Fetch {
            request_id: self.request_id,
            viewstamp,
            after: self.next_after_seq,
        })
    }

    /// Moves the rows out of a chunk, if it is the expected one.
    pub(super) fn receive(&mut self, now_ms: u64, from: Member, chunk: &mut Rows) -> Progress {
        let is_answer = self.source == from && self.request_id == chunk.request_id;
        let is_next = self.next_after_seq.is_none_or(|after| after == chunk.after);
        if !is_answer || !is_next {
            return Progress::Ignored;
        }
        self.last_received_ms = now_ms;
        if self.next_after_seq.is_none() {
            self.clear = chunk.clear;
        }
        let last_seq = chunk.rows.last().map_or(chunk.after, |row| row.seq);
        self.rows.append(&mut chunk.rows);
        if !chunk.more {
            return Progress::Complete;
        }
        self.next_after_seq = Some(last_seq);
        Progress::MoreNeeded
    }

    /// Returns true if the transfer replaces all rows of this member, including tombstones.
    pub(super) fn replaces_all(&self) -> bool {
        self.clear
    }

    /// Returns the changes that store the received rows.
    pub(super) fn into_operations(self) -> Vec<StoreOperation> {
        let clear = self.clear.then_some(StoreOperation::Clear);
        clear
            .into_iter()
            .chain([StoreOperation::Put(self.rows)])
            .collect()
    }
}

//! Requests of other members for rows that the driver is reading from disk.

use crate::types::{Member, ViewNumber};
use std::collections::BTreeMap;

/// A request whose rows are being read.
#[derive(Debug)]
pub(super) struct RowsRequest {
    /// The requesting member.
    pub requester: Member,
    /// ID of the request; the answer carries it.
    pub request_id: u64,
    /// Sequence number after which rows are read.
    pub after: u64,
    /// Whether the receiver must first drop all rows that it has.
    pub clear: bool,
    /// View number of this member's rows when the request arrived.
    pub view: ViewNumber,
}

/// The requests under way by the number of their read, at most one for each member.
#[derive(Debug, Default)]
pub(super) struct RowsServer {
    requests: BTreeMap<u64, RowsRequest>,
    last_read_id: u64,
}

impl RowsServer {
    /// Adds a request, which replaces an earlier one of the same member. Returns the number of the read.
    pub(super) fn start(&mut self, request: RowsRequest) -> u64 {
        self.last_read_id += 1;
        self.requests
            .retain(|_, other| other.requester != request.requester);
        self.requests.insert(self.last_read_id, request);
        self.last_read_id
    }

    /// Removes and returns the request whose rows the read `read_id` returns; `None` if a later request has
    /// replaced it.
    pub(super) fn finish(&mut self, read_id: u64) -> Option<RowsRequest> {
        self.requests.remove(&read_id)
    }
}

//! Requests of other members for rows, while the driver reads these from the disk.

use crate::types::{Member, ViewNumber};
use std::collections::BTreeMap;

/// A request that waits for its rows.
#[derive(Debug)]
pub(super) struct RowsRequest {
    /// Who has asked.
    pub to: Member,
    /// The request's id; the answer carries it.
    pub request_id: u64,
    /// Rows after this sequence number are read.
    pub after: u64,
    /// The receiver has to drop its rows first.
    pub clear: bool,
    /// Number of the view that the rows were in when the request came.
    pub view: ViewNumber,
}

/// The requests under way, at most one of each member.
#[derive(Debug, Default)]
pub(super) struct RowsServer {
    requests: BTreeMap<u64, RowsRequest>,
    last_read: u64,
}

impl RowsServer {
    /// Takes a request, in place of an earlier one of the same member. Returns the number of the reading.
    pub(super) fn start(&mut self, request: RowsRequest) -> u64 {
        self.last_read += 1;
        self.requests.retain(|_, other| other.to != request.to);
        self.requests.insert(self.last_read, request);
        self.last_read
    }

    /// The request that the reading `read` was for, unless a later one has replaced it.
    pub(super) fn finish(&mut self, read: u64) -> Option<RowsRequest> {
        self.requests.remove(&read)
    }
}

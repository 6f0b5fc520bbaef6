//! Settings, inputs and outputs of a replica.

use crate::durable::StoreRequest;
use crate::message::Envelope;
use crate::types::{RowChange, RowsChunk, SubmissionId, ViewNumber, majority};
use indigofold_protocol::internal::MemberAddress;
use std::net::SocketAddr;
use std::sync::Arc;

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of the member.
    pub address: MemberAddress,
    /// Internal addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// Whether the cluster starts for the first time: a seed with an empty disk then starts in the first view as a
    /// voter.
    pub bootstrap: bool,
    /// Number of machines that may be lost at once (`fault_tolerance.machines`).
    pub tolerated_losses: usize,
    /// Seed of the random numbers; must differ from start to start.
    pub random_seed: u64,
}

impl Settings {
    /// Returns the minimum number of voters.
    pub(super) fn voters_min(&self) -> usize {
        self.seeds.len().max(2 * self.tolerated_losses + 1)
    }

    /// Returns the minimum length of the chain for `voters` voters. It is at least a majority, so that the promises for
    /// each later view include one from a member with all committed writes. It is also long enough for the tolerated
    /// losses.
    pub(super) fn chain_min(&self, voters: usize) -> usize {
        majority(voters).max(voters.min(self.tolerated_losses + 1))
    }
}

/// An event that the driver passes to a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message has arrived.
    Message(Envelope),
    /// The store with this number is on disk.
    Stored {
        /// Number of the store.
        store: u64,
    },
    /// The store with this number has failed, and none of its changes is on disk. It is retried after
    /// [`STORE_RETRY_MS`](crate::timing::STORE_RETRY_MS).
    StoreFailed {
        /// Number of the store.
        store: u64,
    },
    /// The rows requested by [`Output::ReadRows`] have been read.
    RowsRead {
        /// Number of the read request.
        read: u64,
        /// The rows read.
        chunk: RowsChunk,
    },
    /// The rows requested by [`Output::ReadRows`] cannot be read.
    ReadFailed {
        /// Number of the read request.
        read: u64,
    },
    /// A request to write these row changes atomically.
    Submit {
        /// ID chosen by the driver; the output that reports the outcome of the write carries it.
        write_id: SubmissionId,
        /// The row changes.
        changes: Vec<RowChange>,
    },
    /// The addresses of a member have become known (from its `Welcome`, or from another process).
    MemberDiscovered {
        /// Addresses of the member.
        address: MemberAddress,
    },
    /// The process is about to stop: the member transfers its leadership and leaves the chain.
    StepDown,
    /// The time returned by [`Replica::next_timer_ms`](crate::Replica::next_timer_ms) has been reached.
    Timer,
}

/// An action that the driver has to carry out, or a notification to it.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send this message to the member at this internal address.
    Send {
        /// The receiver's internal address.
        to: SocketAddr,
        /// The message.
        envelope: Box<Envelope>,
    },
    /// Write these changes to disk. At most one store is under way at a time.
    Store {
        /// Number of the store.
        store: u64,
        /// The changes.
        request: Arc<StoreRequest>,
    },
    /// Read the rows that changed after `since`.
    ReadRows {
        /// Number of the read request.
        read: u64,
        /// Sequence number after which rows are read.
        since: u64,
        /// Approximate number of bytes of rows to read.
        bytes_max: usize,
    },
    /// The write is committed: it is on the disks of the whole chain.
    Committed {
        /// ID of the write.
        write_id: SubmissionId,
    },
    /// This member is no longer the head; the write may or may not be kept.
    Undetermined {
        /// ID of the write.
        write_id: SubmissionId,
    },
    /// The write has not been made and never will be.
    Rejected {
        /// ID of the write.
        write_id: SubmissionId,
    },
    /// This member has become the head of an agreed view and holds a lease; the whole chain has the rows on disk.
    HeadGained {
        /// Number of the view.
        view: ViewNumber,
    },
    /// This member is still the head, in a view with a new number; its rows are unchanged.
    HeadRenewed {
        /// Number of the view.
        view: ViewNumber,
    },
    /// This member is no longer the head.
    HeadLost,
}

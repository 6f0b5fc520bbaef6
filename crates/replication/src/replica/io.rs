//! What goes into a replica and what comes out.

use crate::durable::StoreRequest;
use crate::message::Envelope;
use crate::types::{RowChange, RowsChunk, SubmissionId, ViewNumber, majority};
use indigofold_protocol::internal::MemberAddress;
use std::net::SocketAddr;
use std::sync::Arc;

/// A member's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its own addresses.
    pub address: MemberAddress,
    /// Internal addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// The whole cluster starts for the first time.
    pub bootstrap: bool,
    /// How many machines may be lost at once (`fault_tolerance.machines`).
    pub tolerated_losses: usize,
    /// Seed of the random numbers; another one at each start.
    pub random_seed: u64,
}

impl Settings {
    /// Least number of voters.
    pub(super) fn voters_min(&self) -> usize {
        self.seeds.len().max(2 * self.tolerated_losses + 1)
    }

    /// Least length of the chain with so many voters: a majority, so that each later view's promises come from a member
    /// that has all committed writes; and long enough for the losses that are tolerated.
    pub(super) fn chain_min(&self, voters: usize) -> usize {
        majority(voters).max(voters.min(self.tolerated_losses + 1))
    }
}

/// What happens to a member.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message has come.
    Message(Envelope),
    /// The store of this number is on disk.
    Stored {
        /// Its number.
        store: u64,
    },
    /// The store of this number has failed, and nothing of it is on disk. It is retried later.
    StoreFailed {
        /// Its number.
        store: u64,
    },
    /// Rows have been read.
    RowsRead {
        /// Number of the reading.
        read: u64,
        /// The rows.
        chunk: RowsChunk,
    },
    /// Rows cannot be read.
    ReadFailed {
        /// Number of the reading.
        read: u64,
    },
    /// Write these rows, all together.
    Submit {
        /// Chosen by the driver; the output that ends the write carries it.
        write_id: SubmissionId,
        /// The rows.
        changes: Vec<RowChange>,
    },
    /// The address of a member is known (from its `Welcome`, or from another process).
    MemberDiscovered {
        /// Its addresses.
        address: MemberAddress,
    },
    /// The process is about to stop: transfer the leadership, leave the chain.
    StepDown,
    /// The time of [`Replica::next_timer_ms`](crate::Replica::next_timer_ms) has come.
    Timer,
}

/// What a member's driver has to do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send this to the member at this internal address.
    Send {
        /// The receiver's internal address.
        to: SocketAddr,
        /// The message.
        envelope: Box<Envelope>,
    },
    /// Make these changes on disk. At most one store is under way at a time.
    Store {
        /// Number of the store.
        store: u64,
        /// The changes.
        request: Arc<StoreRequest>,
    },
    /// Read rows that changed after `since`.
    ReadRows {
        /// Number of the reading.
        read: u64,
        /// The sequence number.
        since: u64,
        /// How many bytes of rows to read, roughly.
        bytes_max: usize,
    },
    /// The write is on the disks of the whole chain.
    Committed {
        /// The write's id.
        write_id: SubmissionId,
    },
    /// This member is no longer the head, and whether the write is kept is unknown.
    Aborted {
        /// The write's id.
        write_id: SubmissionId,
    },
    /// The write has not been made and never will be.
    Rejected {
        /// The write's id.
        write_id: SubmissionId,
    },
    /// This member is the head of an agreed view; all rows are on its disk.
    HeadGained {
        /// The view's number.
        view: ViewNumber,
    },
    /// This member is still the head, under a new number; its rows are as they were.
    HeadRenewed {
        /// The view's number.
        view: ViewNumber,
    },
    /// This member is no longer the head.
    HeadLost,
}

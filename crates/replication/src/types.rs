//! Members, views, viewstamps and rows.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// A member of the cluster: one disk at one address. A machine that has lost its disk rejoins as a new member, because
/// it can no longer keep the promises stored on the lost disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Address on which the member accepts internal connections.
    pub internal: SocketAddr,
    /// Random ID of the disk, drawn when its database was created; [`SEED_DISK`] for the voters of the first view.
    pub disk: u64,
}

/// Disk ID of a seed that takes part in the bootstrap of the cluster.
pub const SEED_DISK: u64 = 0;

/// Number of a view; it increases from view to view and is the epoch that fences the orders of the view's head.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ViewNumber(pub u64);

impl ViewNumber {
    /// No view; lower than [`FIRST_VIEW`].
    pub const NONE: ViewNumber = ViewNumber(0);

    /// Returns the next higher number.
    #[must_use]
    pub fn next(self) -> ViewNumber {
        ViewNumber(self.0 + 1)
    }
}

impl fmt::Display for ViewNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// ID of a submitted write. The driver chooses it; the output that reports the outcome of the write carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SubmissionId(pub u64);

/// Identifies a state of the table: all writes up to `seq`, in the order of the view `view` (Oki and Liskov,
/// Viewstamped Replication). Viewstamps are compared by view first, then by `seq`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Viewstamp {
    /// Number of the view.
    pub view: ViewNumber,
    /// Sequence number of the last write.
    pub seq: u64,
}

/// The point at which a view began, which is the last write that the view took over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewStart {
    /// Number of the view.
    pub view: ViewNumber,
    /// Sequence number of the last write before the view.
    pub seq: u64,
}

/// A numbered configuration of voters and chain, as in Viewstamped Replication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Number of the view; it increases from view to view.
    pub number: ViewNumber,
    /// Members whose majorities agree on views and grant leases.
    pub voters: Vec<Member>,
    /// Voters of the last established view before this one. A majority of them must promise and accept as well until
    /// the whole chain has taken over this view's first state. From then on this field equals `voters`.
    pub previous_voters: Vec<Member>,
    /// Members that store each write, the head first; at least a majority of the voters.
    pub chain: Vec<Member>,
    /// State that the view takes over: its first state.
    pub base: Viewstamp,
}

impl View {
    /// Returns the first view: the seeds are its voters, and it has no head.
    pub fn first(seeds: &[SocketAddr]) -> View {
        let mut voters: Vec<Member> = seeds
            .iter()
            .map(|&internal| Member {
                internal,
                disk: SEED_DISK,
            })
            .collect();
        voters.sort();
        voters.dedup();
        View {
            number: FIRST_VIEW,
            previous_voters: voters.clone(),
            voters,
            chain: Vec::new(),
            base: Viewstamp {
                view: FIRST_VIEW,
                seq: 0,
            },
        }
    }

    /// Returns true if the view's own voters decide alone: the whole chain has taken over the first state, or the
    /// voters are those of the view before.
    pub fn is_established(&self) -> bool {
        self.voters == self.previous_voters
    }

    /// Returns the view in its established form, after the whole chain has taken over its first state.
    pub fn established(mut self) -> View {
        self.previous_voters.clone_from(&self.voters);
        self
    }

    /// Returns the head, which is the first member of the chain; `None` in the first view, whose chain is empty.
    pub fn head(&self) -> Option<Member> {
        self.chain.first().copied()
    }

    /// Returns the member that `member` relays writes to; `None` for the last member and for one outside the chain.
    pub fn successor(&self, member: Member) -> Option<Member> {
        let position = self.chain.iter().position(|&m| m == member)?;
        self.chain.get(position + 1).copied()
    }
}

/// Number of the first view.
pub const FIRST_VIEW: ViewNumber = ViewNumber(1);

/// Returns how many of `count` voters form a majority.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// A row to set or to delete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// Key of the row.
    pub key: Vec<u8>,
    /// New value; `None` deletes the row.
    pub value: Option<Vec<u8>>,
}

/// Row changes that are written atomically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Sequence number of the batch, one above that of the batch before it.
    pub seq: u64,
    /// Changes, in the order in which they are applied.
    pub changes: Vec<RowChange>,
}

/// A row as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: Vec<u8>,
    /// Value; `None` marks the tombstone of a deleted row.
    pub value: Option<Vec<u8>>,
    /// Sequence number of the write that changed the row last.
    pub seq: u64,
}

/// A chunk of the rows that changed after a given write, ordered by sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowsChunk {
    /// The rows; all rows of a sequence number are in the same chunk.
    pub rows: Vec<Row>,
    /// Whether more rows follow after the sequence number of the last row in this chunk.
    pub more: bool,
    /// Viewstamp of the table from which the rows were read.
    pub viewstamp: Viewstamp,
    /// Views that led to that viewstamp, oldest first.
    pub history: Vec<ViewStart>,
}

//! Members, views, and the rows that they keep.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// One disk at one address. A machine that has lost its disk comes back as another member, because promises on the lost
/// disk can no longer be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Where it takes internal connections.
    pub internal: SocketAddr,
    /// Drawn when its database was made; [`SEED_DISK`] for the voters of the first view.
    pub disk: u64,
}

/// The disk of a seed that takes part in the cluster's very first start.
pub const SEED_DISK: u64 = 0;

/// Number of a view; rises from view to view. It is the epoch that fences the orders of the view's head.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ViewNumber(pub u64);

impl ViewNumber {
    /// Stands for no view: below the number of the first one.
    pub const NONE: ViewNumber = ViewNumber(0);

    /// The number above this one.
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

/// A write as its driver knows it: chosen by the driver, carried by the output that ends the write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SubmissionId(pub u64);

/// A state of the table: all writes up to `seq`, as the view of this number ordered them (Oki and Liskov, Viewstamped
/// Replication). States are compared by view first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Viewstamp {
    /// Number of the view.
    pub view: ViewNumber,
    /// Sequence number of the last write.
    pub seq: u64,
}

/// The state that a view took over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewStart {
    /// Number of the view.
    pub view: ViewNumber,
    /// Sequence number of the last write before it.
    pub seq: u64,
}

/// Voters and chain under one number, as in Viewstamped Replication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Its number; rises from view to view.
    pub number: ViewNumber,
    /// Members whose majorities agree on views and grant leases.
    pub voters: Vec<Member>,
    /// Voters of the last established view before it: a majority of them has to promise and accept too, until the whole
    /// chain has taken this view's first state over. From then on these are `voters`.
    pub previous_voters: Vec<Member>,
    /// Members that store each write, the head first; at least a majority of the voters.
    pub chain: Vec<Member>,
    /// The state that it takes over.
    pub base: Viewstamp,
}

impl View {
    /// The first view: the seeds vote, nobody is head.
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

    /// The whole chain has taken over its first state (or the voters are those of the view before): its own voters
    /// decide alone.
    pub fn is_established(&self) -> bool {
        self.voters == self.previous_voters
    }

    /// The view once the whole chain has taken over its first state.
    pub fn established(mut self) -> View {
        self.previous_voters.clone_from(&self.voters);
        self
    }

    /// Its head.
    pub fn head(&self) -> Option<Member> {
        self.chain.first().copied()
    }

    /// The member that `member` relays writes to.
    pub fn successor(&self, member: Member) -> Option<Member> {
        let position = self.chain.iter().position(|&m| m == member)?;
        self.chain.get(position + 1).copied()
    }
}

/// Number of the first view.
pub const FIRST_VIEW: ViewNumber = ViewNumber(1);

/// How many of `count` voters are a majority.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// One row to set, or to delete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// Its key.
    pub key: Vec<u8>,
    /// Its new value; `None` deletes it.
    pub value: Option<Vec<u8>>,
}

/// Row changes that are written all together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Its sequence number.
    pub seq: u64,
    /// What changes, in order.
    pub changes: Vec<RowChange>,
}

/// A row as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: Vec<u8>,
    /// Its value; `None` for one that has been deleted.
    pub value: Option<Vec<u8>>,
    /// The write that set it last.
    pub seq: u64,
}

/// Rows that changed after some write, in the order of their sequence numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowsChunk {
    /// The rows; all rows of a sequence number are in the same chunk.
    pub rows: Vec<Row>,
    /// More rows follow, after the sequence number of the last of these.
    pub more: bool,
    /// The state that was read.
    pub viewstamp: Viewstamp,
    /// The views that led to it.
    pub history: Vec<ViewStart>,
}

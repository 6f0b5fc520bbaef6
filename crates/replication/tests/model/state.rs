//! The state of the model: members with their disks, the views that have been led, and the committed writes.

use std::collections::BTreeMap;

/// A member: one disk at one address. A machine that has lost its disk rejoins as a new member.
pub(crate) type Id = u8;

/// A set of members, with one bit for each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Members(pub u8);

impl Members {
    pub(crate) fn of(ids: &[Id]) -> Members {
        Members(ids.iter().fold(0, |bits, id| bits | 1 << id))
    }

    pub(crate) fn has(self, id: Id) -> bool {
        self.0 & 1 << id != 0
    }

    pub(crate) fn with(self, id: Id) -> Members {
        Members(self.0 | 1 << id)
    }

    pub(crate) fn without(self, id: Id) -> Members {
        Members(self.0 & !(1 << id))
    }

    pub(crate) fn count(self) -> u32 {
        self.0.count_ones()
    }

    pub(crate) fn iter(self) -> impl Iterator<Item = Id> {
        (0..8).filter(move |&id| self.has(id))
    }

    /// Returns all subsets.
    pub(crate) fn subsets(self) -> impl Iterator<Item = Members> {
        (0..=self.0)
            .filter(move |bits| bits & !self.0 == 0)
            .map(Members)
    }

    /// Returns true if `others` contains a majority of this set.
    pub(crate) fn majority_in(self, others: Members) -> bool {
        2 * Members(self.0 & others.0).count() > self.count()
    }
}

/// The writes on a disk, each represented by the number of the view whose head made it. Position and view identify a
/// write.
pub(crate) type Log = Vec<u8>;

/// State of a member's rows: the view that it has entered, and its writes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Rows {
    pub view: u8,
    pub log: Log,
}

impl Rows {
    /// Returns the view and the number of writes, which are compared in this order like viewstamps in the program.
    pub(crate) fn viewstamp(&self) -> (u8, usize) {
        (self.view, self.log.len())
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct View {
    pub number: u8,
    pub head: Id,
    pub voters: Members,
    pub previous: Members,
    pub chain: Members,
    pub base: (u8, usize),
}

impl View {
    pub(crate) fn is_established(&self) -> bool {
        self.voters == self.previous
    }
}

/// A view that has been led. Messages of its head may arrive late, several times, or never.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LedView {
    /// The view as it was accepted.
    pub view: View,
    /// Whether its head has announced that the view is established.
    pub is_established: bool,
    /// The writes that the view took over, followed by those that its head has sent down the chain.
    pub log: Log,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum RunState {
    Running,
    Stopped,
    /// The member's disk is lost, or its machine has been removed.
    Lost,
}

/// An attempt to lead the next view.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Campaign {
    pub number: u8,
    pub known: View,
    pub promises: BTreeMap<Id, Rows>,
    pub proposed: Option<View>,
    pub accepted: Members,
}

/// State of a head while it leads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Leadership {
    pub view: View,
    pub stored: BTreeMap<Id, usize>,
    pub is_synchronized: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Member {
    pub run_state: RunState,
    pub promised: u8,
    pub view: Option<View>,
    pub rows: Rows,
    /// Whether the last write is not synced yet; only at the head, which sends a write down the chain before it syncs
    /// it.
    pub unsynced: bool,
    pub campaign: Option<Campaign>,
    pub leadership: Option<Leadership>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct State {
    pub members: Vec<Member>,
    pub led: BTreeMap<u8, LedView>,
    pub committed: Log,
    pub crashes: u8,
    pub disks_lost: u8,
    pub violation: Option<&'static str>,
}

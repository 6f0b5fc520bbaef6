//! What a candidate has collected.

use crate::types::{Member, View, Viewstamp, majority};
use std::collections::{BTreeMap, BTreeSet};

/// What a candidate waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Whether a majority would support it.
    PreVote { request_id: u64 },
    /// A majority's promises.
    Prepare,
    /// The newest state among those that have promised.
    Fetch,
    /// The acceptance of its view.
    Propose { view: View },
}

/// What a voter has promised with.
#[derive(Clone, Copy, Debug)]
pub(super) struct Promised {
    pub viewstamp: Viewstamp,
    pub draining: bool,
}

/// A change that a head wants to make to its view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Plan {
    pub voters: Vec<Member>,
    pub chain: Vec<Member>,
}

/// An attempt to lead the next view.
#[derive(Debug)]
pub(super) struct Campaign {
    pub phase: Phase,
    /// Number of the next view, once canvassing is over.
    pub number: u64,
    /// Highest view that the candidate knows to have been accepted.
    pub known: View,
    /// Highest number that anybody has promised.
    pub promised: u64,
    /// Voters asked in this phase.
    pub requested: BTreeSet<Member>,
    /// Voters that have agreed in this phase.
    pub agreed: BTreeSet<Member>,
    pub rejected: BTreeSet<Member>,
    pub promises: BTreeMap<Member, Promised>,
    /// When there was a majority of promises.
    pub majority_ms: Option<u64>,
    pub deadline_ms: u64,
    /// The change to make; `None` for a candidate that is not the head.
    pub plan: Option<Plan>,
}

impl Campaign {
    /// Voters whose majorities are needed: those of the known view and, unless it is known to be established, of the one
    /// before. Until then what was committed before may be on disks of the former voters only.
    pub fn electorates(&self) -> [&[Member]; 2] {
        [&self.known.voters, &self.known.previous_voters]
    }

    /// All voters that are to be asked.
    pub fn voters(&self) -> BTreeSet<Member> {
        self.electorates().into_iter().flatten().copied().collect()
    }

    /// Takes note of a view that another voter has accepted.
    pub fn learn(&mut self, view: View) {
        let newer = view.number > self.known.number;
        if newer || (view.number == self.known.number && view.is_established()) {
            self.known = view;
        }
    }

    /// Each electorate has a majority in `members`.
    pub fn has_majority(&self, members: &BTreeSet<Member>) -> bool {
        self.electorates()
            .into_iter()
            .all(|electorate| is_majority(electorate, members))
    }

    /// So many have refused that no majority can come together.
    pub fn is_hopeless(&self) -> bool {
        self.electorates().into_iter().any(|electorate| {
            let rejected = electorate
                .iter()
                .filter(|m| self.rejected.contains(m))
                .count();
            electorate.len() - rejected < majority(electorate.len())
        })
    }

    /// The newest state promised, and a voter that has it, `own` before others.
    pub fn newest(&self, own: Member) -> Option<(Member, Viewstamp)> {
        let newest = self.promises.values().map(|p| p.viewstamp).max()?;
        let has_newest = |member: &Member| {
            self.promises
                .get(member)
                .is_some_and(|p| p.viewstamp == newest)
        };
        let source = Some(own)
            .filter(|m| has_newest(m))
            .or_else(|| self.promises.keys().copied().find(|m| has_newest(m)));
        source.map(|member| (member, newest))
    }
}

/// A majority of the electorate is in `members`.
pub(super) fn is_majority(electorate: &[Member], members: &BTreeSet<Member>) -> bool {
    electorate.iter().filter(|m| members.contains(m)).count() >= majority(electorate.len())
}

//! What a candidate has collected: votes, promises with the states of those that gave them, acceptances.

use crate::message::{Message, PreVote, PreVoteReply, PrepareOk};
use crate::timing::{MORE_PREPARE_OKS_MS, REJECTED_WAIT_MS};
use crate::types::{Member, View, ViewNumber, Viewstamp, majority};
use std::collections::{BTreeMap, BTreeSet};

/// What a candidate waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// Whether a majority would vote for it.
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
    /// State of its rows.
    pub viewstamp: Viewstamp,
    /// It is about to stop.
    pub draining: bool,
}

/// A change that a head wants to make to its view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::replica) struct Plan {
    pub voters: Vec<Member>,
    pub chain: Vec<Member>,
}

/// The newest state among those of the members that have promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::replica) struct NewestState {
    pub viewstamp: Viewstamp,
    /// A member that has it: the candidate itself before others.
    pub source: Member,
}

/// An attempt to lead the next view.
#[derive(Debug)]
pub(super) struct Campaign {
    phase: Phase,
    /// Number of the next view; 0 before the phase [`Phase::Prepare`].
    number: ViewNumber,
    /// Highest view that the candidate knows to have been accepted; rises with the answers.
    known: View,
    /// Highest number that anybody has promised, as far as the candidate knows.
    promised: ViewNumber,
    /// Voters that this phase's request was sent to, and the candidate.
    requested: BTreeSet<Member>,
    /// Members that have agreed in this phase.
    agreed: BTreeSet<Member>,
    /// Members that have rejected this phase's request.
    rejected: BTreeSet<Member>,
    promises: BTreeMap<Member, Promised>,
    /// When there was a majority of promises.
    majority_ms: Option<u64>,
    /// When this phase fails.
    deadline_ms: u64,
    /// The change to make; `None` for a candidate that is not the head.
    plan: Option<Plan>,
}

impl Campaign {
    /// A campaign that begins with a pre-vote.
    pub(super) fn pre_vote(
        own: Member,
        known: View,
        promised: ViewNumber,
        request_id: u64,
    ) -> Campaign {
        Campaign {
            phase: Phase::PreVote { request_id },
            number: ViewNumber::NONE,
            known,
            promised,
            requested: BTreeSet::from([own]),
            agreed: BTreeSet::new(),
            rejected: BTreeSet::new(),
            promises: BTreeMap::new(),
            majority_ms: None,
            deadline_ms: u64::MAX,
            plan: None,
        }
    }

    /// A campaign that asks for promises for `number`; `plan` is what a head wants to change.
    pub(super) fn prepare(
        own: Member,
        known: View,
        promised: ViewNumber,
        number: ViewNumber,
        plan: Option<Plan>,
    ) -> Campaign {
        Campaign {
            phase: Phase::Prepare,
            number,
            plan,
            ..Campaign::pre_vote(own, known, promised, 0)
        }
    }

    /// The present phase fails at `deadline_ms`.
    pub(super) fn set_deadline(&mut self, deadline_ms: u64) {
        self.deadline_ms = deadline_ms;
    }

    pub(super) fn number(&self) -> ViewNumber {
        self.number
    }

    pub(super) fn known(&self) -> &View {
        &self.known
    }

    pub(super) fn plan(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }

    pub(super) fn promises(&self) -> &BTreeMap<Member, Promised> {
        &self.promises
    }

    pub(super) fn is_pre_vote(&self) -> bool {
        matches!(self.phase, Phase::PreVote { .. })
    }

    /// The newest state has to be fetched for the view `number`.
    pub(super) fn is_fetching(&self, number: ViewNumber) -> bool {
        self.number == number && self.phase == Phase::Fetch
    }

    pub(super) fn is_timed_out(&self, now_ms: u64) -> bool {
        now_ms >= self.deadline_ms
    }

    /// When the campaign fails, or goes on without the promises that are missing.
    pub(super) fn due_ms(&self) -> u64 {
        let majority_ms = self.majority_ms.filter(|_| self.phase == Phase::Prepare);
        let more_due_ms = majority_ms.map_or(u64::MAX, |at| at + MORE_PREPARE_OKS_MS);
        self.deadline_ms.min(more_due_ms)
    }

    /// This phase's request, and the voters that have not had it yet. They count as requested from now on.
    pub(super) fn next_requests(
        &mut self,
        viewstamp: Viewstamp,
        headed_view: ViewNumber,
    ) -> Option<(Message, Vec<Member>)> {
        let message = match self.phase {
            Phase::PreVote { request_id } => Message::PreVote(PreVote {
                request_id,
                viewstamp,
                headed_view,
            }),
            Phase::Prepare => Message::Prepare {
                number: self.number,
                headed_view,
            },
            Phase::Fetch | Phase::Propose { .. } => return None,
        };
        let voters: BTreeSet<Member> = self.electorates().into_iter().flatten().copied().collect();
        let new: Vec<Member> = voters.difference(&self.requested).copied().collect();
        self.requested.extend(&new);
        Some((message, new))
    }

    /// Counts a vote in this phase.
    pub(super) fn count(&mut self, from: Member) {
        self.agreed.insert(from);
    }

    /// Takes the answer to a pre-vote; `false` if it belongs to another one.
    pub(super) fn receive_pre_vote_reply(&mut self, from: Member, reply: PreVoteReply) -> bool {
        let request_id = reply.request_id;
        if self.phase != (Phase::PreVote { request_id }) {
            return false;
        }
        self.promised = self.promised.max(reply.promised);
        if let Some(view) = reply.view {
            self.learn(view);
        }
        if reply.granted {
            self.agreed.insert(from);
        } else {
            self.rejected.insert(from);
        }
        true
    }

    /// The number to prepare after the pre-vote: above each that the candidate knows of.
    pub(super) fn next_number(&self) -> ViewNumber {
        self.promised.max(self.known.number).next()
    }

    /// Takes a promise; `false` if it is for another number, or comes too late.
    pub(super) fn receive_prepare_ok(&mut self, from: Member, prepare_ok: PrepareOk) -> bool {
        if self.number != prepare_ok.number || self.phase != Phase::Prepare {
            return false;
        }
        if let Some(view) = prepare_ok.view {
            self.learn(view);
        }
        self.agreed.insert(from);
        let promised = Promised {
            viewstamp: prepare_ok.viewstamp,
            draining: prepare_ok.draining,
        };
        self.promises.insert(from, promised);
        true
    }

    /// The newest state, once a majority has promised, the candidate with it, and all others have answered or have had
    /// [`MORE_PREPARE_OKS_MS`] to do so.
    pub(super) fn decided_state(&mut self, own: Member, now_ms: u64) -> Option<NewestState> {
        let is_promised = self.agreed.contains(&own) && self.has_majority();
        if self.phase != Phase::Prepare || !is_promised {
            return None;
        }
        let majority_ms = *self.majority_ms.get_or_insert(now_ms);
        let answered = self.agreed.len() + self.rejected.len();
        if answered < self.requested.len() && now_ms < majority_ms + MORE_PREPARE_OKS_MS {
            return None;
        }
        self.newest(own)
    }

    fn newest(&self, own: Member) -> Option<NewestState> {
        let viewstamp = self.promises.values().map(|p| p.viewstamp).max()?;
        let has_newest = |member: &Member| {
            self.promises
                .get(member)
                .is_some_and(|promised| promised.viewstamp == viewstamp)
        };
        let source = Some(own)
            .filter(has_newest)
            .or_else(|| self.promises.keys().copied().find(has_newest))?;
        Some(NewestState { viewstamp, source })
    }

    /// The newest state is to be fetched from another member.
    pub(super) fn fetch(&mut self) {
        self.phase = Phase::Fetch;
    }

    /// The view is proposed; acceptances are counted from now on.
    pub(super) fn propose(&mut self, view: View) {
        self.phase = Phase::Propose { view };
        self.agreed.clear();
        self.rejected.clear();
    }

    /// Takes an acceptance of the view `number`. Returns the view once it is agreed: accepted by majorities of its voters
    /// and of those before them, and on the candidate's own disk.
    pub(super) fn receive_accepted(
        &mut self,
        from: Member,
        number: ViewNumber,
        own: Member,
    ) -> Option<View> {
        let Phase::Propose { view } = &self.phase else {
            return None;
        };
        if self.number != number {
            return None;
        }
        self.agreed.insert(from);
        let is_agreed = self.agreed.contains(&own)
            && is_majority(&view.voters, &self.agreed)
            && is_majority(&view.previous_voters, &self.agreed);
        is_agreed.then(|| view.clone())
    }

    /// Takes the rejection of the number that the candidate has asked for; `false` if it was for another one.
    pub(super) fn receive_reject(
        &mut self,
        from: Member,
        number: ViewNumber,
        promised: ViewNumber,
        now_ms: u64,
    ) -> bool {
        if self.number != number {
            return false;
        }
        self.promised = self.promised.max(promised);
        self.rejected.insert(from);
        if promised >= number {
            self.deadline_ms = self.deadline_ms.min(now_ms + REJECTED_WAIT_MS);
        }
        true
    }

    /// Each electorate has a majority among those that have agreed.
    pub(super) fn has_majority(&self) -> bool {
        self.electorates()
            .into_iter()
            .all(|electorate| is_majority(electorate, &self.agreed))
    }

    /// So many have rejected that no majority can come together.
    pub(super) fn is_hopeless(&self) -> bool {
        self.electorates().into_iter().any(|electorate| {
            let rejected = electorate.iter().filter(|m| self.rejected.contains(m));
            electorate.len() - rejected.count() < majority(electorate.len())
        })
    }

    /// Voters whose majorities are needed: those of the known view and, unless it is known to be established, of the one
    /// before. Until then what was committed before may be on disks of the former voters only.
    fn electorates(&self) -> [&[Member]; 2] {
        [&self.known.voters, &self.known.previous_voters]
    }

    /// Takes a view that another voter has accepted.
    fn learn(&mut self, view: View) {
        let is_newer = view.number > self.known.number;
        if is_newer || (view.number == self.known.number && view.is_established()) {
            self.known = view;
        }
    }
}

/// A majority of the electorate is in `members`.
fn is_majority(electorate: &[Member], members: &BTreeSet<Member>) -> bool {
    electorate.iter().filter(|m| members.contains(m)).count() >= majority(electorate.len())
}

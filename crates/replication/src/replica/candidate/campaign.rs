//! Answers that a candidate has collected: pre-votes, promises with the states of their senders, and acceptances.

use crate::message::{Message, PreVote, PreVoteReply, PrepareOk};
use crate::timing::{PREPARE_GRACE_MS, REJECTED_GRACE_MS};
use crate::types::{Member, View, ViewNumber, Viewstamp, majority};
use std::collections::{BTreeMap, BTreeSet};

/// Phase of a campaign. Each variant describes the answers or rows that the candidate waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// Answers to the pre-vote from a majority.
    PreVote { request_id: u64 },
    /// Promises from a majority.
    Prepare,
    /// The transfer of the newest state among the members that have promised.
    Fetch,
    /// Acceptances of the proposed view.
    Propose { view: View },
}

/// What a voter reports with its promise.
#[derive(Clone, Copy, Debug)]
pub(super) struct Promised {
    /// State of the voter's rows.
    pub viewstamp: Viewstamp,
    /// Whether the voter is about to stop.
    pub draining: bool,
}

/// Voters and chain that a head wants for its next view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::replica) struct Plan {
    pub voters: Vec<Member>,
    pub chain: Vec<Member>,
}

/// The newest state among those of the members that have promised the number of the campaign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::replica) struct NewestState {
    pub viewstamp: Viewstamp,
    /// A member that has this state: the candidate itself if it does.
    pub source: Member,
}

/// An attempt to lead the next view.
#[derive(Debug)]
pub(super) struct Campaign {
    phase: Phase,
    /// Number of the next view; [`ViewNumber::NONE`] during the pre-vote.
    number: ViewNumber,
    /// View with the highest number that the candidate knows to have been accepted by any voter; updated from the
    /// answers.
    known: View,
    /// Highest number that the candidate knows to have been promised by any member.
    promised: ViewNumber,
    /// The candidate, and the voters to which the request of this phase has been sent.
    requested: BTreeSet<Member>,
    /// Members that have granted the request of this phase.
    agreed: BTreeSet<Member>,
    /// Members that have rejected the request of this phase.
    rejected: BTreeSet<Member>,
    promises: BTreeMap<Member, Promised>,
    /// When a majority of promises was reached; `None` before.
    majority_ms: Option<u64>,
    /// When the current phase times out.
    deadline_ms: u64,
    /// Voters and chain for the next view; `None` for a candidate that is not the head.
    plan: Option<Plan>,
}

impl Campaign {
    /// Creates a campaign that begins with a pre-vote.
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

    /// Creates a campaign that asks for promises for `number`; `plan` is the change that a head wants to make to its
    /// view.
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

    /// Sets when the current phase times out.
    pub(super) fn set_deadline(&mut self, deadline_ms: u64) {
        self.deadline_ms = deadline_ms;
    }

    pub(super) fn view_number(&self) -> ViewNumber {
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

    /// Returns true if the campaign for the view `number` waits for the newest state.
    pub(super) fn is_fetching(&self, number: ViewNumber) -> bool {
        self.number == number && self.phase == Phase::Fetch
    }

    pub(super) fn is_timed_out(&self, now_ms: u64) -> bool {
        now_ms >= self.deadline_ms
    }

    /// Returns when the campaign fails, or goes on without the missing promises.
    pub(super) fn due_ms(&self) -> u64 {
        let majority_ms = self.majority_ms.filter(|_| self.phase == Phase::Prepare);
        let more_due_ms = majority_ms.map_or(u64::MAX, |at| at + PREPARE_GRACE_MS);
        self.deadline_ms.min(more_due_ms)
    }

    /// Returns the request of this phase and the voters to which it has not been sent yet, and marks them as requested;
    /// `None` in a phase that sends no requests here.
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

    /// Counts a member that grants the request of this phase.
    pub(super) fn count_vote(&mut self, from: Member) {
        self.agreed.insert(from);
    }

    /// Records an answer to the pre-vote; returns false if it belongs to another one.
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

    /// Returns the number to prepare after the pre-vote: one above the highest that the candidate knows of.
    pub(super) fn next_number(&self) -> ViewNumber {
        self.promised.max(self.known.number).next()
    }

    /// Records a promise; returns false if it is for another number or arrives after the prepare phase.
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

    /// Returns the newest state once a majority that includes the candidate has promised, and all others have answered
    /// or have had [`PREPARE_GRACE_MS`] to do so.
    pub(super) fn decided_state(&mut self, own: Member, now_ms: u64) -> Option<NewestState> {
        let is_promised = self.agreed.contains(&own) && self.has_majority();
        if self.phase != Phase::Prepare || !is_promised {
            return None;
        }
        let majority_ms = *self.majority_ms.get_or_insert(now_ms);
        let answered = self.agreed.len() + self.rejected.len();
        if answered < self.requested.len() && now_ms < majority_ms + PREPARE_GRACE_MS {
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

    /// Enters the phase in which the newest state is fetched from another member.
    pub(super) fn enter_fetch_phase(&mut self) {
        self.phase = Phase::Fetch;
    }

    /// Enters the phase in which acceptances of the proposed `view` are counted.
    pub(super) fn enter_propose_phase(&mut self, view: View) {
        self.phase = Phase::Propose { view };
        self.agreed.clear();
        self.rejected.clear();
    }

    /// Records an acceptance of the view `number`. Returns the view once it is agreed: accepted by majorities of its
    /// voters and of the previous voters, and on the candidate's own disk.
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

    /// Records the rejection of the candidate's number; returns false if it is for another number.
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
            self.deadline_ms = self.deadline_ms.min(now_ms + REJECTED_GRACE_MS);
        }
        true
    }

    /// Returns true if a majority of each electorate has granted the request of this phase.
    pub(super) fn has_majority(&self) -> bool {
        self.electorates()
            .into_iter()
            .all(|electorate| is_majority(electorate, &self.agreed))
    }

    /// Returns true if so many voters have rejected the request that the candidate cannot reach a majority.
    pub(super) fn cannot_win(&self) -> bool {
        self.electorates().into_iter().any(|electorate| {
            let rejected = electorate.iter().filter(|m| self.rejected.contains(m));
            electorate.len() - rejected.count() < majority(electorate.len())
        })
    }

    /// Returns the electorates of which a majority each is needed: the voters of the known view and, unless that view
    /// is known to be established, the previous voters. Until then committed writes may be only on disks of the
    /// previous voters.
    fn electorates(&self) -> [&[Member]; 2] {
        [&self.known.voters, &self.known.previous_voters]
    }

    /// Updates the known view from one that another voter has accepted.
    fn learn(&mut self, view: View) {
        let is_newer = view.number > self.known.number;
        if is_newer || (view.number == self.known.number && view.is_established()) {
            self.known = view;
        }
    }
}

/// Returns true if `members` contains a majority of the electorate.
fn is_majority(electorate: &[Member], members: &BTreeSet<Member>) -> bool {
    electorate.iter().filter(|m| members.contains(m)).count() >= majority(electorate.len())
}

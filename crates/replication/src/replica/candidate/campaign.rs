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
pub(super) struct PromiseReport {
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
    known_view: View,
    /// Highest number that the candidate knows to have been promised by any member.
    promised: ViewNumber,
    /// The candidate, and the voters to which the request of this phase has been sent.
    requested_members: BTreeSet<Member>,
    /// Members that have granted the request of this phase.
    granting_members: BTreeSet<Member>,
    /// Members that have rejected the request of this phase.
    rejecting_members: BTreeSet<Member>,
    promises: BTreeMap<Member, PromiseReport>,
    /// When a majority of promises was reached; `None` before.
    majority_reached_ms: Option<u64>,
    /// When the current phase times out.
    deadline_ms: u64,
    /// Voters and chain for the next view; `None` for a candidate that is not the head.
    plan: Option<Plan>,
}

impl Campaign {
    /// Creates a campaign that begins with a pre-vote.
    pub(super) fn pre_vote(
        own_member: Member,
        known_view: View,
        promised: ViewNumber,
        request_id: u64,
    ) -> Campaign {
        Campaign {
            phase: Phase::PreVote { request_id },
            number: ViewNumber::NONE,
            known_view,
            promised,
            requested_members: BTreeSet::from([own_member]),
            granting_members: BTreeSet::new(),
            rejecting_members: BTreeSet::new(),
            promises: BTreeMap::new(),
            majority_reached_ms: None,
            deadline_ms: u64::MAX,
            plan: None,
        }
    }

    /// Creates a campaign that asks for promises for `number`; `plan` is the change that a head wants to make to its
    /// view.
    pub(super) fn prepare(
        own_member: Member,
        known_view: View,
        promised: ViewNumber,
        number: ViewNumber,
        plan: Option<Plan>,
    ) -> Campaign {
        Campaign {
            phase: Phase::Prepare,
            number,
            plan,
            ..Campaign::pre_vote(own_member, known_view, promised, 0)
        }
    }

    /// Sets when the current phase times out.
    pub(super) fn set_deadline(&mut self, deadline_ms: u64) {
        self.deadline_ms = deadline_ms;
    }

    pub(super) fn view_number(&self) -> ViewNumber {
        self.number
    }

    pub(super) fn known_view(&self) -> &View {
        &self.known_view
    }

    pub(super) fn plan(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }

    pub(super) fn promises(&self) -> &BTreeMap<Member, PromiseReport> {
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
        let majority_reached_ms = self
            .majority_reached_ms
            .filter(|_| self.phase == Phase::Prepare);
        let grace_end_ms =
            majority_reached_ms.map_or(u64::MAX, |reached_ms| reached_ms + PREPARE_GRACE_MS);
        self.deadline_ms.min(grace_end_ms)
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
        let new_voters: Vec<Member> = voters
            .difference(&self.requested_members)
            .copied()
            .collect();
        self.requested_members.extend(&new_voters);
        Some((message, new_voters))
    }

    /// Counts a member that grants the request of this phase.
    pub(super) fn count_vote(&mut self, from: Member) {
        self.granting_members.insert(from);
    }

    /// Records an answer to the pre-vote; returns false if it belongs to another one.
    pub(super) fn receive_pre_vote_reply(&mut self, from: Member, reply: PreVoteReply) -> bool {
        let request_id = reply.request_id;
        if self.phase != (Phase::PreVote { request_id }) {
            return false;
        }
        self.promised = self.promised.max(reply.promised);
        if let Some(view) = reply.view {
            self.learn_view(view);
        }
        if reply.granted {
            self.granting_members.insert(from);
        } else {
            self.rejecting_members.insert(from);
        }
        true
    }

    /// Returns the number to prepare after the pre-vote: one above the highest that the candidate knows of.
    pub(super) fn next_number(&self) -> ViewNumber {
        self.promised.max(self.known_view.number).next()
    }

    /// Records a promise; returns false if it is for another number or arrives after the prepare phase.
    pub(super) fn receive_prepare_ok(&mut self, from: Member, prepare_ok: PrepareOk) -> bool {
        if self.number != prepare_ok.number || self.phase != Phase::Prepare {
            return false;
        }
        if let Some(view) = prepare_ok.view {
            self.learn_view(view);
        }
        self.granting_members.insert(from);
        let report = PromiseReport {
            viewstamp: prepare_ok.viewstamp,
            draining: prepare_ok.draining,
        };
        self.promises.insert(from, report);
        true
    }

    /// Returns the newest state once a majority that includes the candidate has promised, and all others have answered
    /// or have had [`PREPARE_GRACE_MS`] to do so.
    pub(super) fn decided_state(&mut self, own_member: Member, now_ms: u64) -> Option<NewestState> {
        let is_promised = self.granting_members.contains(&own_member) && self.has_majority();
        if self.phase != Phase::Prepare || !is_promised {
            return None;
        }
        let majority_reached_ms = *self.majority_reached_ms.get_or_insert(now_ms);
        let answer_count = self.granting_members.len() + self.rejecting_members.len();
        if answer_count < self.requested_members.len()
            && now_ms < majority_reached_ms + PREPARE_GRACE_MS
        {
            return None;
        }
        self.newest_state(own_member)
    }

    fn newest_state(&self, own_member: Member) -> Option<NewestState> {
        let viewstamp = self.promises.values().map(|p| p.viewstamp).max()?;
        let has_newest = |member: &Member| {
            self.promises
                .get(member)
                .is_some_and(|report| report.viewstamp == viewstamp)
        };
        let source = Some(own_member)
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
        self.granting_members.clear();
        self.rejecting_members.clear();
    }

    /// Records an acceptance of the view `number`. Returns the view once it is agreed: accepted by majorities of its
    /// voters and of the previous voters, and on the candidate's own disk.
    pub(super) fn receive_accepted(
        &mut self,
        from: Member,
        number: ViewNumber,
        own_member: Member,
    ) -> Option<View> {
        let Phase::Propose { view } = &self.phase else {
            return None;
        };
        if self.number != number {
            return None;
        }
        self.granting_members.insert(from);
        let is_agreed = self.granting_members.contains(&own_member)
            && is_majority(&view.voters, &self.granting_members)
            && is_majority(&view.previous_voters, &self.granting_members);
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
        self.rejecting_members.insert(from);
        if promised >= number {
            self.deadline_ms = self.deadline_ms.min(now_ms + REJECTED_GRACE_MS);
        }
        true
    }

    /// Returns true if a majority of each electorate has granted the request of this phase.
    pub(super) fn has_majority(&self) -> bool {
        self.electorates()
            .into_iter()
            .all(|electorate| is_majority(electorate, &self.granting_members))
    }

    /// Returns true if so many voters have rejected the request that the candidate cannot reach a majority.
    pub(super) fn cannot_win(&self) -> bool {
        self.electorates().into_iter().any(|electorate| {
            let rejecting_voters = electorate
                .iter()
                .filter(|m| self.rejecting_members.contains(m));
            electorate.len() - rejecting_voters.count() < majority(electorate.len())
        })
    }

    /// Returns the electorates of which a majority each is needed: the voters of the known view and, unless that view
    /// is known to be established, the previous voters. Until then committed writes may be only on disks of the
    /// previous voters.
    fn electorates(&self) -> [&[Member]; 2] {
        [&self.known_view.voters, &self.known_view.previous_voters]
    }

    /// Updates the known view from one that another voter has accepted.
    fn learn_view(&mut self, view: View) {
        let is_newer = view.number > self.known_view.number;
        if is_newer || (view.number == self.known_view.number && view.is_established()) {
            self.known_view = view;
        }
    }
}

/// Returns true if `members` contains a majority of the electorate.
fn is_majority(electorate: &[Member], members: &BTreeSet<Member>) -> bool {
    electorate.iter().filter(|m| members.contains(m)).count() >= majority(electorate.len())
}

//! The protocol of views and chain as implemented in `src/replica`, without time: any voter may campaign at any moment,
//! and the head changes its view whenever it may. The model also allows what timers and leases rule out in the program.
//!
//! A request and its answer are one step (a promise and its count by the candidate, a store and its count by the head).
//! A member that has promised changes nothing until it receives a later number, so its answer is the same whenever it
//! arrives; a lost answer is equivalent to a sender that crashes before its next step. Everything that a head has sent
//! stays in [`LedView`] and arrives at any later moment or never.

use super::state::{Id, Leadership, LedView, Log, Member, Members, Rows, RunState, State, View};
use stateright::{Model, Property};
use std::collections::BTreeMap;

/// A fault of the protocol, injected to check that the invariants detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The new voters decide alone as soon as majorities of the new and the previous voters have accepted the view.
    EstablishedWhenAccepted,
    /// The chain may be shorter than a majority of the voters.
    ShortChain,
    /// A member stores writes of a view although it has promised a later one.
    WritesAfterPrepare,
    /// A promise is lost when the process crashes.
    PrepareNotSynced,
    /// A write counts as stored at the head before it is on its disk.
    CountsUnsynced,
    /// A candidate leads with its own rows, even if a member that has promised has newer ones.
    OwnRows,
    /// A majority of the new voters is enough to accept a view.
    NewVotersOnly,
    /// A machine that has lost its disk continues to vote as the same member.
    VotesAfterDiskLoss,
    /// A member accepts a view although it has promised a later one.
    AcceptsAfterPrepare,
}

/// The model and its limits.
#[derive(Clone, Debug)]
pub(crate) struct Protocol {
    pub voters: u8,
    pub newcomers: u8,
    pub last_view: u8,
    /// Whether a write is committed at the start, which only the chain members have.
    pub has_initial_write: bool,
    /// Maximum number of writes, including the one at the start.
    pub writes: usize,
    pub crashes: u8,
    pub disks_lost: u8,
    pub fault: Fault,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Action {
    StartCampaign {
        candidate: Id,
        number: u8,
    },
    PrepareOk {
        candidate: Id,
        voter: Id,
    },
    Propose {
        candidate: Id,
        voters: Members,
        chain: Members,
    },
    Accept {
        candidate: Id,
        voter: Id,
    },
    Lead {
        candidate: Id,
    },
    /// A member receives a heartbeat of a view that has been led.
    Follow {
        member: Id,
        number: u8,
        established: bool,
    },
    /// A member receives all rows that the head of the view has on its disk.
    Fetch {
        member: Id,
        number: u8,
    },
    /// A member of the chain receives and stores the next write.
    Store {
        member: Id,
        number: u8,
    },
    Write {
        head: Id,
    },
    Sync {
        head: Id,
    },
    /// The head commits the writes that the whole chain has stored.
    Commit {
        head: Id,
    },
    Crash {
        member: Id,
    },
    Start {
        member: Id,
    },
    LoseDisk {
        member: Id,
    },
}

impl Protocol {
    pub(crate) fn members(&self) -> u8 {
        self.voters + self.newcomers
    }

    pub(crate) fn chain_min(&self, voters: Members) -> u32 {
        let majority = voters.count() / 2 + 1;
        match self.fault {
            Fault::ShortChain => majority - 1,
            _ => majority,
        }
    }

    /// Returns the initial state: view 2 is established, and member 0 leads it with the shortest allowed chain.
    /// Newcomers follow the view but lack the initial write.
    fn initial_state(&self) -> State {
        let voters = Members::of(&(0..self.voters).collect::<Vec<Id>>());
        let chain = Members::of(&(0..self.voters / 2 + 1).collect::<Vec<Id>>());
        let view = View {
            number: 2,
            head: 0,
            voters,
            previous: voters,
            chain,
            base: (1, 0),
        };
        let log: Log = if self.has_initial_write {
            vec![2]
        } else {
            Log::new()
        };
        let mut members: Vec<Member> = (0..self.members())
            .map(|id| self.initial_member(id, &view, &log))
            .collect();
        members[0].leadership = Some(Leadership {
            view: view.clone(),
            stored: chain.iter().map(|id| (id, log.len())).collect(),
            is_synchronized: true,
        });
        let led = LedView {
            view,
            is_established: true,
            log: log.clone(),
        };
        State {
            members,
            led: BTreeMap::from([(2, led)]),
            committed: log,
            crashes: 0,
            disks_lost: 0,
            violation: None,
        }
    }

    /// Returns a member that follows `view`. Chain members have the writes of `log`; voters outside the chain have not
    /// entered the view.
    fn initial_member(&self, id: Id, view: &View, log: &Log) -> Member {
        let in_chain = view.chain.has(id);
        let has_entered = in_chain || id >= self.voters;
        Member {
            run_state: RunState::Running,
            promised: 2,
            view: Some(view.clone()),
            rows: Rows {
                view: if has_entered { 2 } else { 1 },
                log: if in_chain { log.clone() } else { Log::new() },
            },
            unsynced: false,
            campaign: None,
            leadership: None,
        }
    }
}

/// Returns true if at most one head may hold a lease, and that head has all committed writes. A head may hold a lease
/// if a majority of its voters follows its view and has promised no later one.
fn acting_heads_have_commits(state: &State) -> bool {
    let follows = |id: Id, number: u8| {
        let member = &state.members[usize::from(id)];
        member.promised == number
            && member
                .view
                .as_ref()
                .is_some_and(|view| view.number == number)
    };
    let is_acting = |leadership: &Leadership| {
        let voters = leadership.view.voters;
        let followers: Vec<Id> = voters
            .iter()
            .filter(|&id| follows(id, leadership.view.number))
            .collect();
        leadership.is_synchronized && voters.majority_in(Members::of(&followers))
    };
    let acting = state
        .members
        .iter()
        .filter(|m| m.leadership.as_ref().is_some_and(is_acting));
    let acting: Vec<&Member> = acting.collect();
    acting.len() <= 1
        && acting
            .iter()
            .all(|head| head.rows.log.starts_with(&state.committed))
}

impl Model for Protocol {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![self.initial_state()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.violation.is_some() {
            return;
        }
        for id in 0..self.members() {
            match state.members[usize::from(id)].run_state {
                RunState::Lost => continue,
                RunState::Stopped => actions.push(Action::Start { member: id }),
                RunState::Running => {
                    self.candidate_actions(state, id, actions);
                    self.follower_actions(state, id, actions);
                    self.head_actions(state, id, actions);
                    if state.crashes < self.crashes {
                        actions.push(Action::Crash { member: id });
                    }
                }
            }
            if state.disks_lost < self.disks_lost && id < self.voters {
                actions.push(Action::LoseDisk { member: id });
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::StartCampaign { candidate, number } => {
                self.start_campaign(&mut state, candidate, number);
            }
            Action::PrepareOk { candidate, voter } => self.prepare(&mut state, candidate, voter),
            Action::Propose {
                candidate,
                voters,
                chain,
            } => self.propose(&mut state, candidate, voters, chain),
            Action::Accept { candidate, voter } => self.accept(&mut state, candidate, voter),
            Action::Lead { candidate } => self.lead(&mut state, candidate),
            Action::Follow {
                member,
                number,
                established,
            } => {
                self.follow(&mut state, member, number, established);
            }
            Action::Fetch { member, number } => self.fetch(&mut state, member, number),
            Action::Store { member, number } => self.store(&mut state, member, number),
            Action::Write { head } => self.write(&mut state, head),
            Action::Sync { head } => {
                let member = &mut state.members[usize::from(head)];
                member.unsynced = false;
                if let Some(leadership) = &mut member.leadership {
                    leadership.stored.insert(head, member.rows.log.len());
                }
            }
            Action::Commit { head } => self.commit(&mut state, head),
            Action::Crash { member } => {
                self.crash(&mut state.members[usize::from(member)]);
                state.crashes += 1;
            }
            Action::Start { member } => {
                state.members[usize::from(member)].run_state = RunState::Running;
            }
            Action::LoseDisk { member } => self.lose_disk(&mut state, member),
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(INVARIANT, |_, state: &State| state.violation.is_none()),
            Property::always(ACTING, |_, state: &State| acting_heads_have_commits(state)),
            Property::sometimes(PROGRESS, |_, state: &State| {
                state.committed.iter().any(|&view| view > 2)
            }),
        ]
    }
}

/// Name of the property that no view is led twice and committed writes do not change; it must hold in every state.
pub(crate) const INVARIANT: &str = "no view is led twice, and committed writes do not change";
/// Name of the property that at most one head may hold a lease and has all committed writes; it must hold in every
/// state.
pub(crate) const ACTING: &str = "at most one head may act, and it has all committed writes";
/// Name of the property that must hold in some state; it shows that the model makes progress.
pub(crate) const PROGRESS: &str = "a write is committed after a change of view";

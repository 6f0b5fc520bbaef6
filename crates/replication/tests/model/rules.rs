//! The protocol of views and chain as the program has it (`src/replica`), without time: whoever may stand does so at any
//! moment, and the head changes its view whenever it may. What timers and leases rule out is allowed here.
//!
//! A question and its answer are one step (a promise and its note by the candidate, a store and its note by the head): a
//! member that has promised changes nothing until it hears of a later number, so its answer says the same whenever it
//! arrives; an answer that is lost is an asker that crashes before its next step. What a head has said stays in
//! [`Led`], and arrives at any later moment or never.

use super::state::{Campaign, Id, Leadership, Led, Log, Member, Members, Power, Rows, State, View};
use stateright::{Model, Property};
use std::collections::BTreeMap;

/// A fault put in on purpose, to see that the invariants notice it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The new voters decide alone as soon as a majority of both has accepted the view.
    EstablishedWhenAccepted,
    /// The chain may be shorter than a majority of the voters.
    ShortChain,
    /// A member takes writes of a view although it has promised a later one.
    WritesAfterPrepare,
    /// A promise is forgotten with the process.
    PrepareNotSynced,
    /// A write counts as stored at the head before it is on its disk.
    CountsUnsynced,
    /// A candidate leads with its own rows, whatever the others have promised with.
    OwnRows,
    /// A majority of the new voters is enough to accept a view.
    NewVotersOnly,
    /// A machine without its disk goes on voting under its old name.
    ForgetfulVoter,
    /// A member accepts a view although it has promised a later one.
    AcceptsAfterPrepare,
}

/// The model and its bounds.
#[derive(Clone, Debug)]
pub struct Protocol {
    pub voters: u8,
    pub newcomers: u8,
    pub last_view: u8,
    /// A write is committed from the start, which only the chain has.
    pub is_written: bool,
    /// Most writes in all.
    pub writes: usize,
    pub crashes: u8,
    pub disks_lost: u8,
    pub fault: Fault,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
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
    /// A member hears of a view that was led, by a heartbeat.
    Follow {
        member: Id,
        number: u8,
        established: bool,
    },
    /// A member gets all rows that the head of the view has on its disk.
    Fetch {
        member: Id,
        number: u8,
    },
    /// A member of the chain gets the next write.
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
    /// The head counts what the whole chain has stored.
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
    fn members(&self) -> u8 {
        self.voters + self.newcomers
    }

    fn chain_min(&self, voters: Members) -> u32 {
        let majority = voters.count() / 2 + 1;
        match self.fault {
            Fault::ShortChain => majority - 1,
            _ => majority,
        }
    }

    /// View 2 is at work: member 0 leads it, with as short a chain as there may be; newcomers follow it, but lack a write.
    fn first_state(&self) -> State {
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
        let in_touch = |id: Id| chain.has(id) || id >= self.voters;
        let first_log: Log = if self.is_written { vec![2] } else { Log::new() };
        let log_of = |id: Id| {
            if chain.has(id) {
                first_log.clone()
            } else {
                Log::new()
            }
        };
        let follower = |id: Id| Member {
            power: Power::On,
            promised: 2,
            view: Some(view.clone()),
            rows: Rows {
                view: if in_touch(id) { 2 } else { 1 },
                log: log_of(id),
            },
            unsynced: false,
            campaign: None,
            leadership: None,
        };
        let mut members: Vec<Member> = (0..self.members()).map(follower).collect();
        let stored = chain.iter().map(|id| (id, first_log.len())).collect();
        members[0].leadership = Some(Leadership {
            view: view.clone(),
            stored,
            is_installed: true,
        });
        let led = Led {
            view,
            is_established: true,
            log: first_log.clone(),
        };
        State {
            members,
            led: BTreeMap::from([(2, led)]),
            committed: first_log,
            crashes: 0,
            disks_lost: 0,
            broken: None,
        }
    }

    fn candidate_actions(&self, state: &State, candidate: Id, actions: &mut Vec<Action>) {
        let member = &state.members[usize::from(candidate)];
        let Some(view) = &member.view else { return };
        let number = member.promised.max(view.number) + 1;
        if view.voters.has(candidate) && number <= self.last_view {
            actions.push(Action::StartCampaign { candidate, number });
        }
        let Some(campaign) = &member.campaign else {
            return;
        };
        let others = (0..self.members()).filter(|&id| id != candidate);
        let responsive = others.filter(|&id| state.members[usize::from(id)].power == Power::On);
        match &campaign.proposed {
            None => {
                let electorate = Members(campaign.known.voters.0 | campaign.known.previous.0);
                let new = responsive
                    .filter(|&id| electorate.has(id) && !campaign.promises.contains_key(&id));
                actions.extend(new.map(|voter| Action::PrepareOk { candidate, voter }));
                self.proposals(state, candidate, campaign, actions);
            }
            Some(view) => {
                let electorate = Members(view.voters.0 | view.previous.0);
                let new = responsive.filter(|&id| electorate.has(id) && !campaign.accepted.has(id));
                actions.extend(new.map(|voter| Action::Accept { candidate, voter }));
                let former = view.previous.majority_in(campaign.accepted);
                let former = former || self.fault == Fault::NewVotersOnly;
                if former && view.voters.majority_in(campaign.accepted) {
                    actions.push(Action::Lead { candidate });
                }
            }
        }
    }

    /// Each view that a candidate with enough promises may propose.
    fn proposals(
        &self,
        state: &State,
        candidate: Id,
        campaign: &Campaign,
        actions: &mut Vec<Action>,
    ) {
        let known = &campaign.known;
        let promised = Members::of(&campaign.promises.keys().copied().collect::<Vec<Id>>());
        if !known.voters.majority_in(promised) || !known.previous.majority_in(promised) {
            return;
        }
        for voters in self.next_voters(state, candidate, known) {
            let newcomers = Members(voters.0 & !known.voters.0);
            let possible = Members(voters.0 & (promised.0 | newcomers.0)).with(candidate);
            let long_enough =
                |chain: &Members| chain.has(candidate) && chain.count() >= self.chain_min(voters);
            let chains = possible.subsets().filter(long_enough);
            actions.extend(chains.map(|chain| Action::Propose {
                candidate,
                voters,
                chain,
            }));
        }
    }

    /// The voters as they are, and for the head of an established view those with one change.
    fn next_voters(&self, state: &State, candidate: Id, known: &View) -> Vec<Members> {
        let member = &state.members[usize::from(candidate)];
        let leads = member.leadership.as_ref().is_some_and(|leadership| {
            leadership.is_installed
                && leadership.view.number == known.number
                && known.is_established()
        });
        let mut choices = vec![known.voters];
        if !leads {
            return choices;
        }
        let others: Vec<Id> = known.voters.without(candidate).iter().collect();
        let has_rows = |id: &Id| state.members[usize::from(*id)].rows.view == known.number;
        let newcomers = (0..self.members())
            .filter(|&id| !known.voters.has(id))
            .filter(has_rows);
        for new in newcomers {
            choices.push(known.voters.with(new));
            choices.extend(
                others
                    .iter()
                    .map(|&old| known.voters.with(new).without(old)),
            );
        }
        if known.voters.count() > 2 {
            choices.extend(others.iter().map(|&old| known.voters.without(old)));
        }
        choices
    }

    fn start_campaign(&self, state: &mut State, candidate: Id, number: u8) {
        let member = &mut state.members[usize::from(candidate)];
        let Some(known) = member.view.clone() else {
            return;
        };
        member.promised = number;
        let promises = BTreeMap::from([(candidate, member.rows.clone())]);
        let accepted = Members::default();
        member.campaign = Some(Campaign {
            number,
            known,
            promises,
            proposed: None,
            accepted,
        });
    }

    fn prepare(&self, state: &mut State, candidate: Id, voter: Id) {
        let Some(number) = number_of(state, candidate) else {
            return;
        };
        let member = &mut state.members[usize::from(voter)];
        if number <= member.promised {
            return;
        }
        withdraw(member);
        member.promised = number;
        let (view, rows) = (member.view.clone(), member.rows.clone());
        let Some(campaign) = &mut state.members[usize::from(candidate)].campaign else {
            return;
        };
        campaign.promises.insert(voter, rows);
        let known = &campaign.known;
        let is_newer = |view: &View| {
            view.number > known.number || (view.number == known.number && view.is_established())
        };
        if let Some(view) = view.filter(is_newer) {
            campaign.known = view;
        }
    }

    fn propose(&self, state: &mut State, candidate: Id, voters: Members, chain: Members) {
        let member = &mut state.members[usize::from(candidate)];
        let Some(campaign) = &mut member.campaign else {
            return;
        };
        let newest = campaign
            .promises
            .values()
            .max_by_key(|rows| rows.viewstamp())
            .cloned()
            .unwrap_or_default();
        if newest.viewstamp() > member.rows.viewstamp() && self.fault != Fault::OwnRows {
            member.rows = newest;
            member.unsynced = false;
            member.leadership = None;
        }
        let (number, previous) = (campaign.number, campaign.known.previous);
        let view = View {
            number,
            head: candidate,
            voters,
            previous,
            chain,
            base: member.rows.viewstamp(),
        };
        campaign.proposed = Some(view.clone());
        campaign.accepted = Members::of(&[candidate]);
        member.view = Some(view);
    }

    fn accept(&self, state: &mut State, candidate: Id, voter: Id) {
        let campaign = state.members[usize::from(candidate)].campaign.as_ref();
        let Some(view) = campaign.and_then(|c| c.proposed.clone()) else {
            return;
        };
        let member = &mut state.members[usize::from(voter)];
        if view.number < member.promised && self.fault != Fault::AcceptsAfterPrepare {
            return;
        }
        withdraw(member);
        member.promised = member.promised.max(view.number);
        if member
            .view
            .as_ref()
            .is_none_or(|known| known.number < view.number)
        {
            member.view = Some(view);
        }
        if let Some(campaign) = &mut state.members[usize::from(candidate)].campaign {
            campaign.accepted = campaign.accepted.with(voter);
        }
    }

    fn lead(&self, state: &mut State, candidate: Id) {
        let member = &mut state.members[usize::from(candidate)];
        let Some(view) = member
            .campaign
            .take()
            .and_then(|campaign| campaign.proposed)
        else {
            return;
        };
        member.rows.view = view.number;
        let stored = BTreeMap::from([(
            candidate,
            member.rows.log.len() - usize::from(member.unsynced),
        )]);
        member.leadership = Some(Leadership {
            view: view.clone(),
            stored,
            is_installed: false,
        });
        let log = member.rows.log.clone();
        let is_established = view.is_established();
        let number = view.number;
        if state
            .led
            .insert(
                number,
                Led {
                    view,
                    is_established,
                    log,
                },
            )
            .is_some()
        {
            state.broken = Some("a view was led twice");
        }
        if self.fault == Fault::EstablishedWhenAccepted {
            establish(state, candidate);
        }
    }

    /// What the whole chain has stored is committed.
    fn commit(&self, state: &mut State, head: Id) {
        let member = &mut state.members[usize::from(head)];
        let Some(stored) = stored_by_all(member) else {
            return;
        };
        let Some(leadership) = &mut member.leadership else {
            return;
        };
        let newly_installed = !std::mem::replace(&mut leadership.is_installed, true);
        let committed = member.rows.log[..stored.min(member.rows.log.len())].to_vec();
        let common = committed.len().min(state.committed.len());
        if committed[..common] != state.committed[..common] {
            state.broken = Some("two heads have committed different writes");
        }
        if committed.len() > state.committed.len() {
            state.committed = committed;
        }
        if newly_installed {
            establish(state, head);
        }
    }

    fn follow(&self, state: &mut State, to: Id, number: u8, established: bool) {
        let Some(led) = state.led.get(&number).cloned() else {
            return;
        };
        let mut view = led.view;
        if established {
            view.previous = view.voters;
        }
        let member = &mut state.members[usize::from(to)];
        let known = member.view.as_ref().filter(|known| known.number == number);
        if known.is_none() || member.promised < number {
            withdraw(member);
            member.promised = number;
            member.view = Some(view.clone());
        } else if view.is_established() {
            member.view = Some(view.clone());
        }
        if member.rows.viewstamp() == view.base {
            member.rows.view = number;
        }
        report_stored(state, to, number);
    }

    fn fetch(&self, state: &mut State, to: Id, number: u8) {
        let Some(led) = state.led.get(&number) else {
            return;
        };
        let head = &state.members[usize::from(led.view.head)];
        let mut rows = head.rows.clone();
        if head.unsynced {
            rows.log.pop();
        }
        state.members[usize::from(to)].rows = rows;
        report_stored(state, to, number);
    }

    fn follower_actions(&self, state: &State, id: Id, actions: &mut Vec<Action>) {
        let member = &state.members[usize::from(id)];
        for (&number, led) in &state.led {
            if led.view.head == id || number < member.promised {
                continue;
            }
            actions.push(Action::Follow {
                member: id,
                number,
                established: false,
            });
            if led.is_established {
                actions.push(Action::Follow {
                    member: id,
                    number,
                    established: true,
                });
            }
        }
        let Some(view) = &member.view else { return };
        let Some(led) = state.led.get(&view.number) else {
            return;
        };
        let number = view.number;
        let follows = member.promised == number && member.leadership.is_none() && view.head != id;
        let entered = member.rows.view == number;
        let head = &state.members[usize::from(view.head)];
        let source = head.power == Power::On && head.rows.view == number;
        if follows && source && (!entered || !view.chain.has(id)) {
            actions.push(Action::Fetch { member: id, number });
        }
        let takes = member.leadership.is_none() && view.head != id && entered && view.chain.has(id);
        let obeys = member.promised == number || self.fault == Fault::WritesAfterPrepare;
        if takes && obeys && member.rows.log.len() < led.log.len() {
            actions.push(Action::Store { member: id, number });
        }
    }

    fn head_actions(&self, state: &State, id: Id, actions: &mut Vec<Action>) {
        let member = &state.members[usize::from(id)];
        if member.unsynced {
            actions.push(Action::Sync { head: id });
        }
        let Some(leadership) = &member.leadership else {
            return;
        };
        let open = leadership.is_installed
            && member.promised == leadership.view.number
            && member.campaign.is_none();
        if open && member.rows.log.len() < self.writes && !member.unsynced {
            actions.push(Action::Write { head: id });
        }
        let counts = stored_by_all(member);
        if counts.is_some_and(|stored| !leadership.is_installed || stored > state.committed.len()) {
            actions.push(Action::Commit { head: id });
        }
    }

    fn store(&self, state: &mut State, to: Id, number: u8) {
        let Some(led) = state.led.get(&number) else {
            return;
        };
        let rows = &mut state.members[usize::from(to)].rows;
        rows.log = led.log[..rows.log.len() + 1].to_vec();
        report_stored(state, to, number);
    }

    fn write(&self, state: &mut State, head: Id) {
        let member = &mut state.members[usize::from(head)];
        let Some(leadership) = &mut member.leadership else {
            return;
        };
        let number = leadership.view.number;
        member.rows.log.push(number);
        member.unsynced = true;
        if self.fault == Fault::CountsUnsynced {
            leadership.stored.insert(head, member.rows.log.len());
        }
        if let Some(led) = state.led.get_mut(&number) {
            led.log.clone_from(&member.rows.log);
        }
    }

    fn crash(&self, member: &mut Member) {
        member.power = Power::Off;
        if self.fault == Fault::PrepareNotSynced {
            member.promised = member.view.as_ref().map_or(0, |view| view.number);
        }
        withdraw(member);
        if std::mem::take(&mut member.unsynced) {
            member.rows.log.pop();
        }
    }

    fn lose_disk(&self, state: &mut State, id: Id) {
        let lost = &mut state.members[usize::from(id)];
        self.crash(lost);
        lost.power = Power::Lost;
        if self.fault == Fault::ForgetfulVoter {
            lost.power = Power::Off;
            (lost.promised, lost.rows) = (0, Rows::default());
        }
        state.disks_lost += 1;
    }
}

fn number_of(state: &State, candidate: Id) -> Option<u8> {
    state.members[usize::from(candidate)]
        .campaign
        .as_ref()
        .map(|campaign| campaign.number)
}

fn stored_by_all(member: &Member) -> Option<usize> {
    let leadership = member.leadership.as_ref()?;
    let stored: Option<Vec<usize>> = leadership
        .view
        .chain
        .iter()
        .map(|id| leadership.stored.get(&id).copied())
        .collect();
    stored?.into_iter().min()
}

/// The head of the view notes what a member has on disk.
fn report_stored(state: &mut State, from: Id, number: u8) {
    let rows = &state.members[usize::from(from)].rows;
    let (view, len) = (rows.view, rows.log.len());
    let Some(led) = state.led.get(&number) else {
        return;
    };
    let leadership = &mut state.members[usize::from(led.view.head)].leadership;
    if let Some(leadership) = leadership
        .as_mut()
        .filter(|leadership| leadership.view.number == number && view == number)
    {
        let stored = leadership.stored.entry(from).or_insert(len);
        *stored = (*stored).max(len);
    }
}

/// The view's own voters decide alone from now on, and its head says so.
fn establish(state: &mut State, head: Id) {
    let member = &mut state.members[usize::from(head)];
    let Some(leadership) = &mut member.leadership else {
        return;
    };
    leadership.view.previous = leadership.view.voters;
    if let Some(view) = member
        .view
        .as_mut()
        .filter(|view| view.number == leadership.view.number)
    {
        *view = leadership.view.clone();
    }
    if let Some(led) = state.led.get_mut(&leadership.view.number) {
        led.is_established = true;
    }
}

/// Whether a head whose lease may hold has all that was committed, and there is only one. A lease needs a majority of the
/// voters that follow the view and have promised no later one.
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
        leadership.is_installed && voters.majority_in(Members::of(&followers))
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

fn withdraw(member: &mut Member) {
    member.campaign = None;
    member.leadership = None;
}

impl Model for Protocol {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![self.first_state()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.broken.is_some() {
            return;
        }
        for id in 0..self.members() {
            match state.members[usize::from(id)].power {
                Power::Lost => continue,
                Power::Off => actions.push(Action::Start { member: id }),
                Power::On => {
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
                self.start_campaign(&mut state, candidate, number)
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
            Action::Start { member } => state.members[usize::from(member)].power = Power::On,
            Action::LoseDisk { member } => self.lose_disk(&mut state, member),
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(INVARIANT, |_, state: &State| state.broken.is_none()),
            Property::always(ACTING, |_, state: &State| acting_heads_have_commits(state)),
            Property::sometimes(PROGRESS, |_, state: &State| {
                state.committed.iter().any(|&view| view > 2)
            }),
        ]
    }
}

/// Name of a property that must hold in every state.
pub const INVARIANT: &str = "a view is led once, and what is committed does not change";
/// Name of a property that must hold in every state.
pub const ACTING: &str = "one head acts, and has all that was committed";
/// Name of the property that must hold in some state: the model does something.
pub const PROGRESS: &str = "a write is committed after a change of view";

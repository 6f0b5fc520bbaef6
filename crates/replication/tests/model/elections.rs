//! Rules of the model for campaigns, from the promises to the leadership.

use super::chain::establish;
use super::rules::{Action, Fault, Protocol};
use super::state::{Campaign, Id, Leadership, LedView, Members, RunState, State, View};
use std::collections::BTreeMap;

impl Protocol {
    pub(crate) fn candidate_actions(
        &self,
        state: &State,
        candidate: Id,
        actions: &mut Vec<Action>,
    ) {
        let member = &state.members[usize::from(candidate)];
        let Some(view) = &member.view else { return };
        let number = member.promised.max(view.number) + 1;
        if view.voters.has(candidate) && number <= self.last_view {
            actions.push(Action::StartCampaign { candidate, number });
        }
        let Some(campaign) = &member.campaign else {
            return;
        };
        let other_members = (0..self.members()).filter(|&id| id != candidate);
        let responsive_members = other_members
            .filter(|&id| state.members[usize::from(id)].run_state == RunState::Running);
        match &campaign.proposed {
            None => {
                let electorate = Members(campaign.known.voters.0 | campaign.known.previous.0);
                let new_voters = responsive_members
                    .filter(|&id| electorate.has(id) && !campaign.promises.contains_key(&id));
                actions.extend(new_voters.map(|voter| Action::PrepareOk { candidate, voter }));
                self.proposals(state, candidate, campaign, actions);
            }
            Some(view) => {
                let electorate = Members(view.voters.0 | view.previous.0);
                let new_voters = responsive_members
                    .filter(|&id| electorate.has(id) && !campaign.accepted.has(id));
                actions.extend(new_voters.map(|voter| Action::Accept { candidate, voter }));
                let has_former_majority = view.previous.majority_in(campaign.accepted);
                let has_former_majority = has_former_majority || self.fault == Fault::NewVotersOnly;
                if has_former_majority && view.voters.majority_in(campaign.accepted) {
                    actions.push(Action::Lead { candidate });
                }
            }
        }
    }

    /// Adds each view that a candidate with enough promises may propose.
    fn proposals(
        &self,
        state: &State,
        candidate: Id,
        campaign: &Campaign,
        actions: &mut Vec<Action>,
    ) {
        let known_view = &campaign.known;
        let promised_members = Members::of(&campaign.promises.keys().copied().collect::<Vec<Id>>());
        if !known_view.voters.majority_in(promised_members)
            || !known_view.previous.majority_in(promised_members)
        {
            return;
        }
        for voters in self.next_voters(state, candidate, known_view) {
            let newcomers = Members(voters.0 & !known_view.voters.0);
            let possible_members =
                Members(voters.0 & (promised_members.0 | newcomers.0)).with(candidate);
            let is_long_enough =
                |chain: &Members| chain.has(candidate) && chain.count() >= self.chain_min(voters);
            let chains = possible_members.subsets().filter(is_long_enough);
            actions.extend(chains.map(|chain| Action::Propose {
                candidate,
                voters,
                chain,
            }));
        }
    }

    /// Returns the possible voters of the next view: the current ones and, for the head of an established view, those
    /// with one change.
    fn next_voters(&self, state: &State, candidate: Id, known_view: &View) -> Vec<Members> {
        let member = &state.members[usize::from(candidate)];
        let is_leading = member.leadership.as_ref().is_some_and(|leadership| {
            leadership.is_synchronized
                && leadership.view.number == known_view.number
                && known_view.is_established()
        });
        let mut choices = vec![known_view.voters];
        if !is_leading {
            return choices;
        }
        let other_voters: Vec<Id> = known_view.voters.without(candidate).iter().collect();
        let has_rows = |id: &Id| state.members[usize::from(*id)].rows.view == known_view.number;
        let newcomers = (0..self.members())
            .filter(|&id| !known_view.voters.has(id))
            .filter(has_rows);
        for new_voter in newcomers {
            choices.push(known_view.voters.with(new_voter));
            choices.extend(
                other_voters
                    .iter()
                    .map(|&old_voter| known_view.voters.with(new_voter).without(old_voter)),
            );
        }
        if known_view.voters.count() > 2 {
            choices.extend(
                other_voters
                    .iter()
                    .map(|&old_voter| known_view.voters.without(old_voter)),
            );
        }
        choices
    }

    pub(crate) fn start_campaign(&self, state: &mut State, candidate: Id, number: u8) {
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

    pub(crate) fn prepare(&self, state: &mut State, candidate: Id, voter: Id) {
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
        let known_view = &campaign.known;
        let is_newer = |view: &View| {
            view.number > known_view.number
                || (view.number == known_view.number && view.is_established())
        };
        if let Some(view) = view.filter(is_newer) {
            campaign.known = view;
        }
    }

    pub(crate) fn propose(
        &self,
        state: &mut State,
        candidate: Id,
        voters: Members,
        chain: Members,
    ) {
        let member = &mut state.members[usize::from(candidate)];
        let Some(campaign) = &mut member.campaign else {
            return;
        };
        let newest_rows = campaign
            .promises
            .values()
            .max_by_key(|rows| rows.viewstamp())
            .cloned()
            .unwrap_or_default();
        if newest_rows.viewstamp() > member.rows.viewstamp() && self.fault != Fault::OwnRows {
            member.rows = newest_rows;
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

    pub(crate) fn accept(&self, state: &mut State, candidate: Id, voter: Id) {
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

    pub(crate) fn lead(&self, state: &mut State, candidate: Id) {
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
            is_synchronized: false,
        });
        let log = member.rows.log.clone();
        let is_established = view.is_established();
        let number = view.number;
        if state
            .led
            .insert(
                number,
                LedView {
                    view,
                    is_established,
                    log,
                },
            )
            .is_some()
        {
            state.violation = Some("a view was led twice");
        }
        if self.fault == Fault::EstablishedWhenAccepted {
            establish(state, candidate);
        }
    }
}

fn number_of(state: &State, candidate: Id) -> Option<u8> {
    state.members[usize::from(candidate)]
        .campaign
        .as_ref()
        .map(|campaign| campaign.number)
}

/// Ends the member's campaign and leadership.
pub(crate) fn withdraw(member: &mut super::state::Member) {
    member.campaign = None;
    member.leadership = None;
}

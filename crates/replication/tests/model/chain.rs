//! Rules of the model for the chain: members follow a view and store its writes, and the head commits them.

use super::elections::withdraw;
use super::rules::{Action, Fault, Protocol};
use super::state::{Id, Member, RunState, State};

impl Protocol {
    pub(crate) fn follower_actions(&self, state: &State, id: Id, actions: &mut Vec<Action>) {
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
        let is_follower =
            member.promised == number && member.leadership.is_none() && view.head != id;
        let has_entered_view = member.rows.view == number;
        let head = &state.members[usize::from(view.head)];
        let has_source = head.run_state == RunState::Running && head.rows.view == number;
        if is_follower && has_source && (!has_entered_view || !view.chain.has(id)) {
            actions.push(Action::Fetch { member: id, number });
        }
        let receives_writes = member.leadership.is_none()
            && view.head != id
            && has_entered_view
            && view.chain.has(id);
        let may_store = member.promised == number || self.fault == Fault::WritesAfterPrepare;
        if receives_writes && may_store && member.rows.log.len() < led.log.len() {
            actions.push(Action::Store { member: id, number });
        }
    }

    pub(crate) fn head_actions(&self, state: &State, id: Id, actions: &mut Vec<Action>) {
        let member = &state.members[usize::from(id)];
        if member.unsynced {
            actions.push(Action::Sync { head: id });
        }
        let Some(leadership) = &member.leadership else {
            return;
        };
        let may_write = leadership.is_synchronized
            && member.promised == leadership.view.number
            && member.campaign.is_none();
        if may_write && member.rows.log.len() < self.writes && !member.unsynced {
            actions.push(Action::Write { head: id });
        }
        let stored_count = stored_by_all(member);
        if stored_count.is_some_and(|stored_count| {
            !leadership.is_synchronized || stored_count > state.committed.len()
        }) {
            actions.push(Action::Commit { head: id });
        }
    }

    pub(crate) fn follow(&self, state: &mut State, receiver: Id, number: u8, established: bool) {
        let Some(led) = state.led.get(&number).cloned() else {
            return;
        };
        let mut view = led.view;
        if established {
            view.previous = view.voters;
        }
        let member = &mut state.members[usize::from(receiver)];
        let accepted_view = member
            .view
            .as_ref()
            .filter(|accepted_view| accepted_view.number == number);
        if accepted_view.is_none() || member.promised < number {
            withdraw(member);
            member.promised = number;
            member.view = Some(view.clone());
        } else if view.is_established() {
            member.view = Some(view.clone());
        }
        if member.rows.viewstamp() == view.base {
            member.rows.view = number;
        }
        report_stored(state, receiver, number);
    }

    pub(crate) fn fetch(&self, state: &mut State, receiver: Id, number: u8) {
        let Some(led) = state.led.get(&number) else {
            return;
        };
        let head = &state.members[usize::from(led.view.head)];
        let mut rows = head.rows.clone();
        if head.unsynced {
            rows.log.pop();
        }
        state.members[usize::from(receiver)].rows = rows;
        report_stored(state, receiver, number);
    }

    pub(crate) fn store(&self, state: &mut State, receiver: Id, number: u8) {
        let Some(led) = state.led.get(&number) else {
            return;
        };
        let rows = &mut state.members[usize::from(receiver)].rows;
        rows.log = led.log[..rows.log.len() + 1].to_vec();
        report_stored(state, receiver, number);
    }

    pub(crate) fn write(&self, state: &mut State, head: Id) {
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

    /// Commits the writes that the whole chain has stored.
    pub(crate) fn commit(&self, state: &mut State, head: Id) {
        let member = &mut state.members[usize::from(head)];
        let Some(stored_count) = stored_by_all(member) else {
            return;
        };
        let Some(leadership) = &mut member.leadership else {
            return;
        };
        let newly_synchronized = !std::mem::replace(&mut leadership.is_synchronized, true);
        let committed = member.rows.log[..stored_count.min(member.rows.log.len())].to_vec();
        let common_length = committed.len().min(state.committed.len());
        if committed[..common_length] != state.committed[..common_length] {
            state.violation = Some("two heads have committed different writes");
        }
        if committed.len() > state.committed.len() {
            state.committed = committed;
        }
        if newly_synchronized {
            establish(state, head);
        }
    }
}

fn stored_by_all(member: &Member) -> Option<usize> {
    let leadership = member.leadership.as_ref()?;
    let stored_counts: Option<Vec<usize>> = leadership
        .view
        .chain
        .iter()
        .map(|id| leadership.stored.get(&id).copied())
        .collect();
    stored_counts?.into_iter().min()
}

/// Reports a member's rows on disk to the head of the view.
fn report_stored(state: &mut State, reporter: Id, number: u8) {
    let rows = &state.members[usize::from(reporter)].rows;
    let (view, write_count) = (rows.view, rows.log.len());
    let Some(led) = state.led.get(&number) else {
        return;
    };
    let leadership = &mut state.members[usize::from(led.view.head)].leadership;
    if let Some(leadership) = leadership
        .as_mut()
        .filter(|leadership| leadership.view.number == number && view == number)
    {
        let stored = leadership.stored.entry(reporter).or_insert(write_count);
        *stored = (*stored).max(write_count);
    }
}

/// Establishes the view: its own voters decide alone from now on, and its head announces this.
pub(crate) fn establish(state: &mut State, head: Id) {
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

//! Rules of the model for failures: members lose their unsynced data or their disks.

use super::elections::withdraw;
use super::rules::{Fault, Protocol};
use super::state::{Id, Member, Rows, RunState, State};

impl Protocol {
    pub(crate) fn crash(&self, member: &mut Member) {
        member.run_state = RunState::Stopped;
        if self.fault == Fault::PrepareNotSynced {
            member.promised = member.view.as_ref().map_or(0, |view| view.number);
        }
        withdraw(member);
        if std::mem::take(&mut member.unsynced) {
            member.rows.log.pop();
        }
    }

    pub(crate) fn lose_disk(&self, state: &mut State, id: Id) {
        let lost = &mut state.members[usize::from(id)];
        self.crash(lost);
        lost.run_state = RunState::Lost;
        if self.fault == Fault::VotesAfterDiskLoss {
            lost.run_state = RunState::Stopped;
            (lost.promised, lost.rows) = (0, Rows::default());
        }
        state.disks_lost += 1;
    }
}

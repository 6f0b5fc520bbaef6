//! Schedules the view changes that a head starts, and chooses the numbers of the new views. [`Planner`] chooses the
//! voters and the chain.

use super::Head;
use super::planner::Planner;
use crate::replica::candidate::Plan;
use crate::replica::context::Context;
use crate::timing::RECONFIGURE_INTERVAL_MS;
use crate::types::ViewNumber;

/// Earliest time and lower bound of the number of the next view change.
#[derive(Debug, Default)]
pub(super) struct Reconfiguration {
    /// Earliest time of the next view change; set when a leadership begins and postponed by each attempt.
    due_ms: u64,
    /// Highest number that other members are known to have promised; this member prepares its next view above it.
    number_floor: ViewNumber,
}

impl Reconfiguration {
    /// Allows a view change from the start of a leadership, at `now_ms`.
    pub(super) fn begin(&mut self, now_ms: u64) {
        self.due_ms = now_ms;
    }

    /// Raises the lower bound to a number that another member has promised.
    pub(super) fn raise_number(&mut self, promised: ViewNumber) {
        self.number_floor = self.number_floor.max(promised);
    }
}

/// A view change that the head starts now.
#[derive(Debug)]
pub(in crate::replica) struct ViewChange {
    /// Number of the new view.
    pub number: ViewNumber,
    /// Voters and chain of the new view.
    pub plan: Plan,
}

impl Head {
    /// Returns the view change that is needed, if one may start now. Members that the change drops from the chain are
    /// excluded from it for a while.
    pub(in crate::replica) fn due_view_change(&mut self, context: &Context) -> Option<ViewChange> {
        let now_ms = context.now_ms();
        let leadership = self.leadership.as_mut()?;
        if now_ms < self.reconfiguration.due_ms || now_ms >= leadership.lease_until_ms() {
            return None;
        }
        let planner = Planner {
            settings: context.settings(),
            leadership,
            own_member: context.own_member(),
            promised: context.record.promised,
            head_seq: context.record.viewstamp.seq,
            now_ms,
        };
        let plan = planner.plan()?;
        let promised = context.record.promised.max(leadership.view().number);
        let number = promised.max(self.reconfiguration.number_floor).next();
        let dropped = leadership.view().chain.clone().into_iter();
        for member in dropped.filter(|member| !plan.chain.contains(member)) {
            if let Some(peer) = leadership.peer_mut(member) {
                peer.exclude(now_ms);
            }
        }
        self.delay_view_change(now_ms);
        Some(ViewChange { number, plan })
    }

    /// Prevents view changes for [`RECONFIGURE_INTERVAL_MS`] from now.
    pub(in crate::replica) fn delay_view_change(&mut self, now_ms: u64) {
        if self.leadership.is_some() {
            self.reconfiguration.due_ms = now_ms + RECONFIGURE_INTERVAL_MS;
        }
    }
}

//! When a head changes its view, and under which number. [`Planner`] decides what the view becomes.

use super::Head;
use super::planner::Planner;
use crate::replica::candidate::Plan;
use crate::replica::context::Context;
use crate::timing::RECONFIGURE_MS;
use crate::types::ViewNumber;

/// When the view may be changed next, and above which number.
#[derive(Debug, Default)]
pub(super) struct Reconfiguration {
    /// Set when a leadership begins, and pushed back by each attempt.
    due_ms: u64,
    /// The next number that this member prepares as a head is above this: what others are known to have promised.
    number_floor: ViewNumber,
}

impl Reconfiguration {
    /// A leadership begins.
    pub(super) fn begin(&mut self, now_ms: u64) {
        self.due_ms = now_ms;
    }

    /// A member has promised this number.
    pub(super) fn raise_number(&mut self, promised: ViewNumber) {
        self.number_floor = self.number_floor.max(promised);
    }
}

/// A change of the view that is to be made now.
#[derive(Debug)]
pub(in crate::replica) struct ViewChange {
    /// Number of the new view.
    pub number: ViewNumber,
    /// What it is to become.
    pub plan: Plan,
}

impl Head {
    /// The change that the view needs, if it may be changed now. Those whom it drops from the chain stay out for a while.
    pub(in crate::replica) fn due_view_change(&mut self, context: &Context) -> Option<ViewChange> {
        let now_ms = context.now_ms();
        let leadership = self.leadership.as_mut()?;
        if now_ms < self.reconfiguration.due_ms || now_ms >= leadership.lease_until_ms() {
            return None;
        }
        let planner = Planner {
            settings: context.settings(),
            leadership,
            own: context.own(),
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

    /// The view is not changed again before [`RECONFIGURE_MS`] have passed.
    pub(in crate::replica) fn delay_view_change(&mut self, now_ms: u64) {
        if self.leadership.is_some() {
            self.reconfiguration.due_ms = now_ms + RECONFIGURE_MS;
        }
    }
}

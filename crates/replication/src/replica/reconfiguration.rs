//! When a head changes its view, and how it begins. [`Planner`] decides what the view becomes.

use super::Replica;
use super::campaign::Plan;
use super::planner::Planner;

impl Replica {
    /// Starts a new view under this head where the present one should change.
    pub(super) fn reconfigure(&mut self) {
        if self.campaign.is_some() || self.is_draining() || self.stores.is_failing() {
            return;
        }
        let Some(plan) = self.due_plan() else {
            return;
        };
        let number = self.durable.promised.max(self.number_floor);
        let number = number.max(self.leadership.as_ref().map_or(0, |l| l.view.number)) + 1;
        self.exclude_dropped(&plan);
        self.delay_reconfiguration();
        self.prepare(number, None, Some(plan));
    }

    /// What the view should become, if it may be changed now.
    fn due_plan(&self) -> Option<Plan> {
        let own = self.durable.member;
        let leadership = self.leadership.as_ref()?;
        if !leadership.may_reconfigure(self.now_ms) {
            return None;
        }
        let planner = Planner {
            settings: &self.settings,
            leadership,
            own,
            promised: self.durable.promised,
            head_seq: self.durable.viewstamp.seq,
            now_ms: self.now_ms,
        };
        planner.plan()
    }

    /// The view is not changed again for a while.
    pub(super) fn delay_reconfiguration(&mut self) {
        if let Some(leadership) = &mut self.leadership {
            leadership.delay_reconfiguration(self.now_ms);
        }
    }

    fn exclude_dropped(&mut self, plan: &Plan) {
        let now_ms = self.now_ms;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        for member in &leadership.view.chain {
            if !plan.chain.contains(member)
                && let Some(peer) = leadership.peers.get_mut(member)
            {
                peer.exclude(now_ms);
            }
        }
    }
}

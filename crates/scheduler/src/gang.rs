//! Placement of gangs: all members at once, with one run number and the same checkpoint, or none.

use crate::demand::{Locality, Scope, StepDemand};
use crate::kinds::Selection;
use crate::queue::StepRef;
use crate::runs::Placement;
use crate::state::ClusterState;
use crate::worker::{Worker, WorkerId};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// Longest time that a gang which needs one rack waits for one.
const ONE_RACK_WAIT_MAX_MS: u64 = 1_500;

impl ClusterState {
    /// Places a gang if all members fit.
    pub(crate) fn place_gang(&mut self, service: &str, at: StepRef, locality: Locality) {
        let Some(job) = self.jobs.get(&at.job) else {
            return;
        };
        let (Some(step), Some(state)) = (job.step(at.step), job.step_state(at)) else {
            return;
        };
        if state.waiting.len() != state.tasks.len() {
            return;
        }
        let (rack_local, members) = (step.rack_local, state.tasks.len());
        let Some(mut demand) = StepDemand::of(job, at, self.now_ms) else {
            return;
        };
        demand.avoids_idle_workers = self.avoids_idle_workers(service, &demand.resources);
        demand.locality = locality;
        let rack_wait_ms = (demand.estimate_ms as f64 * (self.bounds.remote_slowdown - 1.0)) as u64;
        let waited = locality == Locality::Anywhere
            && demand.waited_ms >= rack_wait_ms.min(ONE_RACK_WAIT_MAX_MS);
        let may_spread = !rack_local || waited;
        let plan = [Scope::Preferred, Scope::Allowed]
            .into_iter()
            .find_map(|scope| {
                let in_rack = if rack_local {
                    self.plan_in_rack(service, &demand, scope, members)
                } else {
                    None
                };
                let spread = || {
                    may_spread
                        .then(|| self.plan(service, &demand, scope, members, None))
                        .flatten()
                };
                in_rack.or_else(spread)
            });
        if let Some(plan) = plan {
            self.start_gang(service, at, rack_local, &demand, plan);
        }
    }

    /// A plan within one rack: the first with capacity, in random order.
    fn plan_in_rack(
        &mut self,
        service: &str,
        demand: &StepDemand,
        scope: Scope,
        members: usize,
    ) -> Option<Vec<Selection>> {
        let state = self.services.get(service)?;
        let view = self.view();
        let racks = view.workers_of(state).filter_map(Worker::rack);
        let racks: BTreeSet<&str> = racks.collect();
        let mut racks: Vec<String> = racks.into_iter().map(str::to_owned).collect();
        while !racks.is_empty() {
            let rack = racks.swap_remove(self.rng.below(racks.len()));
            if let Some(plan) = self.plan(service, demand, scope, members, Some(&rack)) {
                return Some(plan);
            }
        }
        None
    }

    /// A worker for each member, or `None`.
    fn plan(
        &mut self,
        service: &str,
        demand: &StepDemand,
        scope: Scope,
        members: usize,
        rack: Option<&str>,
    ) -> Option<Vec<Selection>> {
        let (now_ms, remote_slowdown) = (self.now_ms, self.bounds.remote_slowdown);
        let state = self.services.get(service)?;
        let eligible = |id: WorkerId, worker: &Worker| {
            worker.accepts_starts(now_ms)
                && rack.is_none_or(|rack| worker.rack() == Some(rack))
                && demand.considers(scope, worker, remote_slowdown, false, now_ms)
                && state
                    .reservations
                    .get(id)
                    .is_none_or(|reservation| reservation.yields_to(demand))
        };
        let mut planned: FxHashMap<WorkerId, u32> = FxHashMap::default();
        let mut plan = Vec::with_capacity(members);
        for _ in 0..members {
            let selection =
                state
                    .kinds
                    .select(&mut self.rng, &self.workers, &demand.label, |id, worker| {
                        let extra = planned.get(&id).copied().unwrap_or(0);
                        demand.permits(id, worker, extra) && eligible(id, worker)
                    })?;
            *planned.entry(selection.worker).or_default() += 1;
            plan.push(selection);
        }
        Some(plan)
    }

    /// Factor on the run time of a gang on these workers.
    fn gang_remote_factor(&self, rack_local: bool, demand: &StepDemand, plan: &[Selection]) -> f64 {
        let workers = || {
            plan.iter()
                .filter_map(|selection| self.workers.get(selection.worker))
        };
        let racks: BTreeSet<Option<&str>> = workers().map(Worker::rack).collect();
        let is_local = workers().all(|worker| demand.is_local(worker));
        self.bounds
            .remote_factor(is_local && !(rack_local && racks.len() > 1))
    }

    /// Starts all members with one attempt number and the same checkpoint.
    fn start_gang(
        &mut self,
        service: &str,
        at: StepRef,
        rack_local: bool,
        demand: &StepDemand,
        plan: Vec<Selection>,
    ) {
        let remote_factor = self.gang_remote_factor(rack_local, demand, &plan);
        let Some(state) = self
            .jobs
            .get_mut(&at.job)
            .and_then(|job| job.step_state_mut(at))
        else {
            return;
        };
        let attempt = state
            .tasks
            .iter()
            .map(|task| task.last_attempt)
            .max()
            .unwrap_or(0)
            + 1;
        let checkpoint = state.gang_checkpoint.clone();
        state
            .tasks
            .iter_mut()
            .for_each(|task| task.checkpoint.clone_from(&checkpoint));
        for (index, selection) in plan.into_iter().enumerate() {
            let task = at.task(index as u32);
            self.trace_placement(service, task, &selection);
            let placement = Placement::new(&selection, remote_factor);
            self.place_run(task, attempt, placement);
        }
        if let Some(state) = self.services.get_mut(service) {
            state.reservations.release(at);
        }
    }
}

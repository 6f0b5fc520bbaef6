//! Placement of gangs: either all members are placed at once, with the same attempt number and checkpoint, or none is.

use crate::cluster::Cluster;
use crate::demand::{Locality, Scope, StepDemand};
use crate::jobs::Placement;
use crate::kinds::Selection;
use crate::placement::{Placer, avoids_idle_workers};
use crate::queue::StepRef;
use crate::worker::{Worker, WorkerId};
use rand::RngExt;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// Maximum time that a rack-local gang waits for capacity within one rack.
const ONE_RACK_WAIT_MAX_MS: u64 = 1_500;

impl Placer {
    /// Places a gang if all its members wait and fit. A rack-local gang is placed within one rack; it is spread over
    /// several racks only after it has waited as long as that is expected to slow it down, at most
    /// [`ONE_RACK_WAIT_MAX_MS`].
    pub(super) fn place_gang(
        &mut self,
        cluster: &mut Cluster,
        service: &str,
        step_ref: StepRef,
        locality: Locality,
    ) {
        let Some(job) = cluster.jobs().get(&step_ref.job) else {
            return;
        };
        let (Some(step), Some(state)) = (job.step(step_ref.step), job.step_state(step_ref)) else {
            return;
        };
        if state.waiting().len() != state.tasks().len() {
            return;
        }
        let (rack_local, members) = (step.rack_local, state.tasks().len());
        let Some(mut demand) = StepDemand::for_step(job, step_ref, cluster.clock().now_ms()) else {
            return;
        };
        demand.avoids_idle_workers = avoids_idle_workers(cluster, service, &demand.resources);
        demand.locality = locality;
        let remote_slowdown = cluster.view().bounds.remote_slowdown;
        let rack_wait_ms = (demand.estimate_ms as f64 * (remote_slowdown - 1.0)) as u64;
        let has_waited = locality == Locality::Anywhere
            && demand.waited_ms >= rack_wait_ms.min(ONE_RACK_WAIT_MAX_MS);
        let may_spread = !rack_local || has_waited;
        let plan = [Scope::Preferred, Scope::Allowed]
            .into_iter()
            .find_map(|scope| {
                let rack_plan = if rack_local {
                    self.plan_in_rack(cluster, service, &demand, scope, members)
                } else {
                    None
                };
                let spread_plan = || {
                    may_spread
                        .then(|| self.plan(cluster, service, &demand, scope, members, None))
                        .flatten()
                };
                rack_plan.or_else(spread_plan)
            });
        if let Some(plan) = plan {
            self.start_gang(cluster, service, step_ref, rack_local, &demand, plan);
        }
    }

    /// Plans the gang within one rack: tries the racks in random order and returns the first plan found.
    fn plan_in_rack(
        &mut self,
        cluster: &Cluster,
        service: &str,
        demand: &StepDemand,
        scope: Scope,
        members: usize,
    ) -> Option<Vec<Selection>> {
        let view = cluster.view();
        let state = view.services.get(service)?;
        let racks = view.workers_of(state).filter_map(Worker::rack);
        let racks: BTreeSet<&str> = racks.collect();
        let mut racks: Vec<String> = racks.into_iter().map(str::to_owned).collect();
        while !racks.is_empty() {
            let rack = racks.swap_remove(self.rng.random_range(..racks.len()));
            if let Some(plan) = self.plan(cluster, service, demand, scope, members, Some(&rack)) {
                return Some(plan);
            }
        }
        None
    }

    /// Selects a worker for each member, within `rack` if one is given; `None` if not all members fit.
    fn plan(
        &mut self,
        cluster: &Cluster,
        service: &str,
        demand: &StepDemand,
        scope: Scope,
        members: usize,
        rack: Option<&str>,
    ) -> Option<Vec<Selection>> {
        let view = cluster.view();
        let (now_ms, remote_slowdown) = (view.now_ms, view.bounds.remote_slowdown);
        let state = view.services.get(service)?;
        let is_eligible = |id: WorkerId, worker: &Worker| {
            worker.accepts_starts(now_ms)
                && rack.is_none_or(|rack| worker.rack() == Some(rack))
                && demand.considers(scope, worker, remote_slowdown, false, now_ms)
                && state
                    .reservations()
                    .get(id)
                    .is_none_or(|reservation| reservation.yields_to(demand))
        };
        let mut planned_tasks: FxHashMap<WorkerId, u32> = FxHashMap::default();
        let mut plan = Vec::with_capacity(members);
        for _ in 0..members {
            let selection = state.kinds().select(
                &mut self.rng,
                view.workers,
                &demand.label,
                |id, worker| {
                    let planned_there = planned_tasks.get(&id).copied().unwrap_or(0);
                    demand.permits(id, worker, planned_there) && is_eligible(id, worker)
                },
            )?;
            *planned_tasks.entry(selection.worker).or_default() += 1;
            plan.push(selection);
        }
        Some(plan)
    }

    /// Places all members with the same attempt number and checkpoint, and releases the gang's reservations.
    fn start_gang(
        &mut self,
        cluster: &mut Cluster,
        service: &str,
        step_ref: StepRef,
        rack_local: bool,
        demand: &StepDemand,
        plan: Vec<Selection>,
    ) {
        let remote_factor = remote_factor(cluster, rack_local, demand, &plan);
        let Some(attempt) = cluster.prepare_gang(step_ref) else {
            return;
        };
        for (index, selection) in (0u32..).zip(&plan) {
            let task = step_ref.task(index);
            self.trace(cluster, service, task, selection);
            cluster.place_run(task, attempt, Placement::new(selection, remote_factor));
        }
        if let Some(state) = cluster.services_mut().get_mut(service) {
            state.reservations_mut().release(step_ref);
        }
    }
}

/// Factor on the run time of a gang on these workers: above 1 if a member is remote from its data, or if a rack-local
/// gang spans several racks.
fn remote_factor(
    cluster: &Cluster,
    rack_local: bool,
    demand: &StepDemand,
    plan: &[Selection],
) -> f64 {
    let workers = || {
        plan.iter()
            .filter_map(|selection| cluster.workers().get(selection.worker))
    };
    let racks: BTreeSet<Option<&str>> = workers().map(Worker::rack).collect();
    let is_local = workers().all(|worker| demand.is_local(worker));
    let in_one_rack = !rack_local || racks.len() <= 1;
    cluster.view().bounds.remote_factor(is_local && in_one_rack)
}

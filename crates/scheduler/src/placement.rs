//! Placement of waiting tasks: steps are visited in queue order, and each task is placed by hybrid SQ(d) on one of the
//! workers that may run it. The submodules place gangs, reserve workers and start speculative runs; `pass_view` is what a
//! pass reads of the cluster.

mod gang;
mod pass_view;
mod reserve;
mod speculation;

use crate::cluster::Cluster;
use crate::demand::{Locality, Scope, StepDemand};
use crate::jobs::Placement;
use crate::kinds::{PlacementTrace, Selection};
use crate::queue::{QueueKey, StepRef};
use crate::reservations::Reservation;
use crate::services::ServiceState;
use crate::worker::{Worker, WorkerId};
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::TaskName;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use reserve::{RESERVATIONS_MAX, ReservationNeed, reserve};
use rustc_hash::FxHashSet;

/// State of one pass over a service's queue.
#[derive(Debug)]
struct Pass {
    /// Whether the service's load is low, see `ClusterView::has_spare_capacity`.
    has_spare_capacity: bool,
    /// Per resource, the largest amount that is free on any single worker.
    largest_free: Resources,
    /// Task sizes for which an earlier step of this pass found no worker. Only steps without other constraints are
    /// included.
    blocked: Vec<Resources>,
    /// Steps that hold reservations after this pass, at most [`RESERVATIONS_MAX`].
    reserved: Vec<StepRef>,
    /// Needs for which an earlier step of this pass got no reservation.
    unreservable: FxHashSet<ReservationNeed>,
}

/// Selects the workers for tasks. All random draws come from one seeded generator, so that the same sequence of events
/// results in the same placements.
#[derive(Debug)]
pub(crate) struct Placer {
    rng: Pcg64Mcg,
    /// No task is placed before this time of the monotonic clock. After a takeover the node agents reconnect one by one,
    /// and tasks placed at once would pile up on the workers that are back first.
    earliest_placement_ms: u64,
    /// Placements since the last call of [`take_traces`](Self::take_traces); `None` while tracing is off.
    traces: Option<Vec<PlacementTrace>>,
}

impl Placer {
    /// Creates a placer with this seed that places tasks from `earliest_placement_ms` of the monotonic clock on.
    pub(crate) fn new(seed: u64, earliest_placement_ms: u64) -> Self {
        Placer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            earliest_placement_ms,
            traces: None,
        }
    }

    /// Postpones all placements to this time of the monotonic clock.
    pub(crate) fn wait_until(&mut self, earliest_placement_ms: u64) {
        self.earliest_placement_ms = earliest_placement_ms;
    }

    /// Starts recording a trace of each placement.
    pub(crate) fn start_tracing(&mut self) {
        self.traces = Some(Vec::new());
    }

    /// Returns the traces recorded since the last call, oldest first.
    pub(crate) fn take_traces(&mut self) -> Vec<PlacementTrace> {
        let traces = self.traces.as_mut();
        traces.map(std::mem::take).unwrap_or_default()
    }

    /// Runs a pass over the queue of each service for which one is due.
    pub(crate) fn place_waiting(&mut self, cluster: &mut Cluster) {
        let now_ms = cluster.clock().now_ms();
        if now_ms < self.earliest_placement_ms {
            return;
        }
        for name in cluster
            .services()
            .names_where(|service| service.is_due(now_ms))
        {
            cluster.begin_pass(&name);
            self.run_pass(cluster, &name);
            cluster.services_mut().entry(&name).end_pass(now_ms);
        }
    }

    /// Visits the steps in queue order, places the tasks that fit and reserves workers for steps that need much
    /// capacity. Steps of one priority are visited twice: first only for workers local to their data, then for any
    /// worker, because a remote task occupies capacity for longer than a local one.
    fn run_pass(&mut self, cluster: &mut Cluster, service: &str) {
        let Some(state) = cluster.services().get(service) else {
            return;
        };
        let keys = cluster.view().steps_to_visit(state);
        if keys.is_empty() {
            return;
        }
        let mut pass = Pass {
            has_spare_capacity: cluster.view().has_spare_capacity(state),
            largest_free: cluster.view().largest_free(service),
            blocked: Vec::new(),
            reserved: Vec::new(),
            unreservable: FxHashSet::default(),
        };
        observe_urgent(cluster, service, &keys);
        for group in keys.chunk_by(|a, b| (a.hopeless, a.priority) == (b.hopeless, b.priority)) {
            group.iter().for_each(|key| {
                self.visit_step(cluster, service, *key, Locality::LocalOnly, &mut pass);
            });
            let remaining_steps = group.iter().filter(|key| {
                cluster.view().has_locality(key.step_ref)
                    && cluster.view().has_waiting_tasks(key.step_ref)
            });
            let remaining_steps: Vec<QueueKey> = remaining_steps.copied().collect();
            remaining_steps.into_iter().for_each(|key| {
                self.visit_step(cluster, service, key, Locality::Anywhere, &mut pass);
            });
        }
        let service = cluster.services_mut().entry(service);
        service.reservations_mut().retain(&pass.reserved);
    }

    /// Places the tasks of a step that fit, and reserves workers for the rest if they need much capacity. A step is
    /// skipped if an earlier step with tasks of at most its size found no worker, so that it cannot overtake that step.
    /// The exception is a step that has waited for [`ANY_WORKER_MS`](crate::demand::ANY_WORKER_MS) and is long-running, or waits while the service
    /// has spare capacity.
    fn visit_step(
        &mut self,
        cluster: &mut Cluster,
        service: &str,
        key: QueueKey,
        locality: Locality,
        pass: &mut Pass,
    ) {
        let Some(shape) = cluster.view().task_shape(key.step_ref) else {
            return;
        };
        let resources = shape.resources;
        let may_overtake = (pass.has_spare_capacity || shape.long_running)
            && cluster.view().has_waited_long(key.step_ref);
        let blocked_by_earlier = !may_overtake
            && pass
                .blocked
                .iter()
                .any(|blocked| resources.can_fit(blocked));
        let cannot_fit = blocked_by_earlier || !pass.largest_free.can_fit(&resources);
        if !cannot_fit {
            self.place_step(cluster, service, key, locality);
        }
        if !cluster.view().has_waiting_tasks(key.step_ref) {
            return cluster.dequeue(key.step_ref);
        }
        let cause = cluster
            .view()
            .wait_cause(key.step_ref, blocked_by_earlier, cannot_fit);
        cluster.record_wait(key.step_ref, cause);
        if !cannot_fit {
            pass.largest_free = cluster.view().largest_free(service);
            if !shape.is_constrained {
                pass.blocked.push(resources);
            }
        }
        if pass.reserved.len() < RESERVATIONS_MAX
            && reserve(cluster, service, key, &mut pass.unreservable)
        {
            pass.reserved.push(key.step_ref);
        }
    }

    /// Places as many waiting tasks of a step as there is capacity for, beyond the headroom if the step has to leave it
    /// free.
    fn place_step(
        &mut self,
        cluster: &mut Cluster,
        service: &str,
        key: QueueKey,
        locality: Locality,
    ) {
        let step_ref = key.step_ref;
        let Some(job) = cluster.jobs().get(&step_ref.job) else {
            return;
        };
        let (Some(step), Some(state)) = (job.step(step_ref.step), job.step_state(step_ref)) else {
            return;
        };
        if step.gang {
            return self.place_gang(cluster, service, step_ref, locality);
        }
        let waiting_tasks: Vec<u32> = state.waiting().iter().copied().collect();
        let Some(mut demand) = StepDemand::for_step(job, step_ref, cluster.clock().now_ms()) else {
            return;
        };
        demand.avoids_idle_workers = avoids_idle_workers(cluster, service, &demand.resources);
        demand.locality = locality;
        let mut spare_cpu = match cluster.services().get(service) {
            Some(state) if cluster.view().must_leave_headroom(state, key) => {
                cluster.view().free_beyond_headroom(state)
            }
            _ => f64::INFINITY,
        };
        for index in waiting_tasks {
            spare_cpu -= demand.resources.cpu as f64;
            if spare_cpu < 0.0 || !self.place_task(cluster, service, &mut demand, index) {
                return;
            }
        }
    }

    /// Places one task, on a preferred worker if there is one; returns whether a worker was found.
    fn place_task(
        &mut self,
        cluster: &mut Cluster,
        service: &str,
        demand: &mut StepDemand,
        index: u32,
    ) -> bool {
        let task = demand.step_ref.task(index);
        let Some(entry) = cluster
            .jobs()
            .get(&task.job)
            .and_then(|job| job.task(&task))
        else {
            return false;
        };
        let (attempt, failed_on) = (entry.last_attempt() + 1, entry.failed_on());
        let selection = [Scope::Preferred, Scope::Allowed]
            .into_iter()
            .find_map(|scope| self.select_worker(cluster, service, demand, scope, failed_on));
        let Some(selection) = selection else {
            return false;
        };
        self.trace(cluster, service, task, &selection);
        let is_local = cluster
            .workers()
            .get(selection.worker)
            .is_some_and(|worker| demand.is_local(worker));
        if demand.anti_affinity > 0 {
            *demand.runs_by_worker.entry(selection.worker).or_default() += 1;
        }
        let remote_factor = cluster.view().bounds.remote_factor(is_local);
        let placement = Placement::new(&selection, remote_factor);
        cluster.place_run(task, attempt, placement);
        true
    }

    /// Selects a worker that can start a task of the step now; `None` if there is none in this scope. `failed_on` is
    /// the worker where the task failed last.
    fn select_worker(
        &mut self,
        cluster: &Cluster,
        service: &str,
        demand: &StepDemand,
        scope: Scope,
        failed_on: Option<WorkerId>,
    ) -> Option<Selection> {
        let view = cluster.view();
        let (now_ms, remote_slowdown) = (view.now_ms, view.bounds.remote_slowdown);
        let state = view.services.get(service)?;
        let fits = |id: WorkerId, worker: &Worker| {
            let failed_there = failed_on == Some(id);
            worker.accepts_starts(now_ms)
                && demand.permits(id, worker, 0)
                && demand.considers(scope, worker, remote_slowdown, failed_there, now_ms)
                && state.reservations().get(id).is_none_or(|reservation| {
                    usable_despite_reservation(reservation, demand, id, worker, state, now_ms)
                })
        };
        let kinds = state.kinds();
        kinds.select(&mut self.rng, view.workers, &demand.label, fits)
    }

    /// Records how a worker was selected, if tracing is on.
    fn trace(&mut self, cluster: &Cluster, service: &str, task: TaskName, selection: &Selection) {
        if let (Some(traces), Some(state)) = (&mut self.traces, cluster.services().get(service)) {
            traces.push(state.kinds().trace(task, selection, cluster.workers()));
        }
    }
}

/// Records the priority of the first step if its tasks are small, so that less urgent steps leave headroom for such
/// tasks.
fn observe_urgent(cluster: &mut Cluster, service: &str, keys: &[QueueKey]) {
    let now_ms = cluster.clock().now_ms();
    let state = cluster.services().get(service);
    let priority = state.and_then(|state| cluster.view().small_task_priority(state, keys));
    if let Some(priority) = priority {
        let recent = cluster.services_mut().entry(service).recent_mut();
        recent.observe_urgent(priority, now_ms);
    }
}

/// Whether tasks of this size should avoid workers without runs: this is so if they are not large themselves and large
/// tasks, which need most of a worker, have waited for the service recently. If the size is large, records that such
/// tasks wait.
fn avoids_idle_workers(cluster: &mut Cluster, service: &str, resources: &Resources) -> bool {
    let now_ms = cluster.clock().now_ms();
    let Some(state) = cluster.services().get(service) else {
        return false;
    };
    let is_large = cluster.view().needs_most_of_worker(state, resources);
    let recent = cluster.services_mut().entry(service).recent_mut();
    if is_large {
        recent.observe_large_task(now_ms);
    }
    !is_large && recent.has_large_tasks(now_ms)
}

/// Whether a task may use a reserved worker: the reservation yields to it, both fit on the worker, or the task is
/// expected to end before the reserved capacity is needed.
fn usable_despite_reservation(
    reservation: &Reservation,
    demand: &StepDemand,
    id: WorkerId,
    worker: &Worker,
    state: &ServiceState,
    now_ms: u64,
) -> bool {
    let fits_beside = worker.has_capacity(&demand.resources.plus(&reservation.resources));
    let expected_ms = state
        .kinds()
        .expected_ms(id, &demand.class, demand.estimate_ms) as u64;
    let ends_in_time = !demand.long_running && now_ms + expected_ms <= reservation.free_at_ms;
    reservation.yields_to(demand) || fits_beside || ends_in_time
}

//! Placement of admitted tasks: the steps in the queue's order, each task by hybrid SQ(d) among the workers that may
//! take it. Children: gangs, reservations and speculative runs.

mod gang;
mod reserve;
mod speculation;

use crate::cluster::Cluster;
use crate::cluster_view::ClusterView;
use crate::demand::{ANY_WORKER_MS, Locality, Scope, StepDemand};
use crate::jobs::Placement;
use crate::kinds::{PlacementTrace, Selection, dominant_share};
use crate::latency::Cause;
use crate::queue::{QueueKey, StepRef};
use crate::reservations::Reservation;
use crate::services::ServiceState;
use crate::worker::{Worker, WorkerId};
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::TaskName;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use reserve::{RESERVATIONS_MAX, reserve};

/// Most steps that one pass over the queue considers.
const PASS_STEPS: usize = 400;
/// A task is large if it takes more than this fraction of a worker.
const LARGE_FRACTION: f64 = 0.5;

/// What one pass over a queue has found so far.
#[derive(Debug)]
struct Pass {
    /// Much of the service is idle.
    has_spare_capacity: bool,
    /// The most of each resource that any one worker has free.
    largest_free: Resources,
    /// Sizes of tasks that found no worker, though they ask for nothing but capacity.
    blocked: Vec<Resources>,
    /// Steps with reservations.
    reserved: Vec<StepRef>,
}

/// What a task takes.
struct TaskShape {
    resources: Resources,
    /// The step asks for more than capacity: certain workers, or several at once.
    constrained: bool,
}

/// Decides where tasks go. Its draws come from one generator, so that the same events give the same placements.
#[derive(Debug)]
pub(crate) struct Placer {
    rng: Pcg64Mcg,
    /// Nothing is placed before this time: after a take-over the node agents reconnect one by one.
    start_ms: u64,
    /// Placements since they were last taken; `None` while nobody follows them.
    traces: Option<Vec<PlacementTrace>>,
}

impl Placer {
    /// Places from `start_ms` of the steady clock on.
    pub(crate) fn new(seed: u64, start_ms: u64) -> Self {
        Placer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            start_ms,
            traces: None,
        }
    }

    /// Places nothing before this time of the steady clock.
    pub(crate) fn wait_until(&mut self, start_ms: u64) {
        self.start_ms = start_ms;
    }

    /// Follows placements from now on.
    pub(crate) fn follow(&mut self) {
        self.traces = Some(Vec::new());
    }

    /// Placements since the last call.
    pub(crate) fn take_traces(&mut self) -> Vec<PlacementTrace> {
        let traces = self.traces.as_mut();
        traces.map(std::mem::take).unwrap_or_default()
    }

    /// Places what can be placed, in all services where something has changed.
    pub(crate) fn place_waiting(&mut self, cluster: &mut Cluster) {
        let now_ms = cluster.clock().now_ms();
        if now_ms < self.start_ms {
            return;
        }
        for name in cluster
            .services()
            .names_where(|service| service.is_due(now_ms))
        {
            cluster.begin_pass(&name);
            self.pass(cluster, &name);
            cluster.services_mut().entry(&name).end_pass(now_ms);
        }
    }
    /// Visits the steps in the order of the queue, places what fits and reserves workers for steps that need much capacity.
    /// Among steps of one priority, capacity goes first to tasks that are local there: a remote task occupies it for
    /// several times as long.
    fn pass(&mut self, cluster: &mut Cluster, service: &str) {
        let Some(state) = cluster.services().get(service) else {
            return;
        };
        let keys: Vec<QueueKey> = state.queue().iter().take(PASS_STEPS).copied().collect();
        if keys.is_empty() {
            return;
        }
        let mut pass = Pass {
            has_spare_capacity: cluster.view().has_spare_capacity(state),
            largest_free: cluster.view().largest_free(service),
            blocked: Vec::new(),
            reserved: Vec::new(),
        };
        observe_urgent(cluster, service, &keys);
        for same in keys.chunk_by(|a, b| (a.hopeless, a.priority) == (b.hopeless, b.priority)) {
            same.iter().for_each(|key| {
                self.visit_step(cluster, service, *key, Locality::LocalOnly, &mut pass);
            });
            let left = same
                .iter()
                .filter(|key| cluster.view().has_locality(key.at) && cluster.view().waits(key.at));
            let left: Vec<QueueKey> = left.copied().collect();
            left.into_iter().for_each(|key| {
                self.visit_step(cluster, service, key, Locality::Anywhere, &mut pass);
            });
        }
        let service = cluster.services_mut().entry(service);
        service.reservations_mut().retain(&pass.reserved);
    }

    /// Places the tasks of a step that fit, and reserves workers for the others if they need much.
    fn visit_step(
        &mut self,
        cluster: &mut Cluster,
        service: &str,
        key: QueueKey,
        locality: Locality,
        pass: &mut Pass,
    ) {
        let Some(shape) = cluster.view().task_shape(key.at) else {
            return;
        };
        let resources = shape.resources;
        let honors_blocked = !(pass.has_spare_capacity && cluster.view().waits_long(key.at));
        let blocked_by_earlier =
            honors_blocked && pass.blocked.iter().any(|less| resources.can_fit(less));
        let beyond = blocked_by_earlier || !pass.largest_free.can_fit(&resources);
        if !beyond {
            self.place_step(cluster, service, key, locality);
        }
        if !cluster.view().waits(key.at) {
            return cluster.dequeue(key.at);
        }
        let cause = cluster
            .view()
            .wait_cause(key.at, blocked_by_earlier, beyond);
        cluster.record_wait(key.at, cause);
        if !beyond {
            pass.largest_free = cluster.view().largest_free(service);
            if !shape.constrained {
                pass.blocked.push(resources);
            }
        }
        if pass.reserved.len() < RESERVATIONS_MAX && reserve(cluster, service, key) {
            pass.reserved.push(key.at);
        }
    }

    /// Places as many waiting tasks of a step as there is capacity for.
    fn place_step(
        &mut self,
        cluster: &mut Cluster,
        service: &str,
        key: QueueKey,
        locality: Locality,
    ) {
        let at = key.at;
        let Some(job) = cluster.jobs().get(&at.job) else {
            return;
        };
        let (Some(step), Some(state)) = (job.step(at.step), job.step_state(at)) else {
            return;
        };
        if step.gang {
            return self.place_gang(cluster, service, at, locality);
        }
        let waiting: Vec<u32> = state.waiting().iter().copied().collect();
        let Some(mut demand) = StepDemand::of(job, at, cluster.clock().now_ms()) else {
            return;
        };
        demand.avoids_idle_workers = avoids_idle_workers(cluster, service, &demand.resources);
        demand.locality = locality;
        let mut spare = match cluster.services().get(service) {
            Some(state) if cluster.view().must_leave_headroom(state, key) => {
                cluster.view().free_beyond_headroom(state)
            }
            _ => f64::INFINITY,
        };
        for index in waiting {
            spare -= demand.resources.cpu as f64;
            if spare < 0.0 || !self.place_task(cluster, service, &mut demand, index) {
                return;
            }
        }
    }

    /// Places one task; returns whether a worker was found.
    fn place_task(
        &mut self,
        cluster: &mut Cluster,
        service: &str,
        demand: &mut StepDemand,
        index: u32,
    ) -> bool {
        let task = demand.at.task(index);
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
            *demand.on_worker.entry(selection.worker).or_default() += 1;
        }
        let remote_factor = cluster.view().bounds.remote_factor(is_local);
        let placement = Placement::new(&selection, remote_factor);
        cluster.place_run(task, attempt, placement);
        true
    }

    /// Selects a worker that may take a task of the step now.
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

    /// Records how a worker was selected, for whoever follows placements.
    fn trace(&mut self, cluster: &Cluster, service: &str, task: TaskName, selection: &Selection) {
        if let (Some(traces), Some(state)) = (&mut self.traces, cluster.services().get(service)) {
            traces.push(state.kinds().trace(task, selection, cluster.workers()));
        }
    }
}

/// Records the priority of the first step if its tasks are small: less urgent work has to leave headroom for them.
fn observe_urgent(cluster: &mut Cluster, service: &str, keys: &[QueueKey]) {
    let now_ms = cluster.clock().now_ms();
    let state = cluster.services().get(service);
    let priority = state.and_then(|state| cluster.view().small_task_priority(state, keys));
    if let Some(priority) = priority {
        let recent = cluster.services_mut().entry(service).recent_mut();
        recent.observe_urgent(priority, now_ms);
    }
}

/// Whether tasks of this size leave idle workers alone: steps that need most of a worker come to this service, and
/// this is none of them.
fn avoids_idle_workers(cluster: &mut Cluster, service: &str, resources: &Resources) -> bool {
    let now_ms = cluster.clock().now_ms();
    let Some(state) = cluster.services().get(service) else {
        return false;
    };
    let large = cluster.view().needs_most_of_worker(state, resources);
    let recent = cluster.services_mut().entry(service).recent_mut();
    if large {
        recent.observe_large_task(now_ms);
    }
    !large && recent.has_large_tasks(now_ms)
}

impl ClusterView<'_> {
    /// What a step waits for that was looked at: others before it, capacity, or capacity in the right place.
    fn wait_cause(&self, at: StepRef, blocked_by_earlier: bool, beyond: bool) -> Cause {
        let gang = self.jobs.step(at).is_some_and(|step| step.gang);
        if blocked_by_earlier {
            Cause::Queue
        } else if !beyond && (gang || self.has_locality(at)) {
            Cause::Locality
        } else {
            Cause::Capacity
        }
    }

    /// Whether the step's tasks run faster on some workers than on others: with their data, or in one rack.
    fn has_locality(&self, at: StepRef) -> bool {
        let step = self.jobs.step(at);
        step.is_some_and(|step| !step.affinity.is_empty() || step.rack_local)
    }

    /// Whether a task of this size takes more than half of any worker of the service that can run it.
    fn needs_most_of_worker(&self, service: &ServiceState, resources: &Resources) -> bool {
        let capacities = self.workers_of(service).map(Worker::capacity);
        let fractions = capacities
            .filter(|capacity| capacity.can_fit(resources))
            .map(|capacity| dominant_share(resources, &capacity));
        fractions
            .min_by(f64::total_cmp)
            .is_some_and(|least| least > LARGE_FRACTION)
    }

    /// What a task of the step takes, and whether the step asks for more than capacity.
    fn task_shape(&self, at: StepRef) -> Option<TaskShape> {
        let job = self.jobs.get(&at.job)?;
        let (step, state) = (job.step(at.step)?, job.step_state(at)?);
        let retried = state.tasks().iter().any(|task| task.failed_on().is_some());
        let constrained = step.gang
            || retried
            || step.anti_affinity > 0
            || step.long_running
            || !step.requirements.is_empty()
            || !step.affinity.is_empty();
        Some(TaskShape {
            resources: step.resources(),
            constrained,
        })
    }

    /// Whether a step has waited long enough to use workers which those before it may not.
    fn waits_long(&self, at: StepRef) -> bool {
        let state = self.jobs.step_state(at);
        state.is_some_and(|state| self.now_ms >= state.waiting_since_ms() + ANY_WORKER_MS)
    }

    /// Whether any task of the step is to be placed.
    fn waits(&self, at: StepRef) -> bool {
        let state = self.jobs.step_state(at);
        state.is_some_and(|state| !state.waiting().is_empty())
    }

    /// The most of each resource that any one worker has free.
    fn largest_free(&self, service: &str) -> Resources {
        let Some(state) = self.services.get(service) else {
            return Resources::default();
        };
        self.workers_of(state)
            .filter(|worker| worker.accepts_starts(self.now_ms))
            .fold(Resources::default(), |most, worker| {
                let free = worker.free();
                Resources {
                    cpu: most.cpu.max(free.cpu),
                    mem_mb: most.mem_mb.max(free.mem_mb),
                    gpu: most.gpu.max(free.gpu),
                }
            })
    }
}

/// Whether a task may use a worker that is reserved for another step: it fits beside, or ends before.
fn usable_despite_reservation(
    reservation: &Reservation,
    demand: &StepDemand,
    id: WorkerId,
    worker: &Worker,
    state: &ServiceState,
    now_ms: u64,
) -> bool {
    let beside = worker.has_capacity(&demand.resources.plus(&reservation.resources));
    let expected_ms = state
        .kinds()
        .expected_ms(id, &demand.class, demand.estimate_ms) as u64;
    let ends_before = !demand.long_running && now_ms + expected_ms <= reservation.free_ms;
    reservation.yields_to(demand) || beside || ends_before
}

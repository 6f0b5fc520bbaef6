//! Placement of admitted tasks: the steps in the queue's order, each task by hybrid SQ(d) among the workers that may
//! take it.

use crate::demand::{ANY_WORKER_MS, Locality, Scope, StepDemand};
use crate::kinds::dominant_share;
use crate::latency::Cause;
use crate::queue::{QueueKey, StepRef};
use crate::reservation::{RESERVATIONS_MAX, Reservation};
use crate::runs::Placement;
use crate::scheduler::{Scheduler, ServiceState};
use crate::workers::{Worker, WorkerId};
use indigofold_protocol::job::Resources;

/// Most steps that one pass over the queue looks at.
const PASS_STEPS: usize = 400;
/// While something waits, passes over a queue are so far apart.
const BACKLOG_PASS_MS: u64 = 10;
/// A task that takes more than this part of a worker needs one as a whole.
const HALF: f64 = 0.5;
/// Such a task has come within this time.
const LARGE_TASK_RECENT_MS: u64 = 30_000;

/// What one pass over a queue has found so far.
#[derive(Debug)]
struct Pass {
    /// Much of the service is idle.
    spare: bool,
    /// The most of each resource that any one worker has free.
    largest_free: Resources,
    /// Tasks that found no room, though they ask for nothing else.
    blocked: Vec<Resources>,
    /// Steps that keep workers.
    reserved: Vec<StepRef>,
}

impl Scheduler {
    /// Places what can be placed, in all services where something has changed.
    pub(crate) fn schedule(&mut self) {
        let now_ms = self.now_ms;
        if now_ms < self.placement_start_ms {
            return;
        }
        let turn = |s: &ServiceState| (s.dirty || s.regroup) && now_ms >= s.next_pass_ms;
        let names: Vec<String> = self
            .services
            .iter()
            .filter(|(_, s)| turn(s))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            if let Some(service) = self.services.get_mut(&name) {
                service.dirty = false;
                if std::mem::take(&mut service.regroup) {
                    service.kinds.regroup(&self.workers, &name);
                }
            }
            self.pass(&name);
            let service = self.service(&name);
            service.next_pass_ms = if service.queue.is_empty() {
                now_ms
            } else {
                now_ms + BACKLOG_PASS_MS
            };
        }
    }

    /// Looks at the steps in the queue's order, places what fits and lets steps that need much room keep workers.
    /// Among steps of one priority, room goes first to tasks that run at full speed there: a task away from its data
    /// takes room for several times as long.
    fn pass(&mut self, service: &str) {
        let Some(state) = self.services.get(service) else {
            return;
        };
        let keys: Vec<QueueKey> = state.queue.iter().take(PASS_STEPS).copied().collect();
        if keys.is_empty() {
            return;
        }
        let mut pass = Pass {
            spare: self.has_spare_capacity(service),
            largest_free: self.largest_free(service),
            blocked: Vec::new(),
            reserved: Vec::new(),
        };
        self.observe_urgent(service, &keys);
        for same in keys.chunk_by(|a, b| (a.hopeless, a.priority) == (b.hopeless, b.priority)) {
            same.iter()
                .for_each(|key| self.visit_step(service, *key, Locality::LocalOnly, &mut pass));
            let left = same
                .iter()
                .filter(|key| self.has_locality(key.at) && self.waits(key.at));
            let left: Vec<QueueKey> = left.copied().collect();
            left.into_iter()
                .for_each(|key| self.visit_step(service, key, Locality::Anywhere, &mut pass));
        }
        self.service(service)
            .reserved
            .retain(|_, reservation| pass.reserved.contains(&reservation.step));
    }

    /// Tries to place a step's tasks.
    fn visit_step(&mut self, service: &str, key: QueueKey, locality: Locality, pass: &mut Pass) {
        let Some((resources, constrained)) = self.task_shape(key.at) else {
            return;
        };
        let honors_blocked = !(pass.spare && self.waits_long(key.at));
        let blocked_by_earlier =
            honors_blocked && pass.blocked.iter().any(|less| resources.holds(less));
        let beyond = blocked_by_earlier || !pass.largest_free.holds(&resources);
        if !beyond {
            self.place_step(service, key, locality);
        }
        if !self.waits(key.at) {
            return self.dequeue(key.at);
        }
        self.record_wait(key.at, self.wait_cause(key.at, blocked_by_earlier, beyond));
        if !beyond {
            pass.largest_free = self.largest_free(service);
            if !constrained {
                pass.blocked.push(resources);
            }
        }
        if pass.reserved.len() < RESERVATIONS_MAX && self.reserve(service, key) {
            pass.reserved.push(key.at);
        }
    }

    /// What a step waits for that was looked at: others before it, room, or room in the right place.
    fn wait_cause(&self, at: StepRef, blocked_by_earlier: bool, beyond: bool) -> Cause {
        let gang = self
            .jobs
            .get(&at.job)
            .and_then(|job| job.step(at.step))
            .is_some_and(|step| step.gang);
        if blocked_by_earlier {
            Cause::Queue
        } else if !beyond && (gang || self.has_locality(at)) {
            Cause::Locality
        } else {
            Cause::Capacity
        }
    }

    /// Whether the step's tasks run faster in some places than in others: near data, or in one rack.
    fn has_locality(&self, at: StepRef) -> bool {
        let step = self.jobs.get(&at.job).and_then(|job| job.step(at.step));
        step.is_some_and(|step| !step.affinity.is_empty() || step.rack_local)
    }

    /// Whether tasks of this size leave idle workers alone: steps that need a whole worker come to this service, and
    /// this is none of them.
    pub(crate) fn avoids_idle_workers(&mut self, service: &str, resources: &Resources) -> bool {
        let now_ms = self.now_ms;
        let Some(state) = self.services.get_mut(service) else {
            return false;
        };
        let capacities = state
            .kinds
            .workers()
            .filter_map(|id| self.workers.get(id))
            .map(|w| w.capacity);
        let shares = capacities
            .filter(|c| c.holds(resources))
            .map(|c| dominant_share(resources, &c));
        let large = shares
            .min_by(f64::total_cmp)
            .is_some_and(|share| share > HALF);
        if large {
            state.large_task_ms = Some(now_ms);
        }
        !large
            && state
                .large_task_ms
                .is_some_and(|observed| now_ms < observed + LARGE_TASK_RECENT_MS)
    }

    /// What a task of the step takes, and whether the step asks for more than room.
    fn task_shape(&self, at: StepRef) -> Option<(Resources, bool)> {
        let step = self.jobs.get(&at.job)?.step(at.step)?;
        let state = self.jobs.get(&at.job)?.step_state(at)?;
        let retried = state.tasks.iter().any(|task| task.failed_on.is_some());
        let constrained = step.gang || retried || step.anti_affinity > 0 || step.long_running;
        let constrained = constrained || !step.requirements.is_empty() || !step.affinity.is_empty();
        Some((step.resources(), constrained))
    }

    /// Whether a step has waited for so long that it may use workers which those before it may not.
    fn waits_long(&self, at: StepRef) -> bool {
        let state = self.jobs.get(&at.job).and_then(|job| job.step_state(at));
        state.is_some_and(|state| self.now_ms >= state.waiting_since_ms + ANY_WORKER_MS)
    }

    fn waits(&self, at: StepRef) -> bool {
        let state = self.jobs.get(&at.job).and_then(|job| job.step_state(at));
        state.is_some_and(|state| !state.waiting.is_empty())
    }

    /// The most of each resource that any one worker has free.
    fn largest_free(&self, service: &str) -> Resources {
        let Some(state) = self.services.get(service) else {
            return Resources::default();
        };
        let ready = state.kinds.workers().filter_map(|id| self.workers.get(id));
        ready
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

    /// Places as many waiting tasks of a step as there is room for.
    fn place_step(&mut self, service: &str, key: QueueKey, locality: Locality) {
        let at = key.at;
        let Some(job) = self.jobs.get(&at.job) else {
            return;
        };
        let Some(step) = job.step(at.step) else {
            return;
        };
        if step.gang {
            return self.place_gang(service, at, locality);
        }
        let Some(state) = job.step_state(at) else {
            return;
        };
        let waiting: Vec<u32> = state.waiting.iter().copied().collect();
        let Some(mut demand) = StepDemand::of(job, at, self.now_ms) else {
            return;
        };
        demand.avoids_idle_workers = self.avoids_idle_workers(service, &demand.resources);
        demand.locality = locality;
        let keeps = self.must_leave_headroom(service, key);
        let mut spare = if keeps {
            self.beyond_headroom(service)
        } else {
            f64::INFINITY
        };
        for index in waiting {
            spare -= demand.resources.cpu as f64;
            if spare < 0.0 || !self.place_task(service, &mut demand, index) {
                return;
            }
        }
    }

    fn place_task(&mut self, service: &str, demand: &mut StepDemand, index: u32) -> bool {
        let task = demand.at.task(index);
        let Some(entry) = self.jobs.get(&task.job).and_then(|job| job.task(&task)) else {
            return false;
        };
        let (attempt, failed_on) = (entry.last_attempt + 1, entry.failed_on);
        let selection = [Scope::Preferred, Scope::Allowed]
            .into_iter()
            .find_map(|scope| {
                let (now_ms, remote_slowdown) = (self.now_ms, self.bounds.remote_slowdown);
                let state = self.services.get(service)?;
                state
                    .kinds
                    .select(&mut self.rng, &self.workers, &demand.label, |id, worker| {
                        worker.accepts_starts(now_ms)
                            && demand.permits(id, worker, 0)
                            && demand.considers(
                                scope,
                                worker,
                                remote_slowdown,
                                failed_on == Some(id),
                                now_ms,
                            )
                            && state.reserved.get(&id).is_none_or(|reservation| {
                                usable_despite_reservation(
                                    reservation,
                                    demand,
                                    id,
                                    worker,
                                    state,
                                    now_ms,
                                )
                            })
                    })
            });
        let Some(selection) = selection else {
            return false;
        };
        if let (Some(traces), Some(state)) = (&mut self.traces, self.services.get(service)) {
            traces.push(state.kinds.trace(task, &selection, &self.workers));
        }
        let is_local = self
            .workers
            .get(selection.worker)
            .is_some_and(|worker| demand.is_local(worker));
        let remote_factor = if is_local {
            1.0
        } else {
            self.bounds.remote_slowdown
        };
        if demand.anti_affinity > 0 {
            *demand.on_worker.entry(selection.worker).or_default() += 1;
        }
        self.place_run(
            task,
            attempt,
            Placement {
                worker: selection.worker,
                bound: selection.bound,
                remote_factor,
            },
        );
        true
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
        .kinds
        .expected_ms(id, &demand.class, demand.estimate_ms) as u64;
    let ends_before = !demand.long_running && now_ms + expected_ms <= reservation.free_ms;
    reservation.yields_to(demand) || beside || ends_before
}

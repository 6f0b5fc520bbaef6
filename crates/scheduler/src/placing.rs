//! Placement of admitted tasks: the steps in the queue's order, each task by hybrid SQ(d) among the workers that may
//! take it.

use crate::delays::Cause;
use crate::draw::dominant_share;
use crate::need::{ANY_WORKER_MS, Need, Reach, Scope};
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
const WHOLE_LATELY_MS: u64 = 30_000;

/// What one pass over a queue has found so far.
#[derive(Debug)]
struct Pass {
    /// Much of the service is idle.
    spare: bool,
    /// The most of each resource that any one worker has free.
    room: Resources,
    /// Tasks that found no room, though they ask for nothing else.
    blocked: Vec<Resources>,
    /// Steps that keep workers.
    reserved: Vec<StepRef>,
}

impl Scheduler {
    /// Places what can be placed, in all services where something has changed.
    pub(crate) fn schedule(&mut self) {
        let now_ms = self.now_ms;
        if now_ms < self.place_from_ms {
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
            spare: self.has_spare(service),
            room: self.largest_room(service),
            blocked: Vec::new(),
            reserved: Vec::new(),
        };
        self.note_urgent(service, &keys);
        for same in keys.chunk_by(|a, b| (a.hopeless, a.priority) == (b.hopeless, b.priority)) {
            same.iter()
                .for_each(|key| self.try_step(service, *key, Reach::Near, &mut pass));
            let left = same
                .iter()
                .filter(|key| self.has_place(key.at) && self.waits(key.at));
            let left: Vec<QueueKey> = left.copied().collect();
            left.into_iter()
                .for_each(|key| self.try_step(service, key, Reach::Away, &mut pass));
        }
        self.service(service)
            .reserved
            .retain(|_, kept| pass.reserved.contains(&kept.step));
    }

    /// Tries to place a step's tasks.
    fn try_step(&mut self, service: &str, key: QueueKey, reach: Reach, pass: &mut Pass) {
        let Some((resources, picky)) = self.demand(key.at) else {
            return;
        };
        let patient = !(pass.spare && self.waits_long(key.at));
        let hidden = patient && pass.blocked.iter().any(|less| resources.can_fit(less));
        let beyond = hidden || !pass.room.can_fit(&resources);
        if !beyond {
            self.place_step(service, key, reach);
        }
        if !self.waits(key.at) {
            return self.dequeue(key.at);
        }
        self.note_wait(key.at, self.wait_cause(key.at, hidden, beyond));
        if !beyond {
            pass.room = self.largest_room(service);
            if !picky {
                pass.blocked.push(resources);
            }
        }
        if pass.reserved.len() < RESERVATIONS_MAX && self.reserve(service, key) {
            pass.reserved.push(key.at);
        }
    }

    /// What a step waits for that was looked at: others before it, room, or room in the right place.
    fn wait_cause(&self, at: StepRef, hidden: bool, beyond: bool) -> Cause {
        let gang = self
            .jobs
            .get(&at.job)
            .and_then(|job| job.step(at.step))
            .is_some_and(|step| step.gang);
        if hidden {
            Cause::Turn
        } else if !beyond && (gang || self.has_place(at)) {
            Cause::Place
        } else {
            Cause::Room
        }
    }

    /// Whether the step's tasks run faster in some places than in others: near data, or in one rack.
    fn has_place(&self, at: StepRef) -> bool {
        let step = self.jobs.get(&at.job).and_then(|job| job.step(at.step));
        step.is_some_and(|step| !step.affinity.is_empty() || step.rack_local)
    }

    /// Whether tasks of this size leave idle workers alone: steps that need a whole worker come to this service, and
    /// this is none of them.
    pub(crate) fn spares_idle(&mut self, service: &str, resources: &Resources) -> bool {
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
            .filter(|c| c.can_fit(resources))
            .map(|c| dominant_share(resources, &c));
        let whole = shares
            .min_by(f64::total_cmp)
            .is_some_and(|share| share > HALF);
        if whole {
            state.whole_seen_ms = Some(now_ms);
        }
        !whole
            && state
                .whole_seen_ms
                .is_some_and(|seen| now_ms < seen + WHOLE_LATELY_MS)
    }

    /// What a task of the step takes, and whether the step asks for more than room.
    fn demand(&self, at: StepRef) -> Option<(Resources, bool)> {
        let step = self.jobs.get(&at.job)?.step(at.step)?;
        let state = self.jobs.get(&at.job)?.step_state(at)?;
        let retried = state.tasks.iter().any(|task| task.failed_on.is_some());
        let picky = step.gang || retried || step.anti_affinity > 0 || step.long_running;
        let picky = picky || !step.requirements.is_empty() || !step.affinity.is_empty();
        Some((step.resources(), picky))
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
    fn largest_room(&self, service: &str) -> Resources {
        let Some(state) = self.services.get(service) else {
            return Resources::default();
        };
        let ready = state.kinds.workers().filter_map(|id| self.workers.get(id));
        ready
            .filter(|worker| worker.takes_starts(self.now_ms))
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
    fn place_step(&mut self, service: &str, key: QueueKey, reach: Reach) {
        let at = key.at;
        let Some(job) = self.jobs.get(&at.job) else {
            return;
        };
        let Some(step) = job.step(at.step) else {
            return;
        };
        if step.gang {
            return self.place_gang(service, at, reach);
        }
        let Some(state) = job.step_state(at) else {
            return;
        };
        let waiting: Vec<u32> = state.waiting.iter().copied().collect();
        let Some(mut need) = Need::of(job, at, self.now_ms) else {
            return;
        };
        need.spares_idle = self.spares_idle(service, &need.resources);
        need.reach = reach;
        let keeps = self.keeps_headroom(service, key);
        let mut spare = if keeps {
            self.beyond_headroom(service)
        } else {
            f64::INFINITY
        };
        for index in waiting {
            spare -= need.resources.cpu as f64;
            if spare < 0.0 || !self.place_task(service, &mut need, index) {
                return;
            }
        }
    }

    fn place_task(&mut self, service: &str, need: &mut Need, index: u32) -> bool {
        let task = need.at.task(index);
        let Some(entry) = self.jobs.get(&task.job).and_then(|job| job.task(&task)) else {
            return false;
        };
        let (attempt, failed_on) = (entry.last_attempt + 1, entry.failed_on);
        let choice = [Scope::Preferred, Scope::Allowed]
            .into_iter()
            .find_map(|scope| {
                let (now_ms, remote_slowdown) = (self.now_ms, self.bounds.remote_slowdown);
                let state = self.services.get(service)?;
                state
                    .kinds
                    .choose(&mut self.rng, &self.workers, &need.label, |id, worker| {
                        worker.takes_starts(now_ms)
                            && need.permits(id, worker, 0)
                            && need.considers(
                                scope,
                                worker,
                                remote_slowdown,
                                failed_on == Some(id),
                                now_ms,
                            )
                            && state
                                .reserved
                                .get(&id)
                                .is_none_or(|kept| kept_free(kept, need, id, worker, state, now_ms))
                    })
            });
        let Some(choice) = choice else { return false };
        if let (Some(traces), Some(state)) = (&mut self.traces, self.services.get(service)) {
            traces.push(state.kinds.trace(task, &choice, &self.workers));
        }
        let near = self
            .workers
            .get(choice.worker)
            .is_some_and(|worker| need.near(worker));
        let far = if near {
            1.0
        } else {
            self.bounds.remote_slowdown
        };
        if need.anti_affinity > 0 {
            *need.on_worker.entry(choice.worker).or_default() += 1;
        }
        self.place(
            task,
            attempt,
            Placement {
                worker: choice.worker,
                bound: choice.bound,
                far,
            },
        );
        true
    }
}

/// Whether a task may use a worker that is reserved for another step: it fits beside, or ends before.
fn kept_free(
    kept: &Reservation,
    need: &Need,
    id: WorkerId,
    worker: &Worker,
    state: &ServiceState,
    now_ms: u64,
) -> bool {
    let beside = worker.has_room(&need.resources.plus(&kept.resources));
    let expected_ms = state.kinds.expected_ms(id, &need.class, need.estimate_ms) as u64;
    let ends_before = !need.long_running && now_ms + expected_ms <= kept.free_ms;
    kept.gives_way(need) || beside || ends_before
}

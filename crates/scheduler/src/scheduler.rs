//! The scheduler's state, and how an event passes through it.

use crate::api::{AgentId, Bounds, Effect, Event, RowChange, WriteId};
use crate::clock::WallClock;
use crate::instance_rows::{instance_key, instance_of};
use crate::job::Job;
use crate::kinds::{Kinds, PlacementTrace};
use crate::latency::LateEnd;
use crate::outbox::{Deferred, Outbox};
use crate::queue::Queue;
use crate::rng::Rng;
use crate::rows::{self, RowKey};
use crate::value::MeanWork;
use crate::workers::{WorkerId, Workers};
use indigofold_protocol::config::Config;
use indigofold_protocol::internal::AgentOrders;
use indigofold_protocol::task::JobId;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time between two looks at everything that depends on time alone.
const TICK_MS: u64 = 100;
/// The same while no job is open.
const IDLE_TICK_MS: u64 = 500;

/// Jobs, workers and queues of all services. See the crate's documentation.
pub struct Scheduler {
    pub(crate) bounds: Bounds,
    pub(crate) epoch: u64,
    pub(crate) now_ms: u64,
    pub(crate) clock: WallClock,
    pub(crate) rng: Rng,
    pub(crate) config: Option<Arc<Config>>,
    pub(crate) jobs: FxHashMap<JobId, Job>,
    pub(crate) workers: Workers,
    pub(crate) services: BTreeMap<String, ServiceState>,
    pub(crate) outbox: Outbox,
    /// Repetitions that are to come: when (since 1970), job.
    pub(crate) due: BTreeSet<(u64, JobId)>,
    /// Ended jobs: when they are forgotten, job.
    pub(crate) forget: BTreeSet<(u64, JobId)>,
    /// Jobs of each route of which nothing has been started.
    pub(crate) pending: FxHashMap<String, u64>,
    /// Mean work of the jobs of each route.
    pub(crate) mean_work: FxHashMap<String, MeanWork>,
    /// Tasks of open jobs that are not done.
    pub(crate) open_tasks: u64,
    /// Jobs with saved progress that their rows do not have yet.
    pub(crate) unwritten_checkpoints: BTreeSet<JobId>,
    /// Jobs that have not ended.
    pub(crate) open_jobs: u64,
    /// Answers to companions without a worker: connection, life asked for, report.
    pub(crate) answers_without_instance: Vec<(AgentId, String, u64)>,
    /// Nothing is placed before this time: after a take-over the companions come back one by one.
    pub(crate) placement_start_ms: u64,
    pub(crate) next_tick_ms: u64,
    pub(crate) next_resolve_ms: u64,
    pub(crate) next_check_ms: u64,
    pub(crate) next_preempt_ms: u64,
    /// Late ends that have not been told.
    pub(crate) late: Vec<LateEnd>,
    pub(crate) traces: Option<Vec<PlacementTrace>>,
}

/// One service's part of the state.
#[derive(Debug, Default)]
pub(crate) struct ServiceState {
    /// Steps with tasks to place.
    pub queue: Queue,
    /// Its workers.
    pub kinds: Kinds,
    /// Something has changed that may let a task be placed.
    pub dirty: bool,
    /// A worker has come, gone or changed.
    pub regroup: bool,
    /// The next pass over the queue is not before this time.
    pub next_pass_ms: u64,
    /// Reservations are worked out anew at this time.
    pub next_reserve_ms: u64,
    /// How long all that waits will take, and when this was worked out.
    pub backlog: Option<(u64, u64)>,
    /// When a step came last whose tasks need a whole worker each.
    pub large_task_ms: Option<u64>,
    /// Highest priority of which small tasks came lately, and when.
    pub urgent: Option<(u32, u64)>,
    /// Workers kept for a step that needs more room at once than there is, and until when they are expected to be free.
    pub reserved: FxHashMap<WorkerId, crate::reservation::Reservation>,
}

impl Scheduler {
    /// A scheduler that knows no job yet. `epoch` is the number of the view under whose head it acts: the fencing
    /// token of its orders. `now_ms` is a reading of the steady clock, `wall_ms` the time of day since 1970.
    pub fn new(bounds: Bounds, epoch: u64, seed: u64, now_ms: u64, wall_ms: u64) -> Self {
        Scheduler {
            bounds,
            epoch,
            now_ms,
            clock: WallClock::new(now_ms, wall_ms),
            rng: Rng::new(seed),
            config: None,
            jobs: FxHashMap::default(),
            workers: Workers::new(bounds.max_lease_ms),
            services: BTreeMap::new(),
            outbox: Outbox::default(),
            due: BTreeSet::new(),
            forget: BTreeSet::new(),
            pending: FxHashMap::default(),
            mean_work: FxHashMap::default(),
            open_tasks: 0,
            unwritten_checkpoints: BTreeSet::new(),
            open_jobs: 0,
            answers_without_instance: Vec::new(),
            placement_start_ms: now_ms,
            next_tick_ms: now_ms,
            next_resolve_ms: now_ms,
            next_check_ms: now_ms,
            next_preempt_ms: now_ms,
            late: Vec::new(),
            traces: None,
        }
    }

    /// Whether a row of the control state belongs to the scheduler.
    pub fn is_row(key: &[u8]) -> bool {
        RowKey::parse(key).is_some() || instance_of(key).is_some()
    }

    /// Follows placements from now on; [`take_traces`](Self::take_traces) hands them out.
    pub fn trace_placements(&mut self) {
        self.traces = Some(Vec::new());
    }

    /// Placements since the last call.
    pub fn take_traces(&mut self) -> Vec<PlacementTrace> {
        self.traces.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// When [`Event::Timer`] is due, on the steady clock.
    pub fn next_timer_ms(&self) -> u64 {
        let due_ms = self
            .due
            .first()
            .map(|(wall_ms, _)| self.clock.steady_ms(*wall_ms));
        let due_ms = due_ms.map_or(u64::MAX, |at| at.max(0) as u64);
        let passes = self
            .services
            .values()
            .filter(|service| service.dirty || service.regroup);
        let pass_ms = passes
            .map(|service| service.next_pass_ms)
            .min()
            .unwrap_or(u64::MAX);
        due_ms
            .min(self.next_tick_ms)
            .min(pass_ms)
            .max(self.now_ms + 1)
    }

    /// Takes an event. `now_ms` is the steady clock, `wall_ms` the time of day since 1970.
    pub fn handle(&mut self, now_ms: u64, wall_ms: u64, event: Event, effects: &mut Vec<Effect>) {
        self.now_ms = self.now_ms.max(now_ms);
        self.clock.observe(now_ms, wall_ms);
        match event {
            Event::Config(config) => self.configure(config),
            Event::Call { from, call } => self.call(from, call),
            Event::CallerDisconnected(caller) => self.outbox.forget_caller(caller),
            Event::Committed(write) => self.outbox.commit(write),
            Event::AgentConnected { agent, node_name } => {
                self.workers.connected(agent, node_name);
            }
            Event::AgentDisconnected(agent) => self.workers.disconnected(agent),
            Event::Report { agent, report } => self.report(agent, report),
            Event::Timer => {}
        }
        self.open_due_repeats();
        if self.now_ms >= self.next_tick_ms {
            self.tick();
        }
        self.release(effects);
        self.schedule();
        self.write(effects);
        self.release(effects);
        self.send_orders(effects);
        effects.extend(self.late.drain(..).map(|end| Effect::Late(Box::new(end))));
    }

    fn tick(&mut self) {
        self.next_tick_ms = self.now_ms
            + if self.open_jobs > 0 {
                TICK_MS
            } else {
                IDLE_TICK_MS
            };
        self.give_up_expired();
        self.forget_ended();
        self.check_runs();
        self.write_checkpoints();
        self.resolve_kinds();
        self.reorder_queues();
        self.preempt();
        for service in self.services.values_mut() {
            service.dirty |= !service.queue.is_empty();
        }
    }

    /// The part of the state of a service.
    pub(crate) fn service(&mut self, name: &str) -> &mut ServiceState {
        if !self.services.contains_key(name) {
            self.services
                .insert(name.to_owned(), ServiceState::default());
        }
        self.services.entry(name.to_owned()).or_default()
    }

    /// The job's progress goes into the present write.
    pub(crate) fn set_dirty(&mut self, id: JobId) {
        let write = self.outbox.present_write();
        if let Some(job) = self.jobs.get_mut(&id) {
            job.last_write = write;
        }
        self.outbox.dirty.insert(id);
    }

    /// Carries out what need not wait for a write any longer.
    fn release(&mut self, effects: &mut Vec<Effect>) {
        for deferred in self.outbox.released() {
            match deferred {
                Deferred::Reply(to, reply) => effects.push(Effect::Reply { to, reply }),
                Deferred::Start(run) => self.send_start(run),
                Deferred::Stop(run) => self.send_stop(run),
                Deferred::Acknowledge(worker, number) => {
                    if let Some(worker) = self.workers.get_mut(worker) {
                        worker.committed_end = worker.committed_end.max(number);
                    }
                }
            }
        }
    }

    /// All rows that the present event has changed, in one write.
    fn write(&mut self, effects: &mut Vec<Effect>) {
        if !self.outbox.has_changes() {
            return;
        }
        let write: WriteId = self.outbox.issue();
        let dirty = std::mem::take(&mut self.outbox.dirty);
        let taken = std::mem::take(&mut self.outbox.taken);
        let closed = std::mem::take(&mut self.outbox.closed);
        let forgotten = std::mem::take(&mut self.outbox.forgotten);
        dirty.iter().chain(&forgotten).for_each(|id| {
            self.unwritten_checkpoints.remove(id);
        });
        let row = |key: RowKey, value| RowChange {
            key: key.bytes(),
            value,
        };
        let mut changes = Vec::with_capacity(dirty.len() + taken.len() + forgotten.len());
        for id in taken.difference(&closed) {
            let definition = self
                .jobs
                .get(id)
                .map(|job| rows::definition_bytes(&job.definition));
            changes.extend(definition.map(|value| row(RowKey::Job(*id), Some(value))));
        }
        for id in dirty.difference(&forgotten) {
            let progress = self.jobs.get_mut(id).map(|job| {
                job.written_ms = self.now_ms;
                rows::progress_bytes(job, &self.workers)
            });
            changes.extend(progress.map(|value| row(RowKey::Progress(*id), Some(value))));
        }
        changes.extend(closed.into_iter().map(|id| row(RowKey::Job(id), None)));
        changes.extend(
            forgotten
                .into_iter()
                .map(|id| row(RowKey::Progress(id), None)),
        );
        for (instance, node_name) in std::mem::take(&mut self.outbox.instances) {
            let value = node_name.map(String::into_bytes);
            changes.push(RowChange {
                key: instance_key(&instance),
                value,
            });
        }
        effects.push(Effect::Write { write, changes });
    }

    fn send_orders(&mut self, effects: &mut Vec<Effect>) {
        let epoch = self.epoch;
        for (id, orders) in std::mem::take(&mut self.outbox.orders) {
            let Some(worker) = self.workers.get(id) else {
                continue;
            };
            let Some(agent) = worker.agent else {
                continue;
            };
            let orders = AgentOrders {
                epoch,
                echo_sent_ms: orders.echo_sent_ms,
                instance: worker.instance.clone(),
                start: orders.start,
                stop: orders.stop,
                acknowledged_end: (worker.committed_end > 0).then_some(worker.committed_end),
            };
            effects.push(Effect::Orders { agent, orders });
        }
        for (agent, instance, sent_ms) in std::mem::take(&mut self.answers_without_instance) {
            let (start, stop, acknowledged_end) = (Vec::new(), Vec::new(), None);
            let orders = AgentOrders {
                epoch,
                echo_sent_ms: Some(sent_ms),
                instance,
                start,
                stop,
                acknowledged_end,
            };
            effects.push(Effect::Orders { agent, orders });
        }
    }

    fn resolve_kinds(&mut self) {
        /// Time between two solutions of problem (1).
        const RESOLVE_MS: u64 = 500;
        if self.now_ms < self.next_resolve_ms {
            return;
        }
        self.next_resolve_ms = self.now_ms + RESOLVE_MS;
        for service in self.services.values_mut() {
            service.kinds.resolve(&self.workers);
        }
    }
}

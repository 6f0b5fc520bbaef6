//! The scheduler's entry points: dispatches events and timers to the components, and collects the effects.

use crate::api::{Bounds, Effect, Epoch, Event};
use crate::client_calls::ClientCalls;
use crate::cluster::Cluster;
use crate::instance_rows::parse_instance_key;
use crate::kinds::PlacementTrace;
use crate::outbox::Deferred;
use crate::placement::Placer;
use crate::preemption::{PREEMPT_MS, preempt};
use crate::reports::{AnswerWithoutInstance, Reports};
use crate::rows::{RowError, RowKey};
use crate::run_checks::{CHECK_INTERVAL_MS, check_runs};
use crate::takeover::{AGENTS_RECONNECT_MS, load};
use crate::timers::Periodic;
use indigofold_protocol::internal::AgentOrders;

/// Period of the periodic work while any job is open.
const TICK_MS: u64 = 100;
/// Period of the periodic work while no job is open.
const IDLE_TICK_MS: u64 = 500;
/// Time between two solutions of problem (1) of hybrid SQ(d), which gives the probabilities of the kinds of workers.
const SOLVE_KINDS_MS: u64 = 500;

/// The scheduler's state machine; the crate's documentation describes it. Its user passes events to
/// [`handle`](Self::handle) and carries out the effects.
pub struct Scheduler {
    /// Fencing token of all orders: number of the view whose head runs this scheduler.
    epoch: Epoch,
    cluster: Cluster,
    calls: ClientCalls,
    reports: Reports,
    placer: Placer,
    /// When the next [`tick`](Self::tick) is due, on the monotonic clock.
    next_tick_ms: u64,
    solve_timer: Periodic,
    check_timer: Periodic,
    preempt_timer: Periodic,
}

impl Scheduler {
    /// Creates a scheduler without jobs. `epoch` is the number of the view whose head runs it, and the fencing token of its
    /// orders. `now_ms` is a reading of the monotonic clock, `wall_ms` the Unix time in milliseconds.
    pub fn new(bounds: Bounds, epoch: Epoch, seed: u64, now_ms: u64, wall_ms: u64) -> Self {
        Scheduler {
            epoch,
            cluster: Cluster::new(bounds, now_ms, wall_ms),
            calls: ClientCalls::default(),
            reports: Reports::default(),
            placer: Placer::new(seed, now_ms),
            next_tick_ms: now_ms,
            solve_timer: Periodic::new(SOLVE_KINDS_MS, now_ms),
            check_timer: Periodic::new(CHECK_INTERVAL_MS, now_ms),
            preempt_timer: Periodic::new(PREEMPT_MS, now_ms),
        }
    }

    /// Whether a row of the control state belongs to the scheduler.
    pub fn owns_row(key: &[u8]) -> bool {
        RowKey::parse(key).is_some() || parse_instance_key(key).is_some()
    }

    /// Restores the state that a previous head has written. `rows` are all rows whose keys [`owns_row`](Self::owns_row)
    /// accepts. Must be called once, before the first event.
    ///
    /// # Errors
    ///
    /// [`RowError`] with the key of the first row that does not belong to the scheduler or cannot be decoded.
    pub fn load(
        &mut self,
        rows: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>,
    ) -> Result<(), RowError> {
        if load(&mut self.cluster, rows)? {
            let now_ms = self.cluster.clock().now_ms();
            self.placer.wait_until(now_ms + AGENTS_RECONNECT_MS);
        }
        Ok(())
    }

    /// Starts recording how workers are selected; [`take_traces`](Self::take_traces) returns the records.
    pub fn trace_placements(&mut self) {
        self.placer.start_tracing();
    }

    /// Returns the placements recorded since the last call; empty unless [`trace_placements`](Self::trace_placements) was
    /// called.
    pub fn take_traces(&mut self) -> Vec<PlacementTrace> {
        self.placer.take_traces()
    }

    /// Waits for a full report of each worker before orders are sent to it, and sends the orders again that such a report does
    /// not show. To be called when the node agents are informed that the head acts again after they were informed that it
    /// did not: they have dropped the orders in between, and report everything anew.
    pub fn expect_full_reports(&mut self) {
        self.cluster.workers_mut().expect_full_reports();
    }

    /// When [`Event::Timer`] is due, on the monotonic clock; always later than the last event.
    pub fn next_timer_ms(&self) -> u64 {
        let clock = self.cluster.clock();
        let due_wall_ms = self.cluster.jobs().next_repetition_wall_ms();
        let repetition_due_ms =
            due_wall_ms.map_or(u64::MAX, |wall_ms| clock.steady_ms(wall_ms).max(0) as u64);
        let passes = self.cluster.services().iter();
        let pass_due_ms = passes
            .filter_map(|(_, service)| service.next_pass_ms())
            .min()
            .unwrap_or(u64::MAX);
        repetition_due_ms
            .min(self.next_tick_ms)
            .min(pass_due_ms)
            .max(clock.now_ms() + 1)
    }

    /// Handles an event and appends the effects. `now_ms` is a reading of the monotonic clock, `wall_ms` the Unix time in
    /// milliseconds.
    pub fn handle(&mut self, now_ms: u64, wall_ms: u64, event: Event, effects: &mut Vec<Effect>) {
        self.cluster.advance_clock(now_ms, wall_ms);
        self.dispatch(event);
        self.cluster.open_due_repeats();
        if self.cluster.clock().now_ms() >= self.next_tick_ms {
            self.tick();
        }
        self.release_deferred(effects);
        self.placer.place_waiting(&mut self.cluster);
        effects.extend(self.cluster.take_write());
        self.release_deferred(effects);
        self.send_orders(effects);
        let late_ends = self.cluster.take_late_ends().into_iter();
        effects.extend(late_ends.map(|end| Effect::LateEnd(Box::new(end))));
    }

    /// Passes an event to the component that handles it.
    fn dispatch(&mut self, event: Event) {
        let cluster = &mut self.cluster;
        match event {
            Event::Config(config) => self.calls.configure(cluster, config),
            Event::Call { from, call } => self.calls.handle(cluster, from, call),
            Event::CallerDisconnected(caller) => cluster.outbox_mut().drop_replies_to(caller),
            Event::Committed(write) => cluster.outbox_mut().commit(write),
            Event::AgentConnected { agent, node_name } => {
                cluster.workers_mut().add_connection(agent, node_name);
            }
            Event::AgentDisconnected(agent) => cluster.workers_mut().remove_connection(agent),
            Event::Report { agent, report } => self.reports.handle(cluster, agent, report),
            Event::Timer => {}
        }
    }

    /// Performs the periodic work: expires instances and ended jobs, checks runs, writes what reports have shown,
    /// reorders queues and preempts.
    fn tick(&mut self) {
        let cluster = &mut self.cluster;
        let now_ms = cluster.clock().now_ms();
        let tick_ms = if cluster.jobs().has_open_jobs() {
            TICK_MS
        } else {
            IDLE_TICK_MS
        };
        self.next_tick_ms = now_ms + tick_ms;
        cluster.expire_instances();
        cluster.remove_ended_jobs();
        if self.check_timer.take_due(now_ms) {
            check_runs(cluster);
            self.placer.speculate(cluster);
        }
        cluster.write_due_begins();
        cluster.write_checkpoints();
        if self.solve_timer.take_due(now_ms) {
            cluster.solve_kind_probabilities();
        }
        cluster.reorder_queues();
        if self.preempt_timer.take_due(now_ms) {
            preempt(cluster);
        }
        for service in cluster.services_mut().iter_mut() {
            service.request_pass_if_queued();
        }
    }

    /// Carries out deferred outputs whose writes are committed.
    fn release_deferred(&mut self, effects: &mut Vec<Effect>) {
        let cluster = &mut self.cluster;
        for deferred in cluster.outbox_mut().take_committed() {
            match deferred {
                Deferred::Reply(to, reply) => effects.push(Effect::Reply { to, reply }),
                Deferred::Start(run) => cluster.send_start(run),
                Deferred::Stop(run) => cluster.send_stop(run),
                Deferred::Acknowledge(worker, number) => {
                    if let Some(worker) = cluster.workers_mut().get_mut(worker) {
                        worker.commit_ends_until(number);
                    }
                }
                Deferred::AcknowledgeUpdates(agent, number) => {
                    cluster.workers_mut().acknowledge_updates(agent, number);
                }
            }
        }
    }

    /// Emits the orders of the current event, by worker, then the answers to reports without a worker instance.
    fn send_orders(&mut self, effects: &mut Vec<Effect>) {
        let epoch = self.epoch.0;
        for (id, orders) in self.cluster.outbox_mut().take_orders() {
            let workers = self.cluster.workers();
            let Some(worker) = workers.get(id) else {
                continue;
            };
            let Some(agent) = worker.agent() else {
                continue;
            };
            let orders = AgentOrders {
                epoch,
                echo_sent_ms: orders.echo_sent_ms,
                instance: worker.instance().to_owned(),
                start: orders.start,
                stop: orders.stop,
                acknowledged_end: worker.acknowledged_end(),
                acknowledged_update: workers.acknowledged_update(agent),
            };
            effects.push(Effect::Orders { agent, orders });
        }
        for answer in self.reports.take_answers() {
            let acknowledged_update = self.cluster.workers().acknowledged_update(answer.agent);
            let agent = answer.agent;
            let orders = empty_orders(epoch, answer, acknowledged_update);
            effects.push(Effect::Orders { agent, orders });
        }
    }
}

/// The answer to a report without a worker instance: no orders, and the instance whose report the head expects.
fn empty_orders(
    epoch: u64,
    answer: AnswerWithoutInstance,
    acknowledged_update: Option<u64>,
) -> AgentOrders {
    AgentOrders {
        epoch,
        echo_sent_ms: Some(answer.sent_ms),
        instance: answer.instance,
        start: Vec::new(),
        stop: Vec::new(),
        acknowledged_end: None,
        acknowledged_update,
    }
}

//! How an event passes through the scheduler, and what leaves it.

use crate::api::{Bounds, Effect, Event};
use crate::instance_rows::instance_of;
use crate::kinds::PlacementTrace;
use crate::outbox::Deferred;
use crate::preemption::PREEMPT_MS;
use crate::rows::{RowError, RowKey};
use crate::run_checks::CHECK_MS;
use crate::state::{AnswerWithoutInstance, ClusterState};
use crate::timers::Periodic;
use indigofold_protocol::internal::AgentOrders;

/// Period of everything that depends on time alone.
const TICK_MS: u64 = 100;
/// The same while no job is open.
const IDLE_TICK_MS: u64 = 500;
/// Time between two solutions of problem (1), which gives the kinds' probabilities.
const RESOLVE_MS: u64 = 500;

/// The scheduler. See the crate's documentation.
pub struct Scheduler {
    /// Fencing token of all orders: number of the view under whose head the scheduler acts.
    epoch: u64,
    state: ClusterState,
    next_tick_ms: u64,
    resolve_timer: Periodic,
    check_timer: Periodic,
    preempt_timer: Periodic,
}

impl Scheduler {
    /// A scheduler that knows no job yet. `epoch` is the number of the view under whose head it acts: the fencing
    /// token of its orders. `now_ms` is a reading of the steady clock, `wall_ms` the time of day since 1970.
    pub fn new(bounds: Bounds, epoch: u64, seed: u64, now_ms: u64, wall_ms: u64) -> Self {
        Scheduler {
            epoch,
            state: ClusterState::new(bounds, seed, now_ms, wall_ms),
            next_tick_ms: now_ms,
            resolve_timer: Periodic::new(RESOLVE_MS, now_ms),
            check_timer: Periodic::new(CHECK_MS, now_ms),
            preempt_timer: Periodic::new(PREEMPT_MS, now_ms),
        }
    }

    /// Whether a row of the control state belongs to the scheduler.
    pub fn is_row(key: &[u8]) -> bool {
        RowKey::parse(key).is_some() || instance_of(key).is_some()
    }

    /// Takes over what a predecessor has written: all rows whose keys [`is_row`](Self::is_row). To be called once,
    /// before the first event.
    ///
    /// # Errors
    ///
    /// Names the first row that is not one of the scheduler's or cannot be read.
    pub fn load(
        &mut self,
        rows: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>,
    ) -> Result<(), RowError> {
        self.state.load(rows)
    }

    /// Follows placements from now on; [`take_traces`](Self::take_traces) hands them out.
    pub fn trace_placements(&mut self) {
        self.state.traces = Some(Vec::new());
    }

    /// Placements since the last call.
    pub fn take_traces(&mut self) -> Vec<PlacementTrace> {
        let traces = self.state.traces.as_mut();
        traces.map(std::mem::take).unwrap_or_default()
    }

    /// When [`Event::Timer`] is due, on the steady clock.
    pub fn next_timer_ms(&self) -> u64 {
        let state = &self.state;
        let due_wall_ms = state.due.next_repetition_wall_ms();
        let due_ms = due_wall_ms.map_or(u64::MAX, |wall_ms| {
            state.clock.steady_ms(wall_ms).max(0) as u64
        });
        let passes = state.services.iter();
        let pass_ms = passes
            .filter_map(|(_, service)| service.next_pass_ms())
            .min()
            .unwrap_or(u64::MAX);
        due_ms
            .min(self.next_tick_ms)
            .min(pass_ms)
            .max(state.now_ms + 1)
    }

    /// Takes an event. `now_ms` is the steady clock, `wall_ms` the time of day since 1970.
    pub fn handle(&mut self, now_ms: u64, wall_ms: u64, event: Event, effects: &mut Vec<Effect>) {
        self.state.now_ms = self.state.now_ms.max(now_ms);
        self.state.clock.observe(now_ms, wall_ms);
        self.dispatch(event);
        self.state.open_due_repeats();
        if self.state.now_ms >= self.next_tick_ms {
            self.tick();
        }
        self.release(effects);
        self.state.schedule();
        effects.extend(self.state.take_write());
        self.release(effects);
        self.send_orders(effects);
        let late = self.state.late.drain(..);
        effects.extend(late.map(|end| Effect::Late(Box::new(end))));
    }

    /// Passes an event to the part that it concerns.
    fn dispatch(&mut self, event: Event) {
        let state = &mut self.state;
        match event {
            Event::Config(config) => state.configure(config),
            Event::Call { from, call } => state.call(from, call),
            Event::CallerDisconnected(caller) => state.outbox.forget_caller(caller),
            Event::Committed(write) => state.outbox.commit(write),
            Event::AgentConnected { agent, node_name } => {
                state.workers.connected(agent, node_name);
            }
            Event::AgentDisconnected(agent) => state.workers.disconnected(agent),
            Event::Report { agent, report } => state.report(agent, report),
            Event::Timer => {}
        }
    }

    /// Does what depends on time alone.
    fn tick(&mut self) {
        let state = &mut self.state;
        let now_ms = state.now_ms;
        let tick_ms = if state.load.has_open_jobs() {
            TICK_MS
        } else {
            IDLE_TICK_MS
        };
        self.next_tick_ms = now_ms + tick_ms;
        state.give_up_expired();
        state.forget_ended();
        if self.check_timer.take_due(now_ms) {
            state.check_runs();
        }
        state.write_checkpoints();
        if self.resolve_timer.take_due(now_ms) {
            for service in state.services.iter_mut() {
                service.kinds.resolve(&state.workers);
            }
        }
        state.reorder_queues();
        if self.preempt_timer.take_due(now_ms) {
            state.preempt();
        }
        for service in state.services.iter_mut() {
            service.request_pass_if_queued();
        }
    }

    /// Carries out what need not wait for a write any longer.
    fn release(&mut self, effects: &mut Vec<Effect>) {
        let state = &mut self.state;
        for deferred in state.outbox.released() {
            match deferred {
                Deferred::Reply(to, reply) => effects.push(Effect::Reply { to, reply }),
                Deferred::Start(run) => state.send_start(run),
                Deferred::Stop(run) => state.send_stop(run),
                Deferred::Acknowledge(worker, number) => {
                    if let Some(worker) = state.workers.get_mut(worker) {
                        worker.commit_ends_until(number);
                    }
                }
            }
        }
    }

    /// The orders of the present event, by worker, then the answers to node agents without one.
    fn send_orders(&mut self, effects: &mut Vec<Effect>) {
        let epoch = self.epoch;
        for (id, orders) in self.state.outbox.take_orders() {
            let Some(worker) = self.state.workers.get(id) else {
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
                acknowledged_end: worker.acknowledged_end(),
            };
            effects.push(Effect::Orders { agent, orders });
        }
        let answers = self.state.answers_without_instance.drain(..);
        effects.extend(answers.map(|answer| empty_orders(epoch, answer)));
    }
}

/// The answer to a report without an instance: no orders, and the instance whose report is asked for.
fn empty_orders(epoch: u64, answer: AnswerWithoutInstance) -> Effect {
    Effect::Orders {
        agent: answer.agent,
        orders: AgentOrders {
            epoch,
            echo_sent_ms: Some(answer.sent_ms),
            instance: answer.instance,
            start: Vec::new(),
            stop: Vec::new(),
            acknowledged_end: None,
        },
    }
}

//! The engine: the decision module behind its guard, the job table, the timers and the batches. It reads no clock, waits for
//! nothing and does no I/O: its owner passes inputs and the time ([`Engine::handle_input`]), asks when the next step is
//! due ([`Engine::due`]) and makes it ([`Engine::step`]). The sockets' core actor does so in real time, the replay tool
//! in virtual time. The simulator keeps jobs and timers itself and owns a [`Module`] alone.

use super::job_table::JobTable;
use super::metrics::Metrics;
use super::{CoreInput, JobId, Released, Settings, StatisticsScope, Transport};
use indigofold_decisions::api::{self, Action, Event, Time};
use indigofold_decisions::dispatcher::{Dispatcher, WorkerCounts};
use indigofold_decisions::statistics::Statistics;
use indigofold_decisions::transferred_job::TransferredJob;
use std::collections::BTreeSet;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

/// The decision module behind a guard: one that panics must not take down what other jobs wait for.
pub struct Module(Dispatcher);

impl Module {
    /// A module without state; all its randomness comes from the seed.
    pub fn new(settings: api::Settings, seed: u64, now: Time) -> Self {
        Module(Dispatcher::new(settings, seed, now))
    }

    /// Hands it one event and appends what it asks for. An error is the text of a panic, on one line.
    ///
    /// # Errors
    ///
    /// The text of a panic, on one line.
    pub fn handle(
        &mut self,
        now: Time,
        event: Event,
        actions: &mut Vec<Action>,
    ) -> Result<(), String> {
        let dispatcher = &mut self.0;
        guarded(|| dispatcher.handle(now, event, actions))
    }

    /// What it has learned.
    pub fn statistics(&self, now: Time, scope: StatisticsScope) -> Statistics<u32> {
        match scope {
            StatisticsScope::All => self.0.statistics(now),
            StatisticsScope::ExceptInFlight => Statistics {
                in_flight: Vec::new(),
                ..self.0.statistics(now)
            },
            StatisticsScope::InFlight => Statistics {
                at: now,
                in_flight: self.0.slots_in_flight(),
                ..Statistics::default()
            },
        }
    }

    /// Gives away a request.
    pub fn release(&mut self, now: Time, id: JobId) -> Option<TransferredJob<u32>> {
        self.0.release(now, id)
    }

    /// Workers of the membership, and how many of them it avoids.
    pub fn worker_counts(&self, now: Time) -> WorkerCounts {
        self.0.worker_counts(now)
    }
}

/// Runs it; a panic becomes one line of text.
fn guarded(decide: impl FnOnce()) -> Result<(), String> {
    catch_unwind(AssertUnwindSafe(decide)).map_err(|panic| {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text
            .or(panic.downcast_ref::<&str>().copied())
            .unwrap_or("panic");
        text.replace(['\n', '\r'], " ")
    })
}

/// The module and the job table, stepped by their owner.
pub struct Engine {
    module: Module,
    table: JobTable,
    batch_interval: Time,
    next_batch: Time, // no batch before this
    timers: BTreeSet<(Time, u64)>,
    actions: Vec<Action>,
    metrics: Rc<Metrics>,
}

impl Engine {
    /// An engine with an empty job table, at this time.
    pub fn new(settings: Settings, now: Time, metrics: Rc<Metrics>) -> Self {
        let batch_interval = settings.module.granularity;
        let module = Module::new(settings.module, settings.seed, now);
        let table = JobTable::new(settings.answer_margin, metrics.clone());
        Engine {
            module,
            table,
            batch_interval,
            next_batch: 0,
            timers: BTreeSet::new(),
            actions: Vec::new(),
            metrics,
        }
    }

    /// Jobs in the job table.
    pub fn jobs(&self) -> usize {
        self.table.jobs()
    }

    /// Takes an input of a front. The next step acts on it; only what needs no decision happens at once.
    pub fn handle_input(&mut self, now: Time, input: CoreInput, transport: &dyn Transport) {
        match &input {
            CoreInput::Settings(settings) => self.batch_interval = settings.granularity,
            // Whoever asked may have turned to something else: then the job is still its client's here.
            CoreInput::Release(job, to) if !to.is_closed() => {
                _ = to.try_send(self.release(now, *job));
            }
            CoreInput::ReadStatistics(to, scope) => {
                _ = to.try_send(self.module.statistics(now, *scope));
            }
            _ => {}
        }
        self.table.handle_input(now, input, transport);
    }

    /// Gives away an open job, if the module has handled all that has happened.
    fn release(&mut self, now: Time, id: JobId) -> Option<Released> {
        if self.table.has_events() || !self.table.owes(id) {
            return None;
        }
        let job = self.module.release(now, id)?;
        let (until, reply) = self.table.release(id)?;
        Some(Released { job, until, reply })
    }

    /// When it must be stepped next, if no input comes before; perhaps in the past.
    pub fn due(&self) -> Option<Time> {
        let timer = self.timers.first().map(|t| t.0.max(self.next_batch));
        let batch = self.table.has_events().then_some(self.next_batch);
        [timer, batch, self.table.next_due()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Does what is due: ends jobs at their last moment, and hands the module what has happened if its last batch was
    /// long enough ago.
    pub fn step(&mut self, now: Time, transport: &dyn Transport) {
        self.table.expire(now, transport);
        if now >= self.next_batch && self.batch(now, transport) {
            self.next_batch = now + self.batch_interval;
        }
    }

    /// Hands the module what has happened, in order, and carries out what it asks for.
    fn batch(&mut self, now: Time, transport: &dyn Transport) -> bool {
        let mut events = self.table.take_events();
        while let Some((_, name)) = self.timers.first().filter(|t| t.0 <= now).copied() {
            self.timers.pop_first();
            events.push(Event::Timer(name));
        }
        let any = !events.is_empty();
        for event in events.drain(..) {
            if self.module.handle(now, event, &mut self.actions).is_err() {
                // The job table answers the jobs that the module leaves.
                transport.log_event("the decision module panicked; its event was dropped");
            }
            for action in self.actions.drain(..) {
                if let Action::Timer { at, name } = action {
                    self.timers.insert((at, name));
                } else {
                    self.table.act(action, transport);
                }
            }
        }
        self.table.events_done(events);
        if any {
            self.metrics.workers.set(self.module.worker_counts(now));
        }
        any
    }
}

#[cfg(test)]
mod tests;

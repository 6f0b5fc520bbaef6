//! The engine: the decision module with its panic guard, the job table, the timers and the batches of events. It reads
//! no clock, never blocks and does no I/O: its owner passes inputs and the time ([`Engine::handle_input`]), asks when the
//! next step is due ([`Engine::due`]) and runs it ([`Engine::step`]). The core actor does so in real time, the replay tool
//! in virtual time. The simulator keeps jobs and timers itself and uses only a [`Module`].

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

/// The decision module with a panic guard: a panic in it must not end the process in which other jobs wait for answers.
pub struct Module(Dispatcher);

impl Module {
    /// Creates a module without learned state; the seed determines all its random numbers.
    pub fn new(settings: api::Settings, seed: u64, now: Time) -> Self {
        Module(Dispatcher::new(settings, seed, now))
    }

    /// Passes one event to the module and appends the actions that it returns.
    ///
    /// # Errors
    ///
    /// The message of a panic in the module, with line breaks replaced by spaces.
    pub fn handle(
        &mut self,
        now: Time,
        event: Event,
        actions: &mut Vec<Action>,
    ) -> Result<(), String> {
        let dispatcher = &mut self.0;
        guarded(|| dispatcher.handle(now, event, actions))
    }

    /// The statistics that the module has learned, limited to `scope`.
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

    /// Removes an open request from the module and returns its state for another process; `None` if it cannot be released.
    pub fn release(&mut self, now: Time, id: JobId) -> Option<TransferredJob<u32>> {
        self.0.release(now, id)
    }

    /// The number of workers in the membership, and how many of them the module avoids.
    pub fn worker_counts(&self, now: Time) -> WorkerCounts {
        self.0.worker_counts(now)
    }
}

/// Runs `decide`; a panic becomes an error with the panic message on one line.
fn guarded(decide: impl FnOnce()) -> Result<(), String> {
    catch_unwind(AssertUnwindSafe(decide)).map_err(|panic| {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text
            .or(panic.downcast_ref::<&str>().copied())
            .unwrap_or("panic");
        text.replace(['\n', '\r'], " ")
    })
}

/// The module, the job table and the timers; the owner runs them step by step.
pub struct Engine {
    module: Module,
    table: JobTable,
    batch_interval: Time,
    next_batch: Time, // no batch starts before this time
    timers: BTreeSet<(Time, u64)>,
    actions: Vec<Action>,
    metrics: Rc<Metrics>,
}

impl Engine {
    /// Creates an engine with an empty job table; `now` is the present time.
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

    /// The number of jobs in the job table.
    pub fn jobs(&self) -> usize {
        self.table.jobs()
    }

    /// Accepts an input from a front. Inputs that need no decision take effect at once, all others in the next step.
    pub fn handle_input(&mut self, now: Time, input: CoreInput, transport: &dyn Transport) {
        match &input {
            CoreInput::Settings(settings) => self.batch_interval = settings.granularity,
            // The requester may have dropped its receiver meanwhile: then the job is not released and stays here.
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

    /// Removes an open job for transfer to another process; `None` while the module has unhandled events, or if no answer
    /// is owed.
    fn release(&mut self, now: Time, id: JobId) -> Option<Released> {
        if self.table.has_events() || !self.table.owes_answer(id) {
            return None;
        }
        let job = self.module.release(now, id)?;
        let (until, reply) = self.table.release(id)?;
        Some(Released { job, until, reply })
    }

    /// The time at which [`Engine::step`] must run next if no input arrives before; it may be in the past. `None` if
    /// nothing is scheduled.
    pub fn due(&self) -> Option<Time> {
        let timer = self.timers.first().map(|t| t.0.max(self.next_batch));
        let batch = self.table.has_events().then_some(self.next_batch);
        [timer, batch, self.table.next_due()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Runs what is due: expires jobs at their deadlines and, if the batch interval has passed since the last batch, passes
    /// the queued events to the module.
    pub fn step(&mut self, now: Time, transport: &dyn Transport) {
        self.table.expire(now, transport);
        if now >= self.next_batch && self.batch(now, transport) {
            self.next_batch = now + self.batch_interval;
        }
    }

    /// Passes queued events and due timers to the module in order and executes its actions. Returns true if there were any
    /// events.
    fn batch(&mut self, now: Time, transport: &dyn Transport) -> bool {
        let mut events = self.table.take_events();
        while let Some((_, name)) = self.timers.first().filter(|t| t.0 <= now).copied() {
            self.timers.pop_first();
            events.push(Event::Timer(name));
        }
        let any = !events.is_empty();
        for event in events.drain(..) {
            if self.module.handle(now, event, &mut self.actions).is_err() {
                // The job table answers, at the deadline, the jobs that the module leaves unanswered.
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

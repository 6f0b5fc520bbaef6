//! Replays in virtual time: a discrete-event simulation of the real scheduler engine and its module, an emulated network, and
//! the same worker and client models as on sockets. All events go through one queue, and the same seed gives exactly the same
//! result.

use crate::baseline::{BaselineScheduler, Policy};
use crate::check::{Checker, Verdict};
use crate::error::ReplayError;
use crate::load::Arrival;
use crate::object_store::{ObjectCache, ObjectStore};
use crate::sampling::{draw, unit};
use crate::scenario::{Micros, Scenario};
use crate::service::{Outcome, Service};
use crate::worker::{self, RunId, Worker, worker_id};
use indigofold::api::{Scope, WorkerId};
use indigofold_core::engine::Engine;
use indigofold_core::metrics::Metrics;
use indigofold_core::{AttemptId, CoreInput, JobId, Settings};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};

mod clients;
mod discovery;
mod event_queue;
mod events;
mod faults;
mod schedulers;
mod workers;

use clients::{ClientJob, ClientRequest};
use discovery::DiscoveredWorker;
use event_queue::EventQueue;
use events::Event;
use schedulers::{Action, DecisionCore, Scheduler};

/// Schedulers answer a job this long before its client's deadline, as the real program does; in microseconds.
const ANSWER_MARGIN: Micros = 40_000;
/// An attempt without an acknowledgement counts as unacknowledged after this time, as in the real program; in microseconds.
const ACKNOWLEDGEMENT_TIMEOUT: Micros = 250_000;
/// A discovery watch without changes returns an empty response after this time, in microseconds.
const WATCH_TIMEOUT: Micros = 4_000_000;
/// A probe without a response fails after this time, in microseconds.
const PROBE_TIMEOUT: Micros = 250_000;
/// Maximum age of a worker's load report before it is renewed, in microseconds.
const REPORT_MAX_AGE: Micros = 500_000;
/// Upper bound of the time after which a scheduler notices a refused connection, in microseconds.
const CONNECT_TIMEOUT: Micros = 200_000;
/// Number of arrivals between two calls of the progress callback.
const PROGRESS_INTERVAL: u64 = 4096;

/// How a replay treats retries, in particular those of a recording.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Retries {
    /// The client model generates retries; recorded ones are ignored.
    #[default]
    Model,
    /// Recorded retries are sent at their recorded times.
    Recorded,
    /// No retries are sent.
    None,
}

/// A request as its scheduler's access log would record it.
#[derive(Clone, Debug)]
pub struct LoggedRequest<'a> {
    /// The job that the request belongs to.
    pub arrival: &'a Arrival,
    /// Number of the retry; 0 for the job's first try.
    pub retry: u32,
    /// Index of the scheduler.
    pub scheduler: u32,
    /// When the request arrived at the scheduler.
    pub from: Micros,
    /// When the scheduler answered, or the client disconnected.
    pub to: Micros,
    /// The HTTP status; `None`: the client disconnected before a response.
    pub status: Option<u16>,
}

/// The result of a run. The serialised names must stay those of stored results.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The service metrics of the run.
    pub outcome: Outcome,
    /// Breaches of the rules that the checkers found.
    pub verdict: Verdict,
    /// Number of events handled in virtual time, or of observations recorded on sockets.
    pub events: u64,
    /// Number of fetches from the object store.
    #[serde(default)]
    pub fetches: u64,
    /// Number of scheduler log lines by text, with digits removed so that lines of one kind are counted together.
    #[serde(rename = "notes")]
    pub scheduler_messages: BTreeMap<String, u64>,
}

/// An attempt from the time it is sent until its scheduler learns how it ended.
struct RunInProgress {
    scheduler: u32,
    attempt: AttemptId,
    worker: u32,
    work_item: worker::Job,
    /// Whether the scheduler has received a message from the worker about this attempt.
    acknowledged: bool,
}

/// A replay of a scenario in virtual time.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    seed: u64,
    retries: Retries,
    /// Whether the policy sees the true state of all workers.
    uses_true_state: bool,
    now: Micros,
    queue: EventQueue,
    handled_events: u64,
    network_rng: Pcg64Mcg,
    schedulers: Vec<Scheduler>,
    /// Number of requests sent so far by zone, for round-robin over the schedulers of the zone.
    zone_turns: Vec<u32>,
    scheduler_messages: BTreeMap<String, u64>,
    workers: Vec<Worker>,
    worker_numbers: FxHashMap<WorkerId, u32>,
    /// When the next timer event of each worker is due.
    worker_timers: Vec<Option<Micros>>,
    /// The last load report of each worker, with the time at which it was made.
    load_reports: Vec<(Micros, worker::Report)>,
    discovered: Vec<DiscoveredWorker>,
    client_jobs: Vec<ClientJob>,
    free_client_jobs: Vec<u32>,
    requests: FxHashMap<JobId, ClientRequest>,
    next_job: JobId,
    runs: FxHashMap<RunId, RunInProgress>,
    /// Run ids of attempts that have neither ended nor been cancelled.
    run_ids: FxHashMap<AttemptId, RunId>,
    next_run_id: RunId,
    store: Arc<Mutex<ObjectStore>>,
    /// Duration of a fetch without contention, in microseconds.
    fetch_time: Micros,
    service: Service,
    checker: Checker<'a>,
    /// Reused to avoid allocations.
    action_buffer: Vec<Action>,
    /// Reused to avoid allocations.
    update_buffer: Vec<worker::Event>,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation whose schedulers run the real engine and module.
    ///
    /// # Errors
    /// The scenario contains settings that the scheduler rejects.
    pub fn new(scenario: &'a Scenario, seed: u64, retries: Retries) -> Result<Self, ReplayError> {
        Self::with_policy(scenario, seed, retries, Policy::Module)
    }

    /// Creates a simulation whose schedulers follow this policy.
    ///
    /// # Errors
    /// The scenario contains settings that the scheduler rejects.
    pub fn with_policy(
        scenario: &'a Scenario,
        seed: u64,
        retries: Retries,
        policy: Policy,
    ) -> Result<Self, ReplayError> {
        let mut network_rng = draw(seed, u64::MAX - 1, 0x9047d);
        let things = scenario.machines.things.as_ref();
        let store = ObjectStore::new(things.map_or(1.0, |t| t.at_once));
        let store = Arc::new(Mutex::new(store));
        let workers = new_workers(scenario, &store);
        let mut simulation = Simulation {
            scenario,
            seed,
            retries,
            uses_true_state: policy.knows_all(),
            now: scenario.from(),
            queue: EventQueue::default(),
            handled_events: 0,
            schedulers: new_schedulers(scenario, policy, &mut network_rng)?,
            network_rng,
            zone_turns: vec![0; scenario.zones.len()],
            scheduler_messages: BTreeMap::new(),
            worker_numbers: (0..scenario.workers()).map(|w| (worker_id(w), w)).collect(),
            worker_timers: vec![None; workers.len()],
            load_reports: vec![(0, worker::Report::default()); workers.len()],
            discovered: vec![DiscoveredWorker::ACTIVE; workers.len()],
            workers,
            client_jobs: Vec::new(),
            free_client_jobs: Vec::new(),
            requests: FxHashMap::default(),
            next_job: 1,
            runs: FxHashMap::default(),
            run_ids: FxHashMap::default(),
            next_run_id: 1,
            store,
            fetch_time: things.map_or(0.0, |t| t.fetch * scenario.mean_work() as f64) as Micros,
            service: Service::new(scenario),
            checker: Checker::new(scenario),
            action_buffer: Vec::new(),
            update_buffer: Vec::new(),
        };
        simulation.schedule_initial_events();
        Ok(simulation)
    }

    /// Schedules the faults of the scenario, and gives each scheduler its initial membership and watch.
    fn schedule_initial_events(&mut self) {
        let from = self.now;
        for (n, fault) in self.scenario.faults.iter().enumerate() {
            let fault_at = from + (fault.at_s * 1e6) as Micros;
            self.schedule(fault_at, Event::FaultBegins { fault: n as u32 });
        }
        for scheduler in 0..self.scenario.schedulers {
            let entries = self.membership();
            self.notify_scheduler(scheduler, CoreInput::Membership(Scope::Cached, entries));
            self.schedule(from + WATCH_TIMEOUT, Event::WatchTimeout { scheduler });
        }
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.queue.push(at, event);
    }

    /// Draws a network delay around a mean in milliseconds; returns microseconds.
    fn network_delay(&mut self, mean_ms: f64) -> Micros {
        let jitter = 1.0 + self.scenario.network.jitter * (2.0 * unit(&mut self.network_rng) - 1.0);
        (mean_ms * 1e3 * jitter).max(1.0) as Micros
    }

    /// Draws the one-way delay of a message between a scheduler and a worker, in either direction.
    fn delay_to_worker(&mut self, scheduler: u32, worker: u32) -> Micros {
        let network = &self.scenario.network;
        let zone = self.schedulers[scheduler as usize].zone;
        let mean_ms = if zone == self.scenario.zone_of(worker) {
            network.same_ms
        } else {
            network.cross_ms
        };
        self.network_delay(mean_ms)
    }

    /// Plays all arrivals, until every job that they start has ended. `log` receives each request once it has ended;
    /// `progress` receives the number of an arrival every `PROGRESS_INTERVAL` arrivals.
    ///
    /// # Errors
    /// An arrival cannot be read or generated.
    pub fn play(
        mut self,
        mut arrivals: impl Iterator<Item = Result<Arrival, ReplayError>>,
        mut log: impl FnMut(LoggedRequest<'_>),
        mut progress: impl FnMut(u64),
    ) -> Result<Run, ReplayError> {
        let mut next = arrivals.next().transpose()?;
        if let Some(first) = &next {
            self.schedule(first.at.max(self.now), Event::Arrival);
        }
        while let Some((at, event)) = self.queue.pop() {
            if next.is_none() && self.is_idle() {
                break;
            }
            self.now = at;
            self.handled_events += 1;
            if event != Event::Arrival {
                self.handle_event(event, &mut log);
                continue;
            }
            let Some(arrival) = next.take() else { continue };
            next = arrivals.next().transpose()?;
            if let Some(next) = &next {
                self.schedule(next.at.max(self.now), Event::Arrival);
            }
            if arrival.number.is_multiple_of(PROGRESS_INTERVAL) {
                progress(arrival.number);
            }
            self.handle_arrival(arrival);
        }
        Ok(self.into_run())
    }

    /// Whether no job is left. The loop must then stop, as recurring events such as watches never end.
    fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.runs.is_empty() && self.all_client_jobs_ended()
    }

    fn into_run(self) -> Run {
        let store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        Run {
            outcome: self.service.outcome(),
            verdict: self.checker.finish(self.now),
            events: self.handled_events,
            fetches: store.fetches(),
            scheduler_messages: self.scheduler_messages,
        }
    }
}

fn new_workers(scenario: &Scenario, store: &Arc<Mutex<ObjectStore>>) -> Vec<Worker> {
    let things = scenario.machines.things.as_ref();
    let worker = |n| {
        let cache = things.map(|t| ObjectCache::new(store.clone(), t.kept as usize));
        let kind = &scenario.kinds[scenario.kind_of(n)];
        Worker::new(kind, scenario.speed_of(n)).with_order_and_cache(scenario.machines.order, cache)
    };
    (0..scenario.workers()).map(worker).collect()
}

/// Creates all schedulers, each with its own seed drawn from `rng`.
fn new_schedulers(
    scenario: &Scenario,
    policy: Policy,
    rng: &mut Pcg64Mcg,
) -> Result<Vec<Scheduler>, ReplayError> {
    let mut schedulers = Vec::new();
    for number in 0..scenario.schedulers {
        let module = scenario.site(number)?.settings;
        let seed = (unit(rng) * 1e18) as u64;
        let core = match policy {
            Policy::Module => {
                let settings = Settings {
                    module,
                    seed,
                    answer_margin: ANSWER_MARGIN,
                };
                let metrics = Rc::new(Metrics::default());
                let engine = Engine::new(settings, scenario.from(), metrics);
                DecisionCore::Engine(Box::new(engine))
            }
            baseline => {
                let scheduler = BaselineScheduler::new(baseline, module, seed, ANSWER_MARGIN);
                DecisionCore::Baseline(Box::new(scheduler))
            }
        };
        let (zone, workers) = (scenario.zone_of(number), scenario.workers() as usize);
        schedulers.push(Scheduler::new(core, zone, workers));
    }
    Ok(schedulers)
}

//! The ground in virtual time: the scheduler's own engine and module, an emulated network, the same job workers and clients
//! as on sockets. One queue of events; the same seed gives the same result, bit for bit.

use crate::baseline::{Plain, Policy};
use crate::check::{Checker, Seen, Verdict};
use crate::client::{Said, again, draw, unit};
use crate::load::Arrival;
use crate::object_store::{Shelf, Store};
use crate::scenario::{Micros, Scenario, What};
use crate::service::{Counted, End, Outcome, Service};
use crate::worker::{self, Offer, Ticket, Worker, id};
use indigofold::api::{Entry, Load, Request, Scope, Status, WorkerId, WorkerState};
use indigofold::config::subject;
use indigofold::core::engine::Engine;
use indigofold::core::metrics::Metrics;
use indigofold::core::{
    Answer, Attempt, AttemptId, CoreInput, GivenUp, JobId, MembershipRequest, Reply, Settings,
    Transport,
};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};

mod clients;
mod events;
mod schedulers;
mod workers;

use clients::{Trip, Try};
use events::*;
use schedulers::{Act, Mind, Scheduler, Wants};

/// A job is answered this long before its client's time is up, as in the program.
const EARLY: Micros = 40_000;
/// A machine says within this time of an attempt that it took it, as in the program.
const HEARD: Micros = 250_000;
/// An idle connection is not used again after so long.
const IDLE: Micros = 3_000_000;
/// Between two empty answers of discovery.
const WATCH: Micros = 4_000_000;
/// A probe that is not answered has failed after so long.
const PROBE: Micros = 250_000;
/// A job worker's load report is so old at the most.
const REPORT: Micros = 500_000;
/// A refused connection is known of after so long at the most.
const DIAL: Micros = 200_000;

/// What becomes of a recording's retries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Retries {
    /// The client model makes its own.
    #[default]
    Model,
    /// They are sent when they were sent.
    Recorded,
    /// There are none.
    None,
}

/// A try as the access log of its scheduler would have it.
#[derive(Clone, Debug)]
pub struct Logged<'a> {
    /// The job.
    pub arrival: &'a Arrival,
    /// Its try, from 0.
    pub tried: u32,
    /// The scheduler.
    pub scheduler: u32,
    /// When its request had come.
    pub from: Micros,
    /// When the scheduler had answered, or the client had left.
    pub to: Micros,
    /// The status; `None`: the client left.
    pub status: Option<u16>,
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The figures.
    pub outcome: Outcome,
    /// The rules.
    pub verdict: Verdict,
    /// Events that the ground went through.
    pub events: u64,
    /// Fetches from the store.
    #[serde(default)]
    pub fetches: u64,
    /// Lines that schedulers noted, by text without numbers.
    pub notes: std::collections::BTreeMap<String, u64>,
}

/// An attempt on its way or at a job worker.
struct Out {
    scheduler: u32,
    job: JobId,
    number: u32,
    worker: u32,
    asks: worker::Job,
    heard: bool,
    ended: bool,
}

/// The ground.
pub struct Ground<'a> {
    scenario: &'a Scenario,
    seed: u64,
    now: Micros,
    seq: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, Ev)>>,
    rng: Pcg64Mcg,
    schedulers: Vec<Scheduler>,
    workers: Vec<Worker>,
    stepped: Vec<Option<Micros>>, // when each job worker is to be stepped
    reports: Vec<(Micros, worker::Report)>,
    listed: Vec<(WorkerState, Micros)>, // discovery's view
    trips: Vec<Trip>,
    free_trips: Vec<u32>,
    tries: FxHashMap<JobId, Try>,
    outs: FxHashMap<Ticket, Out>,
    attempts: FxHashMap<AttemptId, Ticket>, // those that may be given up
    store: Arc<Mutex<Store>>,
    fetch: Micros,
    knows_all: bool,
    next_job: JobId,
    next_ticket: Ticket,
    turn: Vec<u32>, // of each zone's schedulers
    numbers: FxHashMap<WorkerId, u32>,
    service: Service,
    checker: Checker<'a>,
    retries: Retries,
    events: u64,
    notes: std::collections::BTreeMap<String, u64>,
    acts: Vec<Act>,
    happened: Vec<worker::Event>,
}

impl<'a> Ground<'a> {
    /// A ground before the first arrival.
    ///
    /// # Errors
    /// What the scheduler does not take of the scenario.
    pub fn new(scenario: &'a Scenario, seed: u64, retries: Retries) -> Result<Self, String> {
        Self::with(scenario, seed, retries, Policy::Module)
    }

    /// The same, with schedulers that go by this rule.
    ///
    /// # Errors
    /// What the scheduler does not take of the scenario.
    pub fn with(
        scenario: &'a Scenario,
        seed: u64,
        retries: Retries,
        policy: Policy,
    ) -> Result<Self, String> {
        let from = scenario.from();
        let mut rng = draw(seed, u64::MAX - 1, 0x9047d);
        let things = scenario.machines.things.as_ref();
        let store = Arc::new(Mutex::new(Store::new(things.map_or(1.0, |t| t.at_once))));
        let fetch = things.map_or(0.0, |t| t.fetch * scenario.mean_work() as f64) as Micros;
        let worker = |n| {
            let shelf = things.map(|t| Shelf::new(store.clone(), t.kept as usize));
            let worker = Worker::new(&scenario.kinds[scenario.kind_of(n)], scenario.speed_of(n));
            worker.serving(scenario.machines.order, shelf)
        };
        let workers: Vec<Worker> = (0..scenario.workers()).map(worker).collect();
        let mut schedulers = Vec::new();
        for me in 0..scenario.schedulers {
            let site = scenario.site(me)?;
            let seed = (unit(&mut rng) * 1e18) as u64;
            let mind = match policy {
                Policy::Module => {
                    let settings = Settings {
                        module: site.settings,
                        seed,
                        answer_margin: EARLY,
                    };
                    Mind::Engine(Box::new(Engine::new(
                        settings,
                        from,
                        Rc::new(Metrics::default()),
                    )))
                }
                plain => Mind::Plain(Box::new(Plain::new(plain, site.settings, seed, EARLY))),
            };
            let idle = vec![(0, 0); workers.len()];
            let (wants, zone) = (Rc::new(Wants::default()), scenario.zone_of(me));
            schedulers.push(Scheduler {
                mind,
                wants,
                wake: None,
                watching: false,
                zone,
                idle,
            });
        }
        let mut ground = Ground {
            scenario,
            seed,
            now: from,
            seq: 0,
            queue: BinaryHeap::new(),
            rng,
            schedulers,
            stepped: vec![None; workers.len()],
            reports: vec![(0, worker::Report::default()); workers.len()],
            listed: vec![(WorkerState::Active, 0); workers.len()],
            workers,
            trips: Vec::new(),
            free_trips: Vec::new(),
            tries: FxHashMap::default(),
            outs: FxHashMap::default(),
            attempts: FxHashMap::default(),
            store,
            fetch,
            knows_all: policy.knows_all(),
            next_job: 1,
            next_ticket: 1,
            turn: vec![0; scenario.zones.len()],
            numbers: (0..scenario.workers()).map(|w| (id(w), w)).collect(),
            service: Service::new(scenario),
            checker: Checker::new(scenario),
            retries,
            events: 0,
            notes: Default::default(),
            acts: Vec::new(),
            happened: Vec::new(),
        };
        for (n, trouble) in scenario.troubles.iter().enumerate() {
            ground.at(from + (trouble.at_s * 1e6) as Micros, Ev::Trouble(n as u32));
        }
        for s in 0..scenario.schedulers {
            let entries = (0..scenario.workers()).map(|w| ground.entry(w)).collect();
            ground.tell(s, CoreInput::Membership(Scope::Cached, entries));
            ground.at(from + WATCH, Ev::Watch(s));
        }
        Ok(ground)
    }

    fn at(&mut self, at: Micros, ev: Ev) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq, ev)));
    }

    fn entry(&self, w: u32) -> Entry {
        let (state, ready_at) = self.listed[w as usize];
        let (kind, zone) = (self.scenario.kind_of(w) as u32, self.scenario.zone_of(w));
        Entry {
            worker: id(w),
            zone,
            kind,
            cell: 0,
            state,
            power: 1.0,
            ready_at,
        }
    }

    /// A delay on the network.
    fn delay(&mut self, ms: f64) -> Micros {
        let jitter = 1.0 + self.scenario.network.jitter * (2.0 * unit(&mut self.rng) - 1.0);
        (ms * 1e3 * jitter).max(1.0) as Micros
    }

    fn way(&mut self, scheduler: u32, worker: u32) -> Micros {
        let same = self.schedulers[scheduler as usize].zone == self.scenario.zone_of(worker);
        let network = &self.scenario.network;
        let ms = if same {
            network.same_ms
        } else {
            network.cross_ms
        };
        self.delay(ms)
    }

    /// Plays arrivals to their end, and everything that follows from them.
    ///
    /// # Errors
    /// What an arrival could not be made of.
    pub fn play(
        mut self,
        mut arrivals: impl Iterator<Item = Result<Arrival, String>>,
        mut log: impl FnMut(Logged<'_>),
        mut progress: impl FnMut(u64),
    ) -> Result<Run, String> {
        let mut next = arrivals.next().transpose()?;
        if let Some(first) = &next {
            self.at(first.at.max(self.now), Ev::Arrives);
        }
        while let Some(Reverse((at, _, ev))) = self.queue.pop() {
            // Once there are no jobs left, what recurs by itself goes on for ever.
            if next.is_none()
                && self.tries.is_empty()
                && self.outs.is_empty()
                && self.all_trips_over()
            {
                break;
            }
            self.now = at;
            self.events += 1;
            if ev == Ev::Arrives {
                let Some(arrival) = next.take() else { continue };
                next = arrivals.next().transpose()?;
                if let Some(next) = &next {
                    self.at(next.at.max(self.now), Ev::Arrives);
                }
                if arrival.number.is_multiple_of(4096) {
                    progress(arrival.number);
                }
                self.arrives(arrival);
            } else {
                self.event(ev, &mut log);
            }
        }
        let fetches = self
            .store
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .fetches();
        let (outcome, verdict) = (self.service.outcome(), self.checker.finish(self.now));
        Ok(Run {
            outcome,
            verdict,
            events: self.events,
            fetches,
            notes: self.notes,
        })
    }
}

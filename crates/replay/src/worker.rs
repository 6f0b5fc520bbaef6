//! The worker model: cores, slots, one queue in order of arrival, a warm-up after each start, and stalls. No clock and no
//! I/O: the owner offers jobs, passes the time, asks when something is due, and takes the events.
//!
//! A job runs on as many cores as it has slots. A worker that is warming up runs at a fraction of its speed that grows evenly
//! with time and with the work done, from `initial_capacity` to 1; the fraction is read when a job starts.

use crate::object_store::ObjectCache;
use crate::scenario::{Kind, Micros, Order};
use std::collections::VecDeque;

/// A run of a job at a worker, by a number that the owner chooses.
pub type RunId = u64;

/// A worker's id as schedulers know it: any mapping will do, as long as all use the same.
pub fn id(worker: u32) -> u32 {
    worker.wrapping_mul(0x9e37_79b1) ^ 0x5f
}

/// A worker's answer to an offered job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It runs or waits.
    Accepted,
    /// The queue is full; it never ran.
    Full,
}

/// Something that happened to a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A job began.
    Started(RunId),
    /// The part of it that is done, in thousandths.
    Progress(RunId, u32),
    /// It is done.
    Done(RunId),
    /// It was returned before it started.
    Returned(RunId),
    /// It was lost as the process died.
    Lost(RunId),
}

impl Event {
    /// The run that it is about.
    pub fn run_id(self) -> RunId {
        match self {
            Event::Started(run_id)
            | Event::Progress(run_id, _)
            | Event::Done(run_id)
            | Event::Returned(run_id)
            | Event::Lost(run_id) => run_id,
        }
    }
}

/// A job that is offered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Job {
    /// Its run.
    pub run_id: RunId,
    /// Its running time at speed 1.
    pub work: Micros,
    /// Slots that it occupies.
    pub slots: u32,
    /// Higher ones start first where the order is by priority.
    pub priority: i32,
    /// The object that it needs, and how long a fetch of that takes by itself, in microseconds.
    pub thing: Option<(u64, Micros)>,
}

impl Job {
    /// Its running time at speed 1, times its slots.
    pub fn total_work(&self) -> Micros {
        self.work * u64::from(self.slots)
    }
}

/// Work that is left of a run. It is done evenly from a moment on.
#[derive(Clone, Copy)]
struct RemainingWork {
    since: Micros,
    /// Microseconds at speed 1, at that moment.
    work: f64,
    speed: f64,
}

impl RemainingWork {
    fn at(&self, now: Micros) -> f64 {
        (self.work - now.saturating_sub(self.since) as f64 * self.speed).max(0.0)
    }
}

struct Run {
    run_id: RunId,
    slots: u32,
    began: Micros,
    work: f64,
    remaining: RemainingWork,
    ends: Micros,
    next_progress_at: Micros,
}

impl Run {
    /// The fraction of it that is done.
    fn done(&self, now: Micros) -> f64 {
        1.0 - self.remaining.at(now) / self.work.max(1.0)
    }

    /// From now on it runs at `factor` times its speed.
    fn change_speed(&mut self, now: Micros, factor: f64) {
        let RemainingWork { since, speed, .. } = self.remaining;
        self.remaining = RemainingWork {
            since: now.max(since),
            work: self.remaining.at(now),
            speed: speed * factor,
        };
        let duration = (self.remaining.work / self.remaining.speed).max(1.0);
        self.ends = self.remaining.since + duration as Micros;
    }

    /// Nothing of it is done between two times. What is stalled already is put off by what comes on top only.
    fn stall(&mut self, from: Micros, until: Micros) {
        let work = self.work * (1.0 - self.done(from));
        self.remaining = RemainingWork {
            since: self.remaining.since.max(from) + (until - from),
            work: work.min(self.remaining.work),
            speed: self.remaining.speed,
        };
        self.ends += until - from;
        self.next_progress_at += until - from;
    }
}

/// A worker's load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Jobs that wait.
    pub queue: u32,
    /// Jobs that wait or run.
    pub inflight: u32,
    /// Free slots.
    pub free: u32,
}

/// Between two progress events of a run, in microseconds.
const PROGRESS_INTERVAL: Micros = 1_000_000;

/// A worker.
pub struct Worker {
    cores: u32,
    speed: f64,
    queue_capacity: u32,
    initial_capacity: f64,
    warm_up_time: Micros,
    /// 0: long ago.
    started_at: Micros,
    /// Since its start, in microseconds at speed 1.
    completed_work: f64,
    running: Vec<Run>,
    queue: VecDeque<Job>,
    order: Order,
    cache: Option<ObjectCache>,
    /// The fraction of its speed that it has now.
    pace: f64,
    /// Free slots.
    free: u32,
    stalled_until: Micros,
    up: bool,
    draining: bool,
    events: Vec<Event>,
}

impl Worker {
    /// A worker of this kind and speed, which is warm.
    pub fn new(kind: &Kind, speed: f64) -> Self {
        Worker {
            cores: kind.cores,
            speed,
            queue_capacity: (f64::from(kind.cores) * kind.queue_per_core) as u32,
            initial_capacity: kind.initial_capacity,
            warm_up_time: (kind.warm_s * 1e6) as Micros,
            started_at: 0,
            completed_work: f64::MAX,
            running: Vec::new(),
            queue: VecDeque::new(),
            order: Order::InOrder,
            cache: None,
            pace: 1.0,
            free: kind.cores,
            stalled_until: 0,
            up: true,
            draining: false,
            events: Vec::new(),
        }
    }

    /// The same, with an order of starting jobs and a cache of what they need.
    pub fn serving(self, order: Order, cache: Option<ObjectCache>) -> Self {
        Worker {
            order,
            cache,
            ..self
        }
    }

    /// Whether its process runs.
    pub fn up(&self) -> bool {
        self.up
    }

    /// Whether it is stalled now.
    pub fn stalled(&self, now: Micros) -> bool {
        now < self.stalled_until
    }

    /// When its last stall ends.
    pub fn stalled_until(&self) -> Micros {
        self.stalled_until
    }

    /// When its process last started; 0: long ago.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// The fraction of its capacity that it has reached in its warm-up.
    pub fn warmth(&self, now: Micros) -> f64 {
        if self.started_at == 0 || self.warm_up_time == 0 {
            return 1.0;
        }
        let by_time = now.saturating_sub(self.started_at) as f64 / self.warm_up_time as f64;
        // Half the work that a warm worker could do in the warm-up time warms it, too.
        let by_work = self.completed_work
            / (f64::from(self.cores) * self.speed * self.warm_up_time as f64 * 0.5);
        (self.initial_capacity + (1.0 - self.initial_capacity) * by_time.max(by_work)).min(1.0)
    }

    /// Work that it can do in a microsecond now, at speed 1.
    pub fn capacity(&self, now: Micros) -> f64 {
        f64::from(self.cores) * self.speed * self.pace * self.warmth(now)
    }

    /// Its capacity as long as it is warming up; `None` once it is warm, or has ended.
    pub fn warming_capacity(&self, now: Micros) -> Option<f64> {
        (self.up && self.warmth(now) < 1.0).then(|| self.capacity(now))
    }

    /// Offers a job.
    pub fn offer(&mut self, now: Micros, job: Job) -> Offer {
        if self.draining || self.queue.len() as u32 >= self.queue_capacity {
            return Offer::Full;
        }
        self.queue.push_back(Job {
            slots: job.slots.clamp(1, self.cores),
            ..job
        });
        self.start_waiting(now);
        Offer::Accepted
    }

    /// A job is cancelled: it stops, or never starts.
    pub fn cancel(&mut self, now: Micros, run_id: RunId) {
        self.queue.retain(|w| w.run_id != run_id);
        if let Some(n) = self.running.iter().position(|r| r.run_id == run_id) {
            self.free += self.running.swap_remove(n).slots;
        }
        self.start_waiting(now);
    }

    /// From now on it has this fraction of its speed.
    pub fn set_pace(&mut self, now: Micros, pace: f64) {
        let factor = pace / self.pace;
        self.pace = pace;
        for run in &mut self.running {
            run.change_speed(now, factor);
        }
    }

    /// Microseconds until a job offered now would be done, by the true state: what runs and waits is spread evenly over
    /// its cores. `None`: it takes no job, or is stalled.
    pub fn would_end(&self, now: Micros, job: &Job) -> Option<f64> {
        if !self.up || self.draining || self.stalled(now) {
            return None;
        }
        let capacity = self.capacity(now);
        let running = self
            .running
            .iter()
            .map(|r| r.work * (1.0 - r.done(now)) * f64::from(r.slots));
        let waiting = self.queue.iter().map(|job| job.total_work() as f64);
        let fits = job.slots <= self.free && self.queue.is_empty();
        let wait = if fits {
            0.0
        } else {
            running.chain(waiting).sum::<f64>() / capacity
        };
        let fetch = match (&self.cache, job.thing) {
            (Some(cache), Some((thing, takes))) if !cache.contains(thing) => takes as f64,
            _ => 0.0,
        };
        Some(wait + fetch + job.work as f64 / (capacity / f64::from(self.cores)))
    }

    /// It is stalled from now on until then: nothing starts, ends or is reported.
    pub fn stall(&mut self, now: Micros, until: Micros) {
        let from = self.stalled_until.max(now);
        if until <= from {
            return;
        }
        for run in &mut self.running {
            run.stall(from, until);
        }
        self.stalled_until = until;
    }

    /// The process dies.
    pub fn crash(&mut self) {
        let lost = self
            .running
            .drain(..)
            .map(|r| r.run_id)
            .chain(self.queue.drain(..).map(|w| w.run_id));
        self.events.extend(lost.map(Event::Lost));
        (self.up, self.free, self.stalled_until) = (false, self.cores, 0);
        self.cache.iter_mut().for_each(ObjectCache::clear);
    }

    /// A new process starts, and warms up.
    pub fn restart(&mut self, now: Micros) {
        (self.up, self.draining, self.started_at, self.completed_work) = (true, false, now, 0.0);
        self.free = self.cores;
    }

    /// It takes nothing new, and returns what has not started.
    pub fn drain(&mut self) {
        self.draining = true;
        self.events
            .extend(self.queue.drain(..).map(|w| Event::Returned(w.run_id)));
    }

    /// When it must be stepped next.
    pub fn due(&self) -> Option<Micros> {
        if !self.up {
            return None;
        }
        let run = self
            .running
            .iter()
            .map(|r| r.ends.min(r.next_progress_at))
            .min();
        let start = self.next_to_start().map(|_| self.stalled_until);
        run.into_iter().chain(start).min()
    }

    /// Does what is due.
    pub fn step(&mut self, now: Micros) {
        if now < self.stalled_until || !self.up {
            return;
        }
        let mut n = 0;
        while n < self.running.len() {
            let run = &mut self.running[n];
            if run.ends <= now {
                let run = self.running.swap_remove(n);
                self.free += run.slots;
                self.completed_work +=
                    (run.ends - run.began) as f64 * f64::from(run.slots) * self.speed;
                self.events.push(Event::Done(run.run_id));
                continue;
            }
            if run.next_progress_at <= now {
                run.next_progress_at += PROGRESS_INTERVAL;
                // Also while it fetches: the job makes progress, though no work of it is done.
                let thousandths = (run.done(now) * 1000.0 + 0.5) as u32;
                self.events.push(Event::Progress(run.run_id, thousandths));
            }
            n += 1;
        }
        self.start_waiting(now);
    }

    /// The waiting job that starts next, if it fits now.
    fn next_to_start(&self) -> Option<usize> {
        let fits = |n: &usize| self.queue[*n].slots <= self.free;
        match self.order {
            Order::InOrder => (!self.queue.is_empty()).then_some(0).filter(fits),
            Order::WhateverFits => (0..self.queue.len()).find(fits),
            Order::Priority => {
                let first = |n: &usize| (std::cmp::Reverse(self.queue[*n].priority), *n);
                (0..self.queue.len()).min_by_key(first).filter(fits)
            }
        }
    }

    /// Starts what fits, in its order.
    fn start_waiting(&mut self, now: Micros) {
        if now < self.stalled_until {
            return;
        }
        let speed = self.speed * self.pace * self.warmth(now);
        while let Some(job) = self.next_to_start().and_then(|n| self.queue.remove(n)) {
            self.free -= job.slots;
            let fetch = match (&mut self.cache, job.thing) {
                (Some(cache), Some((thing, alone))) => cache.access(now, thing, alone),
                _ => 0,
            };
            let (work, from) = (job.work as f64, now + fetch);
            let ends = from + (work / speed).max(1.0) as Micros;
            self.running.push(Run {
                run_id: job.run_id,
                slots: job.slots,
                began: now,
                work,
                remaining: RemainingWork {
                    since: from,
                    work,
                    speed,
                },
                ends,
                next_progress_at: now + PROGRESS_INTERVAL,
            });
            self.events.push(Event::Started(job.run_id));
        }
    }

    /// Moves the events since the last call into `into`.
    pub fn take_events(&mut self, into: &mut Vec<Event>) {
        into.append(&mut self.events);
    }

    /// Its load now.
    pub fn report(&self) -> Report {
        let (queue, running) = (self.queue.len() as u32, self.running.len() as u32);
        Report {
            queue,
            inflight: queue + running,
            free: self.free,
        }
    }
}

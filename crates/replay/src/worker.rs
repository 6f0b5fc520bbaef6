//! The worker model: cores, slots, one queue, a warm-up after each start, and stalls. The model has no clock and does no
//! I/O: its owner offers jobs, passes the current time, calls [`Worker::step`] when [`Worker::due`] says so, and takes the
//! events.
//!
//! A job runs on as many cores as it has slots. A worker that is warming up runs at a fraction of its speed that grows
//! linearly with time and with the work done, from `initial_capacity` to 1. The fraction is read when a job starts and does
//! not change while that job runs.

use crate::object_store::ObjectCache;
use crate::scenario::{Kind, Micros, Order};
use std::collections::VecDeque;

/// Identifies one run of a job at a worker; the owner of the worker chooses the number.
pub type RunId = u64;

/// The id by which schedulers know the worker with this index. The mapping is arbitrary, but all parts must use the same.
pub fn worker_id(worker: u32) -> u32 {
    worker.wrapping_mul(0x9e37_79b1) ^ 0x5f
}

/// A worker's response to an offered job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The job runs or waits in the queue.
    Accepted,
    /// The queue is full, or the worker drains; the job did not run.
    Full,
}

/// Something that happened to a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The job started.
    Started(RunId),
    /// The completed fraction of the work, in thousandths.
    Progress(RunId, u32),
    /// The job completed.
    Done(RunId),
    /// The draining worker returned the job before it started.
    Returned(RunId),
    /// The job was lost when the process crashed.
    Lost(RunId),
}

impl Event {
    /// The run that the event belongs to.
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

/// A job that is offered to a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Job {
    /// The run that this offer starts.
    pub run_id: RunId,
    /// Running time at speed 1, in microseconds.
    pub work: Micros,
    /// Number of slots that the job occupies.
    pub slots: u32,
    /// Jobs with a higher priority start first under [`Order::Priority`].
    pub priority: i32,
    /// The object that the job needs, and the duration of its fetch without contention, in microseconds.
    pub object: Option<(u64, Micros)>,
}

impl Job {
    /// Running time at speed 1 times the number of slots, in microseconds.
    pub fn total_work(&self) -> Micros {
        self.work * u64::from(self.slots)
    }
}

/// The remaining work of a run, which is done at a constant speed from `since` on.
#[derive(Clone, Copy)]
struct RemainingWork {
    since: Micros,
    /// Work that remains at `since`, in microseconds at speed 1.
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
    /// The completed fraction of the work, from 0 to 1.
    fn done(&self, now: Micros) -> f64 {
        1.0 - self.remaining.at(now) / self.work.max(1.0)
    }

    /// Multiplies the speed by `factor` from now on.
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

    /// Stops the run between two times. The caller starts `from` at the end of an earlier stall, so that overlapping stalls
    /// count once.
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
    /// Number of waiting jobs.
    pub queue: u32,
    /// Number of waiting and running jobs.
    pub inflight: u32,
    /// Number of free slots.
    pub free: u32,
}

/// Interval between two progress events of a run, in microseconds.
const PROGRESS_INTERVAL: Micros = 1_000_000;

/// The state of one worker.
pub struct Worker {
    cores: u32,
    speed: f64,
    queue_capacity: u32,
    initial_capacity: f64,
    warm_up_time: Micros,
    /// When the process last started; 0: before the simulation.
    started_at: Micros,
    /// Work done since the process started, in microseconds at speed 1.
    completed_work: f64,
    running: Vec<Run>,
    queue: VecDeque<Job>,
    order: Order,
    cache: Option<ObjectCache>,
    /// Factor on the speed; below 1 while a fault slows the worker down.
    speed_factor: f64,
    /// Number of free slots.
    free: u32,
    stalled_until: Micros,
    up: bool,
    draining: bool,
    events: Vec<Event>,
}

impl Worker {
    /// Creates a worker of this kind and speed that has already warmed up.
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
            speed_factor: 1.0,
            free: kind.cores,
            stalled_until: 0,
            up: true,
            draining: false,
            events: Vec::new(),
        }
    }

    /// Sets the order in which jobs start, and the cache of the objects that they need; `None`: jobs need no fetch.
    pub fn with_order_and_cache(self, order: Order, cache: Option<ObjectCache>) -> Self {
        Worker {
            order,
            cache,
            ..self
        }
    }

    /// Whether the process runs.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Whether the worker is stalled now.
    pub fn is_stalled(&self, now: Micros) -> bool {
        now < self.stalled_until
    }

    /// When the last stall ends; 0 if there was none since the process started.
    pub fn stalled_until(&self) -> Micros {
        self.stalled_until
    }

    /// When the process last started; 0: before the simulation.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// The fraction of the full capacity that the warm-up has reached; 1 once the worker is warm.
    pub fn capacity_fraction(&self, now: Micros) -> f64 {
        if self.started_at == 0 || self.warm_up_time == 0 {
            return 1.0;
        }
        let by_time = now.saturating_sub(self.started_at) as f64 / self.warm_up_time as f64;
        // The warm-up also completes once the worker has done half the work that a warm one does in the warm-up time.
        let by_work = self.completed_work
            / (f64::from(self.cores) * self.speed * self.warm_up_time as f64 * 0.5);
        (self.initial_capacity + (1.0 - self.initial_capacity) * by_time.max(by_work)).min(1.0)
    }

    /// Work that all cores together can do in a microsecond now, in microseconds at speed 1.
    pub fn capacity(&self, now: Micros) -> f64 {
        f64::from(self.cores) * self.speed * self.speed_factor * self.capacity_fraction(now)
    }

    /// The capacity while the worker is warming up; `None` once it is warm or its process has ended.
    pub fn warming_capacity(&self, now: Micros) -> Option<f64> {
        (self.up && self.capacity_fraction(now) < 1.0).then(|| self.capacity(now))
    }

    /// Offers a job, which starts at once or waits in the queue.
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

    /// Cancels a run: a running job stops, a waiting one is removed from the queue.
    pub fn cancel(&mut self, now: Micros, run_id: RunId) {
        self.queue.retain(|w| w.run_id != run_id);
        if let Some(n) = self.running.iter().position(|r| r.run_id == run_id) {
            self.free += self.running.swap_remove(n).slots;
        }
        self.start_waiting(now);
    }

    /// Sets the factor on the speed, also for the jobs that are running.
    pub fn set_speed_factor(&mut self, now: Micros, speed_factor: f64) {
        let factor = speed_factor / self.speed_factor;
        self.speed_factor = speed_factor;
        for run in &mut self.running {
            run.change_speed(now, factor);
        }
    }

    /// Estimates the microseconds until a job offered now would be done, from the true state: running and waiting work is
    /// assumed to spread evenly over the cores. `None`: the worker takes no jobs, or is stalled.
    pub fn completion_estimate(&self, now: Micros, job: &Job) -> Option<f64> {
        if !self.up || self.draining || self.is_stalled(now) {
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
        let fetch = match (&self.cache, job.object) {
            (Some(cache), Some((object, fetch_time))) if !cache.contains(object) => {
                fetch_time as f64
            }
            _ => 0.0,
        };
        Some(wait + fetch + job.work as f64 / (capacity / f64::from(self.cores)))
    }

    /// Stalls the worker from now until `until`: no job starts or ends, and no event is reported.
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

    /// Crashes the process: all running and waiting jobs are lost, and the cache is emptied.
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

    /// Starts a new process, which has to warm up.
    pub fn restart(&mut self, now: Micros) {
        (self.up, self.draining, self.started_at, self.completed_work) = (true, false, now, 0.0);
        self.free = self.cores;
    }

    /// Drains the worker: it accepts no new jobs and returns those that have not started.
    pub fn drain(&mut self) {
        self.draining = true;
        self.events
            .extend(self.queue.drain(..).map(|w| Event::Returned(w.run_id)));
    }

    /// When [`Worker::step`] must be called next; `None` if nothing is pending or the process is down.
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

    /// Ends the runs that are due, reports progress, and starts waiting jobs.
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
                // Also reported during a fetch, with an unchanged fraction.
                let thousandths = (run.done(now) * 1000.0 + 0.5) as u32;
                self.events.push(Event::Progress(run.run_id, thousandths));
            }
            n += 1;
        }
        self.start_waiting(now);
    }

    /// Index of the waiting job that starts next; `None` if there is none or it does not fit into the free slots.
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

    /// Starts waiting jobs that fit, in the configured order.
    fn start_waiting(&mut self, now: Micros) {
        if now < self.stalled_until {
            return;
        }
        let speed = self.speed * self.speed_factor * self.capacity_fraction(now);
        while let Some(job) = self.next_to_start().and_then(|n| self.queue.remove(n)) {
            self.free -= job.slots;
            let fetch = match (&mut self.cache, job.object) {
                (Some(cache), Some((object, fetch_time))) => cache.access(now, object, fetch_time),
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

    /// Appends the events since the last call to `into`.
    pub fn take_events(&mut self, into: &mut Vec<Event>) {
        into.append(&mut self.events);
    }

    /// The current load.
    pub fn report(&self) -> Report {
        let (queue, running) = (self.queue.len() as u32, self.running.len() as u32);
        Report {
            queue,
            inflight: queue + running,
            free: self.free,
        }
    }
}

//! A job worker: cores, slots, one queue in order of arrival, a cold start, pauses and silence. No clock, no I/O: whoever
//! owns it hands it jobs and the time, asks when something is due, and takes what has happened.
//!
//! A job runs on as many cores as it has slots. A cold job worker runs at a share of its speed that grows evenly with the
//! work done, from `initial_capacity` to 1 at the latest after its warming time; the share is read when a job starts.

use crate::object_store::Shelf;
use crate::scenario::{Kind, Micros, Order};
use std::collections::VecDeque;

/// A job at a job worker, by a number that its owner chose.
pub type Ticket = u64;

/// A job worker's id as schedulers see it: any numbers will do, as long as all use the same.
pub fn id(worker: u32) -> u32 {
    worker.wrapping_mul(0x9e37_79b1) ^ 0x5f
}

/// What a job worker says of a job that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It runs or waits.
    Taken,
    /// There is no room; it never ran.
    Full,
}

/// What has happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A job began.
    Started(Ticket),
    /// So much of it is done, in thousandths.
    Progress(Ticket, u32),
    /// It is done.
    Done(Ticket),
    /// It was handed back unstarted.
    Returned(Ticket),
    /// It was lost as the process died.
    Lost(Ticket),
}

/// A job that is offered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Job {
    /// Its number.
    pub ticket: Ticket,
    /// Its running time at speed 1.
    pub work: Micros,
    /// Slots that it takes.
    pub slots: u32,
    /// Where the order goes by priority: higher ones first.
    pub priority: i32,
    /// What it needs, and how long a fetch of that takes by itself.
    pub thing: Option<(u64, Micros)>,
}

struct Run {
    ticket: Ticket,
    slots: u32,
    began: Micros,
    work: f64,
    /// Work left at a moment from which on it runs evenly, at this speed.
    left: (Micros, f64, f64),
    ends: Micros,
    next_note: Micros,
}

impl Run {
    /// Share of it that is done.
    fn done(&self, now: Micros) -> f64 {
        let (since, left, speed) = self.left;
        1.0 - (left - now.saturating_sub(since) as f64 * speed).max(0.0) / self.work.max(1.0)
    }

    /// It runs at so many times its speed from now on.
    fn speed_up(&mut self, now: Micros, by: f64) {
        let (since, left, speed) = self.left;
        let left = (left - now.saturating_sub(since) as f64 * speed).max(0.0);
        self.left = (now.max(since), left, speed * by);
        self.ends = self.left.0 + (left / self.left.2).max(1.0) as Micros;
    }
}

/// What it tells of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Jobs that wait.
    pub queue: u32,
    /// Jobs that it holds.
    pub inflight: u32,
    /// Free slots.
    pub free: u32,
}

/// Interval of progress notes.
const PROGRESS: Micros = 1_000_000;

/// The job worker.
pub struct Worker {
    cores: u32,
    speed: f64,
    room: u32,
    initial_capacity: f64,
    warm: Micros,
    born: Micros,
    done_work: f64, // since its start, in microseconds at speed 1
    running: Vec<Run>,
    queue: VecDeque<Job>,
    order: Order,
    shelf: Option<Shelf>,
    pace: f64, // share of its speed that it has now
    free: u32,
    still_until: Micros,
    up: bool,
    draining: bool,
    out: Vec<Event>,
}

impl Worker {
    /// One of this kind and speed, warm since long.
    pub fn new(kind: &Kind, speed: f64) -> Self {
        Worker {
            cores: kind.cores,
            speed,
            room: (f64::from(kind.cores) * kind.queue_per_core) as u32,
            initial_capacity: kind.initial_capacity,
            warm: (kind.warm_s * 1e6) as Micros,
            born: 0,
            done_work: f64::MAX,
            running: Vec::new(),
            queue: VecDeque::new(),
            order: Order::InOrder,
            shelf: None,
            pace: 1.0,
            free: kind.cores,
            still_until: 0,
            up: true,
            draining: false,
            out: Vec::new(),
        }
    }

    /// The same, serving in this order, and keeping what jobs need.
    pub fn serving(self, order: Order, shelf: Option<Shelf>) -> Self {
        Worker {
            order,
            shelf,
            ..self
        }
    }

    /// Is the process there?
    pub fn up(&self) -> bool {
        self.up
    }

    /// Does it say nothing now?
    pub fn still(&self, now: Micros) -> bool {
        now < self.still_until
    }

    /// Until when.
    pub fn still_until(&self) -> Micros {
        self.still_until
    }

    /// When its process last started; 0: long ago.
    pub fn born(&self) -> Micros {
        self.born
    }

    /// Share of its capacity that it has now.
    pub fn warmth(&self, now: Micros) -> f64 {
        if self.born == 0 || self.warm == 0 {
            return 1.0;
        }
        let by_time = now.saturating_sub(self.born) as f64 / self.warm as f64;
        // Work that a warm one would do in its warming time warms it.
        let by_work =
            self.done_work / (f64::from(self.cores) * self.speed * self.warm as f64 * 0.5);
        (self.initial_capacity + (1.0 - self.initial_capacity) * by_time.max(by_work)).min(1.0)
    }

    /// Work that it can do in a microsecond now, at speed 1.
    pub fn capacity(&self, now: Micros) -> f64 {
        f64::from(self.cores) * self.speed * self.pace * self.warmth(now)
    }

    /// Offers a job.
    pub fn offer(&mut self, now: Micros, job: Job) -> Offer {
        if self.draining || self.queue.len() as u32 >= self.room {
            return Offer::Full;
        }
        self.queue.push_back(Job {
            slots: job.slots.clamp(1, self.cores),
            ..job
        });
        self.start(now);
        Offer::Taken
    }

    /// A job is given up: it stops, or never starts.
    pub fn give_up(&mut self, now: Micros, ticket: Ticket) {
        self.queue.retain(|w| w.ticket != ticket);
        if let Some(n) = self.running.iter().position(|r| r.ticket == ticket) {
            self.free += self.running.swap_remove(n).slots;
        }
        self.start(now);
    }

    /// From now on it has this share of its speed.
    pub fn set_pace(&mut self, now: Micros, pace: f64) {
        let by = pace / self.pace;
        self.pace = pace;
        self.running
            .iter_mut()
            .for_each(|run| run.speed_up(now, by));
    }

    /// When a job offered now would be done, as who sees all can tell: what runs and waits is spread evenly over its
    /// cores. `None`: it is not there, or stands still.
    pub fn would_end(&self, now: Micros, job: &Job) -> Option<f64> {
        if !self.up || self.draining || self.still(now) {
            return None;
        }
        let capacity = self.capacity(now);
        let running = self
            .running
            .iter()
            .map(|r| r.work * (1.0 - r.done(now)) * f64::from(r.slots));
        let waiting = self
            .queue
            .iter()
            .map(|w| (w.work * u64::from(w.slots)) as f64);
        let fits = job.slots <= self.free && self.queue.is_empty();
        let wait = if fits {
            0.0
        } else {
            running.chain(waiting).sum::<f64>() / capacity
        };
        let fetch = match (&self.shelf, job.thing) {
            (Some(shelf), Some((thing, takes))) if !shelf.has(thing) => takes as f64,
            _ => 0.0,
        };
        Some(wait + fetch + job.work as f64 / (capacity / f64::from(self.cores)))
    }

    /// Stands still from now on until then: nothing starts, ends or is said.
    pub fn stand_still(&mut self, now: Micros, until: Micros) {
        let from = self.still_until.max(now);
        if until <= from {
            return;
        }
        for run in &mut self.running {
            // What stood still already is put off by what comes on top only.
            let left = run.work * (1.0 - run.done(from));
            run.left = (
                run.left.0.max(from) + (until - from),
                left.min(run.left.1),
                run.left.2,
            );
            run.ends += until - from;
            run.next_note += until - from;
        }
        self.still_until = until;
    }

    /// The process dies.
    pub fn crash(&mut self) {
        let lost = self
            .running
            .drain(..)
            .map(|r| r.ticket)
            .chain(self.queue.drain(..).map(|w| w.ticket));
        self.out.extend(lost.map(Event::Lost));
        (self.up, self.free, self.still_until) = (false, self.cores, 0);
        self.shelf.iter_mut().for_each(Shelf::clear);
    }

    /// A new process starts, cold.
    pub fn start_again(&mut self, now: Micros) {
        (self.up, self.draining, self.born, self.done_work) = (true, false, now, 0.0);
        self.free = self.cores;
    }

    /// It takes nothing new, and hands back what has not started.
    pub fn drain(&mut self) {
        self.draining = true;
        self.out
            .extend(self.queue.drain(..).map(|w| Event::Returned(w.ticket)));
    }

    /// When it must be stepped next.
    pub fn due(&self) -> Option<Micros> {
        if !self.up {
            return None;
        }
        let run = self.running.iter().map(|r| r.ends.min(r.next_note)).min();
        let start = self.next().map(|_| self.still_until);
        run.into_iter().chain(start).min()
    }

    /// Does what is due.
    pub fn step(&mut self, now: Micros) {
        if now < self.still_until || !self.up {
            return;
        }
        let mut n = 0;
        while n < self.running.len() {
            let run = &mut self.running[n];
            if run.ends <= now {
                let run = self.running.swap_remove(n);
                self.free += run.slots;
                self.done_work += (run.ends - run.began) as f64 * f64::from(run.slots) * self.speed;
                self.out.push(Event::Done(run.ticket));
                continue;
            }
            if run.next_note <= now {
                run.next_note += PROGRESS;
                // Also while it fetches: it gets on with the job, though no share of it is done.
                let share = (run.done(now) * 1000.0 + 0.5) as u32;
                self.out.push(Event::Progress(run.ticket, share));
            }
            n += 1;
        }
        self.start(now);
    }

    /// The waiting job that starts next, if it fits now.
    fn next(&self) -> Option<usize> {
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
    fn start(&mut self, now: Micros) {
        if now < self.still_until {
            return;
        }
        let speed = self.speed * self.pace * self.warmth(now);
        while let Some(job) = self.next().and_then(|n| self.queue.remove(n)) {
            self.free -= job.slots;
            let fetch = match (&mut self.shelf, job.thing) {
                (Some(shelf), Some((thing, alone))) => shelf.need(now, thing, alone),
                _ => 0,
            };
            let (work, from) = (job.work as f64, now + fetch);
            let ends = from + (work / speed).max(1.0) as Micros;
            let (ticket, slots, left) = (job.ticket, job.slots, (from, work, speed));
            self.running.push(Run {
                ticket,
                slots,
                began: now,
                work,
                left,
                ends,
                next_note: now + PROGRESS,
            });
            self.out.push(Event::Started(ticket));
        }
    }

    /// Takes what has happened since it was last asked.
    pub fn take(&mut self, into: &mut Vec<Event>) {
        into.append(&mut self.out);
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

#[cfg(test)]
mod tests;

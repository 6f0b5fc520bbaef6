//! A job worker: cores, slots, one queue in order of arrival, a cold start, pauses and silence. No clock, no I/O: whoever
//! owns it hands it jobs and the time, asks when something is due, and takes what has happened.
//!
//! A job runs on as many cores as it has slots. A cold job worker runs at a share of its speed that grows evenly with the
//! work done, from `cold_from` to 1 at the latest after its warming time; the share is read when a job starts.

use crate::scenario::{Kind, Micros};
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

struct Run {
    ticket: Ticket,
    slots: u32,
    began: Micros,
    ends: Micros,
    next_note: Micros,
}

struct Waiting {
    ticket: Ticket,
    slots: u32,
    work: Micros,
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
    cold_from: f64,
    warm: Micros,
    born: Micros,
    done_work: f64, // since its start, in microseconds at speed 1
    running: Vec<Run>,
    queue: VecDeque<Waiting>,
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
            cold_from: kind.cold_from,
            warm: (kind.warm_s * 1e6) as Micros,
            born: 0,
            done_work: f64::MAX,
            running: Vec::new(),
            queue: VecDeque::new(),
            free: kind.cores,
            still_until: 0,
            up: true,
            draining: false,
            out: Vec::new(),
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
        let by_work = self.done_work / (f64::from(self.cores) * self.speed * self.warm as f64 * 0.5);
        (self.cold_from + (1.0 - self.cold_from) * by_time.max(by_work)).min(1.0)
    }

    /// Work that it can do in a microsecond now, at speed 1.
    pub fn capacity(&self, now: Micros) -> f64 {
        f64::from(self.cores) * self.speed * self.warmth(now)
    }

    /// Offers a job: its work at speed 1, and its slots.
    pub fn offer(&mut self, now: Micros, ticket: Ticket, work: Micros, slots: u32) -> Offer {
        let slots = slots.clamp(1, self.cores);
        if self.draining || self.queue.len() as u32 >= self.room {
            return Offer::Full;
        }
        self.queue.push_back(Waiting { ticket, slots, work });
        self.start(now);
        Offer::Taken
    }

    /// Stands still from now on until then: nothing starts, ends or is said.
    pub fn stand_still(&mut self, now: Micros, until: Micros) {
        let from = self.still_until.max(now);
        if until <= from {
            return;
        }
        for run in &mut self.running {
            // What stood still already is put off by what comes on top only.
            run.ends += until - from;
            run.next_note += until - from;
        }
        self.still_until = until;
    }

    /// The process dies.
    pub fn crash(&mut self) {
        let lost = self.running.drain(..).map(|r| r.ticket).chain(self.queue.drain(..).map(|w| w.ticket));
        self.out.extend(lost.map(Event::Lost));
        (self.up, self.free, self.still_until) = (false, self.cores, 0);
    }

    /// A new process starts, cold.
    pub fn start_again(&mut self, now: Micros) {
        (self.up, self.draining, self.born, self.done_work) = (true, false, now, 0.0);
        self.free = self.cores;
    }

    /// It takes nothing new, and hands back what has not started.
    pub fn drain(&mut self) {
        self.draining = true;
        self.out.extend(self.queue.drain(..).map(|w| Event::Returned(w.ticket)));
    }

    /// When it must be stepped next.
    pub fn due(&self) -> Option<Micros> {
        if !self.up {
            return None;
        }
        let run = self.running.iter().map(|r| r.ends.min(r.next_note)).min();
        let start = self.queue.front().filter(|w| w.slots <= self.free).map(|_| self.still_until);
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
                let share = (now - run.began) * 1000 / (run.ends - run.began).max(1);
                run.next_note += PROGRESS;
                self.out.push(Event::Progress(run.ticket, share as u32));
            }
            n += 1;
        }
        self.start(now);
    }

    /// Starts what fits, in order: the first waits until it fits.
    fn start(&mut self, now: Micros) {
        if now < self.still_until {
            return;
        }
        let speed = self.speed * self.warmth(now);
        while self.queue.front().is_some_and(|w| w.slots <= self.free) {
            let Some(first) = self.queue.pop_front() else { return };
            self.free -= first.slots;
            let ends = now + (first.work as f64 / speed).max(1.0) as Micros;
            let (ticket, slots) = (first.ticket, first.slots);
            self.running.push(Run { ticket, slots, began: now, ends, next_note: now + PROGRESS });
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
        Report { queue, inflight: queue + running, free: self.free }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn kind() -> Kind {
        Kind {
            name: "k".into(),
            count: 1,
            cores: 2,
            speed: [1.0, 1.0],
            queue_per_core: 2.0,
            cold_from: 0.25,
            warm_s: 8.0,
        }
    }

    fn events(w: &mut Worker, now: Micros) -> Vec<Event> {
        let mut out = Vec::new();
        w.step(now);
        w.take(&mut out);
        out
    }

    #[test]
    fn the_head_of_the_queue_waits_until_it_fits() {
        let mut w = Worker::new(&kind(), 1.0);
        assert_eq!(w.offer(0, 1, 100, 1), Offer::Taken);
        assert_eq!(w.offer(0, 2, 100, 2), Offer::Taken);
        assert_eq!(w.offer(0, 3, 100, 1), Offer::Taken);
        assert_eq!(events(&mut w, 0), [Event::Started(1)], "a slot stays free behind the large job");
        assert_eq!(w.due(), Some(100));
        assert_eq!(events(&mut w, 100), [Event::Done(1), Event::Started(2)]);
        assert_eq!(events(&mut w, 200), [Event::Done(2), Event::Started(3)]);
        (0..4).for_each(|n| assert_eq!(w.offer(200, 10 + n, 100, 2), Offer::Taken));
        assert_eq!(w.offer(200, 20, 100, 1), Offer::Full);
        w.drain();
        assert_eq!(w.offer(200, 21, 100, 1), Offer::Full);
        assert_eq!(events(&mut w, 200).len(), 4, "what waits is handed back");
        w.crash();
        assert_eq!(events(&mut w, 250), [Event::Lost(3)]);
        assert!(!w.up() && w.due().is_none());
    }

    #[test]
    fn standing_still_puts_off_what_runs_once() {
        let mut w = Worker::new(&kind(), 2.0);
        w.offer(0, 1, 200, 1);
        w.stand_still(50, 150);
        w.stand_still(60, 140);
        w.offer(70, 2, 200, 1);
        assert!(w.still(149));
        assert_eq!(events(&mut w, 149), [Event::Started(1)], "the second waits for the end of the pause");
        assert_eq!(w.due(), Some(150));
        assert_eq!(events(&mut w, 150), [Event::Started(2)]);
        assert_eq!(events(&mut w, 200), [Event::Done(1)]);
        assert_eq!(events(&mut w, 250), [Event::Done(2)]);
    }

    #[test]
    fn a_new_process_is_cold_and_warms_with_time_and_work() {
        let mut w = Worker::new(&kind(), 1.0);
        assert_eq!(w.warmth(0), 1.0);
        w.start_again(1_000_000);
        assert_eq!(w.warmth(1_000_000), 0.25);
        w.offer(1_000_000, 1, 1_000_000, 1);
        assert_eq!(w.due(), Some(2_000_000), "a note on its progress comes first");
        assert!(events(&mut w, 2_000_000).contains(&Event::Progress(1, 250)));
        assert_eq!(w.warmth(5_000_000), 0.625);
        assert_eq!(w.warmth(9_000_000), 1.0);
        (3..6).for_each(|n| assert_eq!(events(&mut w, n * 1_000_000 + 1).len(), 1));
        assert!(w.warmth(3_000_000) > 0.6, "the work done counts too");
    }
}

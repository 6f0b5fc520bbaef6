//! Job workers: what arrives there, what they tell, and what goes wrong with them.

use super::*;

impl Ground<'_> {
    /// What a scheduler is told of a job worker, for the checkers.
    pub(super) fn told_of(&mut self, scheduler: u32, worker: u32) {
        let takes = self.listed[worker as usize].0 == WorkerState::Active;
        self.checker.see(Seen::Told {
            scheduler,
            worker,
            takes,
            at: self.now,
        });
        if takes && self.listed[worker as usize].1 == self.workers[worker as usize].born() {
            self.checker.see(Seen::Aware { scheduler, worker });
        }
    }

    pub(super) fn attempt_arrives(&mut self, ticket: Ticket) {
        let now = self.now;
        let Some(out) = self.outs.get(&ticket) else {
            return;
        };
        let (s, w, job, asks) = (out.scheduler, out.worker, out.job, out.asks);
        if !self.workers[w as usize].up() {
            let back = self.way(s, w).min(DIAL);
            return self.at(now + back, Ev::Refused(ticket, 1));
        }
        if self.workers[w as usize].still(now) {
            // The connection is made, and nobody reads until it is over.
            let until = self.workers[w as usize].still_until();
            return self.at(until, Ev::Arrive(ticket));
        }
        let offer = self.workers[w as usize].offer(now, asks);
        let back = self.way(s, w);
        match offer {
            Offer::Full => self.at(now + back, Ev::Refused(ticket, 0)),
            Offer::Taken => {
                self.checker.see(Seen::Runs {
                    job,
                    worker: w,
                    at: now,
                });
                self.at(now + back, Ev::Taken(ticket));
                self.step_worker(w);
            }
        }
    }

    pub(super) fn step_worker(&mut self, w: u32) {
        let worker = &mut self.workers[w as usize];
        worker.step(self.now);
        let mut happened = std::mem::take(&mut self.happened);
        worker.take(&mut happened);
        for event in happened.drain(..) {
            let (ticket, news) = match event {
                worker::Event::Started(t) => (t, STARTED),
                worker::Event::Progress(t, share) => (t, PROGRESS | share << 8),
                worker::Event::Done(t) => (t, DONE),
                worker::Event::Returned(t) => (t, RETURNED),
                worker::Event::Lost(t) => (t, LOST),
            };
            let Some(out) = self.outs.get(&ticket) else {
                continue;
            };
            let (s, job, asks) = (out.scheduler, out.job, out.asks);
            let total = asks.work * u64::from(asks.slots);
            match news & 0xff {
                STARTED => self.service.begun(self.now, w),
                DONE => {
                    self.service.ran(total);
                    self.checker.see(Seen::Made { job });
                }
                RETURNED => self.checker.see(Seen::NeverRan { job }),
                _ => {}
            }
            let way = self.way(s, w);
            self.at(self.now + way, Ev::News(ticket, news));
        }
        self.happened = happened;
        self.wake_worker(w);
    }

    pub(super) fn wake_worker(&mut self, w: u32) {
        let due = self.workers[w as usize].due().map(|d| d.max(self.now));
        if let Some(at) = due
            && self.stepped[w as usize].is_none_or(|s| at < s)
        {
            self.stepped[w as usize] = Some(at);
            self.at(at, Ev::Work(w));
        }
    }

    pub(super) fn trouble(&mut self, n: u32) {
        let now = self.now;
        let trouble = &self.scenario.troubles[n as usize];
        let until = now + (trouble.for_s * 1e6) as Micros;
        let notice = self.scenario.discovery.notice_ms * 1000;
        match trouble.what {
            What::Hang => {
                for w in &trouble.workers {
                    self.workers[*w as usize].stand_still(now, until);
                    self.wake_worker(*w);
                }
            }
            What::Pauses { .. } => self.at(now, Ev::Pause(n)),
            What::Slow { times } => {
                for w in &trouble.workers {
                    self.workers[*w as usize].set_pace(now, 1.0 / times);
                    self.wake_worker(*w);
                }
                self.at(until, Ev::Over(n));
            }
            What::HotThings { .. } => {} // the load's

            What::Crash => {
                for w in trouble.workers.clone() {
                    self.workers[w as usize].crash();
                    self.step_worker(w);
                    for s in 0..self.schedulers.len() {
                        self.schedulers[s].idle[w as usize].0 = 0;
                    }
                    self.at(now + notice, Ev::Notice(w, 2, 0));
                }
                self.at(until, Ev::Over(n));
            }
            What::Drain => {
                for w in trouble.workers.clone() {
                    self.workers[w as usize].drain();
                    self.step_worker(w);
                    self.at(now + notice, Ev::Notice(w, 1, 0));
                }
                self.at(until, Ev::Over(n));
            }
        }
    }

    pub(super) fn trouble_over(&mut self, n: u32) {
        let now = self.now;
        let notice = self.scenario.discovery.notice_ms * 1000;
        for w in self.scenario.troubles[n as usize].workers.clone() {
            if matches!(self.scenario.troubles[n as usize].what, What::Slow { .. }) {
                self.workers[w as usize].set_pace(now, 1.0);
                self.wake_worker(w);
                continue;
            }
            if self.workers[w as usize].up() {
                // What a draining one still has is lost with its process.
                self.workers[w as usize].crash();
                self.step_worker(w);
            }
            self.workers[w as usize].start_again(now);
            self.at(now, Ev::Warm(w));
            self.at(now + notice, Ev::Notice(w, 0, now));
        }
    }
}

//! What happens, and what comes of it.

use super::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Ev {
    Arrives,
    Try(u32, u32),
    Job(u32, JobId),
    Wake(u32),
    Arrive(Ticket),
    Refused(Ticket, u8),
    Taken(Ticket),
    Unheard(Ticket),
    Work(u32),
    News(Ticket, u32),
    Answer(JobId, u8, Micros),
    TimeUp(u32, u32),
    Gone(u32, JobId),
    ProbeAt(u32, u32),
    Probed(u32, u32, bool),
    Lists(u32),
    Watch(u32),
    Notice(u32, u8, Micros),
    Trouble(u32),
    Over(u32),
    Pause(u32),
    Warm(u32),
    GiveUp(Ticket),
}

/// Kinds of news, in the low byte; a share in the rest.
pub(super) const STARTED: u32 = 0;
pub(super) const DONE: u32 = 1;
pub(super) const RETURNED: u32 = 2;
pub(super) const LOST: u32 = 3;
pub(super) const PROGRESS: u32 = 4;

impl Ground<'_> {
    pub(super) fn event(&mut self, ev: Ev, log: &mut impl FnMut(Logged<'_>)) {
        let now = self.now;
        match ev {
            Ev::Arrives => {}
            Ev::Try(n, tried) => {
                let trip = &mut self.trips[n as usize];
                trip.open -= 1;
                if trip.live && trip.served.is_none() && now < trip.until {
                    self.send(n, tried);
                } else {
                    self.perhaps_over(n);
                }
            }
            Ev::Job(s, job) => {
                let Some(t) = self.tries.get(&job) else {
                    return;
                };
                let trip = &self.trips[t.trip as usize];
                let a = &trip.arrival;
                let tenant = a.parish.unwrap_or(u32::MAX);
                // A client counts from when it sent the try.
                let until = trip.until;
                let request = Request {
                    id: job,
                    class: a.class,
                    tenant,
                    left: until.saturating_sub(now),
                    estimate: None,
                    slots: f64::from(a.slots),
                    memory: 0.0,
                    // Where nothing is kept, the module is not told: it would only learn that there are no fetches.
                    subject: self
                        .scenario
                        .machines
                        .things
                        .as_ref()
                        .and_then(|_| subject(&a.subject)),
                };
                self.checker.see(Seen::Taken {
                    job,
                    class: a.class,
                    at: now,
                    until,
                });
                self.tell(s, CoreInput::Job(request, until, Reply::Transport));
            }
            Ev::Wake(s) => {
                let scheduler = &mut self.schedulers[s as usize];
                if scheduler.wake != Some(now) {
                    return; // it was woken earlier
                }
                scheduler.wake = None;
                let wants = scheduler.wants.clone();
                scheduler.mind.step(now, &wants);
                self.carry_out(s);
            }
            Ev::Arrive(ticket) => self.attempt_arrives(ticket),
            Ev::Refused(ticket, why) => {
                let status = [Status::Full, Status::ConnectFailed, Status::Reset][why as usize];
                self.ended(ticket, status, true);
            }
            Ev::Taken(ticket) => {
                let Some(out) = self.outs.get_mut(&ticket) else {
                    return;
                };
                out.heard = true;
                let (s, w) = (out.scheduler, out.worker);
                let idle = &mut self.schedulers[s as usize].idle[w as usize];
                *idle = ((idle.0 + 1).min(16), now);
            }
            Ev::Unheard(ticket) => {
                if let Some(out) = self.outs.get(&ticket).filter(|o| !o.heard && !o.ended) {
                    let (s, id) = (
                        out.scheduler,
                        AttemptId {
                            job: out.job,
                            number: out.number,
                        },
                    );
                    self.tell(s, CoreInput::Unacknowledged(id));
                }
            }
            Ev::GiveUp(ticket) => {
                if let Some(out) = self.outs.remove(&ticket) {
                    self.workers[out.worker as usize].give_up(now, ticket);
                    self.step_worker(out.worker);
                }
            }
            Ev::Work(w) => {
                if self.stepped[w as usize] == Some(now) {
                    self.stepped[w as usize] = None;
                    self.step_worker(w);
                }
            }
            Ev::News(ticket, news) => {
                let Some(out) = self.outs.get_mut(&ticket) else {
                    return;
                };
                out.heard = true;
                let (s, id) = (
                    out.scheduler,
                    AttemptId {
                        job: out.job,
                        number: out.number,
                    },
                );
                match news & 0xff {
                    STARTED => self.tell(s, CoreInput::Started(id)),
                    DONE => self.ended(ticket, Status::Ok, true),
                    RETURNED => self.ended(ticket, Status::Full, true),
                    LOST => self.ended(ticket, Status::Reset, true),
                    _ => self.tell(s, CoreInput::Progress(id, f64::from(news >> 8) / 1000.0)),
                }
            }
            Ev::Answer(job, status, after) => self.answer_comes(job, status, after, log),
            Ev::TimeUp(n, number) => {
                let trip = &self.trips[n as usize];
                if trip.live
                    && trip.arrival.number as u32 == number
                    && trip.arrival.at + trip.arrival.deadline == now
                {
                    self.time_up(n, log);
                }
            }
            Ev::Gone(s, job) => self.tell(s, CoreInput::ClientLeft(job)),
            Ev::ProbeAt(s, w) => {
                let worker = &self.workers[w as usize];
                let dead = !worker.up() || worker.still(now);
                let back = if dead { PROBE } else { self.way(s, w) };
                self.at(now + back, Ev::Probed(s, w, !dead));
            }
            Ev::Probed(s, w, good) => {
                let report = &mut self.reports[w as usize];
                if now > report.0 + REPORT {
                    *report = (now, self.workers[w as usize].report());
                }
                let r = report.1;
                let load = Load {
                    inflight: Some(f64::from(r.inflight)),
                    queue: Some(f64::from(r.queue)),
                    free_slots: Some(f64::from(r.free)),
                    ..Load::default()
                };
                let status = if good { Status::Ok } else { Status::Timeout };
                self.tell(s, CoreInput::Probed(id(w), status, good.then_some(load)));
            }
            Ev::Lists(s) => {
                let entries: Vec<Entry> = (0..self.workers.len() as u32)
                    .map(|w| self.entry(w))
                    .collect();
                for w in 0..self.workers.len() as u32 {
                    self.told_of(s, w);
                }
                self.tell(s, CoreInput::Membership(Scope::Full, entries));
            }
            Ev::Watch(s) => {
                if self.schedulers[s as usize].watching {
                    self.tell(s, CoreInput::Membership(Scope::Delta, Vec::new()));
                }
                self.at(now + WATCH, Ev::Watch(s));
            }
            Ev::Notice(w, state, born) => {
                let state = [
                    WorkerState::Active,
                    WorkerState::Draining,
                    WorkerState::Left,
                ][state as usize];
                self.listed[w as usize] = (state, born);
                for s in 0..self.scenario.schedulers {
                    if self.schedulers[s as usize].watching {
                        self.told_of(s, w);
                        let entry = self.entry(w);
                        self.tell(s, CoreInput::Membership(Scope::Delta, vec![entry]));
                    }
                }
            }
            Ev::Trouble(n) => self.trouble(n),
            Ev::Over(n) => self.trouble_over(n),
            Ev::Pause(n) => {
                let trouble = &self.scenario.troubles[n as usize];
                let end = self.scenario.from() + ((trouble.at_s + trouble.for_s) * 1e6) as Micros;
                if let What::Pauses { ms, every_ms } = trouble.what
                    && now < end
                {
                    for w in &trouble.workers {
                        self.workers[*w as usize].stand_still(now, now + (ms * 1e3) as Micros);
                        self.wake_worker(*w);
                    }
                    self.at(now + (every_ms.max(1.0) * 1e3) as Micros, Ev::Pause(n));
                }
            }
            Ev::Warm(w) => {
                let worker = &self.workers[w as usize];
                let (warmth, capacity) = (worker.warmth(now), worker.capacity(now));
                if !worker.up() || warmth >= 1.0 {
                    self.checker.see(Seen::Warm { worker: w });
                } else {
                    self.checker.see(Seen::Cold {
                        worker: w,
                        at: now,
                        capacity,
                    });
                    self.at(now + 100_000, Ev::Warm(w));
                }
            }
        }
    }
}

//! Schedulers in virtual time: what decides, what it asks for, and how that is carried out.

use super::*;

/// What a scheduler's engine wants done.
pub(super) enum Act {
    Send(Attempt),
    GiveUp(AttemptId),
    Probe(WorkerId),
    Ask(MembershipRequest),
    Answer(JobId, Answer),
    Note(String),
}

#[derive(Default)]
pub(super) struct Wants(pub(super) RefCell<Vec<Act>>);

impl Transport for Wants {
    fn send(&self, attempt: Attempt) -> bool {
        self.0.borrow_mut().push(Act::Send(attempt));
        true
    }
    fn give_up(&self, attempt: AttemptId, _: WorkerId) -> GivenUp {
        self.0.borrow_mut().push(Act::GiveUp(attempt));
        GivenUp::Done
    }
    fn probe(&self, machine: WorkerId) -> bool {
        self.0.borrow_mut().push(Act::Probe(machine));
        true
    }
    fn hang_up(&self, _: WorkerId) {}
    fn request_membership(&self, what: MembershipRequest) -> bool {
        self.0.borrow_mut().push(Act::Ask(what));
        true
    }
    fn answer(&self, job: JobId, answer: Answer) {
        self.0.borrow_mut().push(Act::Answer(job, answer));
    }
    fn forget(&self, _: JobId) {}
    fn log_event(&self, text: &str) {
        self.0.borrow_mut().push(Act::Note(text.to_string()));
    }
}

/// What decides: the program's engine, or a plain rule.
pub(super) enum Mind {
    Engine(Box<Engine>),
    Plain(Box<Plain>),
}

impl Mind {
    pub(super) fn told(&mut self, now: Micros, told: CoreInput, transport: &Wants) {
        match self {
            Mind::Engine(engine) => engine.handle_input(now, told, transport),
            Mind::Plain(plain) => plain.told(now, told, transport),
        }
    }

    pub(super) fn step(&mut self, now: Micros, transport: &Wants) {
        match self {
            Mind::Engine(engine) => engine.step(now, transport),
            Mind::Plain(plain) => plain.step(now, transport),
        }
    }

    pub(super) fn due(&self) -> Option<Micros> {
        match self {
            Mind::Engine(engine) => engine.due(),
            Mind::Plain(plain) => plain.due(),
        }
    }
}

pub(super) struct Scheduler {
    pub(super) mind: Mind,
    pub(super) wants: Rc<Wants>,
    pub(super) wake: Option<Micros>,
    pub(super) watching: bool,
    pub(super) zone: u32,
    /// Idle connections to each job worker, and when the last was used.
    pub(super) idle: Vec<(u32, Micros)>,
}

impl Ground<'_> {
    /// A zone's schedulers in turn; where it has none, all are.
    pub(super) fn scheduler_of(&mut self, zone: u32) -> u32 {
        let turn = &mut self.turn[zone as usize];
        *turn += 1;
        self.scenario.scheduler_of(zone, *turn)
    }

    /// Where a job would end first, for who knows all.
    pub(super) fn best_for(&self, told: &CoreInput) -> Option<WorkerId> {
        let job = match told {
            CoreInput::Job(request, ..) => request.id,
            CoreInput::Ended(attempt, ..) => attempt.job,
            _ => return None,
        };
        let asks = self.asks(job)?;
        // What is on its way to a worker counts as well: it is there before this one.
        let mut coming = vec![0.0; self.workers.len()];
        for out in self.outs.values().filter(|o| !o.heard && !o.ended) {
            coming[out.worker as usize] += (out.asks.work * u64::from(out.asks.slots)) as f64;
        }
        let end = |w: usize| {
            let worker = &self.workers[w];
            Some(worker.would_end(self.now, &asks)? + coming[w] / worker.capacity(self.now))
        };
        let ends = (0..self.workers.len()).filter_map(|w| Some((end(w)?, w)));
        ends.min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, w)| id(w as u32))
    }

    /// What a job asks of a job worker.
    pub(super) fn asks(&self, job: JobId) -> Option<worker::Job> {
        let arrival = &self.trips[self.tries.get(&job)?.trip as usize].arrival;
        let things = self.scenario.machines.things.as_ref();
        let thing = things
            .and_then(|_| subject(&arrival.subject))
            .map(|s| (s, self.fetch));
        let priority = self.scenario.classes[arrival.class as usize].priority;
        Some(worker::Job {
            ticket: 0,
            work: arrival.work,
            slots: arrival.slots,
            priority,
            thing,
        })
    }

    pub(super) fn tell(&mut self, s: u32, told: CoreInput) {
        let best = if self.knows_all {
            self.best_for(&told)
        } else {
            None
        };
        if let Mind::Plain(plain) = &mut self.schedulers[s as usize].mind {
            plain.best = best;
        }
        let scheduler = &mut self.schedulers[s as usize];
        let wants = scheduler.wants.clone();
        scheduler.mind.told(self.now, told, &wants);
        self.carry_out(s);
    }

    /// Does what a scheduler wants, and sees to it that it is woken.
    pub(super) fn carry_out(&mut self, s: u32) {
        let mut acts = std::mem::take(&mut self.acts);
        std::mem::swap(
            &mut acts,
            &mut self.schedulers[s as usize].wants.0.borrow_mut(),
        );
        for act in acts.drain(..) {
            match act {
                Act::Send(attempt) => self.carry(s, attempt),
                Act::GiveUp(attempt) => self.give_up(s, attempt),
                Act::Probe(worker) => {
                    self.service.probe();
                    let Some(w) = self.numbers.get(&worker).copied() else {
                        continue;
                    };
                    let way = self.way(s, w);
                    self.at(self.now + way, Ev::ProbeAt(s, w));
                }
                Act::Ask(MembershipRequest::Watch(on)) => {
                    self.schedulers[s as usize].watching = on;
                    if on {
                        self.call_discovery(s);
                    }
                }
                Act::Ask(MembershipRequest::FetchAll) => self.call_discovery(s),
                Act::Answer(job, answer) => self.answered(job, answer),
                Act::Note(text) => {
                    let plain: String = text.chars().filter(|c| !c.is_ascii_digit()).collect();
                    *self.notes.entry(plain).or_default() += 1;
                }
            }
        }
        self.acts = acts;
        let due = self.schedulers[s as usize].mind.due();
        if let Some(at) = due.map(|d| d.max(self.now)) {
            let scheduler = &mut self.schedulers[s as usize];
            if scheduler.wake.is_none_or(|w| at < w) {
                scheduler.wake = Some(at);
                self.at(at, Ev::Wake(s));
            }
        }
    }

    /// A scheduler asks for the whole list, as a watch does when it begins.
    pub(super) fn call_discovery(&mut self, s: u32) {
        let call = self.scenario.discovery.call_ms as f64;
        let at = self.now + self.delay(call.max(0.01));
        self.at(at, Ev::Lists(s));
    }

    pub(super) fn carry(&mut self, s: u32, attempt: Attempt) {
        let Some(w) = self.numbers.get(&attempt.machine).copied() else {
            return;
        };
        let (job, number) = (attempt.id.job, attempt.id.number);
        let Some(asks) = self.asks(job) else { return };
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.attempts.insert(attempt.id, ticket);
        let crosses = self.schedulers[s as usize].zone != self.scenario.zone_of(w);
        self.service.attempt(self.now, crosses);
        let total = asks.work * u64::from(asks.slots);
        self.checker.see(Seen::Sent {
            job,
            scheduler: s,
            worker: w,
            at: self.now,
            work: total,
        });
        let out = Out {
            scheduler: s,
            job,
            number,
            worker: w,
            asks: worker::Job { ticket, ..asks },
            heard: false,
            ended: false,
        };
        self.outs.insert(ticket, out);
        let way = self.way(s, w);
        // A new connection costs a round trip before the first byte.
        let now = self.now;
        let idle = &mut self.schedulers[s as usize].idle[w as usize];
        if now > idle.1 + IDLE {
            idle.0 = 0;
        }
        let dial = if idle.0 > 0 { 0 } else { 2 * way };
        idle.0 = idle.0.saturating_sub(1);
        idle.1 = now;
        self.at(now + dial + way, Ev::Arrive(ticket));
        self.at(now + dial + HEARD, Ev::Unheard(ticket));
    }

    /// A scheduler gives up an attempt. Where job workers stop what is given up, it stops once its one has heard of it.
    pub(super) fn give_up(&mut self, s: u32, attempt: AttemptId) {
        let Some(ticket) = self.attempts.remove(&attempt) else {
            return;
        };
        let Some(w) = self.outs.get(&ticket).map(|out| out.worker) else {
            return;
        };
        self.checker.see(Seen::GivenUp { job: attempt.job });
        if self.scenario.machines.cancel {
            let way = self.way(s, w);
            self.at(self.now + way, Ev::GiveUp(ticket));
        }
    }

    /// A scheduler has answered a try.
    pub(super) fn answered(&mut self, job: JobId, answer: Answer) {
        let Some(t) = self.tries.get_mut(&job) else {
            return;
        };
        t.done = true;
        let (status, after) = match answer {
            Answer::Served => (0, 0),
            Answer::Rejected(after) => (1, after),
            Answer::Failed => (2, 0),
        };
        self.checker.see(Seen::Answered {
            job,
            served: status == 0,
            refused: status == 1,
            at: self.now,
        });
        let back = self.delay(self.scenario.network.client_ms);
        self.at(self.now + back, Ev::Answer(job, status, after));
    }

    pub(super) fn ended(&mut self, ticket: Ticket, status: Status, gone: bool) {
        let Some(out) = self.outs.get_mut(&ticket) else {
            return;
        };
        out.ended = true;
        let (s, id) = (
            out.scheduler,
            AttemptId {
                job: out.job,
                number: out.number,
            },
        );
        self.attempts.remove(&id);
        if gone {
            self.outs.remove(&ticket);
        }
        self.checker.see(Seen::Over { job: id.job });
        self.tell(s, CoreInput::Ended(id, status, None));
    }
}

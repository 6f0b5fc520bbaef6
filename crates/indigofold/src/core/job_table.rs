//! The job table: jobs and their attempts. Whatever the module or a front does, a job gets one answer, in time.

use super::metrics::{End, Figures, add};
use super::{Answer, Ask, Attempt, AttemptId, GivenUp, JobId, Reply, Told, Transport};
use crate::api::{Action, ClassId, Event, Scope, Status, Time, WorkerId};
use crate::transferred_job;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::rc::Rc;

/// After a job's last moment the module has this long to answer before the job table does.
const GRACE: Time = 10_000;

struct Held {
    machine: WorkerId,
    out: bool,
    given_up: bool, // its machine is being told
}

struct Job {
    class: ClassId,
    answer: Option<Reply>, // until it is answered
    until: Time,
    attempts: Vec<Held>,
}

/// All jobs that are open or have attempts out.
#[derive(Default)]
pub struct JobTable {
    jobs: FxHashMap<JobId, Job>,
    due: BTreeSet<(Time, JobId)>,
    events: Vec<Event>,
    early: Time,
    /// Jobs forgotten since the module last took its events, and how many attempts they had: until it has heard that
    /// a job is closed, it may send it.
    closed: FxHashMap<JobId, u32>,
    figures: Rc<Figures>,
}

impl JobTable {
    /// An empty job table; jobs are answered this long before the client's time is up.
    pub fn new(early: Time, figures: Rc<Figures>) -> Self {
        JobTable {
            early,
            figures,
            ..JobTable::default()
        }
    }

    /// Events for the module, in the order in which they happened.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// The module has dealt with the events that it took, and knows which jobs are closed. The list that held them is
    /// used again.
    pub fn events_done(&mut self, mut held: Vec<Event>) {
        self.closed.clear();
        held.append(&mut self.events);
        self.events = held;
    }

    /// Are there events for the module?
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Jobs in the job table.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// When the job table must next be looked at.
    pub fn next_due(&self) -> Option<Time> {
        self.due.first().map(|d| d.0)
    }

    /// Takes what a front tells.
    pub fn told(&mut self, now: Time, told: Told, transport: &dyn Transport) {
        match told {
            Told::Job(mut request, until, answer) => {
                // Answered a little early: the answer has its way to go, as the request had.
                let until = until.saturating_sub(self.early).max(now);
                request.left = until - now;
                self.due.insert((until, request.id));
                let (class, answer) = (request.class, Some(answer));
                self.jobs.insert(
                    request.id,
                    Job {
                        class,
                        answer,
                        until,
                        attempts: Vec::new(),
                    },
                );
                add(&self.figures.open, 1);
                self.events.push(Event::Request(request));
            }
            Told::Gone(job) => {
                let Some(open) = self.jobs.get_mut(&job) else {
                    return;
                };
                if open.answer.take().is_some() {
                    add(&self.figures.gone, 1);
                    self.figures.open.set(self.figures.open.get() - 1);
                    self.events.push(Event::RequestClosed(job));
                }
                self.settle(job, transport);
            }
            Told::Started(id) if self.is_out(id) => {
                self.events.push(Event::Started {
                    request: id.job,
                    attempt: id.number,
                });
            }
            Told::Progress(id, done) if self.is_out(id) => {
                self.events.push(Event::Progress {
                    request: id.job,
                    attempt: id.number,
                    done,
                });
            }
            Told::Unheard(id) if self.is_out(id) => {
                self.events.push(Event::Unheard {
                    request: id.job,
                    attempt: id.number,
                });
            }
            Told::Started(_) | Told::Progress(..) | Told::Unheard(_) => {}
            Told::Ended(id, status, load) => {
                let Some(job) = self.jobs.get_mut(&id.job) else {
                    return;
                };
                let Some(held) = job.attempts.get_mut(id.number as usize) else {
                    return;
                };
                let (was_out, done) = (
                    std::mem::replace(&mut held.out, false),
                    status == Status::Ok,
                );
                let answered = if done { job.answer.take() } else { None };
                let closed = answered.is_some();
                if let Some(answer) = answered {
                    ended(&self.figures, job.class, End::Served);
                    give(answer, id.job, Answer::Served, transport);
                }
                let (request, attempt) = (id.job, id.number);
                if was_out {
                    // The job may have been answered before: then its end is told with this outcome as well.
                    let closed = self.jobs.get(&request).is_some_and(|j| j.answer.is_none());
                    self.events.push(Event::Outcome {
                        request,
                        attempt,
                        status,
                        closed,
                        load,
                    });
                } else if closed {
                    // Given up or taken for lost, yet done: the answer is good, and the job needs no more.
                    self.events.push(Event::RequestClosed(request));
                }
                self.settle(request, transport);
            }
            Told::List(scope, entries) => self.events.push(Event::List { scope, entries }),
            Told::Settings(settings) => self.events.push(Event::Settings(settings)),
            Told::Statistics(other) => self.events.push(Event::Statistics(other)),
            Told::Adopted(id, job, until, reply) => {
                self.due.insert((until, id));
                let held = |t: &transferred_job::Attempt<WorkerId>| Held {
                    machine: t.worker,
                    out: !t.done,
                    given_up: false,
                };
                let (class, attempts) = (job.class, job.attempts.iter().map(held).collect());
                self.jobs.insert(
                    id,
                    Job {
                        class,
                        answer: Some(reply),
                        until,
                        attempts,
                    },
                );
                add(&self.figures.open, 1);
                self.events.push(Event::Adopted(id, job));
            }
            Told::Recall(..) | Told::Release(..) => {} // the engine's: the module must be asked
            Told::Probed(worker, status, load) => self.events.push(Event::Probed {
                worker,
                status,
                load,
            }),
        }
    }

    /// Gives away an open job, if its answer is still owed: its last moment, and where its answer would have gone.
    pub fn release(&mut self, id: JobId) -> Option<(Time, Reply)> {
        let reply = self.jobs.get_mut(&id)?.answer.take()?;
        let job = self.jobs.remove(&id)?;
        self.due.remove(&(job.until, id));
        self.due.remove(&(job.until + GRACE, id));
        self.figures.open.set(self.figures.open.get() - 1);
        Some((job.until, reply))
    }

    /// Is this job's answer owed yet?
    pub fn owes(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.answer.is_some())
    }

    /// Ends what is out at its last moment. What is still unanswered a little later fails, whatever the
    /// module thinks of it.
    pub fn expire(&mut self, now: Time, transport: &dyn Transport) {
        while let Some(&(at, id)) = self.due.first().filter(|d| d.0 <= now) {
            self.due.remove(&(at, id));
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if at == job.until {
                let closed = job.answer.is_none();
                for (n, held) in job.attempts.iter_mut().enumerate().filter(|(_, h)| h.out) {
                    held.out = false;
                    let attempt = AttemptId {
                        job: id,
                        number: n as u32,
                    };
                    let unsent = transport.give_up(attempt, held.machine) == GivenUp::Unsent;
                    let status = if unsent {
                        Status::Moot
                    } else {
                        Status::Timeout
                    };
                    let (request, attempt) = (id, attempt.number);
                    self.events.push(Event::Outcome {
                        request,
                        attempt,
                        status,
                        closed,
                        load: None,
                    });
                }
                self.due.insert((at + GRACE, id));
            } else if let Some(answer) = job.answer.take() {
                transport.note("a job was left unanswered at its last moment and has failed");
                ended(&self.figures, job.class, End::Failed);
                give(answer, id, Answer::Failed, transport);
                self.events.push(Event::RequestClosed(id));
            }
            self.settle(id, transport);
        }
    }

    /// Carries out what the module asks for. Timers are the caller's.
    pub fn act(&mut self, action: Action, transport: &dyn Transport) {
        match action {
            Action::Send {
                request,
                worker,
                by,
                ..
            } => {
                let Some(job) = self.jobs.get_mut(&request) else {
                    // Sent before the module came to the event that closes the job. Without an outcome it would
                    // count the attempt as waiting at its machine for ever.
                    let attempts = self.closed.entry(request).or_default();
                    let (status, attempt) = (Status::Moot, *attempts);
                    *attempts += 1;
                    let outcome = Event::Outcome {
                        request,
                        attempt,
                        status,
                        closed: true,
                        load: None,
                    };
                    return self.events.push(outcome);
                };
                let id = AttemptId {
                    job: request,
                    number: job.attempts.len() as u32,
                };
                let open = job.answer.is_some();
                let out = open
                    && transport.send(Attempt {
                        id,
                        machine: worker,
                        until: job.until,
                        by: by.min(job.until),
                    });
                job.attempts.push(Held {
                    machine: worker,
                    out,
                    given_up: false,
                });
                if !out {
                    let status = if open {
                        Status::ConnectFailed
                    } else {
                        Status::Moot
                    };
                    let (attempt, closed) = (id.number, !open);
                    self.events.push(Event::Outcome {
                        request,
                        attempt,
                        status,
                        closed,
                        load: None,
                    });
                }
            }
            Action::Cancel { request, attempt } => {
                let Some(job) = self.jobs.get_mut(&request) else {
                    return;
                };
                let closed = job.answer.is_none();
                let Some(held) = job.attempts.get_mut(attempt as usize).filter(|h| h.out) else {
                    return;
                };
                if std::mem::replace(&mut held.given_up, true) {
                    return;
                }
                let status = match transport.give_up(
                    AttemptId {
                        job: request,
                        number: attempt,
                    },
                    held.machine,
                ) {
                    GivenUp::Unsent => Status::Moot,
                    GivenUp::Done => Status::Cancelled,
                    GivenUp::Asked => return,
                };
                held.out = false;
                self.events.push(Event::Outcome {
                    request,
                    attempt,
                    status,
                    closed,
                    load: None,
                });
                self.settle(request, transport);
            }
            Action::Refuse {
                request,
                retry_after,
            } => self.answer(request, Answer::Rejected(retry_after), transport),
            Action::Fail { request } => self.answer(request, Answer::Failed, transport),
            Action::Probe { worker } => {
                if !transport.probe(worker) {
                    let status = Status::ConnectFailed;
                    self.events.push(Event::Probed {
                        worker,
                        status,
                        load: None,
                    });
                }
            }
            Action::Disconnect { worker } => transport.hang_up(worker),
            Action::Watch(on) => {
                if !transport.ask(Ask::Watch(on)) {
                    self.events.push(Event::List {
                        scope: Scope::Failed,
                        entries: Vec::new(),
                    });
                }
            }
            Action::Fetch => {
                if !transport.ask(Ask::Whole) {
                    self.events.push(Event::List {
                        scope: Scope::Failed,
                        entries: Vec::new(),
                    });
                }
            }
            Action::Log(text) => transport.note(&text),
            Action::Timer { .. } | Action::UpdatePeers { .. } => {}
        }
    }

    fn is_out(&self, id: AttemptId) -> bool {
        self.jobs
            .get(&id.job)
            .and_then(|j| j.attempts.get(id.number as usize))
            .is_some_and(|h| h.out)
    }

    fn answer(&mut self, id: JobId, answer: Answer, transport: &dyn Transport) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(to) = job.answer.take() else { return };
        ended(
            &self.figures,
            job.class,
            if answer == Answer::Failed {
                End::Failed
            } else {
                End::Refused
            },
        );
        give(to, id, answer, transport);
        self.settle(id, transport);
    }

    /// Forgets a job that is answered and has no attempt out.
    fn settle(&mut self, id: JobId, transport: &dyn Transport) {
        let over = |job: &Job| job.answer.is_none() && job.attempts.iter().all(|h| !h.out);
        if !self.jobs.get(&id).is_some_and(over) {
            return;
        }
        if let Some(job) = self.jobs.remove(&id) {
            self.closed.insert(id, job.attempts.len() as u32);
            self.due.remove(&(job.until, id));
            self.due.remove(&(job.until + GRACE, id));
            transport.forget(id);
        }
    }
}

/// Hands out a job's one answer.
fn give(to: Reply, job: JobId, answer: Answer, transport: &dyn Transport) {
    match to {
        Reply::To(sender) => _ = sender.try_send(answer),
        Reply::Transport => transport.answer(job, answer),
    }
}

/// Counts a job's one answer.
fn ended(figures: &Figures, class: ClassId, end: End) {
    figures.count(class, end);
    figures.open.set(figures.open.get() - 1);
}

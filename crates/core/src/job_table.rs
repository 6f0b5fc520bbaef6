//! The job table: jobs and their attempts. It ensures that each job gets exactly one answer, in time, whatever the module
//! or a front does.

use super::metrics::{End, Metrics, add};
use super::{
    Answer, Attempt, AttemptId, CoreInput, GivenUp, JobId, MembershipRequest, Reply, Transport,
};
use indigofold_decisions::api::{
    Action, ClassId, Event, Load, Request, Scope, Status, Time, WorkerId,
};
use indigofold_decisions::transferred_job::{self, TransferredJob};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Time after a job's deadline within which the module may still answer it; then the job table fails the job.
const GRACE_US: Time = 10_000;

struct AttemptRecord {
    machine: WorkerId,
    /// The attempt was sent and its outcome is not known yet.
    in_flight: bool,
    /// The attempt was cancelled and its machine is being notified.
    given_up: bool,
}

struct Job {
    class: ClassId,
    reply: Option<Reply>, // `None` once the job is answered or its client has left
    until: Time,
    attempts: Vec<AttemptRecord>,
}

/// All jobs that are unanswered or have attempts in flight.
#[derive(Default)]
pub struct JobTable {
    jobs: FxHashMap<JobId, Job>,
    due: BTreeSet<(Time, JobId)>,
    events: Vec<Event>,
    answer_margin: Time,
    /// Jobs removed since the module last handled its events, with their numbers of attempts. Until the module has
    /// handled the event that closes such a job, it may still send attempts of it.
    closed_attempts: FxHashMap<JobId, u32>,
    metrics: Rc<Metrics>,
}

impl JobTable {
    /// Creates an empty job table; a job's deadline is `answer_margin` before the time until which its client waits.
    pub fn new(answer_margin: Time, metrics: Rc<Metrics>) -> Self {
        JobTable {
            answer_margin,
            metrics,
            ..JobTable::default()
        }
    }

    /// Takes the queued events for the module, in the order in which they happened.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Called once the module has handled the events that it took, and so knows which jobs are closed. The emptied
    /// vector is reused for the next events.
    pub fn events_done(&mut self, mut emptied: Vec<Event>) {
        self.closed_attempts.clear();
        emptied.append(&mut self.events);
        self.events = emptied;
    }

    /// Returns true if events for the module are queued.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// The number of jobs in the table.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// The next time at which [`JobTable::expire`] has something to do.
    pub fn next_due(&self) -> Option<Time> {
        self.due.first().map(|d| d.0)
    }

    /// Applies an input from a front and queues the events for the module that result from it.
    pub fn handle_input(&mut self, now: Time, input: CoreInput, transport: &dyn Transport) {
        match input {
            CoreInput::Job(request, until, reply) => self.add_job(now, request, until, reply),
            CoreInput::ClientLeft(job) => self.client_left(job, transport),
            CoreInput::Started(id) if self.is_in_flight(id) => {
                self.events.push(Event::Started {
                    request: id.job,
                    attempt: id.number,
                });
            }
            CoreInput::Progress(id, done) if self.is_in_flight(id) => {
                self.events.push(Event::Progress {
                    request: id.job,
                    attempt: id.number,
                    done,
                });
            }
            CoreInput::Unacknowledged(id) if self.is_in_flight(id) => {
                self.events.push(Event::Unacknowledged {
                    request: id.job,
                    attempt: id.number,
                });
            }
            CoreInput::Ended(id, status, load) => self.attempt_ended(id, status, load, transport),
            CoreInput::Membership(scope, entries) => {
                self.events.push(Event::Membership { scope, entries });
            }
            CoreInput::Settings(settings) => self.events.push(Event::Settings(settings)),
            CoreInput::Statistics(other) => self.events.push(Event::Statistics(other)),
            CoreInput::Adopted(id, job, until, reply) => self.adopt(id, job, until, reply),
            // Reports on attempts that are not in flight any more, and requests that the engine handles itself.
            CoreInput::Started(_)
            | CoreInput::Progress(..)
            | CoreInput::Unacknowledged(_)
            | CoreInput::ReadStatistics(..)
            | CoreInput::Release(..) => {}
            CoreInput::Probed(worker, status, load) => self.events.push(Event::Probed {
                worker,
                status,
                load,
            }),
        }
    }

    fn add_job(&mut self, now: Time, mut request: Request, until: Time, reply: Reply) {
        // The job is answered a little early, as its answer takes time to reach the client.
        let until = until.saturating_sub(self.answer_margin).max(now);
        request.left = until - now;
        self.due.insert((until, request.id));
        let job = Job {
            class: request.class,
            reply: Some(reply),
            until,
            attempts: Vec::new(),
        };
        self.jobs.insert(request.id, job);
        add(&self.metrics.open, 1);
        self.events.push(Event::Request(request));
    }

    /// Adds a job that another process has started and released.
    fn adopt(&mut self, id: JobId, job: Box<TransferredJob<WorkerId>>, until: Time, reply: Reply) {
        self.due.insert((until, id));
        let record = |t: &transferred_job::Attempt<WorkerId>| AttemptRecord {
            machine: t.worker,
            in_flight: !t.done,
            given_up: false,
        };
        let open = Job {
            class: job.class,
            reply: Some(reply),
            until,
            attempts: job.attempts.iter().map(record).collect(),
        };
        self.jobs.insert(id, open);
        add(&self.metrics.open, 1);
        self.events.push(Event::Adopted(id, job));
    }

    fn client_left(&mut self, id: JobId, transport: &dyn Transport) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.reply.take().is_some() {
            add(&self.metrics.clients_left, 1);
            self.metrics.open.set(self.metrics.open.get() - 1);
            self.events.push(Event::RequestClosed(id));
        }
        self.forget_if_finished(id, transport);
    }

    fn attempt_ended(
        &mut self,
        id: AttemptId,
        status: Status,
        load: Option<Load>,
        transport: &dyn Transport,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(record) = job.attempts.get_mut(id.number as usize) else {
            return;
        };
        let was_in_flight = std::mem::replace(&mut record.in_flight, false);
        let answered = if status == Status::Ok {
            job.reply.take()
        } else {
            None
        };
        let served = answered.is_some();
        if let Some(reply) = answered {
            count_answer(&self.metrics, job.class, End::Served);
            deliver(reply, id.job, Answer::Served, transport);
        }
        if was_in_flight {
            // The outcome also reports whether the job is answered, by this attempt or before.
            let closed = self.jobs.get(&id.job).is_some_and(|j| j.reply.is_none());
            self.events.push(outcome(id, status, closed, load));
        } else if served {
            // The attempt was given up or counted as lost but succeeded: its answer counts and the job is closed.
            self.events.push(Event::RequestClosed(id.job));
        }
        self.forget_if_finished(id.job, transport);
    }

    /// Removes a job whose answer is still owed and returns its deadline and reply channel.
    pub fn release(&mut self, id: JobId) -> Option<(Time, Reply)> {
        let reply = self.jobs.get_mut(&id)?.reply.take()?;
        let job = self.jobs.remove(&id)?;
        self.due.remove(&(job.until, id));
        self.due.remove(&(job.until + GRACE_US, id));
        self.metrics.open.set(self.metrics.open.get() - 1);
        Some((job.until, reply))
    }

    /// Returns true if the job is in the table and its answer is still owed.
    pub fn owes_answer(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.reply.is_some())
    }

    /// Gives up the attempts of each job that has reached its deadline. A job that is still unanswered 10 ms later fails,
    /// whatever the module has decided.
    pub fn expire(&mut self, now: Time, transport: &dyn Transport) {
        while let Some(&(at, id)) = self.due.first().filter(|d| d.0 <= now) {
            self.due.remove(&(at, id));
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if at == job.until {
                give_up_attempts(id, job, &mut self.events, transport);
                self.due.insert((at + GRACE_US, id));
            } else if let Some(reply) = job.reply.take() {
                transport.log_event("a job was left unanswered at its last moment and has failed");
                count_answer(&self.metrics, job.class, End::Failed);
                deliver(reply, id, Answer::Failed, transport);
                self.events.push(Event::RequestClosed(id));
            }
            self.forget_if_finished(id, transport);
        }
    }

    /// Executes an action of the module, except for timers, which the caller keeps.
    pub fn act(&mut self, action: Action, transport: &dyn Transport) {
        match action {
            Action::Send {
                request,
                worker,
                by,
                ..
            } => self.send(request, worker, by, transport),
            Action::Cancel { request, attempt } => {
                let id = AttemptId {
                    job: request,
                    number: attempt,
                };
                self.cancel(id, transport);
            }
            Action::Reject {
                request,
                retry_after,
            } => self.answer(request, Answer::Rejected(retry_after), transport),
            Action::Fail { request } => self.answer(request, Answer::Failed, transport),
            Action::Probe { worker } => {
                if !transport.probe(worker) {
                    self.events.push(Event::Probed {
                        worker,
                        status: Status::ConnectFailed,
                        load: None,
                    });
                }
            }
            Action::Disconnect { worker } => transport.hang_up(worker),
            Action::Watch(on) => self.request_membership(MembershipRequest::Watch(on), transport),
            Action::Fetch => self.request_membership(MembershipRequest::FetchAll, transport),
            Action::Log(text) => transport.log_event(&text),
            Action::Timer { .. } | Action::UpdatePeers { .. } => {}
        }
    }

    /// Starts an attempt. If it cannot be sent, its outcome is queued at once.
    fn send(&mut self, job_id: JobId, machine: WorkerId, by: Time, transport: &dyn Transport) {
        let Some(job) = self.jobs.get_mut(&job_id) else {
            // The module has not yet handled the event that closes this job. Without an outcome it would count this attempt
            // as in flight at its machine forever.
            let attempts = self.closed_attempts.entry(job_id).or_default();
            let id = AttemptId {
                job: job_id,
                number: *attempts,
            };
            *attempts += 1;
            return self.events.push(outcome(id, Status::Moot, true, None));
        };
        let id = AttemptId {
            job: job_id,
            number: job.attempts.len() as u32,
        };
        let open = job.reply.is_some();
        let attempt = Attempt {
            id,
            machine,
            until: job.until,
            by: by.min(job.until),
        };
        let in_flight = open && transport.send(attempt);
        job.attempts.push(AttemptRecord {
            machine,
            in_flight,
            given_up: false,
        });
        if !in_flight {
            let status = if open {
                Status::ConnectFailed
            } else {
                Status::Moot
            };
            self.events.push(outcome(id, status, !open, None));
        }
    }

    /// Cancels an attempt that is in flight. If its machine must acknowledge the cancellation, the outcome comes later.
    fn cancel(&mut self, id: AttemptId, transport: &dyn Transport) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let closed = job.reply.is_none();
        let record = job.attempts.get_mut(id.number as usize);
        let Some(record) = record.filter(|record| record.in_flight) else {
            return;
        };
        if std::mem::replace(&mut record.given_up, true) {
            return;
        }
        let status = match transport.give_up(id, record.machine) {
            GivenUp::Unsent => Status::Moot,
            GivenUp::Done => Status::Cancelled,
            GivenUp::Pending => return,
        };
        record.in_flight = false;
        self.events.push(outcome(id, status, closed, None));
        self.forget_if_finished(id.job, transport);
    }

    fn request_membership(&mut self, request: MembershipRequest, transport: &dyn Transport) {
        if !transport.request_membership(request) {
            self.events.push(Event::Membership {
                scope: Scope::Failed,
                entries: Vec::new(),
            });
        }
    }

    fn is_in_flight(&self, id: AttemptId) -> bool {
        self.jobs
            .get(&id.job)
            .and_then(|j| j.attempts.get(id.number as usize))
            .is_some_and(|h| h.in_flight)
    }

    fn answer(&mut self, id: JobId, answer: Answer, transport: &dyn Transport) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(reply) = job.reply.take() else {
            return;
        };
        count_answer(
            &self.metrics,
            job.class,
            if answer == Answer::Failed {
                End::Failed
            } else {
                End::Refused
            },
        );
        deliver(reply, id, answer, transport);
        self.forget_if_finished(id, transport);
    }

    /// Removes a job that needs no answer any more and has no attempt in flight.
    fn forget_if_finished(&mut self, id: JobId, transport: &dyn Transport) {
        let finished = |job: &Job| job.reply.is_none() && job.attempts.iter().all(|h| !h.in_flight);
        if !self.jobs.get(&id).is_some_and(finished) {
            return;
        }
        if let Some(job) = self.jobs.remove(&id) {
            self.closed_attempts.insert(id, job.attempts.len() as u32);
            self.due.remove(&(job.until, id));
            self.due.remove(&(job.until + GRACE_US, id));
            transport.forget(id);
        }
    }
}

/// Gives up all attempts of a job that are in flight at its deadline.
fn give_up_attempts(id: JobId, job: &mut Job, events: &mut Vec<Event>, transport: &dyn Transport) {
    let closed = job.reply.is_none();
    let records = job.attempts.iter_mut().zip(0..);
    for (record, number) in records.filter(|(record, _)| record.in_flight) {
        record.in_flight = false;
        let attempt = AttemptId { job: id, number };
        let unsent = transport.give_up(attempt, record.machine) == GivenUp::Unsent;
        let status = if unsent {
            Status::Moot
        } else {
            Status::Timeout
        };
        events.push(outcome(attempt, status, closed, None));
    }
}

/// Builds the event for an attempt that has ended. `closed`: the job needs no answer any more.
fn outcome(id: AttemptId, status: Status, closed: bool, load: Option<Load>) -> Event {
    Event::Outcome {
        request: id.job,
        attempt: id.number,
        status,
        closed,
        load,
    }
}

/// Delivers a job's answer to its reply channel or to the transport.
fn deliver(reply: Reply, job: JobId, answer: Answer, transport: &dyn Transport) {
    match reply {
        Reply::Channel(sender) => _ = sender.try_send(answer),
        Reply::Transport => transport.answer(job, answer),
    }
}

/// Counts a job's answer and takes the job off the number of open jobs.
fn count_answer(metrics: &Metrics, class: ClassId, end: End) {
    metrics.count(class, end);
    metrics.open.set(metrics.open.get() - 1);
}

//! Schedulers in virtual time: passes inputs to each scheduler, and carries out the actions that it decides on.

use super::events::Event;
use super::{ACKNOWLEDGEMENT_TIMEOUT, RunInProgress, Simulation};
use crate::baseline::BaselineScheduler;
use crate::check::Observation;
use crate::client::ClientResponse;
use crate::scenario::Micros;
use crate::worker::{self, RunId, worker_id};
use indigofold::api::{Load, Request, Status, WorkerId};
use indigofold::config::subject;
use indigofold_core::engine::Engine;
use indigofold_core::{
    Answer, Attempt, AttemptId, CoreInput, GivenUp, JobId, MembershipRequest, Reply, Transport,
};
use std::cell::RefCell;
use std::rc::Rc;

/// Idle connections are not reused after this time, in microseconds.
const IDLE_CONNECTION_TIMEOUT: Micros = 3_000_000;
/// Maximum number of idle connections that a scheduler keeps to one worker.
const MAX_IDLE_CONNECTIONS: u32 = 16;

/// An action that a scheduler has decided on.
pub(super) enum Action {
    SendAttempt(Attempt),
    CancelAttempt(AttemptId),
    Probe(WorkerId),
    CallDiscovery(MembershipRequest),
    Answer(JobId, Answer),
    Log(String),
}

/// Collects the actions of a scheduler while it handles an input.
#[derive(Default)]
pub(super) struct PendingActions(RefCell<Vec<Action>>);

impl PendingActions {
    fn push(&self, action: Action) {
        self.0.borrow_mut().push(action);
    }
}

impl Transport for PendingActions {
    fn send(&self, attempt: Attempt) -> bool {
        self.push(Action::SendAttempt(attempt));
        true
    }
    fn give_up(&self, attempt: AttemptId, _: WorkerId) -> GivenUp {
        self.push(Action::CancelAttempt(attempt));
        GivenUp::Done
    }
    fn probe(&self, worker: WorkerId) -> bool {
        self.push(Action::Probe(worker));
        true
    }
    fn hang_up(&self, _: WorkerId) {}
    fn request_membership(&self, request: MembershipRequest) -> bool {
        self.push(Action::CallDiscovery(request));
        true
    }
    fn answer(&self, job: JobId, answer: Answer) {
        self.push(Action::Answer(job, answer));
    }
    fn forget(&self, _: JobId) {}
    fn log_event(&self, text: &str) {
        self.push(Action::Log(text.to_string()));
    }
}

/// The decision logic of a scheduler: the real program's engine, or a baseline policy.
pub(super) enum DecisionCore {
    Engine(Box<Engine>),
    Baseline(Box<BaselineScheduler>),
}

impl DecisionCore {
    fn handle(&mut self, now: Micros, input: CoreInput, transport: &PendingActions) {
        match self {
            DecisionCore::Engine(engine) => engine.handle_input(now, input, transport),
            DecisionCore::Baseline(baseline) => baseline.handle(now, input, transport),
        }
    }

    fn step(&mut self, now: Micros, transport: &PendingActions) {
        match self {
            DecisionCore::Engine(engine) => engine.step(now, transport),
            DecisionCore::Baseline(baseline) => baseline.step(now, transport),
        }
    }

    fn due(&self) -> Option<Micros> {
        match self {
            DecisionCore::Engine(engine) => engine.due(),
            DecisionCore::Baseline(baseline) => baseline.due(),
        }
    }
}

/// The idle connections of a scheduler to one worker.
#[derive(Clone, Copy, Default)]
struct IdleConnections {
    count: u32,
    last_used: Micros,
}

impl IdleConnections {
    /// Takes an idle connection for an attempt. Returns false if there is none and a new connection must be opened.
    fn take(&mut self, now: Micros) -> bool {
        if now > self.last_used + IDLE_CONNECTION_TIMEOUT {
            self.count = 0;
        }
        let reused = self.count > 0;
        self.count = self.count.saturating_sub(1);
        self.last_used = now;
        reused
    }

    /// Returns a connection to the idle ones.
    fn put_back(&mut self, now: Micros) {
        self.count = (self.count + 1).min(MAX_IDLE_CONNECTIONS);
        self.last_used = now;
    }
}

/// The state of one scheduler.
pub(super) struct Scheduler {
    pub(super) zone: u32,
    /// Whether the scheduler has a discovery watch open.
    pub(super) watching: bool,
    core: DecisionCore,
    pending_actions: Rc<PendingActions>,
    /// When its next timer event is due.
    timer_at: Option<Micros>,
    /// Idle connections by worker.
    idle_connections: Vec<IdleConnections>,
}

impl Scheduler {
    pub(super) fn new(core: DecisionCore, zone: u32, workers: usize) -> Self {
        Scheduler {
            zone,
            watching: false,
            core,
            pending_actions: Rc::default(),
            timer_at: None,
            idle_connections: vec![IdleConnections::default(); workers],
        }
    }

    /// Drops the idle connections to a worker whose process has ended.
    pub(super) fn drop_connections(&mut self, worker: u32) {
        self.idle_connections[worker as usize].count = 0;
    }
}

impl Simulation<'_> {
    /// The scheduler that receives the next request from the clients of a zone, in round-robin order.
    pub(super) fn next_scheduler_in(&mut self, zone: u32) -> u32 {
        let turn = &mut self.zone_turns[zone as usize];
        *turn += 1;
        self.scenario.scheduler_of(zone, *turn)
    }

    /// Passes an input to a scheduler, and carries out the resulting actions.
    pub(super) fn notify_scheduler(&mut self, scheduler: u32, input: CoreInput) {
        let best = if self.uses_true_state {
            self.best_worker_for(&input)
        } else {
            None
        };
        let target = &mut self.schedulers[scheduler as usize];
        if let DecisionCore::Baseline(baseline) = &mut target.core {
            baseline.best = best;
        }
        let transport = target.pending_actions.clone();
        target.core.handle(self.now, input, &transport);
        self.perform_actions(scheduler);
    }

    /// The worker that would complete the job of an input first, by the true state of all workers; `None` if the input is not
    /// about a job or no worker takes it.
    fn best_worker_for(&self, input: &CoreInput) -> Option<WorkerId> {
        let job = match input {
            CoreInput::Job(request, ..) => request.id,
            CoreInput::Ended(attempt, ..) => attempt.job,
            _ => return None,
        };
        let work_item = self.work_item(job)?;
        // Attempts on their way to a worker count as well: they arrive before this one.
        let mut in_transit = vec![0.0; self.workers.len()];
        for run in self.runs.values().filter(|run| !run.acknowledged) {
            in_transit[run.worker as usize] += run.work_item.total_work() as f64;
        }
        let end = |w: usize| {
            let worker = &self.workers[w];
            let queued = in_transit[w] / worker.capacity(self.now);
            Some(worker.completion_estimate(self.now, &work_item)? + queued)
        };
        let ends = (0..self.workers.len()).filter_map(|w| Some((end(w)?, w)));
        ends.min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, w)| worker_id(w as u32))
    }

    /// The job in the form that workers receive, with run id 0.
    fn work_item(&self, job: JobId) -> Option<worker::Job> {
        let client_job = self.requests.get(&job)?.client_job;
        let arrival = &self.client_jobs[client_job as usize].arrival;
        let things = self.scenario.machines.things.as_ref();
        let object = things
            .and_then(|_| subject(&arrival.subject))
            .map(|s| (s, self.fetch_time));
        Some(worker::Job {
            run_id: 0,
            work: arrival.work,
            slots: arrival.slots,
            priority: self.scenario.classes[arrival.class as usize].priority,
            object,
        })
    }

    /// Passes a request to the scheduler that it has reached.
    pub(super) fn handle_request(&mut self, scheduler: u32, job: JobId) {
        let Some(request) = self.requests.get(&job) else {
            return;
        };
        let client_job = &self.client_jobs[request.client_job as usize];
        let arrival = &client_job.arrival;
        // The deadline counts from the time at which the client sent its first try.
        let until = client_job.deadline_at;
        // Without object caches, a subject would only teach the module that there are no fetches.
        let things = self.scenario.machines.things.as_ref();
        let request = Request {
            id: job,
            class: arrival.class,
            tenant: arrival.parish.unwrap_or(u32::MAX),
            left: until.saturating_sub(self.now),
            estimate: None,
            slots: f64::from(arrival.slots),
            memory: 0.0,
            subject: things.and_then(|_| subject(&arrival.subject)),
        };
        self.checker.observe(Observation::RequestAccepted {
            job,
            class: arrival.class,
            at: self.now,
            until,
        });
        self.notify_scheduler(scheduler, CoreInput::Job(request, until, Reply::Transport));
    }

    pub(super) fn handle_client_left(&mut self, scheduler: u32, job: JobId) {
        self.notify_scheduler(scheduler, CoreInput::ClientLeft(job));
    }

    pub(super) fn handle_scheduler_timer(&mut self, scheduler: u32) {
        let target = &mut self.schedulers[scheduler as usize];
        if target.timer_at != Some(self.now) {
            return; // an earlier timer has replaced this one
        }
        target.timer_at = None;
        let transport = target.pending_actions.clone();
        target.core.step(self.now, &transport);
        self.perform_actions(scheduler);
    }

    /// Carries out the pending actions of a scheduler, and sets its timer.
    fn perform_actions(&mut self, scheduler: u32) {
        let mut actions = std::mem::take(&mut self.action_buffer);
        let pending = &self.schedulers[scheduler as usize].pending_actions;
        std::mem::swap(&mut actions, &mut pending.0.borrow_mut());
        for action in actions.drain(..) {
            self.perform(scheduler, action);
        }
        self.action_buffer = actions;
        let target = &mut self.schedulers[scheduler as usize];
        let Some(due) = target.core.due().map(|due| due.max(self.now)) else {
            return;
        };
        if target.timer_at.is_none_or(|timer_at| due < timer_at) {
            target.timer_at = Some(due);
            self.schedule(due, Event::SchedulerTimer { scheduler });
        }
    }

    fn perform(&mut self, scheduler: u32, action: Action) {
        match action {
            Action::SendAttempt(attempt) => self.send_attempt(scheduler, attempt),
            Action::CancelAttempt(attempt) => self.cancel_attempt(scheduler, attempt),
            Action::Probe(worker) => self.send_probe(scheduler, worker),
            Action::CallDiscovery(MembershipRequest::Watch(on)) => {
                self.schedulers[scheduler as usize].watching = on;
                if on {
                    self.request_membership(scheduler);
                }
            }
            Action::CallDiscovery(MembershipRequest::FetchAll) => {
                self.request_membership(scheduler);
            }
            Action::Answer(job, answer) => self.send_response(job, answer),
            Action::Log(text) => {
                let without_numbers = text.chars().filter(|c| !c.is_ascii_digit()).collect();
                *self.scheduler_messages.entry(without_numbers).or_default() += 1;
            }
        }
    }

    fn send_probe(&mut self, scheduler: u32, worker: WorkerId) {
        self.service.record_probe();
        let Some(worker) = self.worker_numbers.get(&worker).copied() else {
            return;
        };
        let delay = self.delay_to_worker(scheduler, worker);
        let event = Event::ProbeAtWorker { scheduler, worker };
        self.schedule(self.now + delay, event);
    }

    pub(super) fn handle_probe_result(&mut self, scheduler: u32, worker: u32, answered: bool) {
        let report = self.load_report(worker);
        let load = Load {
            inflight: Some(f64::from(report.inflight)),
            queue: Some(f64::from(report.queue)),
            free_slots: Some(f64::from(report.free)),
            ..Load::default()
        };
        let status = if answered {
            Status::Ok
        } else {
            Status::Timeout
        };
        let input = CoreInput::Probed(worker_id(worker), status, answered.then_some(load));
        self.notify_scheduler(scheduler, input);
    }

    fn send_attempt(&mut self, scheduler: u32, attempt: Attempt) {
        let Some(worker) = self.worker_numbers.get(&attempt.machine).copied() else {
            return;
        };
        let job = attempt.id.job;
        let Some(work_item) = self.work_item(job) else {
            return;
        };
        let run_id = self.next_run_id;
        self.next_run_id += 1;
        self.run_ids.insert(attempt.id, run_id);
        let zone = self.schedulers[scheduler as usize].zone;
        let crosses_zones = zone != self.scenario.zone_of(worker);
        self.service.record_attempt(self.now, crosses_zones);
        self.checker.observe(Observation::AttemptSent {
            job,
            scheduler,
            worker,
            at: self.now,
            work: work_item.total_work(),
        });
        let run = RunInProgress {
            scheduler,
            attempt: attempt.id,
            worker,
            work_item: worker::Job {
                run_id,
                ..work_item
            },
            acknowledged: false,
        };
        self.runs.insert(run_id, run);
        let delay = self.delay_to_worker(scheduler, worker);
        let connected_at = self.now + self.connect_time(scheduler, worker, delay);
        self.schedule(connected_at + delay, Event::AttemptAtWorker(run_id));
        let timeout_at = connected_at + ACKNOWLEDGEMENT_TIMEOUT;
        self.schedule(timeout_at, Event::AcknowledgementTimeout(run_id));
    }

    /// Time until a scheduler has a connection, in microseconds: 0 for an idle one, a round trip for a new one.
    fn connect_time(&mut self, scheduler: u32, worker: u32, delay: Micros) -> Micros {
        let connections = &mut self.schedulers[scheduler as usize].idle_connections;
        if connections[worker as usize].take(self.now) {
            0
        } else {
            2 * delay
        }
    }

    /// Marks an attempt as acknowledged, and returns its connection to the idle ones.
    pub(super) fn handle_acceptance(&mut self, run: RunId) {
        let Some(run) = self.runs.get_mut(&run) else {
            return;
        };
        run.acknowledged = true;
        let scheduler = &mut self.schedulers[run.scheduler as usize];
        scheduler.idle_connections[run.worker as usize].put_back(self.now);
    }

    pub(super) fn handle_acknowledgement_timeout(&mut self, run: RunId) {
        if let Some(run) = self.runs.get(&run).filter(|run| !run.acknowledged) {
            let (scheduler, attempt) = (run.scheduler, run.attempt);
            self.notify_scheduler(scheduler, CoreInput::Unacknowledged(attempt));
        }
    }

    /// Passes a worker's event about a run to its scheduler.
    pub(super) fn handle_worker_update(&mut self, update: worker::Event) {
        let run_id = update.run_id();
        let Some(run) = self.runs.get_mut(&run_id) else {
            return;
        };
        run.acknowledged = true;
        let (scheduler, attempt) = (run.scheduler, run.attempt);
        match update {
            worker::Event::Started(_) => {
                self.notify_scheduler(scheduler, CoreInput::Started(attempt));
            }
            worker::Event::Progress(_, thousandths) => {
                let fraction = f64::from(thousandths) / 1000.0;
                self.notify_scheduler(scheduler, CoreInput::Progress(attempt, fraction));
            }
            worker::Event::Done(_) => self.end_attempt(run_id, Status::Ok),
            worker::Event::Returned(_) => self.end_attempt(run_id, Status::Full),
            worker::Event::Lost(_) => self.end_attempt(run_id, Status::Reset),
        }
    }

    /// Cancels an attempt. If workers stop cancelled jobs in this scenario, the job stops once the message reaches its worker.
    fn cancel_attempt(&mut self, scheduler: u32, attempt: AttemptId) {
        let Some(run_id) = self.run_ids.remove(&attempt) else {
            return;
        };
        let Some(worker) = self.runs.get(&run_id).map(|run| run.worker) else {
            return;
        };
        let job = attempt.job;
        self.checker.observe(Observation::AttemptCancelled { job });
        if self.scenario.machines.cancel {
            let delay = self.delay_to_worker(scheduler, worker);
            self.schedule(self.now + delay, Event::CancelAtWorker(run_id));
        }
    }

    /// Sends a scheduler's answer to its client.
    fn send_response(&mut self, job: JobId, answer: Answer) {
        let Some(request) = self.requests.get_mut(&job) else {
            return;
        };
        request.answered = true;
        let response = match answer {
            Answer::Served => ClientResponse::Served,
            Answer::Rejected(retry_after) => ClientResponse::Refused(retry_after),
            Answer::Failed => ClientResponse::Failed,
        };
        self.checker.observe(response.observation(job, self.now));
        let delay = self.network_delay(self.scenario.network.client_ms);
        let event = Event::ResponseAtClient { job, response };
        self.schedule(self.now + delay, event);
    }

    /// Passes the status with which an attempt ended to its scheduler.
    pub(super) fn end_attempt(&mut self, run_id: RunId, status: Status) {
        let Some(run) = self.runs.remove(&run_id) else {
            return;
        };
        self.run_ids.remove(&run.attempt);
        let job = run.attempt.job;
        self.checker.observe(Observation::AttemptEnded { job });
        self.notify_scheduler(run.scheduler, CoreInput::Ended(run.attempt, status, None));
    }
}

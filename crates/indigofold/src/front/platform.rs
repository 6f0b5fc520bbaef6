//! The platform front end: HTTP/1.1 with clients, job workers and discovery.

pub mod clients;
pub mod connection_state;
pub mod membership;
pub mod migration;
pub mod peer_process;
pub mod workers;

use super::Lifecycle;
use crate::api::{Entry, Status, Time, WorkerId, WorkerState};
use crate::config::{self, JobReport, Machine as ListedMachine, MembershipUpdate, Site};
use crate::net::buffer::Buffer;
use crate::net::{Net, log};
use async_channel::{Sender, TrySendError, WeakSender, bounded};
use futures_lite::future::yield_now;
use indigofold_core::actor::Mailbox;
use indigofold_core::clock::Clock;
use indigofold_core::metrics::Metrics;
use indigofold_core::{
    Answer, Attempt, AttemptId, CoreInput, GivenUp, JobId, MembershipRequest, Transport,
};
use peer_process::PeerProcess;
use simd_json::prelude::{ValueAsScalar, Writable};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use workers::{AttemptState, Order, Stage, WorkerActor};

/// Capacity of a machine's order queue. An attempt that finds it full is rejected unsent.
const MAX_QUEUED_ORDERS: usize = 512;

/// An open job: its message as forwarded to job workers, its result and its attempts.
pub struct JobRecord {
    /// The job id chosen by the client (`X-Trace-Id`).
    pub trace: String,
    /// The forwarded message: first the body, then the request line and the headers. The header with the remaining time
    /// is added when an attempt is sent.
    pub text: Buffer,
    /// Length of the body in bytes.
    pub body: usize,
    /// The first result reported by a job worker; `None` before that.
    pub result: RefCell<Option<Vec<u8>>>,
    /// The state of each attempt, indexed by attempt number.
    attempts: RefCell<Vec<Rc<AttemptState>>>,
    /// Channel for the answer; closed once the answer has been given or the client has left.
    reply: WeakSender<Answer>,
}

impl JobRecord {
    /// Whether a client still waits for the answer.
    pub fn is_awaited(&self) -> bool {
        self.reply.upgrade().is_some()
    }
}

/// The mailbox of a machine's actor, and whether the membership lists the machine as draining or gone.
struct Machine {
    orders: Sender<Order>,
    draining: Rc<Cell<bool>>,
}

/// State shared by the actors of this front end.
pub struct Platform {
    /// The network.
    net: Net,
    /// Monotonic clock of the process.
    clock: Clock,
    /// The site: settings, and the ids of zones, kinds, classes and tenants.
    site: RefCell<Site>,
    /// Mailbox of the core.
    core: Mailbox,
    /// A membership is known, so jobs can be sent.
    ready: Cell<bool>,
    /// The program's lifecycle.
    lifecycle: Rc<Lifecycle>,
    /// Counters of the process.
    metrics: Rc<Metrics>,
    records: RefCell<HashMap<JobId, Rc<JobRecord>>>,
    traces: RefCell<HashMap<String, JobId>>,
    next_job: Cell<JobId>,
    machines: RefCell<HashMap<WorkerId, Machine>>,
    names: RefCell<HashMap<String, WorkerId>>,
    peers: RefCell<Vec<Rc<PeerProcess>>>,
    migration: migration::Migration,
    membership: Sender<membership::Command>,
}

impl Platform {
    /// Creates the front end. The membership watcher receives its commands from the other end of `membership`.
    pub fn new(
        net: Net,
        clock: Clock,
        lifecycle: Rc<Lifecycle>,
        metrics: Rc<Metrics>,
        site: Site,
        core: Mailbox,
        membership: Sender<membership::Command>,
    ) -> Rc<Self> {
        Rc::new(Platform {
            net,
            clock,
            site: RefCell::new(site),
            core,
            ready: Cell::new(false),
            lifecycle,
            metrics,
            records: RefCell::default(),
            traces: RefCell::default(),
            next_job: Cell::new(1),
            machines: RefCell::default(),
            names: RefCell::default(),
            peers: RefCell::default(),
            migration: migration::Migration::default(),
            membership,
        })
    }

    /// Registers a new job. Returns `None` if a job with the same id is open in this process or in a peer process.
    fn register_job(
        &self,
        trace: &str,
        (text, body): (Buffer, usize),
        reply: WeakSender<Answer>,
    ) -> Option<(JobId, Rc<JobRecord>)> {
        if self.traces.borrow().contains_key(trace) || self.is_open_at_peer(trace) {
            return None;
        }
        let id = self.next_job.get();
        self.next_job.set(id + 1);
        let record = JobRecord {
            trace: trace.to_string(),
            text,
            body,
            result: RefCell::default(),
            attempts: RefCell::default(),
            reply,
        };
        let record = Rc::new(record);
        self.traces.borrow_mut().insert(trace.to_string(), id);
        self.records.borrow_mut().insert(id, record.clone());
        self.notify_peers(|| peer_process::HandoverMessage::JobOpened(trace.to_string()));
        Some((id, record))
    }

    /// Switches to the discovery service at this address.
    pub async fn move_discovery(&self, to: SocketAddr) {
        let _ = self.membership.send(membership::Command::MoveTo(to)).await;
    }

    /// Applies new settings to this front end and to the decision module at the same point in the core's mailbox: jobs
    /// parsed with the old settings precede the change in the mailbox, jobs parsed with the new ones follow it.
    pub async fn reconfigure(&self, new: Site) {
        let site = self.site.borrow().reloaded_with(new);
        let mut input = CoreInput::Settings(Box::new(site.settings.clone()));
        while let Err(TrySendError::Full(returned)) = self.core.try_send(input) {
            input = returned;
            yield_now().await;
        }
        *self.site.borrow_mut() = site;
    }

    /// The network that this front end serves on.
    pub fn net(&self) -> &Net {
        &self.net
    }

    /// Lifecycle state of the process.
    pub fn lifecycle(&self) -> &Rc<Lifecycle> {
        &self.lifecycle
    }

    /// Counters of the process.
    pub fn metrics(&self) -> &Rc<Metrics> {
        &self.metrics
    }

    /// Whether a membership is known, so that jobs can be sent.
    pub fn has_membership(&self) -> bool {
        self.ready.get()
    }

    /// The longest default deadline of the site's classes, in microseconds.
    pub fn longest_deadline(&self) -> Time {
        self.site.borrow().longest_deadline()
    }

    /// The names of the site's classes, indexed by class id.
    pub fn class_names(&self) -> Vec<String> {
        let site = self.site.borrow();
        site.classes.all().map(str::to_string).collect()
    }

    /// Number of jobs that are open in this process.
    pub fn open_jobs(&self) -> usize {
        self.records.borrow().len()
    }

    fn knows_machines(&self) -> bool {
        !self.machines.borrow().is_empty()
    }

    fn record(&self, job: JobId) -> Option<Rc<JobRecord>> {
        self.records.borrow().get(&job).cloned()
    }

    /// Returns the id of a machine, derived from its name. All schedulers derive the same id, so they agree on which of
    /// them is the first to send to a cold machine.
    fn worker_id(&self, host: &str) -> WorkerId {
        if let Some(id) = self.names.borrow().get(host) {
            return *id;
        }
        let hex = host.rsplit('-').next().filter(|h| h.len() == 8);
        let id = hex
            .and_then(|h| u32::from_str_radix(h, 16).ok())
            .unwrap_or_else(|| config::machine_id(host));
        let id = config::next_free_id(id, |id| {
            self.names.borrow().values().any(|other| *other == id)
        });
        self.names.borrow_mut().insert(host.to_string(), id);
        id
    }

    /// Applies an update from discovery: notifies the machines' actors and returns the entries for the core. After this
    /// call nothing new is sent to a draining machine, even if an attempt was already assigned to it.
    pub fn apply_membership(self: &Rc<Self>, update: MembershipUpdate) -> Vec<Entry> {
        if update.complete {
            self.machines
                .borrow()
                .values()
                .for_each(|m| m.draining.set(true)); // reset below for machines in the update
        }
        let mut entries = Vec::new();
        for machine in update.hosts {
            let worker = self.worker_id(&machine.host);
            let state = match machine.health.as_str() {
                "Ready" => WorkerState::Active,
                "Gone" => WorkerState::Left,
                _ => WorkerState::Draining,
            };
            self.apply_machine(worker, &machine, state);
            let mut site = self.site.borrow_mut();
            entries.push(Entry {
                worker,
                zone: site.zones.id(&machine.site),
                kind: site.kinds.id(&machine.class),
                cell: machine.block,
                state,
                power: machine.share,
                ready_at: machine.born_ms.saturating_mul(1000),
            });
        }
        entries
    }

    /// Passes a machine's address and draining state to its actor; starts the actor of a new machine.
    fn apply_machine(
        self: &Rc<Self>,
        worker: WorkerId,
        machine: &ListedMachine,
        state: WorkerState,
    ) {
        let dial = machine.dial.parse();
        if dial.is_ok() && !self.machines.borrow().contains_key(&worker) {
            self.start_worker(worker, &machine.host);
        }
        if let Some(known) = self.machines.borrow().get(&worker) {
            known.draining.set(state != WorkerState::Active);
        }
        match dial {
            Ok(dial) if !self.order(worker, Order::Address(dial)) => {
                log(format_args!(
                    "machine={} address update dropped: its order queue is full",
                    machine.host
                ));
            }
            Err(_) if state == WorkerState::Active => {
                log(format_args!(
                    "machine={} has an invalid address, expected IP:PORT: {:?}",
                    machine.host, machine.dial
                ));
            }
            _ => {}
        }
    }

    /// Starts the actor of a machine and stores its mailbox.
    fn start_worker(self: &Rc<Self>, worker: WorkerId, host: &str) {
        let ((orders, inbox), draining) = (bounded(MAX_QUEUED_ORDERS), Rc::default());
        let actor = WorkerActor::new(self.clone(), worker, host.to_string(), Rc::clone(&draining));
        self.net.spawn(actor.run(inbox));
        self.machines
            .borrow_mut()
            .insert(worker, Machine { orders, draining });
    }

    /// Converts a report into an input for the core. Returns `None` for a report on no open attempt, such as a job that was
    /// answered long ago or an attempt of a former incarnation of this scheduler.
    fn interpret_report(&self, report: &JobReport) -> Option<CoreInput> {
        let job = *self.traces.borrow().get(&report.id)?;
        let machine = *self.names.borrow().get(&report.from)?;
        let record = self.record(job)?;
        let attempts = record.attempts.borrow();
        let reported =
            |attempt: &Rc<AttemptState>| attempt.machine == machine && attempt.fully_sent();
        let last = attempts.iter().rposition(reported)?;
        // With an earlier attempt on the same machine, the report may be a duplicate about that one, and the last attempt
        // may be running. "returned" then doesn't count as proof that the attempt never ran.
        let repeated = attempts[..last].iter().any(reported);
        let attempt = AttemptId {
            job,
            number: last as u32,
        };
        let load = || {
            report
                .load
                .as_ref()
                .map(|l| self.site.borrow().load_value(l))
        };
        Some(match report.state.as_str() {
            "started" => CoreInput::Started(attempt),
            "running" => CoreInput::Progress(attempt, report.share),
            "done" => {
                let result = match &report.result {
                    Some(value) => value
                        .as_str()
                        .map_or_else(|| value.encode(), str::to_string),
                    None => String::new(),
                };
                // The first result is kept, as the answer may already be in transit.
                record
                    .result
                    .borrow_mut()
                    .get_or_insert(result.into_bytes());
                CoreInput::Ended(attempt, Status::Ok, load())
            }
            "failed" => CoreInput::Ended(attempt, Status::Error, load()),
            "returned" if repeated => CoreInput::Ended(attempt, Status::Error, load()),
            "returned" => CoreInput::Ended(attempt, Status::Full, load()),
            "lost" => CoreInput::Ended(attempt, Status::Reset, load()),
            _ => return None,
        })
    }

    fn forget_attempts(&self, job: JobId, record: &JobRecord) {
        for (n, attempt) in record.attempts.borrow().iter().enumerate() {
            self.order(
                attempt.machine,
                Order::Forget(AttemptId {
                    job,
                    number: n as u32,
                }),
            );
        }
    }

    fn order(&self, machine: WorkerId, order: Order) -> bool {
        self.machines
            .borrow()
            .get(&machine)
            .is_some_and(|m| m.orders.try_send(order).is_ok())
    }
}

impl Transport for Platform {
    fn send(&self, attempt: Attempt) -> bool {
        let Some(record) = self.record(attempt.id.job) else {
            return false;
        };
        let state = AttemptState::new(attempt.machine, Stage::Unsent);
        record.attempts.borrow_mut().push(state.clone());
        self.order(attempt.machine, Order::Send(attempt, record, state))
    }

    fn give_up(&self, attempt: AttemptId, machine: WorkerId) -> GivenUp {
        let Some(record) = self.record(attempt.job) else {
            return GivenUp::Done;
        };
        let unsent = record
            .attempts
            .borrow()
            .get(attempt.number as usize)
            .is_some_and(|a| a.withdraw());
        if let Some(orders) = self
            .machines
            .borrow()
            .get(&machine)
            .map(|m| m.orders.clone())
        {
            let order = Order::GiveUp(attempt, record);
            if let Err(TrySendError::Full(order)) = orders.try_send(order) {
                self.net.spawn(async move { _ = orders.send(order).await });
            }
        }
        if unsent {
            GivenUp::Unsent
        } else {
            GivenUp::Pending
        }
    }

    fn probe(&self, machine: WorkerId) -> bool {
        self.order(machine, Order::Probe)
    }

    fn hang_up(&self, machine: WorkerId) {
        self.order(machine, Order::HangUp);
    }

    fn request_membership(&self, request: MembershipRequest) -> bool {
        self.membership
            .try_send(membership::Command::Request(request))
            .is_ok()
    }

    fn forget(&self, job: JobId) {
        if let Some(record) = self.records.borrow_mut().remove(&job) {
            self.traces.borrow_mut().remove(&record.trace);
            self.drop_deferred_reports(&record.trace);
            self.notify_peers(|| peer_process::HandoverMessage::JobClosed(record.trace.clone()));
            self.forget_attempts(job, &record);
        }
    }

    fn log_event(&self, text: &str) {
        log(format_args!("desk {text}"));
    }
}

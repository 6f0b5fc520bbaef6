//! The events of a simulation, and the dispatch to their handlers.

use super::{LoggedRequest, Simulation};
use crate::client::ClientResponse;
use crate::scenario::Micros;
use crate::worker::{self, RunId};
use indigofold::api::{Status, WorkerState};
use indigofold_core::JobId;

/// An event of the simulation. Schedulers, workers and faults are indices from 0; a client job is the index of its slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Event {
    /// The next arrival of the load is due, and its first try is sent.
    Arrival,
    /// A client sends a retry, unless its job has ended.
    RetryDue { client_job: u32, retry: u32 },
    /// A request reaches its scheduler.
    RequestAtScheduler { scheduler: u32, job: JobId },
    /// A scheduler is due to be stepped.
    SchedulerTimer { scheduler: u32 },
    /// An attempt reaches its worker.
    AttemptAtWorker(RunId),
    /// A scheduler learns that a worker rejected an attempt, or that the connection failed.
    AttemptRejected { run: RunId, status: Status },
    /// A scheduler learns that a worker has accepted an attempt.
    AttemptAccepted(RunId),
    /// The time in which a worker must acknowledge an attempt is over.
    AcknowledgementTimeout(RunId),
    /// A worker learns that an attempt was cancelled.
    CancelAtWorker(RunId),
    /// A worker is due to be stepped.
    WorkerTimer { worker: u32 },
    /// A scheduler learns what happened to a run.
    WorkerUpdate(worker::Event),
    /// A response reaches its client.
    ResponseAtClient {
        job: JobId,
        response: ClientResponse,
    },
    /// The deadline of a client's job passes. `arrival` is the low 32 bits of the arrival's number and identifies the job, since
    /// slots are reused.
    ClientDeadline { client_job: u32, arrival: u32 },
    /// A scheduler learns that a client no longer waits.
    ClientLeft { scheduler: u32, job: JobId },
    /// A probe reaches its worker.
    ProbeAtWorker { scheduler: u32, worker: u32 },
    /// A scheduler receives the response to a probe, or the probe times out.
    ProbeResult {
        scheduler: u32,
        worker: u32,
        answered: bool,
    },
    /// A scheduler receives the full membership.
    MembershipResponse { scheduler: u32 },
    /// A discovery watch times out without a change, and returns an empty response.
    WatchTimeout { scheduler: u32 },
    /// Discovery learns of a change to a worker; `started_at` is when its process started, 0 if it has ended or drains.
    DiscoveryChange {
        worker: u32,
        state: WorkerState,
        started_at: Micros,
    },
    /// A fault of the scenario begins.
    FaultBegins { fault: u32 },
    /// A fault of the scenario ends.
    FaultEnds { fault: u32 },
    /// The next stall of a fault with recurring stalls begins.
    StallDue { fault: u32 },
    /// The warm-up state of a worker is reported to the checkers.
    WarmUpCheck { worker: u32 },
}

impl Simulation<'_> {
    /// Handles one event other than an arrival. `log` takes each request once it has ended.
    pub(super) fn handle_event(&mut self, event: Event, log: &mut impl FnMut(LoggedRequest<'_>)) {
        match event {
            // Handled by `Simulation::play`, which reads the load.
            Event::Arrival => {}
            Event::RetryDue { client_job, retry } => self.handle_retry_due(client_job, retry),
            Event::RequestAtScheduler { scheduler, job } => self.handle_request(scheduler, job),
            Event::SchedulerTimer { scheduler } => self.handle_scheduler_timer(scheduler),
            Event::AttemptAtWorker(run) => self.handle_attempt(run),
            Event::AttemptRejected { run, status } => self.end_attempt(run, status),
            Event::AttemptAccepted(run) => self.handle_acceptance(run),
            Event::AcknowledgementTimeout(run) => self.handle_acknowledgement_timeout(run),
            Event::CancelAtWorker(run) => self.handle_cancellation(run),
            Event::WorkerTimer { worker } => self.handle_worker_timer(worker),
            Event::WorkerUpdate(update) => self.handle_worker_update(update),
            Event::ResponseAtClient { job, response } => self.handle_response(job, response, log),
            Event::ClientDeadline {
                client_job,
                arrival,
            } => self.handle_client_deadline(client_job, arrival, log),
            Event::ClientLeft { scheduler, job } => self.handle_client_left(scheduler, job),
            Event::ProbeAtWorker { scheduler, worker } => self.handle_probe(scheduler, worker),
            Event::ProbeResult {
                scheduler,
                worker,
                answered,
            } => self.handle_probe_result(scheduler, worker, answered),
            Event::MembershipResponse { scheduler } => self.handle_membership_response(scheduler),
            Event::WatchTimeout { scheduler } => self.handle_watch_timeout(scheduler),
            Event::DiscoveryChange {
                worker,
                state,
                started_at,
            } => self.handle_discovery_change(worker, state, started_at),
            Event::FaultBegins { fault } => self.begin_fault(fault),
            Event::FaultEnds { fault } => self.end_fault(fault),
            Event::StallDue { fault } => self.stall_workers(fault),
            Event::WarmUpCheck { worker } => self.check_warm_up(worker),
        }
    }
}

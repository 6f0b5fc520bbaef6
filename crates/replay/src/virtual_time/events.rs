//! The events of a simulation, and which part handles each.

use super::{LoggedRequest, Simulation};
use crate::client::ClientResponse;
use crate::scenario::Micros;
use crate::worker::{self, RunId};
use indigofold::api::{Status, WorkerState};
use indigofold_core::JobId;

/// Something that happens at a time. Schedulers, workers and faults are numbers from 0, client jobs are slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Event {
    /// The next first try of the load is sent.
    Arrival,
    /// A client sends a retry, unless its job has ended.
    RetryDue { client_job: u32, retry: u32 },
    /// A request has reached its scheduler.
    RequestAtScheduler { scheduler: u32, job: JobId },
    /// A scheduler is due to be stepped.
    SchedulerTimer { scheduler: u32 },
    /// An attempt has reached its worker.
    AttemptAtWorker(RunId),
    /// A scheduler learns that an attempt was rejected, or had no connection.
    AttemptRejected { run: RunId, status: Status },
    /// A scheduler learns that a worker has accepted an attempt.
    AttemptAccepted(RunId),
    /// A worker should have acknowledged an attempt by now.
    AcknowledgementTimeout(RunId),
    /// A worker learns that an attempt was cancelled.
    CancelAtWorker(RunId),
    /// A worker is due to be stepped.
    WorkerTimer { worker: u32 },
    /// A scheduler learns what happened to a run.
    WorkerUpdate(worker::Event),
    /// A response has reached its client.
    ResponseAtClient {
        job: JobId,
        response: ClientResponse,
    },
    /// A client stops waiting; `arrival` is the low part of its job's number, since slots are used again.
    ClientDeadline { client_job: u32, arrival: u32 },
    /// A scheduler learns that a client no longer waits.
    ClientLeft { scheduler: u32, job: JobId },
    /// A probe has reached its worker.
    ProbeAtWorker { scheduler: u32, worker: u32 },
    /// The answer of a probe is back, or its time-out is over.
    ProbeResult {
        scheduler: u32,
        worker: u32,
        answered: bool,
    },
    /// A scheduler receives the whole membership.
    MembershipResponse { scheduler: u32 },
    /// A watch of discovery returns empty.
    WatchTimeout { scheduler: u32 },
    /// Discovery learns of a change; `started_at` is when the process started, 0 for long ago.
    DiscoveryChange {
        worker: u32,
        state: WorkerState,
        started_at: Micros,
    },
    /// A fault of the scenario begins.
    FaultBegins { fault: u32 },
    /// A fault of the scenario ends.
    FaultEnds { fault: u32 },
    /// Workers with a recurring stall stop for a while.
    StallDue { fault: u32 },
    /// The checkers learn how warm a worker is.
    WarmUpCheck { worker: u32 },
}

impl Simulation<'_> {
    /// Handles one event other than an arrival. `log` takes each request once it has ended.
    pub(super) fn handle_event(&mut self, event: Event, log: &mut impl FnMut(LoggedRequest<'_>)) {
        match event {
            // The load is read where the loop runs.
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

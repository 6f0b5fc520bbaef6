//! Clients in virtual time: each job with its first try and all its retries.

use super::events::Event;
use super::{LoggedRequest, Retries, Simulation};
use crate::check::Observation;
use crate::client::{ClientResponse, next_retry};
use crate::load::Arrival;
use crate::scenario::Micros;
use crate::service::{EndedJob, JobEnd};
use indigofold_core::JobId;
use smallvec::SmallVec;

/// The state of a client's job.
pub(super) struct ClientJob {
    pub(super) arrival: Arrival,
    pub(super) deadline_at: Micros,
    beyond_quota: bool,
    /// Number of requests without a response plus retries that are scheduled but not yet sent.
    pending: u32,
    /// Requests that still await a response.
    requests: SmallVec<[JobId; 2]>,
    last_response: Option<ClientResponse>,
    /// Whether the end of the job has not been counted yet.
    open: bool,
}

/// One request of a client at a scheduler.
pub(super) struct ClientRequest {
    pub(super) client_job: u32,
    /// Number of the retry; 0 for the first try.
    retry: u32,
    scheduler: u32,
    arrived_at: Micros,
    /// Whether the scheduler has answered the request; the response may still be on its way.
    pub(super) answered: bool,
}

impl Simulation<'_> {
    pub(super) fn all_client_jobs_ended(&self) -> bool {
        self.free_client_jobs.len() == self.client_jobs.len()
    }

    /// Creates a job for a new arrival, and sends its first try.
    pub(super) fn handle_arrival(&mut self, arrival: Arrival) {
        let beyond_quota = self.service.record_arrival(arrival.at, arrival.parish);
        let sent_at = arrival.at;
        let recorded = match self.retries {
            Retries::Recorded => arrival.retries.clone(),
            Retries::Model | Retries::None => Vec::new(),
        };
        let slot = self.store_client_job(ClientJob {
            deadline_at: arrival.at + arrival.deadline,
            arrival,
            beyond_quota,
            pending: 0,
            requests: SmallVec::new(),
            last_response: None,
            open: true,
        });
        for (n, after) in recorded.iter().enumerate() {
            self.client_jobs[slot as usize].pending += 1; // until the retry is sent
            let retry = n as u32 + 1;
            let client_job = slot;
            self.schedule(sent_at + after, Event::RetryDue { client_job, retry });
        }
        self.send_request(slot, 0);
    }

    /// Stores a job in a free slot, and returns the slot.
    fn store_client_job(&mut self, client_job: ClientJob) -> u32 {
        match self.free_client_jobs.pop() {
            Some(slot) => {
                self.client_jobs[slot as usize] = client_job;
                slot
            }
            None => {
                self.client_jobs.push(client_job);
                self.client_jobs.len() as u32 - 1
            }
        }
    }

    fn send_request(&mut self, slot: u32, retry: u32) {
        let client_job = &mut self.client_jobs[slot as usize];
        client_job.pending += 1;
        let deadline_at = client_job.deadline_at;
        let (sent_at, number) = (client_job.arrival.at, client_job.arrival.number);
        let zone = self.scenario.home(client_job.arrival.parish, number);
        if retry > 0 {
            self.service.record_retry(sent_at);
        }
        let scheduler = self.next_scheduler_in(zone);
        let job = self.next_job;
        self.next_job += 1;
        let arrived_at = self.now + self.network_delay(self.scenario.network.client_ms);
        self.client_jobs[slot as usize].requests.push(job);
        self.requests.insert(
            job,
            ClientRequest {
                client_job: slot,
                retry,
                scheduler,
                arrived_at,
                answered: false,
            },
        );
        self.schedule(arrived_at, Event::RequestAtScheduler { scheduler, job });
        if retry == 0 {
            let arrival = number as u32;
            let client_job = slot;
            let event = Event::ClientDeadline {
                client_job,
                arrival,
            };
            self.schedule(deadline_at, event);
        }
    }

    pub(super) fn handle_retry_due(&mut self, slot: u32, retry: u32) {
        let client_job = &mut self.client_jobs[slot as usize];
        client_job.pending -= 1;
        if client_job.open && self.now < client_job.deadline_at {
            self.send_request(slot, retry);
        } else {
            self.end_if_idle(slot);
        }
    }

    /// Handles a response that has reached its client: the job ends, or a retry is scheduled.
    pub(super) fn handle_response(
        &mut self,
        job: JobId,
        response: ClientResponse,
        log: &mut impl FnMut(LoggedRequest<'_>),
    ) {
        let Some(request) = self.requests.remove(&job) else {
            return;
        };
        let slot = request.client_job;
        let network_us = (self.scenario.network.client_ms * 1e3) as Micros;
        let client_job = &mut self.client_jobs[slot as usize];
        client_job.pending -= 1;
        client_job.requests.retain(|other| *other != job);
        log(LoggedRequest {
            arrival: &client_job.arrival,
            retry: request.retry,
            scheduler: request.scheduler,
            from: request.arrived_at,
            to: self.now.saturating_sub(network_us).max(request.arrived_at),
            status: Some(response.http_status()),
        });
        if !client_job.open {
            return self.end_if_idle(slot);
        }
        client_job.last_response = Some(response);
        if response == ClientResponse::Served {
            return self.end_client_job(slot, JobEnd::Served(self.now));
        }
        self.retry_or_end(slot, request.retry, response);
    }

    /// Schedules the retry after an unsuccessful response, or ends the job if nothing is pending for it.
    fn retry_or_end(&mut self, slot: u32, retry: u32, response: ClientResponse) {
        let client_job = &mut self.client_jobs[slot as usize];
        let arrival = &client_job.arrival;
        let next = match self.retries {
            Retries::Model => next_retry(
                &self.scenario.clients,
                self.scenario.classes[arrival.class as usize].effect,
                response,
                (self.seed, arrival.number),
                retry,
                self.now,
                client_job.deadline_at,
            ),
            Retries::Recorded | Retries::None => None,
        };
        if let Some(at) = next {
            client_job.pending += 1; // until the retry is sent
            let event = Event::RetryDue {
                client_job: slot,
                retry: retry + 1,
            };
            self.schedule(at, event);
        } else if client_job.pending == 0 {
            self.end_client_job(slot, response.end_at(self.now));
        }
    }

    /// Abandons a job whose deadline has passed. Slots are reused, so the event may belong to an earlier job and is then ignored.
    pub(super) fn handle_client_deadline(
        &mut self,
        slot: u32,
        arrival: u32,
        log: &mut impl FnMut(LoggedRequest<'_>),
    ) {
        let client_job = &self.client_jobs[slot as usize];
        if client_job.open
            && client_job.arrival.number as u32 == arrival
            && client_job.deadline_at == self.now
        {
            self.abandon_requests(slot, log);
        }
    }

    /// Ends a job and all its open requests, as its client disconnects.
    fn abandon_requests(&mut self, slot: u32, log: &mut impl FnMut(LoggedRequest<'_>)) {
        for job in std::mem::take(&mut self.client_jobs[slot as usize].requests) {
            let Some(request) = self.requests.remove(&job) else {
                continue;
            };
            self.client_jobs[slot as usize].pending -= 1;
            if !request.answered {
                self.checker.observe(Observation::ClientLeft { job });
                let network_us = (self.scenario.network.client_ms * 1e3) as Micros;
                let scheduler = request.scheduler;
                let event = Event::ClientLeft { scheduler, job };
                self.schedule(self.now + network_us, event);
            }
            log(LoggedRequest {
                arrival: &self.client_jobs[slot as usize].arrival,
                retry: request.retry,
                scheduler: request.scheduler,
                from: request.arrived_at,
                to: self.now.max(request.arrived_at),
                status: None,
            });
        }
        self.end_client_job(slot, JobEnd::DeadlinePassed(self.now));
    }

    /// Records the end of a job; later calls for the same job do nothing.
    fn end_client_job(&mut self, slot: u32, end: JobEnd) {
        let client_job = &mut self.client_jobs[slot as usize];
        if !std::mem::take(&mut client_job.open) {
            return;
        }
        let job = EndedJob::new(&client_job.arrival, client_job.beyond_quota);
        self.service.record_end(self.scenario, job, end);
        self.end_if_idle(slot);
    }

    /// Frees the slot of a job that has no pending requests or retries, after recording its end if that is still open.
    fn end_if_idle(&mut self, slot: u32) {
        let client_job = &self.client_jobs[slot as usize];
        if client_job.pending > 0 {
            return;
        }
        if client_job.open {
            // All recorded retries have ended without success.
            let end = match client_job.last_response {
                Some(ClientResponse::Refused(_)) => JobEnd::Refused(self.now),
                Some(ClientResponse::Served | ClientResponse::Failed) | None => {
                    JobEnd::Failed(self.now)
                }
            };
            return self.end_client_job(slot, end);
        }
        self.free_client_jobs.push(slot);
    }
}

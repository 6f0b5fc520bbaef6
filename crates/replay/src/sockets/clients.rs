//! Clients on sockets: each arrival is sent at its time, independent of the outcome of earlier ones.

use super::http::HttpConnection;
use super::workers::SentJob;
use super::{Environment, lock};
use crate::check::Observation;
use crate::client::{ClientResponse, next_retry};
use crate::error::ReplayError;
use crate::load::Arrival;
use crate::scenario::{Class, Effect, Micros};
use crate::service::{EndedJob, JobEnd};
use crate::virtual_time::Retries;
use smol::Timer;
use smol::net::TcpStream;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// After the last arrival, the replay waits for open jobs until the longest deadline plus this margin.
const FINAL_MARGIN: Duration = Duration::from_millis(500);
/// Interval between two checks whether all jobs have ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// State that all clients share.
struct Clients {
    environment: Arc<Environment>,
    /// Addresses of the schedulers.
    addresses: Vec<SocketAddr>,
    /// Idle connections to each scheduler.
    idle: Vec<Mutex<Vec<HttpConnection>>>,
    open_jobs: AtomicUsize,
    next_job: AtomicU64,
    /// Number of requests sent so far by zone, for round-robin over the schedulers of the zone.
    zone_turns: Mutex<Vec<u32>>,
}

/// One request of a client at a scheduler.
struct ClientRequest<'a> {
    arrival: &'a Arrival,
    job: u64,
    /// Number of the retry; 0 for the first try.
    retry: u32,
    scheduler: u32,
    deadline_at: Micros,
    /// Whether the request has been written to the scheduler, which must then answer it.
    accepted: AtomicBool,
}

/// Sends all arrivals, and waits until their jobs have ended. `shift`, in microseconds, is added to the time of each arrival.
pub(crate) async fn send(
    environment: &Arc<Environment>,
    arrivals: impl Iterator<Item = Result<Arrival, ReplayError>>,
    addresses: &[SocketAddr],
    shift: Micros,
) -> Result<(), ReplayError> {
    let clients = Arc::new(Clients {
        environment: environment.clone(),
        addresses: addresses.to_vec(),
        idle: addresses.iter().map(|_| Mutex::default()).collect(),
        open_jobs: AtomicUsize::new(0),
        next_job: AtomicU64::new(1),
        zone_turns: Mutex::new(vec![0; environment.scenario.zones.len()]),
    });
    for arrival in arrivals {
        let mut arrival = arrival?;
        arrival.at += shift;
        Timer::at(environment.instant(arrival.at)).await;
        clients.clone().start_job(arrival);
    }
    clients.wait_for_ends().await;
    Ok(())
}

impl Clients {
    /// Spawns the task of a job that is due now.
    fn start_job(self: Arc<Self>, arrival: Arrival) {
        let environment = self.environment.clone();
        let beyond_quota = {
            let mut service = lock(&environment.service);
            service.record_lateness(environment.now().saturating_sub(arrival.at));
            service.record_arrival(arrival.at, arrival.parish)
        };
        self.open_jobs.fetch_add(1, Ordering::SeqCst);
        environment.clone().spawn(async move {
            let end = self.run_job(&arrival).await;
            let job = EndedJob::new(&arrival, beyond_quota);
            lock(&environment.service).record_end(&environment.scenario, job, end);
            self.open_jobs.fetch_sub(1, Ordering::SeqCst);
        });
    }

    async fn wait_for_ends(&self) {
        let environment = &self.environment;
        let deadlines = environment.scenario.classes.iter().map(Class::deadline);
        let longest = deadlines.max().unwrap_or(0);
        let until = environment.now() + longest + FINAL_MARGIN.as_micros() as Micros;
        while self.open_jobs.load(Ordering::SeqCst) > 0 && environment.now() < until {
            Timer::after(END_CHECK_INTERVAL).await;
        }
    }

    /// Sends the first try and all retries of a job, and returns how the job ended.
    async fn run_job(&self, arrival: &Arrival) -> JobEnd {
        let environment = &self.environment;
        let deadline_at = arrival.at + arrival.deadline;
        let mut recorded = arrival.retries.iter();
        let mut retry = 0;
        loop {
            if retry > 0 {
                lock(&environment.service).record_retry(arrival.at);
            }
            let response = match self.send_request(arrival, retry, deadline_at).await {
                Some(ClientResponse::Served) => return JobEnd::Served(environment.now()),
                Some(response) => response,
                None => return JobEnd::DeadlinePassed(environment.now()),
            };
            let now = environment.now();
            let next = match environment.retries {
                Retries::Model => next_retry(
                    &environment.scenario.clients,
                    environment.scenario.classes[arrival.class as usize].effect,
                    response,
                    (environment.seed, arrival.number),
                    retry,
                    now,
                    deadline_at,
                ),
                Retries::Recorded => recorded
                    .next()
                    .map(|after| arrival.at + after)
                    .filter(|at| *at < deadline_at),
                Retries::None => None,
            };
            match next {
                Some(at) => Timer::at(environment.instant(at)).await,
                None => return response.end_at(now),
            };
            retry += 1;
        }
    }

    /// Sends one request and awaits its response; `None`: the client's deadline passed first.
    async fn send_request(
        &self,
        arrival: &Arrival,
        retry: u32,
        deadline_at: Micros,
    ) -> Option<ClientResponse> {
        let environment = &self.environment;
        let job = self.next_job.fetch_add(1, Ordering::SeqCst);
        let request = ClientRequest {
            arrival,
            job,
            retry,
            scheduler: self.next_scheduler_of(arrival),
            deadline_at,
            accepted: AtomicBool::new(false),
        };
        let sent = SentJob {
            work: arrival.work,
            slots: arrival.slots,
        };
        lock(&environment.sent_jobs).insert(job, sent);
        let exchange = async { Some(self.exchange(&request).await) };
        let deadline = async {
            Timer::at(environment.instant(deadline_at)).await;
            None
        };
        match smol::future::or(exchange, deadline).await {
            Some(Ok(response)) => {
                let at = environment.now();
                environment.observe(response.observation(job, at));
                Some(response)
            }
            // If the scheduler had accepted the job, it is lost: the checkers then report a job without an answer.
            Some(Err(_)) => Some(ClientResponse::Failed),
            None => {
                if request.accepted.load(Ordering::SeqCst) {
                    environment.observe(Observation::ClientLeft { job });
                }
                None
            }
        }
    }

    /// The scheduler that receives the job's next request, in round-robin order within its zone.
    fn next_scheduler_of(&self, arrival: &Arrival) -> u32 {
        let scenario = &self.environment.scenario;
        let zone = scenario.home(arrival.parish, arrival.number);
        let mut turns = lock(&self.zone_turns);
        turns[zone as usize] += 1;
        scenario.scheduler_of(zone, turns[zone as usize])
    }

    /// Sends a request, and reads its response.
    async fn exchange(&self, request: &ClientRequest<'_>) -> io::Result<ClientResponse> {
        let bytes = self.encode(request);
        let scheduler = request.scheduler as usize;
        let idle = lock(&self.idle[scheduler]).pop();
        let reused = idle.is_some();
        let mut connection = match idle {
            Some(connection) => connection,
            None => self.connect(scheduler).await?,
        };
        let mut answer = match connection.write(bytes.as_bytes()).await {
            Ok(()) => {
                self.record_acceptance(request);
                connection.read(true).await
            }
            Err(e) => Err(e),
        };
        if reused && answer.is_err() {
            // A scheduler may close an idle connection between two requests: the client sends the request again on a new one.
            connection = self.connect(scheduler).await?;
            connection.write(bytes.as_bytes()).await?;
            self.record_acceptance(request);
            answer = connection.read(true).await;
        }
        let answer = answer?;
        let retry_after_s = answer
            .header("retry-after")
            .and_then(|v| v.parse::<f64>().ok())
            .unwrap_or(0.0);
        if !answer.close {
            lock(&self.idle[scheduler]).push(connection);
        }
        Ok(match answer.status {
            200 => ClientResponse::Served,
            429 | 503 => ClientResponse::Refused((retry_after_s * 1e6) as Micros),
            _ => ClientResponse::Failed,
        })
    }

    async fn connect(&self, scheduler: usize) -> io::Result<HttpConnection> {
        let stream = TcpStream::connect(self.addresses[scheduler]).await?;
        Ok(HttpConnection::new(stream))
    }

    fn record_acceptance(&self, request: &ClientRequest<'_>) {
        request.accepted.store(true, Ordering::SeqCst);
        self.environment.observe(Observation::RequestAccepted {
            job: request.job,
            class: request.arrival.class,
            at: self.environment.now(),
            until: request.deadline_at,
        });
    }

    /// Encodes a request as the HTTP message of the platform's protocol.
    fn encode(&self, request: &ClientRequest<'_>) -> String {
        let (arrival, scenario) = (request.arrival, &self.environment.scenario);
        let class = &scenario.classes[arrival.class as usize];
        let mut text = format!(
            "POST /{}/{} HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: {:016x}\r\nX-Expires-In-Ms: {}\r\n",
            class.name,
            arrival.subject,
            request.job,
            request.deadline_at.saturating_sub(self.environment.now()) / 1000
        );
        let mut header = |name: &str, value: &str| {
            let _ = write!(text, "{name}: {value}\r\n");
        };
        if let Some(parish) = arrival.parish {
            header("X-Customer", &scenario.parishes[parish as usize].name);
        }
        if matches!(class.effect, Effect::Keyed(_)) {
            header("Idempotency-Key", &format!("k{:016x}", arrival.number));
        }
        if scenario.clients.retries_marked && request.retry > 0 {
            header("X-Second-Try", "1");
        }
        header("X-Props", &format!("needs={}", arrival.slots));
        text.push_str("Content-Length: 2\r\n\r\n{}");
        text
    }
}

//! A stand-in client: submits jobs, reads their states and cancels them, at any edge. Its requests on jobs and the
//! responses are recorded in the [`Environment`].

use crate::backoff;
use crate::configuration::{HOST, Queue};
use crate::environment::{Environment, JobState};
use crate::http::{HttpError, Request, Response, request_once, send_truncated};
use crate::job::Job;
use crate::random;
use crate::wait::TimedOut;
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout of one attempt; also sent as the deadline of each request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a request without a clear response is not retried any more.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Error of a client's request, after its retries.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The request got no clear response within `REQUEST_TIMEOUT`.
    #[snafu(display("{what}: no clear response after {attempts} attempts; last result: {last}"))]
    Unanswered {
        /// Description of the request.
        what: String,
        /// Number of attempts.
        attempts: u32,
        /// The last response or error.
        last: String,
    },
    /// The protocol does not allow the response to this request.
    #[snafu(display("{what}: responded with {status}: {body}"))]
    Unexpected {
        /// Description of the request.
        what: String,
        /// Status of the response.
        status: u16,
        /// Body of the response.
        body: String,
    },
    /// A job did not reach the wanted state in time.
    #[snafu(display("{id} was last shown as {last:?}: {source}"))]
    State {
        /// The job's id.
        id: String,
        /// The last state read; `None` if the job did not exist or was not read.
        last: Option<JobState>,
        /// What was awaited, and for how long.
        source: TimedOut,
    },
}

/// A job's id and queue, as its client knows it.
#[derive(Clone, Debug)]
pub struct SubmittedJob {
    /// The job's id.
    pub id: String,
    /// The queue that it is submitted to.
    pub queue: Queue,
}

impl SubmittedJob {
    /// Chooses a new id for a job that has not been submitted yet.
    pub fn new(queue: &Queue) -> Self {
        SubmittedJob {
            id: random::job_id(),
            queue: queue.clone(),
        }
    }

    fn path(&self) -> String {
        format!("{}{}", self.queue.path_prefix, self.id)
    }
}

/// A client that sends its requests to some of the edges.
#[derive(Clone, Debug)]
pub struct Client {
    edges: Vec<SocketAddr>,
    environment: Arc<Environment>,
}

impl Client {
    /// Creates a client of these edges.
    pub fn new(edges: Vec<SocketAddr>, environment: &Arc<Environment>) -> Self {
        Client {
            edges,
            environment: environment.clone(),
        }
    }

    /// The same client, restricted to these edges.
    pub fn with_edges(&self, edges: &[SocketAddr]) -> Self {
        Client::new(edges.to_vec(), &self.environment)
    }

    /// The edges that it sends requests to.
    pub fn edges(&self) -> &[SocketAddr] {
        &self.edges
    }

    fn any_edge(&self) -> SocketAddr {
        self.edges[random::below(self.edges.len() as u64) as usize]
    }

    /// Submits a job, with retries under the same id until it is accepted.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if the job is not accepted in time, or is rejected.
    pub fn submit(&self, queue: &Queue, job: &Job) -> Result<SubmittedJob, ClientError> {
        let submitted = SubmittedJob::new(queue);
        let what = format!("job {}", submitted.id);
        let response = self.retry(&what, || self.submit_once(self.any_edge(), &submitted, job))?;
        check_response(response, Response::is_success, &what)?;
        Ok(submitted)
    }

    /// Sends one request to submit a job, without retries.
    ///
    /// # Errors
    ///
    /// [`HttpError`] if there is no complete response.
    pub fn submit_once(
        &self,
        edge: SocketAddr,
        submitted: &SubmittedJob,
        job: &Job,
    ) -> Result<Response, HttpError> {
        let result = self.request_at(edge, &self.submission(submitted, job));
        let status = result.as_ref().ok().map(|response| response.status);
        self.environment.job_responded(&submitted.id, status);
        result
    }

    /// Creates the request to submit a job, and records the job as sent.
    fn submission(&self, submitted: &SubmittedJob, job: &Job) -> Request {
        self.environment
            .job_sent(&submitted.id, job, &submitted.queue);
        Request::new("POST", submitted.path()).json(serde_json::to_vec(job).unwrap_or_default())
    }

    /// Sends the first `bytes` bytes of a request to submit a job, and closes the connection without reading a
    /// response.
    ///
    /// # Errors
    ///
    /// [`HttpError`] if the connection cannot be opened or written to.
    pub fn submit_truncated(
        &self,
        edge: SocketAddr,
        submitted: &SubmittedJob,
        job: &Job,
        bytes: usize,
    ) -> Result<(), HttpError> {
        let request = self.submission(submitted, job).header("Host", HOST);
        let sent = send_truncated(edge, &request, bytes, RESPONSE_TIMEOUT);
        self.environment.job_responded(&submitted.id, None);
        sent
    }

    /// Reads a job's state; `None` if the job does not exist.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if no edge responds in time, or the protocol does not allow the response.
    pub fn state(&self, submitted: &SubmittedJob) -> Result<Option<JobState>, ClientError> {
        let what = format!("state of {}", submitted.id);
        let request = Request::new("GET", submitted.path());
        let mut requested_at = self.environment.now();
        let response = self.retry(&what, || {
            requested_at = self.environment.now();
            self.request_at(self.any_edge(), &request)
        })?;
        let state = match response.status {
            200 => response.json()["state"]
                .as_str()
                .and_then(JobState::from_name),
            _ => None,
        };
        if state.is_none() && response.status != 410 {
            return check_response(response, |_| false, &what).map(|_| None);
        }
        self.environment
            .job_shown(&submitted.id, requested_at, state);
        Ok(state)
    }

    /// Reads the number of pending jobs of a queue.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if no edge responds in time, or the response has no count.
    pub fn pending(&self, queue: &Queue) -> Result<u64, ClientError> {
        let what = format!("pending jobs of {}", queue.path_prefix);
        let request = Request::new("GET", queue.path_prefix.clone());
        let response = self.retry(&what, || self.request_at(self.any_edge(), &request))?;
        let count = |response: &Response| response.json()["pending"].as_u64();
        let response = check_response(response, |response| count(response).is_some(), &what)?;
        Ok(count(&response).unwrap_or_default())
    }

    /// Reads a job's state repeatedly until `wanted` returns true for it.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if the job does not reach such a state in time, or its state cannot be read.
    pub fn wait_for(
        &self,
        submitted: &SubmittedJob,
        at_most: Duration,
        wanted: impl Fn(JobState) -> bool,
    ) -> Result<JobState, ClientError> {
        let mut last = None;
        let probe = || match self.state(submitted) {
            Ok(state) => {
                last = state;
                state.filter(|state| wanted(*state)).map(Ok)
            }
            Err(error) => Some(Err(error)),
        };
        let signal = self.environment.signal();
        let found = signal.wait_until("a state", at_most, probe);
        found.map_err(|source| ClientError::State {
            id: submitted.id.clone(),
            last,
            source,
        })?
    }

    /// Reads a job's state repeatedly until it is final.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if the job does not end in time, or its state cannot be read.
    pub fn wait_end(
        &self,
        submitted: &SubmittedJob,
        at_most: Duration,
    ) -> Result<JobState, ClientError> {
        self.wait_for(submitted, at_most, JobState::is_final)
    }

    /// Cancels a job, with retries until the cancellation is acknowledged.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if the cancellation is not acknowledged in time.
    pub fn cancel(&self, submitted: &SubmittedJob) -> Result<(), ClientError> {
        let what = format!("cancellation of {}", submitted.id);
        self.environment.cancel_sent(&submitted.id);
        let request = Request::new("DELETE", submitted.path());
        let response = self.retry(&what, || self.request_at(self.any_edge(), &request))?;
        check_response(response, Response::is_success, &what)?;
        self.environment.cancel_acknowledged(&submitted.id);
        Ok(())
    }

    /// Sends one request to a random edge, without retries.
    ///
    /// # Errors
    ///
    /// [`HttpError`] if there is no complete response.
    pub fn request(&self, request: &Request) -> Result<Response, HttpError> {
        self.request_at(self.any_edge(), request)
    }

    /// Sends one request to this edge, without retries.
    ///
    /// # Errors
    ///
    /// [`HttpError`] if there is no complete response.
    pub fn request_at(&self, edge: SocketAddr, request: &Request) -> Result<Response, HttpError> {
        let deadline_ms = RESPONSE_TIMEOUT.as_millis().to_string();
        let request = request
            .clone()
            .header("Host", HOST)
            .header("Indigofold-Deadline-Ms", deadline_ms);
        request_once(edge, &request, RESPONSE_TIMEOUT)
    }

    /// Repeats a request, with linear backoff, until it has a clear response: any status other than 429 and 5xx.
    fn retry(
        &self,
        what: &str,
        mut request: impl FnMut() -> Result<Response, HttpError>,
    ) -> Result<Response, ClientError> {
        let started = Instant::now();
        let mut attempts = 0;
        loop {
            attempts += 1;
            let last = match request() {
                Ok(response) if !matches!(response.status, 429 | 500..) => return Ok(response),
                Ok(response) => format!("{} {}", response.status, response.text()),
                Err(error) => error.to_string(),
            };
            if started.elapsed() > REQUEST_TIMEOUT {
                let error = UnansweredSnafu {
                    what,
                    attempts,
                    last,
                };
                return error.fail();
            }
            let backoff = backoff::after_attempt(attempts);
            self.environment.signal().sleep(backoff);
        }
    }
}

fn check_response(
    response: Response,
    good: impl Fn(&Response) -> bool,
    what: &str,
) -> Result<Response, ClientError> {
    if good(&response) {
        return Ok(response);
    }
    let unexpected = UnexpectedSnafu {
        what,
        status: response.status,
        body: response.text(),
    };
    unexpected.fail()
}

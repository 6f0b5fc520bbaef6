//! A stand-in operator: reads and changes the configuration at any core member, following the protocol
//! documentation.

use crate::backoff;
use crate::configuration::Configuration;
use crate::http::{HttpError, Request, Response, request_once};
use crate::random;
use crate::wait::{Signal, TimedOut};
use serde_json::Value;
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout of a request to one member, after which another member is tried.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of redirections that are followed for one attempt.
const REDIRECTIONS_MAX: usize = 2;
/// Status codes that end a request at its first attempt.
const FINAL_STATUSES: [u16; 5] = [400, 409, 412, 413, 422];
/// Number of attempts after which any other 4xx ends a request, except 408 and 429.
const ATTEMPTS_ON_4XX: u32 = 3;
/// Time after which a request without a clear response is not retried any more.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Error of an operator's request, after its retries.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// The request got no clear response within `REQUEST_TIMEOUT`.
    #[snafu(display(
        "no clear response after {attempts} attempts in {REQUEST_TIMEOUT:?}; last result: {last}"
    ))]
    Unanswered {
        /// Number of attempts.
        attempts: u32,
        /// The last response or error.
        last: String,
    },
    /// No member acts as head.
    #[snafu(display("no member acts as head: {source}"))]
    NoHead {
        /// How long the operator waited.
        source: TimedOut,
    },
}

/// An operator of the cluster.
#[derive(Clone, Debug)]
pub struct Operator {
    members: Vec<SocketAddr>,
    signal: Arc<Signal>,
}

impl Operator {
    /// Creates an operator that sends its requests to these core members.
    pub fn new(members: Vec<SocketAddr>, signal: &Arc<Signal>) -> Self {
        Operator {
            members,
            signal: signal.clone(),
        }
    }

    /// The core members that it sends requests to.
    pub fn members(&self) -> &[SocketAddr] {
        &self.members
    }

    /// Sends one request to one member, without retries, and without following a redirection.
    ///
    /// # Errors
    ///
    /// [`HttpError`] if there is no complete response.
    pub fn request_once(
        &self,
        member: SocketAddr,
        request: &Request,
    ) -> Result<Response, HttpError> {
        request_once(member, request, RESPONSE_TIMEOUT)
    }

    /// Sends a request unchanged to random members, with retries until it has a clear response.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] if no member gives a clear response in time.
    pub fn request(&self, request: &Request) -> Result<Response, OperatorError> {
        let started = Instant::now();
        let mut last = String::new();
        let mut attempts = 0;
        while started.elapsed() < REQUEST_TIMEOUT {
            let first = self.members[random::below(self.members.len() as u64) as usize];
            attempts += 1;
            match self.follow_redirections(first, request) {
                Ok(response) if is_clear(&response, attempts) => return Ok(response),
                Ok(response) => last = format!("{} from {first}", response.status),
                Err(error) => last = format!("{error} ({first})"),
            }
            self.signal.sleep(backoff::after_attempt(attempts));
        }
        UnansweredSnafu { attempts, last }.fail()
    }

    fn follow_redirections(
        &self,
        first: SocketAddr,
        request: &Request,
    ) -> Result<Response, HttpError> {
        let mut response = self.request_once(first, request)?;
        for _ in 0..REDIRECTIONS_MAX {
            let Some(next) = redirection(&response) else {
                break;
            };
            response = self.request_once(next, request)?;
        }
        Ok(response)
    }

    /// Sends a complete configuration that builds on version `base`.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] if no member gives a clear response in time.
    pub fn put(&self, configuration: &Configuration, base: u64) -> Result<Response, OperatorError> {
        self.request(&put_request(&configuration.to_json(), base))
    }

    /// Sends a change of individual configuration items that builds on version `base`.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] if no member gives a clear response in time.
    pub fn patch(&self, change: &Value, base: u64) -> Result<Response, OperatorError> {
        self.request(&config_request("PATCH", change, base))
    }

    /// Reads the newest configuration.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] if no member gives a clear response in time.
    pub fn read(&self) -> Result<Value, OperatorError> {
        Ok(self.request(&read_request())?.json())
    }

    /// Waits until a member acts as head, and returns its address. A member is taken for the head if it returns the
    /// configuration, so there must be one.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] if no member acts as head in time.
    pub fn head(&self, at_most: Duration) -> Result<SocketAddr, OperatorError> {
        let probe = || {
            let mut members = self.members.iter().copied();
            members.find(|member| self.is_head(*member))
        };
        self.signal
            .wait_until("a head", at_most, probe)
            .map_err(|source| OperatorError::NoHead { source })
    }

    fn is_head(&self, member: SocketAddr) -> bool {
        self.request_once(member, &read_request())
            .is_ok_and(|response| response.status == 200)
    }
}

/// The request that reads the configuration.
pub fn read_request() -> Request {
    Request::new("GET", "/config")
}

/// The request that sends a complete configuration that builds on version `base`.
pub fn put_request(configuration: &Value, base: u64) -> Request {
    config_request("PUT", configuration, base)
}

fn config_request(method: &'static str, body: &Value, base: u64) -> Request {
    Request::new(method, "/config")
        .header("If-Match", base.to_string())
        .json(body.to_string())
}

/// Address to which a response redirects; `None` if its status is not 307 or its location is invalid.
pub fn redirection(response: &Response) -> Option<SocketAddr> {
    let location = response.header("location");
    let location = location.filter(|_| response.status == 307)?;
    location
        .strip_prefix("http://")?
        .split('/')
        .next()?
        .parse()
        .ok()
}

/// Whether a response to attempt number `attempts`, counted from 1, ends a request.
fn is_clear(response: &Response, attempts: u32) -> bool {
    match response.status {
        408 | 429 => false,
        200..300 => true,
        status if FINAL_STATUSES.contains(&status) => true,
        400..500 => attempts >= ATTEMPTS_ON_4XX,
        _ => false,
    }
}

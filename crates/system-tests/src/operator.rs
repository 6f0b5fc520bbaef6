//! The operator: reads and changes the configuration at any member, as the protocol page says.

use crate::configuration::Configuration;
use crate::http::{Answer, Call, HttpError, call_once};
use crate::random;
use crate::wait::{Signal, TimedOut};
use serde_json::Value;
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A member that does not answer within this is left for another.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// So many redirections are followed.
const REDIRECTIONS: usize = 2;
/// Statuses that end a call at once.
const FINAL: [u16; 5] = [400, 409, 412, 413, 422];
/// Other 4xx end a call at this try.
const TRIES_OF_4XX: usize = 3;
/// The pause after a try without a clear answer grows by this.
const PAUSE_STEP: Duration = Duration::from_millis(20);
/// Longest pause between two tries.
const PAUSE_MAX: Duration = Duration::from_millis(200);
/// An order that has got no clear answer by then is given up.
const ORDER_TIME: Duration = Duration::from_secs(15);

/// An order without a clear answer.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// No clear answer in all the time allowed.
    #[snafu(display("no clear answer after {tries} tries in {ORDER_TIME:?}; the last: {last}"))]
    Unanswered {
        /// Tries.
        tries: usize,
        /// The last answer.
        last: String,
    },
    /// No member acts as head.
    #[snafu(display("no member answers for itself: {source}"))]
    Headless {
        /// How long was waited.
        source: TimedOut,
    },
}

/// The operator.
#[derive(Clone, Debug)]
pub struct Operator {
    members: Vec<SocketAddr>,
    signal: Arc<Signal>,
}

impl Operator {
    /// An operator who knows these members.
    pub fn new(members: Vec<SocketAddr>, signal: &Arc<Signal>) -> Self {
        Operator {
            members,
            signal: signal.clone(),
        }
    }

    /// All members that it knows.
    pub fn members(&self) -> &[SocketAddr] {
        &self.members
    }

    /// One call to one member, without following a redirection.
    pub fn ask(&self, member: SocketAddr, call: &Call) -> Result<Answer, HttpError> {
        call_once(member, call, ANSWER_TIME)
    }

    /// An order, sent unchanged to one member after another until it has a clear answer.
    pub fn order(&self, call: &Call) -> Result<Answer, OperatorError> {
        let begun = Instant::now();
        let mut last = String::new();
        let mut tries = 0;
        while begun.elapsed() < ORDER_TIME {
            let first = self.members[(random::below(self.members.len() as u64)) as usize];
            tries += 1;
            match self.follow(first, call) {
                Ok(answer) if is_clear(&answer, tries) => return Ok(answer),
                Ok(answer) => last = format!("{} from {first}", answer.status),
                Err(error) => last = format!("{error} ({first})"),
            }
            let pause = (PAUSE_STEP * tries as u32).min(PAUSE_MAX);
            self.signal.wait_beyond(u64::MAX, pause);
        }
        UnansweredSnafu { tries, last }.fail()
    }

    fn follow(&self, first: SocketAddr, call: &Call) -> Result<Answer, HttpError> {
        let mut answer = self.ask(first, call)?;
        for _ in 0..REDIRECTIONS {
            let Some(next) = redirection(&answer) else {
                break;
            };
            answer = self.ask(next, call)?;
        }
        Ok(answer)
    }

    /// Delivers a whole configuration that builds on version `base`.
    pub fn put(&self, configuration: &Configuration, base: u64) -> Result<Answer, OperatorError> {
        self.order(&put_call(&configuration.to_json(), base))
    }

    /// Changes named items on top of version `base`.
    pub fn patch(&self, change: &Value, base: u64) -> Result<Answer, OperatorError> {
        self.order(
            &Call::new("PATCH", "/config")
                .header("If-Match", base.to_string())
                .json(change.to_string()),
        )
    }

    /// The newest configuration.
    pub fn read(&self) -> Result<Value, OperatorError> {
        Ok(self.order(&Call::new("GET", "/config"))?.json())
    }

    /// The member that answers for itself, once there is one. A configuration must be in place.
    pub fn head(&self, at_most: Duration) -> Result<SocketAddr, OperatorError> {
        let look = || {
            self.members
                .iter()
                .copied()
                .find(|member| self.is_head(*member))
        };
        self.signal
            .until("a head", at_most, look)
            .map_err(|source| OperatorError::Headless { source })
    }

    fn is_head(&self, member: SocketAddr) -> bool {
        self.ask(member, &Call::new("GET", "/config"))
            .is_ok_and(|answer| answer.status == 200)
    }
}

/// The call that delivers a whole configuration.
pub fn put_call(configuration: &Value, base: u64) -> Call {
    Call::new("PUT", "/config")
        .header("If-Match", base.to_string())
        .json(configuration.to_string())
}

/// Where an answer sends the caller.
pub fn redirection(answer: &Answer) -> Option<SocketAddr> {
    let location = answer.header("location").filter(|_| answer.status == 307)?;
    location
        .strip_prefix("http://")?
        .split('/')
        .next()?
        .parse()
        .ok()
}

fn is_clear(answer: &Answer, tries: usize) -> bool {
    match answer.status {
        408 | 429 => false,
        200..300 => true,
        status if FINAL.contains(&status) => true,
        400..500 => tries >= TRIES_OF_4XX,
        _ => false,
    }
}

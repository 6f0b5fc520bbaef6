//! The client model: what a client does once it has a response. One draw decides for each job and retry, by number, so that
//! two runs of one load meet the same clients.

use crate::check::{Job, Observation};
use crate::sampling::{draw, unit};
use crate::scenario::{Clients, Effect, Micros};
use crate::service::JobEnd;

/// The purpose of the draws of whether a client follows Retry-After; the number of the retry is added.
const RETRY_AFTER_DRAW: u64 = 0x00c1_1e47;

/// A scheduler's response to a request, as its client understands it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResponse {
    /// Served.
    Served,
    /// Refused, with the time of Retry-After in microseconds (0: none).
    Refused(Micros),
    /// Failed.
    Failed,
}

impl ClientResponse {
    /// The HTTP status of such a response.
    pub fn http_status(self) -> u16 {
        match self {
            ClientResponse::Served => 200,
            ClientResponse::Refused(_) => 503,
            ClientResponse::Failed => 500,
        }
    }

    /// What the checkers learn of such a response.
    pub fn observation(self, job: Job, at: Micros) -> Observation {
        Observation::RequestAnswered {
            job,
            served: self == ClientResponse::Served,
            refused: matches!(self, ClientResponse::Refused(_)),
            at,
        }
    }

    /// How a job ends whose last response this is.
    pub fn end_at(self, now: Micros) -> JobEnd {
        match self {
            ClientResponse::Served => JobEnd::Served(now),
            ClientResponse::Refused(_) => JobEnd::Refused(now),
            ClientResponse::Failed => JobEnd::Failed(now),
        }
    }
}

/// When a client sends the next retry after a response to its request number `retry` (0: the first try); `None`: never.
/// `deadline_at` is when it stops waiting.
pub fn next_retry(
    clients: &Clients,
    effect: Effect,
    response: ClientResponse,
    (seed, job): (u64, u64),
    retry: u32,
    now: Micros,
    deadline_at: Micros,
) -> Option<Micros> {
    if retry >= clients.retries {
        return None;
    }
    let retry_after = match response {
        ClientResponse::Served => return None,
        ClientResponse::Refused(retry_after) => retry_after,
        // A retry might have a second effect, and a client that learns of a failure leaves it.
        ClientResponse::Failed if effect == Effect::Unsafe || !clients.after_failure => {
            return None;
        }
        ClientResponse::Failed => 0,
    };
    let backoff = (clients.backoff_ms * 1e3) as Micros;
    let mut rng = draw(seed, job, RETRY_AFTER_DRAW + u64::from(retry));
    let honours = unit(&mut rng) < clients.honour;
    let wait = if honours && retry_after > 0 {
        retry_after.min(clients.max_retry_after_ms * 1000)
    } else {
        backoff
    };
    Some(now + wait).filter(|at| *at < deadline_at)
}

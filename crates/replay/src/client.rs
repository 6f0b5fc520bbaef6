//! The client model: what a client does after a response. The random draws depend only on the seed, the job's number and the
//! retry's number, so that clients behave alike in two runs of the same load.

use crate::check::{Job, Observation};
use crate::sampling::{draw, unit};
use crate::scenario::{Clients, Effect, Micros};
use crate::service::JobEnd;

/// Purpose of the draws of whether a client follows Retry-After, for [`draw`]; the number of the retry is added.
const RETRY_AFTER_DRAW: u64 = 0x00c1_1e47;

/// A scheduler's response to a request, as its client understands it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResponse {
    /// The job's result.
    Served,
    /// Refused, with the Retry-After time in microseconds (0 if absent).
    Refused(Micros),
    /// The job failed.
    Failed,
}

impl ClientResponse {
    /// HTTP status of the response.
    pub fn http_status(self) -> u16 {
        match self {
            ClientResponse::Served => 200,
            ClientResponse::Refused(_) => 503,
            ClientResponse::Failed => 500,
        }
    }

    /// The observation that the checker receives for the response.
    pub fn observation(self, job: Job, at: Micros) -> Observation {
        Observation::RequestAnswered {
            job,
            served: self == ClientResponse::Served,
            refused: matches!(self, ClientResponse::Refused(_)),
            at,
        }
    }

    /// How a job ends if this is its last response.
    pub fn end_at(self, now: Micros) -> JobEnd {
        match self {
            ClientResponse::Served => JobEnd::Served(now),
            ClientResponse::Refused(_) => JobEnd::Refused(now),
            ClientResponse::Failed => JobEnd::Failed(now),
        }
    }
}

/// Returns when a client sends its next retry after the response to its request number `retry` (0 is the first try), or
/// `None` if it sends no more. `deadline_at` is when the client stops waiting.
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
        // The failed job may have had its effect, so a retry of an unsafe job could repeat it.
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

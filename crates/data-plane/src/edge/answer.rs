//! Responses to clients.

use indigofold_protocol::internal::ClientOutcome;
use indigofold_protocol::job::JobState;

/// `Retry-After` of answers for which the head has not named a delay.
pub const RETRY_DEFAULT_MS: u64 = 1_000;

/// Body of a response, always JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// `{}`.
    Empty,
    /// `{"state":STATE}`.
    State(JobState),
    /// `{"pending":N}`.
    Pending(u64),
    /// `{"error":TEXT}`.
    Error(String),
}

/// A response to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// `Retry-After` header, in whole seconds; `None` to send no header.
    pub retry_after_s: Option<u64>,
    /// JSON body of the response.
    pub body: Body,
}

impl Answer {
    /// The call was carried out (200).
    pub fn success(body: Body) -> Answer {
        Answer {
            status: 200,
            retry_after_s: None,
            body,
        }
    }

    /// The call was rejected; the client should not retry it unchanged.
    pub fn error(status: u16, text: impl Into<String>) -> Answer {
        Answer {
            status,
            retry_after_s: None,
            body: Body::Error(text.into()),
        }
    }

    /// The call was not carried out; the client may retry it after `retry_after_ms`, rounded up to seconds.
    pub fn retry_later(status: u16, retry_after_ms: u64, text: &str) -> Answer {
        let retry_after_s = retry_after_ms.div_ceil(1_000).max(1);
        Answer {
            status,
            retry_after_s: Some(retry_after_s),
            body: Body::Error(text.to_owned()),
        }
    }

    /// The call was not sent because no acting head is known, or it only reads and got no reply (503).
    pub fn no_head() -> Answer {
        Answer::retry_later(503, RETRY_DEFAULT_MS, "no scheduler is at work")
    }

    /// The call was sent and its result is unknown: it may have been carried out (504).
    pub fn no_reply() -> Answer {
        Answer::error(
            504,
            "no reply from the scheduler: the call may have been carried out",
        )
    }

    /// The body as JSON.
    pub fn json(&self) -> String {
        match &self.body {
            Body::Empty => "{}".to_owned(),
            Body::State(state) => format!("{{\"state\":\"{}\"}}", state_name(*state)),
            Body::Pending(pending) => format!("{{\"pending\":{pending}}}"),
            Body::Error(text) => serde_json::json!({ "error": text }).to_string(),
        }
    }
}

impl From<ClientOutcome> for Answer {
    fn from(outcome: ClientOutcome) -> Answer {
        match outcome {
            ClientOutcome::Accepted | ClientOutcome::Cancelled => Answer::success(Body::Empty),
            ClientOutcome::TooMany { retry_after_ms } => {
                Answer::retry_later(429, retry_after_ms, "too many jobs wait")
            }
            ClientOutcome::Unavailable { retry_after_ms } => {
                Answer::retry_later(503, retry_after_ms, "the scheduler takes no calls yet")
            }
            ClientOutcome::UnknownRoute => Answer::error(404, "no route leads there"),
            ClientOutcome::Invalid { reason } => Answer::error(400, reason),
            ClientOutcome::State(state) => Answer::success(Body::State(state)),
            ClientOutcome::NoSuchJob => Answer::error(410, "no such job"),
            ClientOutcome::Pending(pending) => Answer::success(Body::Pending(pending)),
        }
    }
}

fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Completed => "completed",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    }
}

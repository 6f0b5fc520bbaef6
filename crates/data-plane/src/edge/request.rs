//! Parsing of clients' HTTP requests.

use super::answer::Answer;
use indigofold_protocol::internal::ClientOperation;
use indigofold_protocol::job::JobSpec;
use indigofold_protocol::job_check::parse_job;

/// Header with the client's time-out, in milliseconds.
pub const DEADLINE_HEADER: &str = "indigofold-deadline-ms";
/// Time-out of a client that does not send the header.
pub const DEADLINE_DEFAULT_MS: u64 = 3_000;
/// Longest time-out that is accepted; longer ones are shortened to it.
const DEADLINE_MAX_MS: u64 = 60_000;

/// Methods that clients may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Submit a job.
    Post,
    /// Read a state or a count.
    Get,
    /// Cancel a job.
    Delete,
    /// Any other one, which is rejected.
    Other,
}

/// A parsed request.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedRequest {
    /// The operation.
    pub operation: ClientOperation,
    /// For how long the client waits, in milliseconds.
    pub client_timeout_ms: u64,
}

/// Parses a request.
///
/// # Errors
///
/// The response for a request that cannot be carried out: 400 for an invalid job, 405 for another method.
pub fn parse_request(
    method: Method,
    deadline: Option<&str>,
    body: &[u8],
) -> Result<ParsedRequest, Answer> {
    let operation = match method {
        Method::Get => ClientOperation::Get,
        Method::Delete => ClientOperation::Cancel,
        Method::Post => ClientOperation::Submit(parse_body(body)?),
        Method::Other => return Err(Answer::error(405, "the method must be POST, GET or DELETE")),
    };
    Ok(ParsedRequest {
        operation,
        client_timeout_ms: client_timeout_ms(deadline),
    })
}

fn parse_body(body: &[u8]) -> Result<JobSpec, Answer> {
    parse_job(body).map_err(|error| Answer::error(400, error.to_string()))
}

fn client_timeout_ms(deadline: Option<&str>) -> u64 {
    let stated = deadline
        .and_then(|text| text.trim().parse::<u64>().ok())
        .filter(|timeout_ms| *timeout_ms > 0);
    stated.map_or(DEADLINE_DEFAULT_MS, |timeout_ms| {
        timeout_ms.min(DEADLINE_MAX_MS)
    })
}

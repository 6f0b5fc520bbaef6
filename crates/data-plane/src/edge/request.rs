//! Parsing of clients' HTTP requests.

use super::answer::Answer;
use indigofold_protocol::internal::ClientOperation;
use indigofold_protocol::job::JobSpec;
use indigofold_protocol::job_check::parse_job;

/// Header with the client's timeout, in milliseconds.
pub const DEADLINE_HEADER: &str = "indigofold-deadline-ms";
/// Timeout of a client that does not send the header or sends an invalid value.
pub const DEADLINE_DEFAULT_MS: u64 = 3_000;
/// Maximum client timeout; longer ones are reduced to it.
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
    /// Any other method; such a request is rejected.
    Other,
}

/// A parsed request.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedRequest {
    /// The operation that the client requests.
    pub operation: ClientOperation,
    /// Time for which the client waits for a response.
    pub client_timeout_ms: u64,
}

/// Parses a client's request. `deadline`: value of the header [`DEADLINE_HEADER`], if present.
///
/// # Errors
///
/// The answer to an invalid request: status 400 for an invalid job, 405 for a method other than POST, GET and DELETE.
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

//! Clients' HTTP requests as calls.

use super::answer::Answer;
use indigofold_protocol::internal::ClientOperation;
use indigofold_protocol::job::JobSpec;
use indigofold_protocol::job_check::parse_job;

/// Header in which a client says for how long it waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "indigofold-deadline-ms";
/// For how long a client waits that does not say.
pub const DEADLINE_DEFAULT_MS: u64 = 3_000;
/// Longest wait that is believed.
const DEADLINE_MAX_MS: u64 = 60_000;

/// Methods that clients may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Hand a job in.
    Post,
    /// Ask for a state or a count.
    Get,
    /// Cancel a job.
    Delete,
    /// Any other one, which is refused.
    Other,
}

/// A request that has been read.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadRequest {
    /// What is asked.
    pub operation: ClientOperation,
    /// For how long the client waits.
    pub client_timeout_ms: u64,
}

/// Reads a request, or says why it cannot be carried out.
pub fn read_request(
    method: Method,
    deadline: Option<&str>,
    body: &[u8],
) -> Result<ReadRequest, Answer> {
    let operation = match method {
        Method::Get => ClientOperation::Get,
        Method::Delete => ClientOperation::Cancel,
        Method::Post => ClientOperation::Submit(parse(body)?),
        Method::Other => return Err(Answer::error(405, "the method must be POST, GET or DELETE")),
    };
    Ok(ReadRequest {
        operation,
        client_timeout_ms: client_timeout_ms(deadline),
    })
}

fn parse(body: &[u8]) -> Result<JobSpec, Answer> {
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

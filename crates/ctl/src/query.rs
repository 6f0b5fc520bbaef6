//! Sends inspection queries to core members, on their internal port.

use indigofold_net::{NetError, framed, runtime};
use indigofold_protocol::inspection::{InspectionAnswer, InspectionCall, InspectionQuery};
use indigofold_protocol::internal::Frame;
use snafu::{OptionExt, ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;

/// Time within which a member must accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time within which a member must answer, after the connection is open.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Why one member has not answered a query.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MemberError {
    /// The member cannot be reached, or the connection has failed.
    #[snafu(display("{source}"))]
    Connection {
        /// The network error, which names the address.
        source: NetError,
    },
    /// The member closed the connection before it answered. Other daemons, and members of another version, may do so.
    #[snafu(display(
        "{address} has closed the connection without an answer: is it a core member's internal address, of this version?"
    ))]
    Closed {
        /// The member's internal address.
        address: SocketAddr,
    },
    /// The member did not answer in time.
    #[snafu(display("{address} has not answered within {} ms", ANSWER_TIMEOUT.as_millis()))]
    Timeout {
        /// The member's internal address.
        address: SocketAddr,
    },
    /// The question is for the acting head, and this member is not the head and knows none.
    #[snafu(display("{address} knows no head"))]
    NoHead {
        /// The member's internal address.
        address: SocketAddr,
    },
    /// The member answered that it cannot serve the query now.
    #[snafu(display("{address}: {reason}"))]
    Unavailable {
        /// The member's internal address.
        address: SocketAddr,
        /// The reason as the member gives it.
        reason: String,
    },
    /// The kind of the answer does not match the question.
    #[snafu(display("{address} answered a different question than it was asked"))]
    UnexpectedAnswer {
        /// The member's internal address.
        address: SocketAddr,
    },
}

/// Why a query has no result.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum QueryError {
    /// The asynchronous runtime cannot be started.
    #[snafu(display("{source}"))]
    Runtime {
        /// The error of the runtime.
        source: NetError,
    },
    /// The members still name another head after the maximum number of redirections.
    #[snafu(display(
        "the members keep naming other members as the head, most recently {}: the leadership is changing, try again",
        joined(heads)
    ))]
    Redirected {
        /// Internal addresses of the heads named in the last round.
        heads: Vec<SocketAddr>,
    },
    /// No member gave a usable answer.
    #[snafu(display("no member answers: {}", joined(failures)))]
    NoAnswer {
        /// The reason for each member.
        failures: Vec<MemberError>,
    },
}

fn joined(parts: &[impl ToString]) -> String {
    let parts: Vec<String> = parts.iter().map(ToString::to_string).collect();
    parts.join("; ")
}

/// Result of the query to one member.
#[derive(Debug)]
pub struct MemberResponse {
    /// The member's internal address.
    pub address: SocketAddr,
    /// The member's answer, or the reason why there is none.
    pub result: Result<InspectionAnswer, MemberError>,
}

/// Queries several members concurrently. The responses are in the order of the addresses.
pub async fn query_all(addresses: &[SocketAddr], question: InspectionQuery) -> Vec<MemberResponse> {
    let tasks: Vec<_> = addresses
        .iter()
        .map(|&address| runtime::spawn_scoped(query(address, question)))
        .collect();
    let mut responses = Vec::new();
    for (&address, task) in addresses.iter().zip(tasks) {
        // A task that panicked has no result; its member is reported as timed out.
        let result = task.await.unwrap_or(TimeoutSnafu { address }.fail());
        responses.push(MemberResponse { address, result });
    }
    responses
}

/// Queries one member over a new connection.
async fn query(
    address: SocketAddr,
    question: InspectionQuery,
) -> Result<InspectionAnswer, MemberError> {
    let connection = framed::connect(address, CONNECT_TIMEOUT)
        .await
        .context(ConnectionSnafu)?;
    let call = Frame::Inspect(InspectionCall { call: 1, question });
    connection
        .sender
        .send(&call)
        .ok()
        .context(ClosedSnafu { address })?;
    let mut reader = connection.reader;
    let answer = async {
        while let Some(frame) = reader.next().await.context(ConnectionSnafu)? {
            if let Frame::Inspected(reply) = frame {
                return Ok(reply.answer);
            }
        }
        ClosedSnafu { address }.fail()
    };
    runtime::timeout(ANSWER_TIMEOUT, answer)
        .await
        .context(TimeoutSnafu { address })?
}

/// The error for a round of queries in which every response is an error.
pub fn no_answer(responses: Vec<MemberResponse>) -> QueryError {
    let failures = responses
        .into_iter()
        .filter_map(|response| response.result.err());
    QueryError::NoAnswer {
        failures: failures.collect(),
    }
}

/// Runs queries to completion on a new asynchronous runtime.
///
/// # Errors
///
/// The error of the queries, or [`QueryError::Runtime`] if the runtime cannot be started.
pub fn run<T: 'static>(
    queries: impl Future<Output = Result<T, QueryError>> + 'static,
) -> Result<T, QueryError> {
    runtime::run(queries).context(RuntimeSnafu)?
}

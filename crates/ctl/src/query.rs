//! Inspection queries to core members, over their internal port.

use indigofold_net::{NetError, framed, runtime};
use indigofold_protocol::inspection::{InspectionAnswer, InspectionCall, Question};
use indigofold_protocol::internal::Frame;
use snafu::{OptionExt, ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a member has to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long it has to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Why one member has not answered a query.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MemberError {
    /// It cannot be reached, or its connection has failed.
    #[snafu(display("{source}"))]
    Connection {
        /// Why.
        source: NetError,
    },
    /// It has closed the connection.
    #[snafu(display(
        "{address} has closed the connection without an answer: is it a core member's internal address, of this version?"
    ))]
    Closed {
        /// Its address.
        address: SocketAddr,
    },
    /// It has not answered in time.
    #[snafu(display("{address} has not answered within {} ms", ANSWER_TIMEOUT.as_millis()))]
    Timeout {
        /// Its address.
        address: SocketAddr,
    },
    /// Only the head can answer, and this member knows none.
    #[snafu(display("{address} knows no head"))]
    NoHead {
        /// Its address.
        address: SocketAddr,
    },
    /// It cannot answer now.
    #[snafu(display("{address}: {reason}"))]
    Unavailable {
        /// Its address.
        address: SocketAddr,
        /// The reason that it gives.
        reason: String,
    },
    /// Its answer is to another question.
    #[snafu(display("{address} gives the answer to another question"))]
    UnexpectedAnswer {
        /// Its address.
        address: SocketAddr,
    },
}

/// Why a query has no result.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum QueryError {
    /// The runtime cannot be started.
    #[snafu(display("{source}"))]
    Runtime {
        /// Why.
        source: NetError,
    },
    /// Each member asked names another one as the head.
    #[snafu(display(
        "each member names another one as the head, the last {}: the leadership moves, try again",
        joined(heads)
    ))]
    Redirected {
        /// Internal addresses of the heads named last.
        heads: Vec<SocketAddr>,
    },
    /// No member answers.
    #[snafu(display("no member answers: {}", joined(failures)))]
    NoAnswer {
        /// Why, for each.
        failures: Vec<MemberError>,
    },
}

fn joined(parts: &[impl ToString]) -> String {
    let parts: Vec<String> = parts.iter().map(ToString::to_string).collect();
    parts.join("; ")
}

/// What has come of a query to one member.
#[derive(Debug)]
pub struct MemberResponse {
    /// The member's internal address.
    pub address: SocketAddr,
    /// Its answer, or why there is none.
    pub result: Result<InspectionAnswer, MemberError>,
}

/// Queries several members at the same time; the responses are in the order of the addresses.
pub async fn query_all(addresses: &[SocketAddr], question: Question) -> Vec<MemberResponse> {
    let tasks: Vec<_> = addresses
        .iter()
        .map(|&address| runtime::spawn_scoped(query(address, question)))
        .collect();
    let mut responses = Vec::new();
    for (&address, task) in addresses.iter().zip(tasks) {
        // A task ends early only by a panic, which counts as a time-out here.
        let result = task.await.unwrap_or(TimeoutSnafu { address }.fail());
        responses.push(MemberResponse { address, result });
    }
    responses
}

/// Queries one member.
async fn query(address: SocketAddr, question: Question) -> Result<InspectionAnswer, MemberError> {
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

/// The error for responses of which none can be used.
pub fn no_answer(responses: Vec<MemberResponse>) -> QueryError {
    let failures = responses
        .into_iter()
        .filter_map(|response| response.result.err());
    QueryError::NoAnswer {
        failures: failures.collect(),
    }
}

/// Runs queries to their end, in a runtime of their own.
///
/// # Errors
///
/// That of the queries, or [`QueryError::Runtime`] if the runtime cannot be started.
pub fn run<T: 'static>(
    queries: impl Future<Output = Result<T, QueryError>> + 'static,
) -> Result<T, QueryError> {
    runtime::run(queries).context(RuntimeSnafu)?
}

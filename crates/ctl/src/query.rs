//! Asks members of the core over their internal port.

use indigofold_net::{NetError, framed, runtime};
use indigofold_protocol::inspection::{InspectionAnswer, InspectionCall, Question};
use indigofold_protocol::internal::Frame;
use snafu::{OptionExt, ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a member has to accept a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);
/// How long it has to answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(3_000);

/// Why a member has not answered.
#[derive(Debug, Snafu)]
pub enum QueryError {
    /// It cannot be reached, or its connection has failed.
    #[snafu(display("{source}"))]
    Reach {
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
    #[snafu(display("{address} has not answered within {} ms", ANSWER_LIMIT.as_millis()))]
    Timeout {
        /// Its address.
        address: SocketAddr,
    },
    /// The runtime cannot be started.
    #[snafu(display("{source}"))]
    Runtime {
        /// Why.
        source: NetError,
    },
    /// Nobody answers.
    #[snafu(display("no member answers: {reasons}"))]
    Nobody {
        /// Why, for each.
        reasons: String,
    },
}

/// A member's answer, or why there is none.
pub type MemberResponse = (SocketAddr, Result<InspectionAnswer, QueryError>);

/// Asks several members at the same time; the answers are in the order of the addresses.
pub async fn query_all(addresses: &[SocketAddr], question: Question) -> Vec<MemberResponse> {
    let responses = addresses
        .iter()
        .map(|&address| (address, runtime::spawn_scoped(query(address, question))));
    let mut answers = Vec::new();
    for (address, task) in responses.collect::<Vec<_>>() {
        // A task ends early only by a panic, which this takes for silence.
        answers.push((
            address,
            task.await.unwrap_or(TimeoutSnafu { address }.fail()),
        ));
    }
    answers
}

/// Asks one member.
pub async fn query(
    address: SocketAddr,
    question: Question,
) -> Result<InspectionAnswer, QueryError> {
    let connection = framed::connect(address, CONNECT_LIMIT)
        .await
        .context(ReachSnafu)?;
    let call = Frame::Inspect(InspectionCall { call: 1, question });
    connection
        .sender
        .send(&call)
        .ok()
        .context(ClosedSnafu { address })?;
    let mut reader = connection.reader;
    let answer = async {
        while let Some(frame) = reader.next().await.context(ReachSnafu)? {
            if let Frame::Inspected(reply) = frame {
                return Ok(reply.answer);
            }
        }
        ClosedSnafu { address }.fail()
    };
    runtime::timeout(ANSWER_LIMIT, answer)
        .await
        .context(TimeoutSnafu { address })?
}

/// The error for answers of which none came.
pub fn nobody(responses: &[MemberResponse]) -> QueryError {
    let reasons = responses
        .iter()
        .filter_map(|(_, result)| result.as_ref().err())
        .map(ToString::to_string);
    QueryError::Nobody {
        reasons: reasons.collect::<Vec<_>>().join("; "),
    }
}

/// Runs a conversation to its end.
pub fn run<T: 'static>(
    conversation: impl Future<Output = Result<T, QueryError>> + 'static,
) -> Result<T, QueryError> {
    runtime::run(conversation).context(RuntimeSnafu)?
}

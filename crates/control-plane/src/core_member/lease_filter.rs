//! Removal of outputs that only an acting head may send, once the lease has expired.

use super::interface::Output;
use crate::config_authority::ChangeResponse;
use crate::operator::OperatorResponse;
use indigofold_protocol::internal::{ClientOutcome, ClientReply, Frame};

/// When a client that found no acting head is to retry, in milliseconds.
pub(super) const RETRY_AFTER_MS: u64 = 200;

/// The output that may be sent without a lease in place of `output`: what is true whoever the head is. The connection of a
/// node agent whose orders are withheld is closed, so that the next head sends all of them.
pub(super) fn without_lease(output: Output) -> Output {
    match output {
        Output::Send {
            connection,
            frame: Frame::Reply(reply),
        } => {
            let outcome = outcome_without_lease(reply.outcome);
            let frame = Frame::Reply(ClientReply {
                call: reply.call,
                outcome,
            });
            Output::Send { connection, frame }
        }
        Output::Send {
            connection,
            frame: Frame::Orders(_),
        } => Output::Close { connection },
        Output::Respond { call, response } => Output::Respond {
            call,
            response: response_without_lease(response),
        },
        other => other,
    }
}

/// A committed effect stays true; the result of a look-up may be out of date.
fn outcome_without_lease(outcome: ClientOutcome) -> ClientOutcome {
    match outcome {
        ClientOutcome::Accepted | ClientOutcome::Cancelled | ClientOutcome::Invalid { .. } => {
            outcome
        }
        ClientOutcome::TooMany { .. }
        | ClientOutcome::Unavailable { .. }
        | ClientOutcome::UnknownRoute
        | ClientOutcome::State(_)
        | ClientOutcome::NoSuchJob
        | ClientOutcome::Pending(_) => ClientOutcome::Unavailable {
            retry_after_ms: RETRY_AFTER_MS,
        },
    }
}

fn response_without_lease(response: OperatorResponse) -> OperatorResponse {
    match response {
        OperatorResponse::Change(
            ChangeResponse::Accepted { .. } | ChangeResponse::Undetermined,
        )
        | OperatorResponse::RedirectToHead(_) => response,
        OperatorResponse::Change(
            ChangeResponse::Invalid { .. }
            | ChangeResponse::VersionConflict { .. }
            | ChangeResponse::Forgotten { .. },
        )
        | OperatorResponse::Config(_)
        | OperatorResponse::NoConfig
        | OperatorResponse::NoHead => OperatorResponse::NoHead,
    }
}

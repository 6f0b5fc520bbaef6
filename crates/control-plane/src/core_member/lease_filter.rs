//! Replaces the outputs that only an acting head may send, once the head's lease has expired.

use super::interface::Output;
use crate::config_authority::ChangeResponse;
use crate::operator::OperatorResponse;
use indigofold_protocol::internal::{ClientOutcome, ClientReply, Frame};

/// Time after which a client retries if there was no acting head to serve it, in milliseconds.
pub(super) const RETRY_AFTER_MS: u64 = 200;

/// Returns the output to use in place of `output` without a lease. Outputs that are valid whichever member is the head stay
/// unchanged. The connection of a node agent whose orders are withheld is closed, so that the next head sends all of them.
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

/// Committed effects stay valid. Results of lookups may be out of date and are replaced by a request to retry.
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

//! Calls of edges, reports of companions and orders of the operator.

use super::{Home, Node, Output};
use crate::config_authority::{Answer, CallId};
use crate::head::{Clocks, HeadOutput};
use crate::operator::{OperatorAnswer, OperatorCall};
use crate::sessions::ConnectionId;
use indigofold_protocol::internal::{AgentReport, ClientCall, ClientOutcome, ClientReply, Frame};
use indigofold_replication::Input as ReplicaInput;
use indigofold_scheduler::{AgentId, CallerId, Event};

/// When a client is to come back that has met no acting head, in milliseconds.
const RETRY_AFTER_MS: u64 = 200;

/// What is left of an output once the lease has run out: what is true whoever the head is. A companion whose orders
/// are held back is disconnected, so that it is told everything anew.
pub(super) fn without_lease(output: Output) -> Option<Output> {
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
            Some(Output::Send { connection, frame })
        }
        Output::Send {
            connection,
            frame: Frame::Orders(_),
        } => Some(Output::Close { connection }),
        Output::Answer { call, answer } => Some(Output::Answer {
            call,
            answer: operator_answer_without_lease(answer),
        }),
        other => Some(other),
    }
}

/// A committed effect stays true; what was looked up may be out of date.
fn outcome_without_lease(outcome: ClientOutcome) -> ClientOutcome {
    match outcome {
        ClientOutcome::Accepted | ClientOutcome::Cancelled | ClientOutcome::Invalid { .. } => {
            outcome
        }
        _ => ClientOutcome::Unavailable {
            retry_after_ms: RETRY_AFTER_MS,
        },
    }
}

fn operator_answer_without_lease(answer: OperatorAnswer) -> OperatorAnswer {
    match answer {
        OperatorAnswer::Order(Answer::Taken { .. } | Answer::Unclear)
        | OperatorAnswer::AskHead(_) => answer,
        _ => OperatorAnswer::NoHead,
    }
}

impl Node {
    /// An edge calls for a client.
    pub(super) fn call(&mut self, clocks: Clocks, connection: ConnectionId, call: ClientCall) {
        if !self.acts(clocks.steady_ms) {
            let outcome = ClientOutcome::Unavailable {
                retry_after_ms: RETRY_AFTER_MS,
            };
            let frame = Frame::Reply(ClientReply {
                call: call.call,
                outcome,
            });
            self.outputs.push(Output::Send { connection, frame });
            return;
        }
        self.sessions.call_opened(connection);
        self.scheduler_event(
            clocks,
            Event::Call {
                from: CallerId(connection.0),
                call,
            },
        );
    }

    /// A companion reports; without a lease nobody answers it, so that it looks for the acting head.
    pub(super) fn report(&mut self, clocks: Clocks, connection: ConnectionId, report: AgentReport) {
        if self.acts(clocks.steady_ms) && self.sessions.get(connection).is_some() {
            self.sessions
                .worker_reported(connection, report.instance.as_ref());
            self.scheduler_event(
                clocks,
                Event::Report {
                    agent: AgentId(connection.0),
                    report,
                },
            );
        }
    }

    /// The operator calls.
    pub(super) fn operator(&mut self, clocks: Clocks, call: CallId, request: OperatorCall) {
        let acts = self.acts(clocks.steady_ms);
        let mut outputs = Vec::new();
        match (&mut self.home, request) {
            (Home::Here(head), OperatorCall::Change(order)) if acts => {
                head.order(clocks, call, order, &mut outputs);
            }
            (Home::Here(head), OperatorCall::Read) if acts => {
                let text = head.config_text().map(<[u8]>::to_vec);
                let answer = text.map_or(OperatorAnswer::NoConfig, OperatorAnswer::Config);
                self.outputs.push(Output::Answer { call, answer });
            }
            _ => {
                let answer = self.elsewhere(clocks.steady_ms);
                self.outputs.push(Output::Answer { call, answer });
            }
        }
        self.head_outputs(clocks, outputs);
    }

    /// Hands an event to the scheduler, if it is here.
    pub(super) fn scheduler_event(&mut self, clocks: Clocks, event: Event) {
        let Home::Here(head) = &mut self.home else {
            return;
        };
        let mut outputs = Vec::new();
        head.event(clocks, event, &mut outputs);
        self.head_outputs(clocks, outputs);
    }

    /// Carries out what the head wants done.
    pub(super) fn head_outputs(&mut self, clocks: Clocks, outputs: Vec<HeadOutput>) {
        for output in outputs {
            match output {
                HeadOutput::Submit { write_id, changes } => {
                    self.replica_input(clocks, ReplicaInput::Submit { write_id, changes });
                }
                HeadOutput::Reply { to, reply } => {
                    self.sessions.call_replied(to);
                    self.outputs.push(Output::Send {
                        connection: to,
                        frame: Frame::Reply(reply),
                    });
                }
                HeadOutput::Orders { to, orders } => {
                    self.outputs.push(Output::Send {
                        connection: to,
                        frame: Frame::Orders(orders),
                    });
                }
                HeadOutput::Answer { call, answer } => {
                    log_answer(&answer);
                    self.outputs.push(Output::Answer {
                        call,
                        answer: OperatorAnswer::Order(answer),
                    });
                }
                HeadOutput::Late(end) => log::info!("{end}"),
                HeadOutput::ConfigTaken { version } => {
                    log::info!("configuration {version} is in force")
                }
            }
        }
    }

    /// Where the operator has to ask instead.
    fn elsewhere(&self, now_ms: u64) -> OperatorAnswer {
        let own = self.settings.address.internal;
        let head = self
            .replica
            .head(now_ms)
            .filter(|head| head.internal != own);
        head.map_or(OperatorAnswer::NoHead, |head| {
            OperatorAnswer::AskHead(head.control)
        })
    }
}

/// Tells the operator's orders that were not taken.
fn log_answer(answer: &Answer) {
    match answer {
        Answer::Taken { .. } => {}
        Answer::Invalid { reason } => log::info!("an order is refused as invalid: {reason}"),
        Answer::OtherVersion { current } => {
            log::info!("an order is refused: version {current} is current")
        }
        Answer::Unclear => {
            log::info!("an order is left unclear: this member is no longer the head")
        }
        Answer::Forgotten { remembered_from } => {
            log::info!(
                "an order is left unclear: it may have been taken before version {remembered_from}"
            );
        }
    }
}

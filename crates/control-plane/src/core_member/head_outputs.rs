//! Passes events to the scheduler and carries out the outputs of the head.

use super::{CoreMember, Output};
use crate::acting_head::HeadOutput;
use crate::clocks::Clocks;
use crate::config_authority::ChangeResponse;
use crate::operator::OperatorResponse;
use indigofold_protocol::internal::Frame;
use indigofold_replication::Input as ReplicaInput;
use indigofold_scheduler::Event;

impl CoreMember {
    /// Passes an event to the scheduler; without effect unless this member is the head and has loaded its rows.
    pub(super) fn scheduler_event(&mut self, clocks: Clocks, event: Event) {
        let Some(head) = self.head_role.leading_mut() else {
            return;
        };
        let mut head_outputs = Vec::new();
        head.handle_event(clocks, event, &mut head_outputs);
        self.apply_head_outputs(clocks, head_outputs);
    }

    /// Carries out outputs of the head, in order.
    pub(super) fn apply_head_outputs(&mut self, clocks: Clocks, head_outputs: Vec<HeadOutput>) {
        for output in head_outputs {
            match output {
                HeadOutput::Submit { write_id, changes } => {
                    self.replica_input(clocks, ReplicaInput::Submit { write_id, changes });
                }
                HeadOutput::Reply { to, reply } => {
                    self.sessions.call_replied(to);
                    self.send(to, Frame::Reply(reply));
                }
                HeadOutput::Orders { to, orders } => self.send(to, Frame::Orders(orders)),
                HeadOutput::Respond { call, response } => {
                    log_unless_accepted(&response);
                    let response = OperatorResponse::Change(response);
                    self.outputs.push(Output::Respond { call, response });
                }
                HeadOutput::LateEnd(end) => log::info!("{end}"),
                HeadOutput::ConfigActivated { version } => {
                    log::info!("configuration activated version={version}");
                }
            }
        }
    }
}

/// Logs a configuration change that was rejected or whose result is undetermined.
fn log_unless_accepted(response: &ChangeResponse) {
    match response {
        ChangeResponse::Accepted { .. } => {}
        ChangeResponse::Invalid { reason } => {
            log::info!("configuration change rejected as invalid reason={reason}");
        }
        ChangeResponse::VersionConflict { current } => {
            log::info!("configuration change rejected for a version conflict current={current}");
        }
        ChangeResponse::Undetermined => {
            log::info!("configuration change undetermined, no longer head");
        }
        ChangeResponse::Forgotten { remembered_from } => {
            log::info!(
                "configuration change undetermined, too old remembered_from={remembered_from}"
            );
        }
    }
}

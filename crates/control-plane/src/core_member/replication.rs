//! Passes inputs to the replica and carries out its outputs.

use super::head_transitions::HeadLossReason;
use super::{CoreMember, Output};
use crate::clocks::Clocks;
use crate::storage_thread::StorageRequest;
use indigofold_protocol::internal::Frame;
use indigofold_replication::{Input as ReplicaInput, Output as ReplicaOutput, message};

impl CoreMember {
    /// Passes an input to the replica and carries out the resulting outputs. Inputs that these outputs cause are queued and
    /// handled afterwards, by the outermost call.
    pub(super) fn replica_input(&mut self, clocks: Clocks, input: ReplicaInput) {
        if !self.replica_inputs.push(input) {
            return;
        }
        while let Some(input) = self.replica_inputs.pop() {
            for output in self.replica.handle(clocks.steady_ms, input) {
                self.replica_output(clocks, output);
            }
        }
    }

    fn replica_output(&mut self, clocks: Clocks, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Send { to, envelope } => {
                if let Some(connection) = self.peers.connection(to) {
                    self.send(connection, Frame::Replication(message::encode(&envelope)));
                }
            }
            ReplicaOutput::Store { store, request } => {
                self.outputs
                    .push(Output::Storage(StorageRequest::Store { store, request }));
            }
            ReplicaOutput::ReadRows {
                read,
                since,
                bytes_max,
            } => {
                self.outputs.push(Output::Storage(StorageRequest::Read {
                    read,
                    since,
                    bytes_max,
                }));
            }
            ReplicaOutput::Committed { write_id } => self.write_committed(clocks, write_id),
            ReplicaOutput::Undetermined { write_id } | ReplicaOutput::Rejected { write_id } => {
                self.write_lost(clocks, write_id);
            }
            ReplicaOutput::HeadGained { view } => self.head_gained(clocks, view),
            ReplicaOutput::HeadRenewed { view } => self.head_renewed(clocks, view),
            ReplicaOutput::HeadLost => self.head_lost(clocks, HeadLossReason::Superseded),
        }
    }
}

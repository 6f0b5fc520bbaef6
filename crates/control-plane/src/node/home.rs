//! Becoming and ceasing to be the head; what the replica and the storage thread tell.

use super::{Home, Node, Output};
use crate::head::{Clocks, Head};
use crate::storage_thread::{KeyValue, StorageAnswer, StorageRequest};
use indigofold_protocol::internal::{Frame, ProcessKind};
use indigofold_replication::{Input as ReplicaInput, Output as ReplicaOutput, message};
use indigofold_scheduler::{AgentId, Event};

/// After a failed reading of its rows a head tries again after this time, in milliseconds.
const LOAD_RETRY_MS: u64 = 200;

impl Node {
    /// Hands an input to the replica and carries out what it wants done. Inputs that come of that wait until all
    /// outputs of this one are carried out, so that messages leave in the order in which the replica sent them.
    pub(super) fn replica_input(&mut self, clocks: Clocks, input: ReplicaInput) {
        self.replica_inputs.push_back(input);
        if std::mem::replace(&mut self.replica_busy, true) {
            return;
        }
        while let Some(input) = self.replica_inputs.pop_front() {
            for output in self.replica.handle(clocks.steady_ms, input) {
                self.replica_output(clocks, output);
            }
        }
        self.replica_busy = false;
    }

    /// The storage thread has done something.
    pub(super) fn stored(&mut self, clocks: Clocks, answer: StorageAnswer) {
        if let Some(error) = answer.damage() {
            self.outputs.push(Output::Damaged {
                reason: error.to_string(),
            });
            return;
        }
        match answer {
            StorageAnswer::Scrub { result } => self.scrubbed(clocks, result),
            StorageAnswer::Store {
                store,
                result: Ok(()),
            } => {
                if std::mem::take(&mut self.storage_failing) {
                    log::info!("the disk takes writes again");
                }
                self.replica_input(clocks, ReplicaInput::Stored { store });
            }
            StorageAnswer::Store {
                store,
                result: Err(error),
            } => {
                if !std::mem::replace(&mut self.storage_failing, true) {
                    log::error!("a write to the disk has failed, it is tried again: {error}");
                }
                self.replica_input(clocks, ReplicaInput::StoreFailed { store });
            }
            StorageAnswer::Read {
                read,
                result: Ok(chunk),
            } => {
                self.replica_input(clocks, ReplicaInput::RowsRead { read, chunk });
            }
            StorageAnswer::Read {
                read,
                result: Err(error),
            } => {
                log::error!("rows for another member cannot be read: {error}");
                self.replica_input(clocks, ReplicaInput::ReadFailed { read });
            }
            StorageAnswer::Survey { survey, result } => self.surveyed(clocks, survey, result),
            StorageAnswer::Load {
                view,
                result: Ok(rows),
            } => self.loaded(clocks, view, rows),
            StorageAnswer::Load {
                view,
                result: Err(error),
            } => {
                log::error!("the rows cannot be read to act as head of view {view}: {error}");
                self.load_failed(clocks, view);
            }
        }
    }

    /// Asks for all rows, to act on them; later, if writes of an earlier time as head are still under way.
    pub(super) fn load_rows(&mut self, clocks: Clocks) {
        if let Home::Loading { view, retry_ms } = &mut self.home {
            if !self.unsettled.is_empty() {
                *retry_ms = clocks.steady_ms + LOAD_RETRY_MS;
                return;
            }
            *retry_ms = u64::MAX;
            self.outputs
                .push(Output::Storage(StorageRequest::Load { view: *view }));
        }
    }

    fn replica_output(&mut self, clocks: Clocks, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Send { to, envelope } => {
                if let Some(connection) = self.peers.connection(to) {
                    let frame = Frame::Replication(message::encode(&envelope));
                    self.outputs.push(Output::Send { connection, frame });
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
            ReplicaOutput::Committed { write_id } => self.committed(clocks, write_id),
            ReplicaOutput::Aborted { write_id } | ReplicaOutput::Rejected { write_id } => {
                self.write_lost(clocks, write_id);
            }
            ReplicaOutput::HeadGained { view } => self.head_gained(clocks, view),
            ReplicaOutput::HeadRenewed { view } => {
                log::info!("still head, now of view {view}");
                if let Home::Loading { view: loading, .. } = &mut self.home {
                    *loading = view;
                    self.load_rows(clocks);
                }
            }
            ReplicaOutput::HeadLost => {
                self.head_lost(clocks, "another view holds, or the role was handed over")
            }
        }
    }

    fn committed(&mut self, clocks: Clocks, write_id: u64) {
        self.settled(write_id);
        let Home::Here(head) = &mut self.home else {
            return;
        };
        let mut outputs = Vec::new();
        head.committed(clocks, write_id, &mut outputs);
        self.head_outputs(clocks, outputs);
    }

    /// A write of this head will not be confirmed: what it has decided since may differ from what is kept. It begins
    /// anew from its rows, once the fate of its other writes is known.
    fn write_lost(&mut self, clocks: Clocks, write_id: u64) {
        if matches!(&self.home, Home::Here(head) if head.waits_for(write_id)) {
            self.head_lost(clocks, "a write was not confirmed");
            self.home = Home::Loading {
                view: self.replica.view(),
                retry_ms: clocks.steady_ms + LOAD_RETRY_MS,
            };
        }
        self.settled(write_id);
    }

    /// The fate of a write is known.
    fn settled(&mut self, write_id: u64) {
        self.unsettled.remove(&write_id);
    }

    fn head_gained(&mut self, clocks: Clocks, view: u64) {
        if self.is_head() {
            self.head_lost(clocks, "the head's role was gained anew");
        }
        log::info!("head of view {view}: reads its rows");
        self.home = Home::Loading {
            view,
            retry_ms: clocks.steady_ms,
        };
        self.load_rows(clocks);
    }

    fn head_lost(&mut self, clocks: Clocks, reason: &str) {
        let home = std::mem::replace(&mut self.home, Home::Elsewhere);
        log::info!("no longer head: {reason}");
        let Home::Here(head) = home else { return };
        let mut outputs = Vec::new();
        let unsettled = head.end(&mut outputs);
        self.next_write_id = unsettled.next_write_id;
        self.unsettled.extend(unsettled.write_ids);
        self.head_outputs(clocks, outputs);
        // Calls without a reply may have been written: their edges learn of it by the end of the connection.
        let unsure = self
            .sessions
            .iter()
            .filter(|(_, session)| session.open_calls > 0);
        let unsure: Vec<_> = unsure.map(|(connection, _)| connection).collect();
        for connection in unsure {
            self.drop_connection(clocks, connection);
        }
    }

    fn load_failed(&mut self, clocks: Clocks, failed: u64) {
        if let Home::Loading { view, retry_ms } = &mut self.home
            && *view == failed
        {
            *retry_ms = clocks.steady_ms + LOAD_RETRY_MS;
        }
    }

    /// The rows are here: this member acts from now on, while its lease holds.
    fn loaded(&mut self, clocks: Clocks, loaded: u64, rows: Vec<KeyValue>) {
        if !matches!(self.home, Home::Loading { view, .. } if view == loaded) {
            return;
        }
        let count = rows.len();
        let mut head = match Head::load(
            self.settings.bounds,
            loaded,
            self.next_write_id,
            clocks,
            rows,
        ) {
            Ok(head) => head,
            Err(error) => {
                log::error!("the rows cannot be used to act as head of view {loaded}: {error}");
                return self.load_failed(clocks, loaded);
            }
        };
        log::info!("head of view {loaded}: {count} rows read");
        let mut outputs = Vec::new();
        head.begin(clocks, &mut outputs);
        self.home = Home::Here(Box::new(head));
        self.head_outputs(clocks, outputs);
        for (agent, node_name) in self.agents() {
            self.scheduler_event(clocks, Event::AgentConnected { agent, node_name });
        }
    }

    /// Companions connected, with the names of their machines.
    fn agents(&self) -> Vec<(AgentId, String)> {
        let agents = self
            .sessions
            .iter()
            .filter(|(_, session)| session.kind == ProcessKind::Agent);
        agents
            .map(|(connection, session)| (AgentId(connection.0), session.node_name.clone()))
            .collect()
    }
}

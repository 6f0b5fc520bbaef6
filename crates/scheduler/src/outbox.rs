//! Outputs of the scheduler until they are sent. The rows changed by one event form one write; outputs that depend on a
//! write wait until it is committed.

use crate::api::{AgentId, CallerId, WriteId};
use crate::worker::WorkerId;
use indigofold_protocol::internal::{ClientOutcome, ClientReply, StartOrder};
use indigofold_protocol::task::{JobId, RunId};
use std::collections::{BTreeMap, BTreeSet};

/// An output or action that waits for a write to be committed.
#[derive(Debug)]
pub(crate) enum Deferred {
    /// Sending a reply to a client.
    Reply(CallerId, ClientReply),
    /// Sending the start order of a run.
    Start(RunId),
    /// Sending the stop order of a run.
    Stop(RunId),
    /// Acknowledging the reported ends of a worker's runs up to this number.
    Acknowledge(WorkerId, u64),
    /// Acknowledging a node agent's updates up to this number.
    AcknowledgeUpdates(AgentId, u64),
}

/// Orders for one worker, sent to its node agent in one message.
#[derive(Debug, Default)]
pub(crate) struct WorkerOrders {
    /// Time at which the report that is answered was sent, on the agent's clock; `None` if no report is answered.
    pub echo_sent_ms: Option<u64>,
    /// Runs to start.
    pub start: Vec<StartOrder>,
    /// Runs to stop.
    pub stop: Vec<RunId>,
}

/// Rows that the current event has changed.
#[derive(Debug, Default)]
pub(crate) struct ChangedRows {
    /// Jobs whose progress row has to be written.
    pub progress: BTreeSet<JobId>,
    /// Accepted jobs, whose definition row has to be written.
    pub accepted: BTreeSet<JobId>,
    /// Removed jobs, whose progress row has to be deleted.
    pub removed: BTreeSet<JobId>,
    /// Closed jobs, whose definition row has to be deleted.
    pub closed: BTreeSet<JobId>,
    /// Worker instances with the machine that their row names; `None` deletes the row of an ended instance.
    pub instances: BTreeMap<String, Option<String>>,
}

/// Changed rows and orders of the current event, and outputs that wait for a commit.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    changed_rows: ChangedRows,
    orders: BTreeMap<WorkerId, WorkerOrders>,
    /// Outputs by the write that they wait for.
    deferred: BTreeMap<WriteId, Vec<Deferred>>,
    /// Number of the last write that was issued; 0 before the first.
    last_issued_write: u64,
    /// Writes up to this number are committed.
    last_committed_write: u64,
}

impl Outbox {
    /// Placeholder for outputs that depend on no write; it always counts as committed.
    pub(crate) const NO_WRITE: WriteId = WriteId(0);

    /// Records that the progress row of a job has to be written.
    pub(crate) fn progress_changed(&mut self, job: JobId) {
        self.changed_rows.progress.insert(job);
    }

    /// Records that the definition row of an accepted job has to be written.
    pub(crate) fn job_accepted(&mut self, job: JobId) {
        self.changed_rows.accepted.insert(job);
    }

    /// Records that the definition row of a closed job has to be deleted.
    pub(crate) fn job_closed(&mut self, job: JobId) {
        self.changed_rows.closed.insert(job);
    }

    /// Records that the progress row of a removed job has to be deleted.
    pub(crate) fn job_removed(&mut self, job: JobId) {
        self.changed_rows.removed.insert(job);
    }

    /// Records that the row of a worker instance has to name this machine; `None` deletes the row of an ended instance.
    pub(crate) fn instance_changed(&mut self, instance: String, node_name: Option<String>) {
        self.changed_rows.instances.insert(instance, node_name);
    }

    /// The write that will contain the changes of the current event.
    pub(crate) fn current_write(&self) -> WriteId {
        WriteId(self.last_issued_write + 1)
    }

    /// The newest write: the current one if the current event has changed a row, otherwise the last one issued.
    pub(crate) fn newest_write(&self) -> WriteId {
        if self.has_changes() {
            self.current_write()
        } else {
            WriteId(self.last_issued_write)
        }
    }

    /// Whether the current event has changed a row.
    pub(crate) fn has_changes(&self) -> bool {
        let rows = &self.changed_rows;
        !(rows.progress.is_empty()
            && rows.removed.is_empty()
            && rows.closed.is_empty()
            && rows.instances.is_empty())
    }

    /// Whether this write, and thus all earlier ones, are committed.
    pub(crate) fn is_committed(&self, write: WriteId) -> bool {
        write.0 <= self.last_committed_write
    }

    /// Defers an output until a write is committed.
    pub(crate) fn defer(&mut self, write: WriteId, output: Deferred) {
        self.deferred.entry(write).or_default().push(output);
    }

    /// Defers a reply to a client's call until a write is committed.
    pub(crate) fn reply(
        &mut self,
        write: WriteId,
        to: CallerId,
        call: u64,
        outcome: ClientOutcome,
    ) {
        self.defer(write, Deferred::Reply(to, ClientReply { call, outcome }));
    }

    /// Returns the changes of the current event as a write with a new number.
    pub(crate) fn take_changes(&mut self) -> (WriteId, ChangedRows) {
        self.last_issued_write += 1;
        (
            WriteId(self.last_issued_write),
            std::mem::take(&mut self.changed_rows),
        )
    }

    /// Marks all writes up to this one as committed.
    pub(crate) fn commit(&mut self, write: WriteId) {
        self.last_committed_write = self.last_committed_write.max(write.0);
    }

    /// Removes and returns the outputs whose writes are committed, in the order of the writes.
    pub(crate) fn take_committed(&mut self) -> Vec<Deferred> {
        let uncommitted_outputs = self
            .deferred
            .split_off(&WriteId(self.last_committed_write + 1));
        std::mem::replace(&mut self.deferred, uncommitted_outputs)
            .into_values()
            .flatten()
            .collect()
    }

    /// Drops replies to a caller that has disconnected.
    pub(crate) fn drop_replies_to(&mut self, caller: CallerId) {
        for waiting_outputs in self.deferred.values_mut() {
            waiting_outputs
                .retain(|output| !matches!(output, Deferred::Reply(to, _) if *to == caller));
        }
    }

    /// The orders of the current event for a worker.
    pub(crate) fn orders_for(&mut self, worker: WorkerId) -> &mut WorkerOrders {
        self.orders.entry(worker).or_default()
    }

    /// Returns the orders of the current event, by worker.
    pub(crate) fn take_orders(&mut self) -> BTreeMap<WorkerId, WorkerOrders> {
        std::mem::take(&mut self.orders)
    }
}

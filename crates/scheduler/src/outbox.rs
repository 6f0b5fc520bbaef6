//! What leaves the scheduler: changed rows go into one write per event, and whatever rests on a write waits until it is
//! committed.

use crate::api::{CallerId, WriteId};
use crate::worker::WorkerId;
use indigofold_protocol::internal::{ClientOutcome, ClientReply, StartOrder};
use indigofold_protocol::task::{JobId, RunId};
use std::collections::{BTreeMap, BTreeSet};

/// Something that waits for a write.
#[derive(Debug)]
pub(crate) enum Deferred {
    /// A reply to a client.
    Reply(CallerId, ClientReply),
    /// A run's start order.
    Start(RunId),
    /// A run's stop order.
    Stop(RunId),
    /// Ends of a worker up to this number may be acknowledged.
    Acknowledge(WorkerId, u64),
}

/// Orders for one worker.
#[derive(Debug, Default)]
pub(crate) struct WorkerOrders {
    /// The report that they answer.
    pub echo_sent_ms: Option<u64>,
    /// Runs to start.
    pub start: Vec<StartOrder>,
    /// Runs to stop.
    pub stop: Vec<RunId>,
}

/// Rows that the present event has changed.
#[derive(Debug, Default)]
pub(crate) struct ChangedRows {
    /// Jobs whose progress changed.
    pub progress: BTreeSet<JobId>,
    /// Jobs accepted.
    pub accepted: BTreeSet<JobId>,
    /// Jobs forgotten, with what is deleted.
    pub forgotten: BTreeSet<JobId>,
    /// Jobs of which only the end stays stored from now on.
    pub closed: BTreeSet<JobId>,
    /// Instances whose machine became known, or (`None`) that have ended.
    pub instances: BTreeMap<String, Option<String>>,
}

/// Everything that waits to leave.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    changed: ChangedRows,
    orders: BTreeMap<WorkerId, WorkerOrders>,
    deferred: BTreeMap<WriteId, Vec<Deferred>>,
    issued: u64,
    committed: u64,
}

impl Outbox {
    /// Stands for a write that was committed before everything else.
    pub(crate) const NO_WRITE: WriteId = WriteId(0);

    /// The job's progress has changed.
    pub(crate) fn progress_changed(&mut self, job: JobId) {
        self.changed.progress.insert(job);
    }

    /// The job was accepted: its definition is written.
    pub(crate) fn job_accepted(&mut self, job: JobId) {
        self.changed.accepted.insert(job);
    }

    /// Of an ended job only the end stays stored: its definition is deleted.
    pub(crate) fn job_closed(&mut self, job: JobId) {
        self.changed.closed.insert(job);
    }

    /// The job is forgotten: its progress is deleted.
    pub(crate) fn job_forgotten(&mut self, job: JobId) {
        self.changed.forgotten.insert(job);
    }

    /// The machine of an instance became known, or (`None`) the instance has ended.
    pub(crate) fn instance_changed(&mut self, instance: String, node_name: Option<String>) {
        self.changed.instances.insert(instance, node_name);
    }

    /// The write that the present event's changes go into.
    pub(crate) fn present_write(&self) -> WriteId {
        WriteId(self.issued + 1)
    }

    /// The newest write, including the present one if something has changed.
    pub(crate) fn newest_write(&self) -> WriteId {
        if self.has_changes() {
            self.present_write()
        } else {
            WriteId(self.issued)
        }
    }

    /// Whether the present event has changed a row.
    pub(crate) fn has_changes(&self) -> bool {
        let changed = &self.changed;
        !(changed.progress.is_empty()
            && changed.forgotten.is_empty()
            && changed.closed.is_empty()
            && changed.instances.is_empty())
    }

    /// Whether this write is committed.
    pub(crate) fn is_committed(&self, write: WriteId) -> bool {
        write.0 <= self.committed
    }

    /// Lets something wait for a write.
    pub(crate) fn defer(&mut self, write: WriteId, what: Deferred) {
        self.deferred.entry(write).or_default().push(what);
    }

    /// A reply that waits for a write.
    pub(crate) fn reply(
        &mut self,
        write: WriteId,
        to: CallerId,
        call: u64,
        outcome: ClientOutcome,
    ) {
        self.defer(write, Deferred::Reply(to, ClientReply { call, outcome }));
    }

    /// Takes the present event's changes; they get their number.
    pub(crate) fn take_changes(&mut self) -> (WriteId, ChangedRows) {
        self.issued += 1;
        (WriteId(self.issued), std::mem::take(&mut self.changed))
    }

    /// Writes up to this one are committed.
    pub(crate) fn commit(&mut self, write: WriteId) {
        self.committed = self.committed.max(write.0);
    }

    /// What need not wait any longer, in the order of its writes.
    pub(crate) fn released(&mut self) -> Vec<Deferred> {
        let waiting = self.deferred.split_off(&WriteId(self.committed + 1));
        std::mem::replace(&mut self.deferred, waiting)
            .into_values()
            .flatten()
            .collect()
    }

    /// Drops replies to a caller that has disconnected.
    pub(crate) fn forget_caller(&mut self, caller: CallerId) {
        for waiting in self.deferred.values_mut() {
            waiting.retain(|what| !matches!(what, Deferred::Reply(to, _) if *to == caller));
        }
    }

    /// The present event's orders for a worker.
    pub(crate) fn orders_for(&mut self, worker: WorkerId) -> &mut WorkerOrders {
        self.orders.entry(worker).or_default()
    }

    /// Takes the present event's orders.
    pub(crate) fn take_orders(&mut self) -> BTreeMap<WorkerId, WorkerOrders> {
        std::mem::take(&mut self.orders)
    }
}

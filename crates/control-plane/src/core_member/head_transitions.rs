//! Transitions of the head's role.

use super::{CoreMember, Output};
use crate::acting_head::ActingHead;
use crate::clocks::Clocks;
use crate::storage_thread::{StorageRequest, StoredRow};
use indigofold_replication::{SubmissionId, ViewNumber};
use indigofold_scheduler::Event;
use std::fmt;

/// Why a head has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadLossReason {
    /// Another view holds, or the leadership was handed over.
    Superseded,
    /// A write was not confirmed: the head starts anew from its rows.
    WriteLost,
    /// The head's role was lost and gained at once: the head starts anew from its rows.
    Regained,
}

impl fmt::Display for HeadLossReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            HeadLossReason::Superseded => "superseded",
            HeadLossReason::WriteLost => "write_lost",
            HeadLossReason::Regained => "regained",
        })
    }
}

impl CoreMember {
    /// This member has become the head of `view`.
    pub(super) fn head_gained(&mut self, clocks: Clocks, view: ViewNumber) {
        if self.is_head() {
            self.head_lost(clocks, HeadLossReason::Regained);
        }
        log::info!("became head, loading rows view={view}");
        self.head_role.start_loading(view, clocks.steady_ms);
        self.request_rows(clocks);
    }

    /// The view has changed to `view`, and this member is still its head.
    pub(super) fn head_renewed(&mut self, clocks: Clocks, view: ViewNumber) {
        log::info!("still head after a view change view={view}");
        self.head_role.renew(view);
        self.request_rows(clocks);
    }

    /// This member is no longer the head.
    pub(super) fn head_lost(&mut self, clocks: Clocks, reason: HeadLossReason) {
        log::info!("no longer head reason={reason}");
        let mut outputs = Vec::new();
        if !self.head_role.resign(&mut outputs) {
            return;
        }
        self.apply_head_outputs(clocks, outputs);
        // Calls without a reply may have been written: the closed connection informs their edges.
        for connection in self.sessions.with_open_calls() {
            self.close_connection(clocks, connection);
        }
    }

    /// Requests all rows if this member is a head without them and none of its earlier writes is pending.
    pub(super) fn request_rows(&mut self, clocks: Clocks) {
        if let Some(view) = self.head_role.poll_load(clocks.steady_ms) {
            self.outputs
                .push(Output::Storage(StorageRequest::Load { view }));
        }
    }

    /// The rows for the head of `view` are read: this member acts from now on, while its lease holds.
    pub(super) fn rows_loaded(&mut self, clocks: Clocks, view: ViewNumber, rows: Vec<StoredRow>) {
        if !self.head_role.is_loading(view) {
            return;
        }
        let count = rows.len();
        let mut outputs = Vec::new();
        let result = self
            .head_role
            .lead(self.settings.bounds, view, clocks, rows, &mut outputs);
        if let Err(error) = result {
            log::error!("loaded rows are not usable, will retry view={view} error={error}");
            return self.head_role.load_failed(view, clocks.steady_ms);
        }
        log::info!("rows loaded view={view} rows={count}");
        self.apply_head_outputs(clocks, outputs);
        for (agent, node_name) in self.sessions.agents() {
            self.scheduler_event(clocks, Event::AgentConnected { agent, node_name });
        }
    }

    /// A write is on the disks of the whole chain.
    pub(super) fn write_committed(&mut self, clocks: Clocks, write_id: SubmissionId) {
        self.head_role.write_resolved(write_id);
        let Some(head) = self.head_role.leading_mut() else {
            return;
        };
        let mut outputs = Vec::new();
        head.committed(clocks, write_id, &mut outputs);
        self.apply_head_outputs(clocks, outputs);
    }

    /// A write will not be confirmed. If it is one of the current head, the head's decisions since may differ from the
    /// stored rows: it loads them anew, once all its other writes have a result.
    pub(super) fn write_lost(&mut self, clocks: Clocks, write_id: SubmissionId) {
        let is_own = |head: &ActingHead| head.waits_for(write_id);
        if self.head_role.leading().is_some_and(is_own) {
            self.head_lost(clocks, HeadLossReason::WriteLost);
            let view = self.replica.view();
            self.head_role.start_loading_later(view, clocks.steady_ms);
        }
        self.head_role.write_resolved(write_id);
    }
}

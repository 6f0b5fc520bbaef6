//! Transitions into and out of the role of head.

use super::{CoreMember, Output};
use crate::acting_head::ActingHead;
use crate::clocks::Clocks;
use crate::storage_thread::{StorageRequest, StoredRow};
use indigofold_replication::{SubmissionId, ViewNumber};
use indigofold_scheduler::Event;
use std::fmt;

/// Reason why this member is no longer the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadLossReason {
    /// Another view has taken effect, or the role was handed over.
    Superseded,
    /// A write of the head will not be confirmed. The member stays the head and reloads its rows.
    WriteLost,
    /// The role was gained again while this member was still the head. The member reloads its rows.
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
    /// Handles this member becoming the head of `view`.
    pub(super) fn head_gained(&mut self, clocks: Clocks, view: ViewNumber) {
        if self.is_head() {
            self.head_lost(clocks, HeadLossReason::Regained);
        }
        log::info!("became head, loading rows view={view}");
        self.head_role.start_loading(view, clocks.steady_ms);
        self.request_rows(clocks);
    }

    /// Handles the view change to `view`, in which this member stays the head.
    pub(super) fn head_renewed(&mut self, clocks: Clocks, view: ViewNumber) {
        log::info!("still head after a view change view={view}");
        self.head_role.renew(view);
        self.request_rows(clocks);
    }

    /// Ends the current term as head. Open configuration changes are answered as undetermined, and connections with open calls
    /// are closed.
    pub(super) fn head_lost(&mut self, clocks: Clocks, reason: HeadLossReason) {
        log::info!("no longer head reason={reason}");
        let mut head_outputs = Vec::new();
        if !self.head_role.resign(&mut head_outputs) {
            return;
        }
        self.apply_head_outputs(clocks, head_outputs);
        // Calls without a reply may or may not have been written. Closing the connections tells the edges that the results are
        // unknown.
        for connection in self.sessions.with_open_calls() {
            self.close_connection(clocks, connection);
        }
    }

    /// Requests all rows if this member is a head without rows and none of its earlier writes is pending.
    pub(super) fn request_rows(&mut self, clocks: Clocks) {
        if let Some(view) = self.head_role.poll_load(clocks.steady_ms) {
            self.outputs
                .push(Output::Storage(StorageRequest::Load { view }));
        }
    }

    /// Starts the [`ActingHead`] of `view` with the rows that were read. From now on this member is the acting head while its
    /// lease holds.
    pub(super) fn rows_loaded(&mut self, clocks: Clocks, view: ViewNumber, rows: Vec<StoredRow>) {
        if !self.head_role.is_loading(view) {
            return;
        }
        let row_count = rows.len();
        let mut head_outputs = Vec::new();
        let result =
            self.head_role
                .lead(self.settings.bounds, view, clocks, rows, &mut head_outputs);
        if let Err(error) = result {
            log::error!("loaded rows are not usable, will retry view={view} error={error}");
            return self.head_role.load_failed(view, clocks.steady_ms);
        }
        log::info!("rows loaded view={view} rows={row_count}");
        self.apply_head_outputs(clocks, head_outputs);
        for (agent, node_name) in self.sessions.agents() {
            self.scheduler_event(clocks, Event::AgentConnected { agent, node_name });
        }
    }

    /// Handles the commit of a write, which the whole chain has on disk now.
    pub(super) fn write_committed(&mut self, clocks: Clocks, write_id: SubmissionId) {
        self.head_role.write_resolved(write_id);
        let Some(head) = self.head_role.leading_mut() else {
            return;
        };
        let mut head_outputs = Vec::new();
        head.committed(clocks, write_id, &mut head_outputs);
        self.apply_head_outputs(clocks, head_outputs);
    }

    /// Handles a write that will not be confirmed. If the current head submitted it, the head's state may differ from the stored
    /// rows. They are therefore reloaded, once all other writes of the head have a result.
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

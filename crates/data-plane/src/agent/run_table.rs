//! The runs of one instance of the worker: ordered, sent, running or closed.

mod entry;

pub(super) use entry::ReplyContext;
pub use entry::{CAPACITY_WAIT_MS, SEND_ATTEMPTS_MAX, STARTS_PER_REPLY_MAX};

use super::closed_runs::{CloseReason, ClosedRuns};
use entry::{EntryOutcome, RunEntry, StartDecision};
use indigofold_protocol::internal::{FinishedRun, RunningRun, StartOrder};
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::RunId;
use std::collections::BTreeMap;

/// The orders that one reply carries.
#[derive(Debug, Default)]
pub(super) struct OutgoingOrders {
    /// Runs to start.
    pub start: Vec<StartOrder>,
    /// Runs to stop.
    pub stop: Vec<RunId>,
    /// Starts that will not be sent and are reported to the head as not started.
    pub not_started: Vec<RunId>,
}

/// The open runs of one instance (ordered, sent or running) and its closed ones.
#[derive(Debug, Default)]
pub(super) struct RunTable {
    entries: BTreeMap<RunId, RunEntry>,
    closed: ClosedRuns,
}

impl RunTable {
    /// Handles a start order. A known run is not started a second time. Returns the run if it was reported to the head
    /// as not started before, so that it is reported again.
    pub(super) fn handle_start(&mut self, order: StartOrder) -> Option<RunId> {
        match self.closed.get(&order.run) {
            Some(CloseReason::NotStarted) => return Some(order.run),
            Some(CloseReason::Ended) => return None,
            None => {}
        }
        match self.entries.get_mut(&order.run) {
            Some(entry) => entry.set_resources(order.resources),
            None => {
                self.entries.insert(order.run, RunEntry::waiting(order));
            }
        }
        None
    }

    /// Rejects a start order that must not be carried out. Returns the run, which is then closed as not started, unless
    /// it is open or has ended.
    pub(super) fn refuse_start(&mut self, run: RunId) -> Option<RunId> {
        let is_open_or_ended =
            self.entries.contains_key(&run) || self.closed.get(&run) == Some(CloseReason::Ended);
        (!is_open_or_ended).then(|| {
            self.closed.insert(run, CloseReason::NotStarted);
            run
        })
    }

    /// Handles a stop order. Returns the run if it was never started, so that there is nothing to stop. A stop of an
    /// unknown run is sent to the worker.
    pub(super) fn handle_stop(&mut self, run: RunId) -> Option<RunId> {
        match self.closed.get(&run) {
            Some(CloseReason::NotStarted) => return Some(run),
            Some(CloseReason::Ended) => return None,
            None => {}
        }
        let Some(entry) = self.entries.get_mut(&run) else {
            self.entries.insert(run, RunEntry::stop_only());
            return None;
        };
        if !entry.withdraw() {
            return None;
        }
        self.close(run, CloseReason::NotStarted);
        Some(run)
    }

    /// Withdraws all starts that the worker has not listed, and returns those that were never sent. Those that were
    /// sent are stopped.
    pub(super) fn withdraw_unlisted(&mut self) -> Vec<RunId> {
        let unlisted_entries = self.entries.iter().filter(|(_, entry)| !entry.is_running());
        let runs: Vec<RunId> = unlisted_entries.map(|(run, _)| *run).collect();
        runs.into_iter()
            .filter_map(|run| self.handle_stop(run))
            .collect()
    }

    /// Handles the lists of heartbeat `seq_no`. Returns the starts now known never to have been carried out.
    pub(super) fn handle_heartbeat(
        &mut self,
        seq_no: u64,
        running: &[RunningRun],
        finished: &[FinishedRun],
    ) -> Vec<RunId> {
        for listed_run in running {
            self.entries
                .entry(listed_run.run)
                .or_insert_with(RunEntry::running)
                .handle_listed();
        }
        for finished_run in finished {
            self.close(finished_run.run, CloseReason::Ended);
        }
        let mut not_started = Vec::new();
        let mut ended_runs = Vec::new();
        for (run, entry) in &mut self.entries {
            match entry.finish_heartbeat(seq_no) {
                EntryOutcome::Kept => {}
                EntryOutcome::NeverStarted => not_started.push(*run),
                EntryOutcome::Ended => ended_runs.push(*run),
            }
        }
        self.close_all(&ended_runs, CloseReason::Ended);
        self.close_all(&not_started, CloseReason::NotStarted);
        not_started
    }

    /// Returns the orders for the reply being built.
    pub(super) fn poll_orders(&mut self, context: ReplyContext) -> OutgoingOrders {
        let mut orders = OutgoingOrders::default();
        let mut used_capacity = self.occupied();
        for (run, entry) in &mut self.entries {
            match entry.poll_start(&context, &used_capacity, orders.start.len()) {
                StartDecision::Send(order) => {
                    used_capacity = used_capacity.plus(entry.resources());
                    orders.start.push(order);
                }
                StartDecision::Withdraw => orders.not_started.push(*run),
                StartDecision::Defer => {}
            }
            if entry.poll_stop(context.seq_no) {
                orders.stop.push(*run);
            }
        }
        self.close_all(&orders.not_started, CloseReason::NotStarted);
        orders
    }

    /// The runs that were sent to the worker and that no heartbeat has listed yet.
    pub(super) fn in_flight(&self) -> Vec<RunId> {
        let in_flight_entries = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_in_flight());
        in_flight_entries.map(|(run, _)| *run).collect()
    }

    /// Whether no run is ordered, sent or running.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Capacity taken by runs that are running or being stopped, or that may be starting.
    fn occupied(&self) -> Resources {
        let occupying_entries = self
            .entries
            .values()
            .filter(|entry| entry.occupies_capacity());
        occupying_entries.fold(Resources::default(), |total, entry| {
            total.plus(entry.resources())
        })
    }

    fn close_all(&mut self, runs: &[RunId], reason: CloseReason) {
        runs.iter().for_each(|run| self.close(*run, reason));
    }

    fn close(&mut self, run: RunId, reason: CloseReason) {
        self.entries.remove(&run);
        self.closed.insert(run, reason);
    }
}

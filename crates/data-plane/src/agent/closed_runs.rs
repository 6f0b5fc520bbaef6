//! Closed runs: a later start order for one of them is never carried out.

use indigofold_protocol::task::RunId;
use std::collections::{HashMap, VecDeque};

/// Maximum number of closed runs that are remembered; the oldest are forgotten first.
pub const CLOSED_RUNS_MAX: usize = 4_096;

/// Why a run is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The run has ended at the worker, or the worker has refused it.
    Ended,
    /// The run was never started and never will be.
    NotStarted,
}

/// The most recently closed runs, up to [`CLOSED_RUNS_MAX`].
#[derive(Debug, Default)]
pub(super) struct ClosedRuns {
    reasons: HashMap<RunId, CloseReason>,
    oldest_first: VecDeque<RunId>,
}

impl ClosedRuns {
    /// The reason why this run is closed; `None` if it is not closed or was forgotten.
    pub(super) fn get(&self, run: &RunId) -> Option<CloseReason> {
        self.reasons.get(run).copied()
    }

    /// Closes a run; a closed run gets the new reason.
    pub(super) fn insert(&mut self, run: RunId, reason: CloseReason) {
        if self.reasons.insert(run, reason).is_none() {
            self.oldest_first.push_back(run);
        }
        if self.oldest_first.len() > CLOSED_RUNS_MAX
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.reasons.remove(&oldest);
        }
    }
}

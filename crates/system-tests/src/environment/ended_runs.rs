//! Ended runs, which an instance reports in its heartbeats until they are acknowledged.

use super::record::Moment;
use crate::task::RunName;
use crate::wire::{ENDS_MAX, EndReason, EndReport};
use std::collections::VecDeque;

/// An ended run that has not been acknowledged.
#[derive(Clone, Debug)]
struct EndedRun {
    /// Number of the end on its instance, from 1.
    number: u64,
    at: Moment,
    run: RunName,
    reason: EndReason,
    checkpoint: String,
}

/// The ended runs of one instance that have not been acknowledged.
#[derive(Debug, Default)]
pub(super) struct EndedRuns {
    ends: VecDeque<EndedRun>,
    last_number: u64,
    /// Set by the first end after a heartbeat, cleared by the next heartbeat.
    unsent_since: Option<Moment>,
}

impl EndedRuns {
    /// Adds an end, which heartbeats report from now on.
    pub(super) fn add(&mut self, run: RunName, reason: EndReason, checkpoint: String, now: Moment) {
        self.last_number += 1;
        self.ends.push_back(EndedRun {
            number: self.last_number,
            at: now,
            run,
            reason,
            checkpoint,
        });
        self.unsent_since.get_or_insert(now);
    }

    /// Removes the ends up to number `acknowledged_end`, and returns those that did not precede `last_expiry`, the last
    /// expiry of the run lease.
    pub(super) fn acknowledge(
        &mut self,
        acknowledged_end: u64,
        last_expiry: Option<Moment>,
    ) -> Vec<(RunName, EndReason)> {
        let count = self
            .ends
            .partition_point(|end| end.number <= acknowledged_end);
        let acknowledged = self
            .ends
            .drain(..count)
            .filter(|end| last_expiry.is_none_or(|expiry| expiry <= end.at));
        acknowledged.map(|end| (end.run, end.reason)).collect()
    }

    /// When the earliest end occurred that no heartbeat has carried yet.
    pub(super) fn unsent_since(&self) -> Option<Moment> {
        self.unsent_since
    }

    /// The reports for the next heartbeat, at most [`ENDS_MAX`], oldest first.
    pub(super) fn reports(&mut self) -> Vec<EndReport> {
        self.unsent_since = None;
        let reports = self.ends.iter().take(ENDS_MAX).map(|end| EndReport {
            number: end.number,
            task: end.run.task.to_string(),
            attempt: end.run.attempt,
            reason: end.reason,
            checkpoint: end.checkpoint.clone(),
        });
        reports.collect()
    }
}

//! A run that has not ended: where it is, how far its order has come, and its progress as listed.

use crate::api::AgentId;
use crate::kinds::Selection;
use crate::latency::{Cause, LatencyBreakdown};
use crate::run_result::RunResult;
use crate::worker::WorkerId;
use indigofold_protocol::worker::RunEnd;

/// Where and how a run is placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    /// The worker.
    pub worker: WorkerId,
    /// Whether the step is bound to the worker's kind.
    pub bound: bool,
    /// Factor on the run time there, for data or a gang on other racks.
    pub remote_factor: f64,
}

impl Placement {
    /// A run on the selected worker.
    pub(crate) fn new(selection: &Selection, remote_factor: f64) -> Self {
        Placement {
            worker: selection.worker,
            bound: selection.bound,
            remote_factor,
        }
    }
}

/// A stop that was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopOrder {
    /// Connection on which it was sent.
    pub sent_to: Option<AgentId>,
    /// When it was sent last.
    pub sent_ms: u64,
}

/// A run that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    attempt: u32,
    worker: WorkerId,
    /// Its order may have left this process.
    sent: bool,
    /// When its order left.
    sent_ms: u64,
    /// When its worker listed it first.
    began_ms: Option<u64>,
    stop: Option<StopOrder>,
    placed_ms: u64,
    resumed: bool,
    bound: bool,
    remote_factor: f64,
    percent: u32,
    /// When `percent` changed last.
    percent_ms: u64,
    listed_ms: u64,
}

impl Run {
    /// A run that is placed now and not ordered yet. `resumed`: it starts from a checkpoint.
    pub(crate) fn placed(attempt: u32, placement: &Placement, resumed: bool, now_ms: u64) -> Self {
        Run {
            attempt,
            worker: placement.worker,
            sent: false,
            sent_ms: 0,
            began_ms: None,
            stop: None,
            placed_ms: now_ms,
            resumed,
            bound: placement.bound,
            remote_factor: placement.remote_factor,
            percent: 0,
            percent_ms: now_ms,
            listed_ms: now_ms,
        }
    }

    /// A run that a predecessor has placed; its order may have been sent. It counts as resumed: when it began is not
    /// known, so its end says nothing about how long such tasks run.
    pub(crate) fn restored(worker: WorkerId, attempt: u32, now_ms: u64) -> Self {
        let placement = Placement {
            worker,
            bound: false,
            remote_factor: 1.0,
        };
        Run {
            sent: true,
            sent_ms: now_ms,
            ..Run::placed(attempt, &placement, true, now_ms)
        }
    }

    /// Number of the run among those of its task, from 1.
    pub(crate) fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Where it runs.
    pub(crate) fn worker(&self) -> WorkerId {
        self.worker
    }

    /// Whether its order may have left this process.
    pub(crate) fn is_sent(&self) -> bool {
        self.sent
    }

    /// Its stop order: where and when it was sent last, if a stop was decided.
    pub(crate) fn stop(&self) -> Option<StopOrder> {
        self.stop
    }

    /// When it was placed.
    pub(crate) fn placed_ms(&self) -> u64 {
        self.placed_ms
    }

    /// Whether it resumes from a checkpoint or was placed by a predecessor: how long it takes says nothing about its
    /// class.
    pub(crate) fn is_resumed(&self) -> bool {
        self.resumed
    }

    /// Whether it was bound to one kind of workers.
    pub(crate) fn is_bound(&self) -> bool {
        self.bound
    }

    /// Factor on its run time on this worker (data or gang on other racks).
    pub(crate) fn remote_factor(&self) -> f64 {
        self.remote_factor
    }

    /// Percentage done, as listed last.
    pub(crate) fn percent(&self) -> u32 {
        self.percent
    }

    /// When the percentage changed last.
    pub(crate) fn percent_ms(&self) -> u64 {
        self.percent_ms
    }

    /// When a report listed it last.
    pub(crate) fn listed_ms(&self) -> u64 {
        self.listed_ms
    }

    /// Its order leaves now.
    pub(crate) fn record_sent(&mut self, now_ms: u64) {
        (self.sent, self.sent_ms) = (true, now_ms);
    }

    /// Its stop was decided, or is sent again.
    pub(crate) fn record_stop(&mut self, stop: StopOrder) {
        self.stop = Some(stop);
    }

    /// A report lists its order as in flight.
    pub(crate) fn record_in_flight(&mut self, now_ms: u64) {
        self.listed_ms = now_ms;
    }

    /// A report lists it as running.
    pub(crate) fn record_listed(&mut self, percent: u32, now_ms: u64) {
        self.listed_ms = now_ms;
        self.began_ms.get_or_insert(now_ms);
        if self.percent != percent {
            (self.percent, self.percent_ms) = (percent, now_ms);
        }
    }

    /// Adds the time that it took, now that it has ended, to the breakdown of its task.
    pub(crate) fn add_latency(
        &self,
        breakdown: &mut LatencyBreakdown,
        result: RunResult,
        now_ms: u64,
    ) {
        let spent_ms = now_ms.saturating_sub(self.placed_ms);
        match result {
            RunResult::Ended(RunEnd::Done) => self.add_work(breakdown, now_ms),
            RunResult::Ended(RunEnd::Failed) => breakdown.add(Cause::Failed, spent_ms),
            RunResult::Lost => breakdown.add(Cause::Lost, spent_ms),
            RunResult::NotStarted if self.sent && self.stop.is_none() => {
                // Its order was lost or refused on its way.
                let sent_ms = self.sent_ms.max(self.placed_ms);
                breakdown.add(Cause::Commit, sent_ms - self.placed_ms);
                breakdown.add(Cause::Dispatch, now_ms.saturating_sub(sent_ms));
            }
            RunResult::Ended(_) | RunResult::NotStarted => {
                breakdown.add(Cause::Stopped, spent_ms);
            }
        }
    }

    /// Adds the time that it took, as its work is done.
    fn add_work(&self, breakdown: &mut LatencyBreakdown, now_ms: u64) {
        let sent_ms = self.sent_ms.max(self.placed_ms);
        let began_ms = self.began_ms.unwrap_or(sent_ms).max(sent_ms);
        let ran_ms = now_ms.saturating_sub(began_ms);
        let local_ms = (ran_ms as f64 / self.remote_factor.max(1.0)) as u64;
        breakdown.add(Cause::Commit, sent_ms - self.placed_ms);
        breakdown.add(Cause::Dispatch, began_ms - sent_ms);
        breakdown.add(Cause::Run, local_ms);
        breakdown.add(Cause::Remote, ran_ms - local_ms);
    }
}

#[cfg(test)]
mod tests;

//! A run that has not ended: its worker, the state of its start and stop orders, and its reported progress.

use crate::api::AgentId;
use crate::kinds::Selection;
use crate::latency::{Cause, LatencyBreakdown};
use crate::run_result::RunResult;
use crate::worker::WorkerId;
use indigofold_protocol::worker::RunEnd;

/// The worker selected for a run, and how the run relates to it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    /// The selected worker.
    pub worker: WorkerId,
    /// Whether the step may run on workers of this kind only.
    pub bound: bool,
    /// Factor on the run time on this worker; above 1 if the data, or other members of the gang, are on other racks.
    pub remote_factor: f64,
}

impl Placement {
    /// Creates the placement of a run on the selected worker.
    pub(crate) fn new(selection: &Selection, remote_factor: f64) -> Self {
        Placement {
            worker: selection.worker,
            bound: selection.bound,
            remote_factor,
        }
    }
}

/// A stop order of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopOrder {
    /// Connection on which it was last sent; `None` if the worker could not be reached.
    pub sent_to: Option<AgentId>,
    /// When it was last sent, on the monotonic clock.
    pub sent_ms: u64,
}

/// A run that has not ended. All times are on the monotonic clock.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    attempt: u32,
    worker: WorkerId,
    /// Whether its start order was sent, by this head or possibly by a previous one.
    sent: bool,
    /// When its start order was sent; 0 before that.
    sent_ms: u64,
    /// When a report first listed it as running.
    began_ms: Option<u64>,
    /// Its stop order, once a stop was decided.
    stop: Option<StopOrder>,
    placed_ms: u64,
    /// Whether it resumes from a checkpoint or was placed by a previous head.
    resumed: bool,
    /// Whether its step may run on workers of one kind only.
    bound: bool,
    remote_factor: f64,
    /// Reported progress in percent.
    percent: u32,
    /// When `percent` last changed.
    percent_changed_at_ms: u64,
    /// When a report last listed it, as running or in flight.
    listed_ms: u64,
}

impl Run {
    /// Creates a run that is placed now and whose start order has not been sent. `resumed` means that it starts from a
    /// checkpoint.
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
            percent_changed_at_ms: now_ms,
            listed_ms: now_ms,
        }
    }

    /// Creates a run that a previous head has placed; its start order may have been sent. It counts as resumed: when it
    /// began is unknown, so its end gives no sample of the run time of its class.
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

    /// Attempt number among the runs of its task, from 1.
    pub(crate) fn attempt(&self) -> u32 {
        self.attempt
    }

    /// The worker on which it is placed.
    pub(crate) fn worker(&self) -> WorkerId {
        self.worker
    }

    /// Whether its start order was sent, by this head or possibly by a previous one.
    pub(crate) fn is_sent(&self) -> bool {
        self.sent
    }

    /// Its stop order; `None` unless a stop was decided.
    pub(crate) fn stop(&self) -> Option<StopOrder> {
        self.stop
    }

    /// When it was placed; for a restored run, when it was restored.
    pub(crate) fn placed_ms(&self) -> u64 {
        self.placed_ms
    }

    /// Whether it resumes from a checkpoint or was placed by a previous head. Such runs give no sample of the run time of
    /// their class.
    pub(crate) fn is_resumed(&self) -> bool {
        self.resumed
    }

    /// Whether its step may run on workers of one kind only.
    pub(crate) fn is_bound(&self) -> bool {
        self.bound
    }

    /// Factor on its run time on this worker; above 1 if the data, or other members of the gang, are on other racks.
    pub(crate) fn remote_factor(&self) -> f64 {
        self.remote_factor
    }

    /// Last reported progress, in percent.
    pub(crate) fn percent(&self) -> u32 {
        self.percent
    }

    /// When the reported progress last changed; before any change, when the run was placed.
    pub(crate) fn percent_changed_at_ms(&self) -> u64 {
        self.percent_changed_at_ms
    }

    /// When a report last listed it, as running or in flight; before that, when the run was placed.
    pub(crate) fn listed_ms(&self) -> u64 {
        self.listed_ms
    }

    /// Records that its start order is sent now.
    pub(crate) fn record_sent(&mut self, now_ms: u64) {
        (self.sent, self.sent_ms) = (true, now_ms);
    }

    /// Records its stop order, when it is first sent or sent again.
    pub(crate) fn record_stop(&mut self, stop: StopOrder) {
        self.stop = Some(stop);
    }

    /// Records that a report lists its start order as in flight.
    pub(crate) fn record_in_flight(&mut self, now_ms: u64) {
        self.listed_ms = now_ms;
    }

    /// Records that a report lists it as running, with its progress in percent.
    pub(crate) fn record_listed(&mut self, percent: u32, now_ms: u64) {
        self.listed_ms = now_ms;
        self.began_ms.get_or_insert(now_ms);
        if self.percent != percent {
            (self.percent, self.percent_changed_at_ms) = (percent, now_ms);
        }
    }

    /// Adds the time from placement until `now_ms`, when the run ended, to the latency breakdown of its task.
    pub(crate) fn add_latency(
        &self,
        breakdown: &mut LatencyBreakdown,
        result: RunResult,
        now_ms: u64,
    ) {
        let elapsed_ms = now_ms.saturating_sub(self.placed_ms);
        match result {
            RunResult::Ended(RunEnd::Done) => self.add_work(breakdown, now_ms),
            RunResult::Ended(RunEnd::Failed) => breakdown.add(Cause::Failed, elapsed_ms),
            RunResult::Lost => breakdown.add(Cause::Lost, elapsed_ms),
            RunResult::NotStarted if self.sent && self.stop.is_none() => {
                // The start order was lost or rejected before it reached the worker.
                let sent_ms = self.sent_ms.max(self.placed_ms);
                breakdown.add(Cause::Commit, sent_ms - self.placed_ms);
                breakdown.add(Cause::Dispatch, now_ms.saturating_sub(sent_ms));
            }
            RunResult::Ended(_) | RunResult::NotStarted => {
                breakdown.add(Cause::Stopped, elapsed_ms);
            }
        }
    }

    /// Adds the time of a run that ended `done`.
    fn add_work(&self, breakdown: &mut LatencyBreakdown, now_ms: u64) {
        let sent_ms = self.sent_ms.max(self.placed_ms);
        let began_ms = self.began_ms.unwrap_or(sent_ms).max(sent_ms);
        let run_duration_ms = now_ms.saturating_sub(began_ms);
        let local_duration_ms = (run_duration_ms as f64 / self.remote_factor.max(1.0)) as u64;
        breakdown.add(Cause::Commit, sent_ms - self.placed_ms);
        breakdown.add(Cause::Dispatch, began_ms - sent_ms);
        breakdown.add(Cause::Run, local_duration_ms);
        breakdown.add(Cause::Remote, run_duration_ms - local_duration_ms);
    }
}

#[cfg(test)]
mod tests;

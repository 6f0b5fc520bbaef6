//! Workers of one service that are reserved for steps whose tasks need much capacity at once.

use crate::demand::StepDemand;
use crate::queue::StepRef;
use crate::worker::WorkerId;
use indigofold_protocol::job::Resources;
use rustc_hash::FxHashMap;

/// Reservations are worked out anew so often.
const UPDATE_MS: u64 = 200;

/// A worker reserved for a step.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// The step.
    pub step: StepRef,
    /// Its priority.
    pub priority: u32,
    /// Capacity that it is to have there.
    pub resources: Resources,
    /// When this capacity is expected to be free.
    pub free_ms: u64,
    /// Others that have waited for so long use the worker all the same.
    pub patience_ms: u64,
}

impl Reservation {
    /// Whether a step may use the worker although it is reserved for another one.
    pub(crate) fn yields_to(&self, demand: &StepDemand) -> bool {
        self.step == demand.at
            || demand.priority < self.priority
            || demand.waited_ms >= self.patience_ms
    }
}

/// The reserved workers of a service.
#[derive(Debug, Default)]
pub(crate) struct Reservations {
    by_worker: FxHashMap<WorkerId, Reservation>,
    next_update_ms: u64,
}

impl Reservations {
    /// The reservation of a worker.
    pub(crate) fn get(&self, worker: WorkerId) -> Option<&Reservation> {
        self.by_worker.get(&worker)
    }

    /// Whether the step has reservations that need not be worked out anew yet.
    pub(crate) fn are_current(&self, step: StepRef, now_ms: u64) -> bool {
        let reserved = self
            .by_worker
            .values()
            .any(|reservation| reservation.step == step);
        reserved && now_ms < self.next_update_ms
    }

    /// Replaces the reservations of a step.
    pub(crate) fn replace(
        &mut self,
        step: StepRef,
        reservations: impl IntoIterator<Item = (WorkerId, Reservation)>,
        now_ms: u64,
    ) {
        self.next_update_ms = now_ms + UPDATE_MS;
        self.release(step);
        self.by_worker.extend(reservations);
    }

    /// Gives up the reservations of a step.
    pub(crate) fn release(&mut self, step: StepRef) {
        self.by_worker
            .retain(|_, reservation| reservation.step != step);
    }

    /// Gives up the reservations of all steps but these.
    pub(crate) fn retain(&mut self, steps: &[StepRef]) {
        self.by_worker
            .retain(|_, reservation| steps.contains(&reservation.step));
    }
}

#[cfg(test)]
mod tests;

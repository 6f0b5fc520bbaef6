//! Reservations of one service's workers for steps whose tasks need much capacity at once.

use crate::demand::StepDemand;
use crate::queue::StepRef;
use crate::worker::WorkerId;
use indigofold_protocol::job::Resources;
use rustc_hash::FxHashMap;

/// Reservations are planned again after this time.
const UPDATE_MS: u64 = 200;
/// A long-running step that has waited for this time may use any reserved worker: it earns only while it runs, and needs
/// a place rarely.
const LONG_RUNNING_PATIENCE_MS: u64 = 2_400;

/// Reservation of a worker for a step.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// The step that holds the reservation.
    pub step: StepRef,
    /// Priority of the step; 0 goes first.
    pub priority: u32,
    /// Capacity of the worker that is reserved.
    pub resources: Resources,
    /// When the capacity for the step is expected to be free, on the monotonic clock.
    pub free_at_ms: u64,
    /// Other steps that have waited for this time may use the worker despite the reservation; `u64::MAX` for never. A
    /// long-running step waits for [`LONG_RUNNING_PATIENCE_MS`] at most.
    pub patience_ms: u64,
}

impl Reservation {
    /// Whether a step may use the worker despite the reservation: it holds the reservation itself, has a higher
    /// priority, or has waited long enough.
    pub(crate) fn yields_to(&self, demand: &StepDemand) -> bool {
        self.step == demand.step_ref
            || demand.priority < self.priority
            || demand.waited_ms >= self.patience_ms
            || (demand.long_running && demand.waited_ms >= LONG_RUNNING_PATIENCE_MS)
    }
}

/// All reservations of one service, at most one per worker.
#[derive(Debug, Default)]
pub(crate) struct Reservations {
    by_worker: FxHashMap<WorkerId, Reservation>,
    /// Until when the reservations of each step are current.
    next_update_ms: FxHashMap<StepRef, u64>,
}

impl Reservations {
    /// Returns the reservation of a worker, if it is reserved.
    pub(crate) fn get(&self, worker: WorkerId) -> Option<&Reservation> {
        self.by_worker.get(&worker)
    }

    /// Whether the step has reservations that need not be planned again yet.
    pub(crate) fn are_current(&self, step: StepRef, now_ms: u64) -> bool {
        let has_reservation = self
            .by_worker
            .values()
            .any(|reservation| reservation.step == step);
        let next_update_ms = self.next_update_ms.get(&step);
        has_reservation && next_update_ms.is_some_and(|next_update_ms| now_ms < *next_update_ms)
    }

    /// Replaces the reservations of a step. A worker reserved for another step passes to this one.
    pub(crate) fn replace(
        &mut self,
        step: StepRef,
        reservations: impl IntoIterator<Item = (WorkerId, Reservation)>,
        now_ms: u64,
    ) {
        self.release(step);
        self.next_update_ms.insert(step, now_ms + UPDATE_MS);
        self.by_worker.extend(reservations);
    }

    /// Removes the reservations of a step.
    pub(crate) fn release(&mut self, step: StepRef) {
        self.next_update_ms.remove(&step);
        self.by_worker
            .retain(|_, reservation| reservation.step != step);
    }

    /// Removes the reservations of all steps except these.
    pub(crate) fn retain(&mut self, steps: &[StepRef]) {
        self.next_update_ms.retain(|step, _| steps.contains(step));
        self.by_worker
            .retain(|_, reservation| steps.contains(&reservation.step));
    }
}

#[cfg(test)]
mod tests;

//! Estimates the value of the requests that a new request displaces while workers reject attempts, based on Erlang's
//! loss formula.

use super::tuning::LATE_STEP;
use crate::runs::RUN_TIME_DECAY;
use crate::statistics::Demand;

/// Recent demand and the recent rejection rate.
#[derive(Default)]
pub(super) struct Displacement {
    /// Recent value and work of the requests.
    demand: Demand,
    /// Recent fraction of attempts rejected for lack of capacity, 0 to 1.
    rejection_rate: f64,
}

impl Displacement {
    /// Records a request with this value; `work` is its work multiplied by its slots.
    pub(super) fn record_request(&mut self, value: f64, work: f64) {
        self.demand.value = self.demand.value * RUN_TIME_DECAY + value;
        self.demand.work = self.demand.work * RUN_TIME_DECAY + work;
    }

    /// Expected value of the requests that a request with this work and these slots displaces. The probability of
    /// displacing one follows from the rejection rate.
    pub(super) fn displaced_value(&self, work: f64, slots: f64) -> f64 {
        self.rejection_rate.sqrt() * self.demand.value / self.demand.work * work * slots
    }

    /// Records that a worker has started an attempt.
    pub(super) fn record_start(&mut self) {
        self.rejection_rate -= LATE_STEP * self.rejection_rate;
    }

    /// Records that a worker has rejected an attempt for lack of capacity.
    pub(super) fn record_rejection(&mut self) {
        self.rejection_rate += LATE_STEP * (1.0 - self.rejection_rate);
    }

    /// Recent value and work of the requests.
    pub(super) fn demand(&self) -> Demand {
        self.demand
    }

    /// Recent fraction of attempts rejected for lack of capacity.
    pub(super) fn rejection_rate(&self) -> f64 {
        self.rejection_rate
    }

    /// Continues from the values of another dispatcher, with the rejection rate multiplied by `keep`.
    pub(super) fn resume(&mut self, demand: Demand, rejection_rate: f64, keep: f64) {
        self.rejection_rate = rejection_rate * keep;
        self.demand = demand;
    }
}

//! The budget of probes and peer updates, which grows with each request.

use super::tuning::{OVERHEAD_MAX, OVERHEAD_PER_REQUEST};
use crate::api::WorkerId;

/// Budget of probes and peer updates, the number of unanswered probes, and the last peer update.
#[derive(Default)]
pub(super) struct Overhead {
    /// Budget left, as a fraction of the result. Each request adds [`OVERHEAD_PER_REQUEST`], up to [`OVERHEAD_MAX`].
    budget: f64,
    /// Number of probes without an answer.
    probes_in_flight: usize,
    /// Content of the last peer update.
    last_peer_update: Vec<(WorkerId, u8)>,
}

impl Overhead {
    /// Adds the budget of one request.
    pub(super) fn record_request(&mut self) {
        self.budget = (self.budget + OVERHEAD_PER_REQUEST).min(OVERHEAD_MAX);
    }

    /// Whether the budget covers this price.
    pub(super) fn covers(&self, price: f64) -> bool {
        self.budget >= price
    }

    /// Pays for a probe that is sent now.
    pub(super) fn start_probe(&mut self, price: f64) {
        self.budget -= price;
        self.probes_in_flight += 1;
    }

    /// Records that a probe was answered or has failed.
    pub(super) fn end_probe(&mut self) {
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
    }

    /// Whether any probe is unanswered.
    pub(super) fn awaits_probes(&self) -> bool {
        self.probes_in_flight > 0
    }

    /// Pays for a peer update unless it equals the last one. Returns whether to send it.
    pub(super) fn pay_for_update(&mut self, price: f64, in_flight: &[(WorkerId, u8)]) -> bool {
        if in_flight == self.last_peer_update {
            return false;
        }
        self.budget -= price;
        self.last_peer_update = in_flight.to_vec();
        true
    }
}

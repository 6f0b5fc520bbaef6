//! The budget of probes and peer updates, which grows with each request.

use super::tuning::{OVERHEAD_MAX, OVERHEAD_PER_REQUEST};
use crate::api::WorkerId;

/// What probes and peer updates may cost now, and those that were sent last.
#[derive(Default)]
pub(super) struct Overhead {
    /// Grows by [`OVERHEAD_PER_REQUEST`], up to [`OVERHEAD_MAX`].
    budget: f64,
    /// Probes without an answer.
    probes_in_flight: usize,
    /// The last update to the peers.
    last_peer_update: Vec<(WorkerId, u8)>,
}

impl Overhead {
    /// Adds the share of one request.
    pub(super) fn record_request(&mut self) {
        self.budget = (self.budget + OVERHEAD_PER_REQUEST).min(OVERHEAD_MAX);
    }

    /// Whether the budget covers this price.
    pub(super) fn covers(&self, price: f64) -> bool {
        self.budget >= price
    }

    /// Pays for a probe, whose answer is awaited from now on.
    pub(super) fn start_probe(&mut self, price: f64) {
        self.budget -= price;
        self.probes_in_flight += 1;
    }

    /// A probe was answered, or has failed.
    pub(super) fn end_probe(&mut self) {
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
    }

    /// Whether the answer of a probe is awaited.
    pub(super) fn awaits_probes(&self) -> bool {
        self.probes_in_flight > 0
    }

    /// Pays for an update to the peers, unless it is the same as the last one. Returns whether it is to be sent.
    pub(super) fn pay_for_update(&mut self, price: f64, in_flight: &[(WorkerId, u8)]) -> bool {
        if in_flight == self.last_peer_update {
            return false;
        }
        self.budget -= price;
        self.last_peer_update = in_flight.to_vec();
        true
    }
}

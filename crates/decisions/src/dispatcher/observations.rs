//! Load of workers: their load reports, probes, and updates to peers.

use super::Dispatcher;
use super::tuning::{PEER_UPDATE_MAX, PROBE_AGE, PROBE_WAIT, REPORT_AGE, SAMPLE_SIZE};
use crate::api::{Action, Load, RequestId, Time, WorkerId};

/// Size of a peer update, in bytes: for each worker, and for the rest.
const PEER_UPDATE_WORKER_BYTES: usize = 5;
const PEER_UPDATE_REST_BYTES: usize = 1;
/// Number of bytes that the price of peer updates refers to.
const PRICED_BYTES: f64 = 256.0;
/// A peer update is sent once the accumulated budget reaches this multiple of its price.
const PEER_UPDATE_PRICE_FACTOR: f64 = 2.0;
/// Least number of free slots for which a report without a queue shows the total number of slots of a worker.
const FREE_SLOTS_MIN: f64 = 0.7;
/// A queue shorter than this counts as empty.
const EMPTY_QUEUE: f64 = 0.5;
/// Amount subtracted from the slots that a report implies before rounding, because its numbers are averages.
const SLOTS_ROUNDING: f64 = 0.3;

impl Dispatcher {
    /// Samples workers for a request and probes those without recent load. Load stays recent for a shorter time if jobs
    /// run long and the dispatcher's own jobs are only a small part of all jobs.
    pub(super) fn probe(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let own_fraction = SAMPLE_SIZE as f64 / self.settings.dispatchers as f64;
        let jobs_per_report =
            REPORT_AGE * self.run_times.weight.max(1.0) / self.run_times.sum.max(1.0);
        let recent_age = (jobs_per_report.max(own_fraction).min(1.0) * PROBE_AGE as f64) as Time;
        let sample = self.sample(now, id);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let latency_target = self.settings.classes[open.job.class].latency_target;
        for index in &sample {
            let worker = &mut self.fleet[*index];
            let load_known_at = worker.load_updated_at.unwrap_or(0).max(worker.probed_at);
            let is_recent = load_known_at + recent_age > now;
            if !is_recent && self.overhead.covers(self.settings.charges.probe) {
                self.overhead.start_probe(self.settings.charges.probe);
                worker.probed_at = now;
                open.wait_until = now + (latency_target as f64 * PROBE_WAIT) as Time;
                out.push(Action::Probe {
                    worker: worker.listed.worker,
                });
            }
        }
        open.probed = sample;
    }

    /// Sends the slots in flight at each worker to the peers, as often as the budget allows.
    pub(super) fn update_peers(&mut self, out: &mut Vec<Action>) {
        let workers = self.fleet.busy_count().min(PEER_UPDATE_MAX);
        let peers = self.settings.dispatchers - 1;
        let bytes =
            (PEER_UPDATE_WORKER_BYTES * workers + PEER_UPDATE_REST_BYTES) as f64 * peers as f64;
        let price = PEER_UPDATE_PRICE_FACTOR * self.settings.charges.peer * bytes / PRICED_BYTES;
        if !self.settings.limits.peers || !self.overhead.covers(price) {
            return;
        }
        let in_flight: Vec<(WorkerId, u8)> = self
            .fleet
            .busy()
            .filter(|worker| worker.active)
            .take(PEER_UPDATE_MAX)
            .map(|worker| (worker.listed.worker, worker.own_slots().round() as u8))
            .collect();
        if self.overhead.pay_for_update(price, &in_flight) {
            out.push(Action::UpdatePeers { in_flight });
        }
    }

    /// Updates the slots of a worker's kind, and the slots that others occupy at the worker, from its load report.
    pub(super) fn handle_load(&mut self, now: Time, index: usize, load: &Load) {
        let (worker, kind) = self.fleet.worker_and_kind_mut(index);
        let nothing_waits = load.queue.is_none_or(|queue| queue < EMPTY_QUEUE);
        let free_slots = load
            .free_slots
            .filter(|free_slots| *free_slots >= FREE_SLOTS_MIN);
        if let Some(free_slots) = free_slots.filter(|_| nothing_waits) {
            // If nothing waits, occupied and free slots add up to all slots. A job may wait although a slot is free,
            // because it needs two.
            let is_first = load.inflight.is_some() && !kind.slots_reported;
            kind.slots_reported |= is_first;
            let known_slots = if is_first { 1.0 } else { kind.slots };
            let slots = load.inflight.unwrap_or(0.0) + free_slots - SLOTS_ROUNDING;
            kind.slots = known_slots.max(slots.round());
        }
        let implied_slots = load.free_slots.map(|free_slots| kind.slots - free_slots);
        if let Some(occupied_slots) = load.inflight.or(implied_slots) {
            // The report is older than this event, so the average of the own slots at about that time is subtracted.
            worker.others_slots = (occupied_slots - worker.update_running_slots(now)).max(0.0);
            worker.load_updated_at = Some(now);
        }
    }
}

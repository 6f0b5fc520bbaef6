//! Estimated load of workers, and the limit on own requests that wait in their queues.

use super::Dispatcher;
use super::fleet::Worker;
use super::tuning::{WAIT_LOAD, group};
use crate::api::Time;
use crate::runs::freshness;
use crate::statistics::LateStartRate;

/// A slot counts as free if at least half of it is free, because loads are averages.
const HALF_SLOT: f64 = 0.5;
/// Number of attempts that may wait at workers that appear free: this minimum, plus [`LOOKS_FREE_WINDOWS`] wait windows
/// and a part that depends on the arriving work.
const LOOKS_FREE_MIN: f64 = 2.0;
const LOOKS_FREE_WINDOWS: f64 = 2.0;

impl Dispatcher {
    /// Whether one more own attempt may wait in a worker's queue. `is_unlikely`: a free slot is unlikely there.
    /// Attempts at workers that appear free are limited too, because those appear free to many dispatchers at once.
    pub(super) fn may_wait(&self, is_unlikely: bool) -> bool {
        let limit = if is_unlikely {
            self.wait_window.attempts()
        } else {
            LOOKS_FREE_WINDOWS * self.wait_window.attempts()
                + LOOKS_FREE_MIN
                + WAIT_LOAD * self.arrivals.latest().work
        };
        (self.fleet.unstarted_count() as f64) < limit
    }

    /// Whether any worker may take a queued request. If none may, the queues are not scanned.
    pub(super) fn has_free_worker(&self, now: Time) -> bool {
        let may_queue = self.may_wait(true);
        let is_free = |worker: &Worker| {
            !self.is_expected_full(now, worker, 0.0) || (may_queue && worker.unstarted().is_empty())
        };
        let accepts_request = |index: &usize| {
            let worker = &self.fleet[*index];
            now >= worker.ejected_until && is_free(worker)
        };
        let is_preferred =
            |group: usize| group == group::HOME_PREFERRED || group == group::AWAY_PREFERRED;
        let mut groups = self.fleet.groups();
        groups.any(|(group, workers)| {
            (may_queue || is_preferred(group)) && workers.iter().any(accepts_request)
        })
    }

    /// Load of a worker after one more send: the slots in flight, as far as known, divided by the worker's slots. A
    /// worker in warm-up has only a fraction of its slots.
    pub(super) fn load(&self, now: Time, worker: &Worker) -> f64 {
        let in_flight = worker.own_slots() + self.slots_of_others(now, worker) + 1.0;
        in_flight / (self.slots(worker) * self.warm_up_fraction(now, worker))
    }

    /// Slots that other dispatchers' jobs occupy, according to the last load update. The older that update, the more
    /// the estimate relies on the rate of late starts instead.
    fn slots_of_others(&self, now: Time, worker: &Worker) -> f64 {
        let LateStartRate { away, home } = self.zone_preference.late_starts();
        let slots_from_late_starts = away.max(home) * self.slots(worker);
        let recency = worker.load_updated_at.map_or(0.0, |at| freshness(now, at));
        let expected_slots =
            worker.others_slots * recency + slots_from_late_starts * (1.0 - recency);
        expected_slots.max(worker.peer_slots(now))
    }

    /// Whether no slot is expected to be free: all known slots, plus `extra_slots`, are occupied, or an own attempt has
    /// waited at the worker for longer than a start on a free slot takes.
    pub(super) fn is_expected_full(&self, now: Time, worker: &Worker, extra_slots: f64) -> bool {
        let oldest_unstarted = worker.unstarted().first();
        let wait =
            oldest_unstarted.map_or(0.0, |unstarted| now.saturating_sub(unstarted.sent) as f64);
        worker.is_late_start(wait, self.settings.granularity)
            || worker.own_slots() + self.slots_of_others(now, worker) + HALF_SLOT
                > self.slots(worker) + extra_slots
    }

    /// Number of slots of a worker, at least one.
    pub(super) fn slots(&self, worker: &Worker) -> f64 {
        self.fleet.kind_of(worker).slots.max(1.0)
    }

    /// Capacity of a worker: its slots multiplied by its speed.
    pub(super) fn capacity(&self, worker: &Worker) -> f64 {
        self.slots(worker) * self.fleet.kind_of(worker).speed.speed
    }

    /// Whether a worker counts as one of the own zone. All workers do if crossing zones costs nothing.
    pub(super) fn is_home(&self, worker: &Worker) -> bool {
        self.settings.charges.cross_zone <= 0.0 || worker.listed.zone == self.settings.zone
    }

    /// Adapts the wait window and the preference for the own zone to a prompt or a late start.
    pub(super) fn adapt_to_start(&mut self, index: usize, is_late: bool) {
        self.wait_window
            .record_start(is_late, self.fleet.workers().len());
        let is_home = self.is_home(&self.fleet[index]);
        self.zone_preference
            .record_start(is_home, is_late, self.settings.charges.cross_zone);
    }
}

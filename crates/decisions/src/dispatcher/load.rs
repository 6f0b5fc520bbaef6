//! How loaded workers look, and how many own requests may wait in their queues.

use super::Dispatcher;
use super::fleet::Worker;
use super::tuning::{WAIT_LOAD, group};
use crate::api::Time;
use crate::runs::fresh;
use crate::statistics::LateStartRate;

/// A slot counts as free if at least half of it is: loads are averages.
const HALF_SLOT: f64 = 0.5;
/// Attempts that may wait at workers that look free: this constant, plus a multiple of the wait window.
const LOOKS_FREE_MIN: f64 = 2.0;
const LOOKS_FREE_WINDOWS: f64 = 2.0;

impl Dispatcher {
    /// Whether one more own attempt may wait. Also at workers that look free their number is limited: these look free
    /// to many dispatchers at once.
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

    /// Whether some worker may take a queued request. While there is none, the queues are not scanned.
    pub(super) fn has_free_worker(&self, now: Time) -> bool {
        let may_queue = self.may_wait(true);
        let is_free = |worker: &Worker| {
            !self.is_crowded(now, worker, 0.0) || (may_queue && worker.unstarted().is_empty())
        };
        let takes = |index: &usize| {
            let worker = &self.fleet[*index];
            now >= worker.ejected_until && is_free(worker)
        };
        let is_preferred =
            |group: usize| group == group::HOME_PREFERRED || group == group::AWAY_PREFERRED;
        let mut groups = self.fleet.groups();
        groups
            .any(|(group, workers)| (may_queue || is_preferred(group)) && workers.iter().any(takes))
    }

    /// Slots in flight as far as known, per slot that a worker has at least while it warms up.
    pub(super) fn load(&self, now: Time, worker: &Worker) -> f64 {
        let in_flight = worker.own_slots() + self.slots_of_others(now, worker) + 1.0;
        in_flight / (self.slots(worker) * self.warm_up_fraction(now, worker))
    }

    /// Slots that others occupy, by the last load update. Without a recent one they are estimated by the rate of late
    /// starts.
    fn slots_of_others(&self, now: Time, worker: &Worker) -> f64 {
        let LateStartRate { away, home } = self.zone_preference.late_starts();
        let at_large = away.max(home) * self.slots(worker);
        let recency = worker.load_updated_at.map_or(0.0, |at| fresh(now, at));
        let expected = worker.others_slots * recency + at_large * (1.0 - recency);
        expected.max(worker.peer_slots(now))
    }

    /// Whether no slot is expected to be free: all known ones, plus `more`, are occupied, or an own attempt waits
    /// there.
    pub(super) fn is_crowded(&self, now: Time, worker: &Worker, more: f64) -> bool {
        let oldest = worker.unstarted().first();
        let wait = oldest.map_or(0.0, |unstarted| now.saturating_sub(unstarted.sent) as f64);
        worker.is_late_start(wait, self.settings.granularity)
            || worker.own_slots() + self.slots_of_others(now, worker) + HALF_SLOT
                > self.slots(worker) + more
    }

    /// Slots of a worker, at least one.
    pub(super) fn slots(&self, worker: &Worker) -> f64 {
        self.fleet.kind_of(worker).slots.max(1.0)
    }

    /// Slots of a worker times its speed.
    pub(super) fn capacity(&self, worker: &Worker) -> f64 {
        self.slots(worker) * self.fleet.kind_of(worker).speed.speed
    }

    /// Whether a worker counts as one of the own zone; all do where crossing zones costs nothing.
    pub(super) fn is_home(&self, worker: &Worker) -> bool {
        self.settings.charges.cross_zone <= 0.0 || worker.listed.zone == self.settings.zone
    }

    /// Adapts the wait window and the preference for the own zone to a prompt or a late start.
    pub(super) fn count_start(&mut self, index: usize, is_late: bool) {
        self.wait_window
            .record_start(is_late, self.fleet.workers().len());
        let is_home = self.is_home(&self.fleet[index]);
        self.zone_preference
            .record_start(is_home, is_late, self.settings.charges.cross_zone);
    }
}

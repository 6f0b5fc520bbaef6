//! Exports the statistics of this dispatcher and merges those of another one: of the process that it replaces, or of
//! its own process before a restart. Restrictions are taken over in full and measurements are weighted by their age.
//! Permissions (a warm-up budget, a place in the membership list) are neither exported nor merged.

use super::Dispatcher;
use super::fleet::Worker;
use super::tuning::{EJECTION_MAX, KINDS_MAX, PROBATION_FAILURE_RATE};
use crate::api::{Time, WorkerId, WorkerState};
use crate::statistics::{self, FleetStatistics, Statistics, weight_at_age};

/// Time constant by which run times, speeds and fetch costs lose weight. They depend on programs and machines, and stay
/// valid for minutes.
const RUN_TIME_DECAY_TIME: Time = 600_000_000;
/// Time constant by which arrival rates, queues and late starts lose weight. They change within seconds; the arrival
/// rates have the same time constant.
const FLEET_DECAY_TIME: Time = 5_000_000;
/// Maximum number of slots at one worker in a peer update, which has one byte for it.
const SLOTS_REPORTED_MAX: f64 = 255.0;

/// Numbers of workers by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerCounts {
    /// Workers in the membership list.
    pub listed: u64,
    /// Listed active workers that are ejected or on probation after failures: they get no request, or only one at a
    /// time.
    pub avoided: u64,
}

impl Dispatcher {
    /// Counts the workers of the membership list.
    pub fn worker_counts(&self, now: Time) -> WorkerCounts {
        let is_avoided = |worker: &Worker| {
            let is_ejected = now < worker.ejected_until;
            worker.active && (is_ejected || worker.failure_rate > PROBATION_FAILURE_RATE)
        };
        let mut counts = WorkerCounts::default();
        for worker in self.listed_workers() {
            counts.listed += 1;
            counts.avoided += u64::from(is_avoided(worker));
        }
        counts
    }

    fn listed_workers(&self) -> impl Iterator<Item = &Worker> {
        let workers = self.fleet.workers().iter();
        workers.filter(|worker| worker.listed.state != WorkerState::Left)
    }

    /// The statistics of this dispatcher at the time `now`. Workers that have left the membership list are omitted.
    pub fn statistics(&self, now: Time) -> Statistics<u32> {
        let class = |(id, index): (usize, &usize)| {
            let stats = &self.classes[*index];
            let of = statistics::Class {
                run_time: stats.run_time.clone(),
                longest_client_wait: stats.longest_client_wait,
            };
            (id as u32, of)
        };
        let kinds = 0..self.fleet.kinds().len();
        let tenants = (0..).map_while(|tenant| Some((tenant, self.arrivals.fraction(tenant)?)));
        Statistics {
            at: now,
            kinds: kinds
                .map(|id| (id as u32, self.kind_statistics(id)))
                .collect(),
            classes: self.class_of.iter().enumerate().map(class).collect(),
            tenants: tenants
                .map(|(tenant, fraction)| (tenant, fraction.clamp(0.0, 1.0)))
                .collect(),
            workers: self
                .listed_workers()
                .map(|worker| (worker.listed.worker, worker.statistics()))
                .collect(),
            in_flight: self.slots_in_flight(),
            retried_at: self.retries.latest(statistics::RETRIED_MAX),
            fleet: Some(self.fleet_statistics(now)),
        }
    }

    fn kind_statistics(&self, id: usize) -> statistics::Kind {
        let kind = &self.fleet.kinds()[id];
        let weight = self.kind_weights.smoothed_of(id);
        statistics::Kind {
            slots: kind.slots,
            slots_reported: kind.slots_reported,
            speed: kind.speed.clone(),
            weight: weight.clamp(0.0, 1.0),
        }
    }

    fn fleet_statistics(&self, now: Time) -> FleetStatistics {
        FleetStatistics {
            run_times: self.run_times,
            fetches: self.fetches,
            arrivals: self.arrivals.rates(now),
            home_preference: self.zone_preference.home(),
            late_start_rate: self.zone_preference.late_starts(),
            wait_window: self.wait_window.attempts().min(statistics::UNLIMITED),
            trusted_idle: self
                .connection_trust
                .longest_idle()
                .min(statistics::UNLIMITED),
            demand: self.displacement.demand(),
            rejection_rate: self.displacement.rejection_rate(),
        }
    }

    /// Slots that this dispatcher's jobs occupy at each worker where they occupy any.
    pub fn slots_in_flight(&self) -> Vec<(WorkerId, f64)> {
        let busy_workers = self.fleet.busy();
        busy_workers
            .map(|worker| (worker.listed.worker, worker.own_slots()))
            .collect()
    }

    /// Merges the statistics of another dispatcher. For each estimate that both have, the one with more samples wins.
    pub(super) fn merge_statistics(&mut self, now: Time, other: Statistics<u32>) {
        let age = now.saturating_sub(other.at);
        let run_weight = weight_at_age(age, RUN_TIME_DECAY_TIME);
        let fleet_weight = weight_at_age(age, FLEET_DECAY_TIME);
        for (id, kind) in other.kinds {
            self.merge_kind(id as usize, kind, run_weight);
        }
        for (id, class) in other.classes {
            self.merge_class(id as usize, class, run_weight);
        }
        for (id, worker) in other.workers {
            let known_worker = self.fleet.index_of(id).map(|index| &mut self.fleet[index]);
            // Statistics of an earlier instance of the worker do not apply.
            if let Some(known_worker) = known_worker
                .filter(|known_worker| known_worker.listed.ready_at == worker.started_at)
            {
                known_worker.merge(now, &worker, fleet_weight);
            }
        }
        let slots = |(id, slots): &(u32, f64)| (*id, slots.round().min(SLOTS_REPORTED_MAX) as u8);
        let in_flight: Vec<_> = other.in_flight.iter().map(slots).collect();
        self.fleet.replace_claims(
            other.at.min(now),
            self.settings.dispatcher_index,
            &in_flight,
        );
        if self.settings.rules.retry_budget.is_some() {
            self.retries.merge(now, other.retried_at);
        }
        let has_more_samples =
            |fleet: &FleetStatistics| fleet.run_times.weight * run_weight > self.run_times.weight;
        if let Some(fleet) = other.fleet.filter(has_more_samples) {
            self.replace_fleet_statistics(now, &fleet, run_weight, fleet_weight);
            for (tenant, fraction) in &other.tenants {
                self.arrivals.set_fraction(*tenant, *fraction);
            }
            if age < FLEET_DECAY_TIME {
                self.wait_window.restrict(fleet.wait_window);
            }
        }
        self.regroup_and_solve(now);
    }

    fn merge_kind(&mut self, id: usize, other: statistics::Kind, run_weight: f64) {
        let id = id.min(KINDS_MAX);
        self.fleet.extend_kinds(id + 1);
        let kinds = self.fleet.kinds().len();
        let kind = self.fleet.kind_mut(id);
        // Reported slots replace observed ones; otherwise the larger value wins.
        match (kind.slots_reported, other.slots_reported) {
            (true, false) => {}
            (false, true) => {
                kind.slots = other.slots;
                kind.slots_reported = true;
            }
            _ => kind.slots = kind.slots.max(other.slots),
        }
        if other.speed.weight() * run_weight > kind.speed.weight() {
            kind.speed = other.speed.faded(run_weight);
        }
        self.kind_weights.set_smoothed(id, kinds, other.weight);
    }

    fn merge_class(&mut self, id: usize, other: statistics::Class, run_weight: f64) {
        let Some(index) = self.class_of.get(id) else {
            return;
        };
        let class = &mut self.classes[*index];
        class.longest_client_wait = class.longest_client_wait.max(other.longest_client_wait);
        if other.run_time.weight() * run_weight > class.run_time.weight() {
            class.run_time = other.run_time.faded(run_weight);
        }
    }

    fn replace_fleet_statistics(
        &mut self,
        now: Time,
        fleet: &FleetStatistics,
        run_weight: f64,
        fleet_weight: f64,
    ) {
        self.run_times = fleet.run_times.faded(run_weight);
        self.fetches = fleet.fetches.faded(run_weight);
        self.arrivals.resume(now, fleet.arrivals, fleet_weight);
        self.zone_preference
            .resume(fleet.home_preference, fleet.late_start_rate, fleet_weight);
        self.displacement
            .resume(fleet.demand, fleet.rejection_rate, fleet_weight);
        self.connection_trust.restrict(fleet.trusted_idle);
    }
}

impl Worker {
    fn statistics(&self) -> statistics::Worker {
        statistics::Worker {
            started_at: self.listed.ready_at,
            start_delay: self.start_delay,
            others_slots: self.others_slots,
            load_updated_at: self.load_updated_at,
            failure_rate: self.failure_rate,
            ejected_until: self.ejected_until,
            timeouts_in_a_row: self.timeouts_in_a_row,
        }
    }

    fn merge(&mut self, now: Time, other: &statistics::Worker, fleet_weight: f64) {
        self.start_delay = self.start_delay.min(other.start_delay);
        self.failure_rate = self.failure_rate.max(other.failure_rate * fleet_weight);
        let ejected_until = other.ejected_until.min(now + EJECTION_MAX as Time);
        self.ejected_until = self.ejected_until.max(ejected_until);
        self.timeouts_in_a_row = self.timeouts_in_a_row.max(other.timeouts_in_a_row);
        // A load update with a time in the future would never be replaced.
        let updated_at = other.load_updated_at.filter(|at| *at <= now);
        if updated_at > self.load_updated_at {
            self.others_slots = other.others_slots;
            self.load_updated_at = updated_at;
        }
    }
}

//! Preparation of the draw: the groups of preferred workers of each kind, and `p_k` of problem (1).

use super::Dispatcher;
use super::fleet::Worker;
use super::tuning::{
    INITIAL_ZONE_LOAD, PREFERRED_LOAD, PROBATION_FAILURE_RATE, SAMPLE_SIZE, group,
};
use crate::api::Time;
use crate::solve::solve;
use std::collections::BTreeSet;

/// Lower bound of a capacity used as a divisor.
const CAPACITY_MIN: f64 = 1e-9;

/// The groups of the workers of the own zone, or of all other zones.
#[derive(Clone, Copy)]
struct Locality {
    is_home: bool,
    preferred: usize,
    other: usize,
}

const LOCALITIES: [Locality; 2] = [
    Locality {
        is_home: true,
        preferred: group::HOME_PREFERRED,
        other: group::HOME_OTHER,
    },
    Locality {
        is_home: false,
        preferred: group::AWAY_PREFERRED,
        other: group::AWAY_OTHER,
    },
];

impl Dispatcher {
    /// Regroups the workers and solves problem (1).
    pub(super) fn regroup_and_solve(&mut self, now: Time) {
        self.group_workers(now);
        let speeds: Vec<f64> = self
            .fleet
            .kinds()
            .iter()
            .map(|kind| kind.speed.speed)
            .collect();
        let mut slots = vec![0.0; speeds.len()];
        let is_ready = |worker: &&Worker| {
            worker.active
                && worker.ejected_until <= now
                && worker.failure_rate <= PROBATION_FAILURE_RATE
        };
        for worker in self.fleet.workers().iter().filter(is_ready) {
            slots[worker.kind] += self.slots(worker) * self.warm_up_fraction(now, worker);
        }
        let by_kind = slots.iter().zip(&speeds);
        let capacity: f64 = by_kind.map(|(slots, speed)| slots * speed).sum();
        let arriving_work = self.settings.dispatchers as f64 * self.arrivals.latest().unbound;
        let load = arriving_work / capacity.max(CAPACITY_MIN);
        let probabilities = solve(&slots, &speeds, load, SAMPLE_SIZE as u32);
        self.kind_weights.update(probabilities);
    }

    /// Groups the active workers by zone, preference and kind.
    fn group_workers(&mut self, now: Time) {
        self.fleet.clear_groups();
        for locality in LOCALITIES {
            let is_in = |index: &usize| {
                let worker = &self.fleet[*index];
                worker.active && self.is_home(worker) == locality.is_home
            };
            let pool: Vec<usize> = self.fleet.indices_by_id().filter(is_in).collect();
            if locality.is_home && self.zone_preference.is_unobserved() {
                self.assume_home_preference(pool.len());
            }
            let fraction = self.preferred_fraction(&pool);
            for kind in 0..self.fleet.kinds().len() {
                self.group_kind(now, locality, kind, &pool, fraction);
            }
        }
    }

    /// Sets the preference for the own zone until starts have been observed, assuming a high load and the same number
    /// of dispatchers in every zone.
    fn assume_home_preference(&mut self, home_worker_count: usize) {
        let zones: BTreeSet<_> = self
            .fleet
            .workers()
            .iter()
            .map(|worker| worker.listed.zone)
            .collect();
        let expected_worker_count = (home_worker_count * zones.len()) as f64;
        let preference =
            expected_worker_count / INITIAL_ZONE_LOAD / self.fleet.workers().len() as f64;
        self.zone_preference.assume(preference);
    }

    /// Fraction of these workers that this dispatcher's traffic loads to [`PREFERRED_LOAD`].
    fn preferred_fraction(&self, pool: &[usize]) -> f64 {
        let capacities = pool.iter().map(|index| self.capacity(&self.fleet[*index]));
        let capacity: f64 = capacities.sum();
        let min_fraction = SAMPLE_SIZE as f64 / pool.len().max(1) as f64;
        let loaded_fraction =
            self.arrivals.latest().work / PREFERRED_LOAD / capacity.max(CAPACITY_MIN);
        loaded_fraction.max(min_fraction).min(1.0)
    }

    /// Groups the workers of a kind. A contiguous range of them is preferred, which starts at a different position for
    /// each dispatcher: a dispatcher that spread its requests thinly over a large fleet would not learn the load of any
    /// worker. A worker in warm-up is preferred by the dispatchers that have a part of its budget, and is in no group
    /// of the others.
    fn group_kind(
        &mut self,
        now: Time,
        locality: Locality,
        kind: usize,
        pool: &[usize],
        fraction: f64,
    ) {
        let is_of_kind = |index: &usize| self.fleet[*index].kind == kind;
        let kind_workers: Vec<usize> = pool.iter().copied().filter(is_of_kind).collect();
        let count = kind_workers.len();
        let first_preferred =
            count * self.settings.dispatcher_index as usize / self.settings.dispatchers as usize;
        let preferred_count = (fraction * count as f64).ceil() as usize;
        for (position, &index) in kind_workers.iter().enumerate() {
            let warm_up_rate = self.warm_up_rate(now, &self.fleet[index]);
            let distance_from_first = (position + count - first_preferred % count) % count;
            let is_preferred = warm_up_rate.is_some() || distance_from_first < preferred_count;
            let group = if is_preferred {
                locality.preferred
            } else {
                locality.other
            };
            if warm_up_rate != Some(0.0) {
                self.fleet.add_to_group(group, kind, index);
            }
        }
    }
}

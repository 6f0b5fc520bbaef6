//! Choice of the worker for a request: SQ(d) samples workers, and one of them is chosen.

use super::fleet::Worker;
use super::state::{Attempt, OpenRequest};
use super::tuning::{
    AFFINITY_TIERS, ANY_ZONE_TIERS, HOME_FIRST_TIERS, PROBATION_FAILURE_RATE, SAMPLE_SIZE, Tier,
};
use super::{Dispatcher, random_fraction};
use crate::affinity;
use crate::api::{RequestId, Time};
use rand_pcg::Pcg64Mcg;

/// Weight per unit of capacity that is added to `p_k`, so that kinds with `p_k` = 0 are drawn last, in proportion to
/// their capacity.
const CAPACITY_WEIGHT: f64 = 1e-12;

/// A request that a sample is drawn for.
struct PlacementRequest<'a> {
    open: &'a OpenRequest,
    work: f64,
    /// Index of the only kind that can run the request; `None`: any kind can.
    bound_kind: Option<usize>,
    affinity: Option<u64>,
    home_worker: Option<usize>,
}

/// Criterion by which a worker has capacity for the request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Capacity {
    /// A slot is expected to be free.
    FreeSlot,
    /// No own attempt waits at the worker.
    FreeQueue,
}

impl Dispatcher {
    /// Chooses a worker for the request; `None` if the request should be queued.
    pub(super) fn choose(&mut self, now: Time, id: RequestId) -> Option<usize> {
        let may_be_sent = |open: &&OpenRequest| {
            now < self.sendable_until(open)
                && (now >= open.wait_until || !self.overhead.awaits_probes())
        };
        let open = self.open.get(&id).filter(may_be_sent)?;
        let work = self.work(open.job.class, open.job.estimate);
        let has_affinity = self.affinity_of(open).is_some();
        let is_free = |index: &usize| {
            self.is_eligible(now, *index, open, work)
                && !self.is_expected_full(now, &self.fleet[*index], 0.0)
        };
        let mut candidates: Vec<usize> = open.probed.iter().copied().filter(is_free).collect();
        if candidates.is_empty() {
            candidates = self.sample(now, id);
        }
        if has_affinity {
            // Candidates are ordered by their ranks for the affinity.
            return candidates.first().copied();
        }
        let load = |index: &usize| self.load(now, &self.fleet[*index]);
        candidates
            .into_iter()
            .min_by(|a, b| load(a).total_cmp(&load(b)))
    }

    /// Draws a kind by `p_k` and samples d of its workers, tier by tier: first workers with a free slot, then, if no
    /// tier has one, workers with a free queue.
    pub(super) fn sample(&mut self, now: Time, id: RequestId) -> Vec<usize> {
        let mut rng = self.rng.clone();
        let prefers_home = random_fraction(&mut rng) < self.zone_preference.home();
        let Some(open) = self.open.get(&id) else {
            return Vec::new();
        };
        let request = PlacementRequest {
            open,
            work: self.work(open.job.class, open.job.estimate),
            bound_kind: self.settings.classes[open.job.class]
                .kind
                .map(|kind| kind as usize),
            affinity: self.affinity_of(open),
            home_worker: self.home_worker(open),
        };
        let tiers = match (request.affinity, prefers_home) {
            (Some(_), _) => AFFINITY_TIERS,
            (None, true) => HOME_FIRST_TIERS,
            (None, false) => ANY_ZONE_TIERS,
        };
        let mut sampled_workers = Vec::new();
        for capacity in [Capacity::FreeSlot, Capacity::FreeQueue] {
            for tier in tiers {
                let is_unlikely = capacity == Capacity::FreeQueue || tier.is_fallback;
                if sampled_workers.is_empty() && self.may_wait(is_unlikely) {
                    sampled_workers = self.sample_tier(now, &mut rng, &request, tier, capacity);
                }
            }
        }
        self.rng = rng;
        sampled_workers
    }

    /// Samples kinds in an order drawn by their weights, until one of them has a worker for the request.
    fn sample_tier(
        &self,
        now: Time,
        rng: &mut Option<Pcg64Mcg>,
        request: &PlacementRequest<'_>,
        tier: &Tier,
        capacity: Capacity,
    ) -> Vec<usize> {
        let is_candidate = |kind: &usize| {
            request.bound_kind.is_none_or(|bound| bound == *kind) && self.tier_size(tier, *kind) > 0
        };
        let mut kinds: Vec<usize> = (0..self.fleet.kinds().len()).filter(is_candidate).collect();
        let mut sampled_workers = Vec::new();
        while sampled_workers.is_empty() && !kinds.is_empty() {
            let kind = self.draw_kind(rng, request.affinity, tier, &mut kinds);
            sampled_workers = self.sample_kind(
                now,
                rng,
                request,
                self.pool(tier, kind, request.affinity),
                capacity,
            );
        }
        sampled_workers
    }

    /// Draws a kind by `p_k` and removes it from `kinds`, which must not be empty.
    fn draw_kind(
        &self,
        rng: &mut Option<Pcg64Mcg>,
        affinity: Option<u64>,
        tier: &Tier,
        kinds: &mut Vec<usize>,
    ) -> usize {
        let kind_weights = if affinity.is_some() {
            self.kind_weights.smoothed()
        } else {
            self.kind_weights.solved()
        };
        let weight = |kind: &usize| {
            let worker_kind = &self.fleet.kinds()[*kind];
            let capacity = worker_kind.slots.max(1.0) * worker_kind.speed.speed * CAPACITY_WEIGHT;
            kind_weights.get(*kind).copied().unwrap_or(0.0)
                + self.tier_size(tier, *kind) as f64 * capacity
        };
        let mut remaining_weight = random_fraction(rng) * kinds.iter().map(weight).sum::<f64>();
        let drawn_position = match affinity {
            Some(affinity) => affinity::draw(
                affinity,
                kinds.iter().map(|kind| (*kind as u64, weight(kind))),
            ),
            None => kinds.iter().position(|kind| {
                remaining_weight -= weight(kind);
                remaining_weight < 0.0
            }),
        };
        kinds.swap_remove(drawn_position.unwrap_or(0))
    }

    /// Samples up to d eligible workers of the pool without replacement (SQ(d)). Requests with the same affinity take
    /// the workers in the order of their ranks instead.
    fn sample_kind(
        &self,
        now: Time,
        rng: &mut Option<Pcg64Mcg>,
        request: &PlacementRequest<'_>,
        mut pool: Vec<usize>,
        capacity: Capacity,
    ) -> Vec<usize> {
        let mut sampled_workers = Vec::new();
        while sampled_workers.len() < SAMPLE_SIZE && !pool.is_empty() {
            let drawn_position = (random_fraction(rng) * pool.len() as f64) as usize;
            let index = if request.affinity.is_some() {
                pool.remove(0)
            } else {
                pool.swap_remove(drawn_position)
            };
            let worker = &self.fleet[index];
            let has_capacity = match capacity {
                Capacity::FreeQueue => worker.unstarted().is_empty(),
                Capacity::FreeSlot if request.home_worker == Some(index) => {
                    !self.is_expected_full(now, worker, self.fetch_slots(worker))
                }
                Capacity::FreeSlot => !self.is_expected_full(now, worker, 0.0),
            };
            if has_capacity && self.is_eligible(now, index, request.open, request.work) {
                sampled_workers.push(index);
            }
        }
        sampled_workers
    }

    /// Workers of a tier and kind, ordered by their ranks if there is an affinity.
    fn pool(&self, tier: &Tier, kind: usize, affinity: Option<u64>) -> Vec<usize> {
        let groups = tier.groups.iter();
        let mut pool: Vec<usize> = groups
            .flat_map(|group| self.fleet.group(*group, kind))
            .copied()
            .collect();
        if let Some(affinity) = affinity {
            let rank = |index: &usize| affinity::rank(affinity, self.fleet[*index].listed.worker);
            pool.sort_by(|a, b| rank(a).total_cmp(&rank(b)));
        }
        pool
    }

    fn tier_size(&self, tier: &Tier, kind: usize) -> usize {
        let groups = tier.groups.iter();
        groups
            .map(|group| self.fleet.group(*group, kind).len())
            .sum()
    }

    /// The request's affinity; `None` if it has none or if measured fetches are negligible.
    fn affinity_of(&self, open: &OpenRequest) -> Option<u64> {
        let mean_run = self.run_times.sum / self.run_times.weight.max(1.0);
        open.job
            .affinity
            .filter(|_| !self.fetches.are_negligible(mean_run))
    }

    /// The home worker of the request's affinity, where requests with that affinity go first: the best-ranked worker of
    /// the kind that the affinity draws. `None` without an affinity.
    pub(super) fn home_worker(&self, open: &OpenRequest) -> Option<usize> {
        let affinity = self.affinity_of(open)?;
        let bound_kind = self.settings.classes[open.job.class].kind;
        let weight = |kind: usize| match bound_kind {
            Some(bound) if bound as usize != kind => 0.0,
            _ => self.kind_weights.smoothed()[kind],
        };
        let kinds = 0..self.kind_weights.solved().len();
        let kind = affinity::draw(affinity, kinds.map(|kind| (kind as u64, weight(kind))))?;
        let rank = |index: &usize| affinity::rank(affinity, self.fleet[*index].listed.worker);
        self.fleet
            .grouped_of_kind(kind)
            .min_by(|a, b| rank(a).total_cmp(&rank(b)))
    }

    /// The home worker of the request's affinity, if it is eligible and has a slot for the request now.
    pub(super) fn choose_home(&self, now: Time, id: RequestId) -> Option<usize> {
        let may_be_sent =
            |open: &&OpenRequest| now < self.sendable_until(open) && self.may_wait(false);
        let open = self.open.get(&id).filter(may_be_sent)?;
        let work = self.work(open.job.class, open.job.estimate);
        let home = self.home_worker(open)?;
        let worker = &self.fleet[home];
        let has_slot = self.is_eligible(now, home, open, work)
            && !self.is_expected_full(now, worker, self.fetch_slots(worker));
        has_slot.then_some(home)
    }

    /// Number of jobs that a worker completes in the mean time of one fetch on another worker.
    fn fetch_slots(&self, worker: &Worker) -> f64 {
        self.fetches.cost() * self.capacity(worker) * self.run_times.weight
            / self.run_times.sum.max(1.0)
    }

    /// Whether this worker may get this request now, regardless of the worker's load.
    fn is_eligible(&self, now: Time, index: usize, open: &OpenRequest, work: f64) -> bool {
        let worker = &self.fleet[index];
        let is_healthy = worker.failure_rate <= PROBATION_FAILURE_RATE;
        let may_have_run_there = |a: &Attempt| a.worker == index && !a.never_ran;
        worker.active
            && now >= worker.ejected_until
            && (is_healthy || self.may_probe_health(worker, open))
            && !open.job.attempts.iter().any(may_have_run_there)
            && self.effect_allows(open, worker)
            && self.warm_up_allowance(now, worker, work) >= work
    }
}

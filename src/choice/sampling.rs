//! Which workers are sampled for a request, and which of them it goes to.

use super::*;

impl Dispatcher {
    /// Picks a worker for the request, or none while it is better held.
    pub(super) fn choose(&mut self, now: Time, id: RequestId) -> Option<usize> {
        let may = |o: &&Open| {
            now < self.sendable_until(o) && (now >= o.wait_until || self.probes_out == 0)
        };
        let open = self.open.get(&id).filter(may)?;
        let (work, keyed) = (
            self.work(open.class, open.estimate),
            self.about(open).is_some(),
        );
        let free = |i: &usize| {
            self.usable(now, *i, open, work) && !self.crowded(now, &self.workers[*i], 0.0)
        };
        let mut candidates: Vec<usize> = open.sample.iter().copied().filter(free).collect();
        if candidates.is_empty() {
            candidates = self.sample(now, id);
        }
        // Those about the same are in their own order: the first that takes it.
        let load = |i: &usize| {
            if keyed {
                0.0
            } else {
                self.load(now, &self.workers[*i])
            }
        };
        candidates
            .into_iter()
            .min_by(|a, b| load(a).total_cmp(&load(b)))
    }

    /// Draws a kind by the solved p_k and samples d of its workers, of those that best suit: free ones first.
    pub(super) fn sample(&mut self, now: Time, id: RequestId) -> Vec<usize> {
        let (mut rng, mut found) = (self.rng.clone(), Vec::new());
        let stay = unit(&mut rng) < self.stay;
        let Some(open) = self.open.get(&id) else {
            return found;
        };
        let (work, bound) = (
            self.work(open.class, open.estimate),
            self.settings.classes[open.class].kind,
        );
        let (about, first) = (self.about(open), self.first(open));
        let tiers = &TIERS[if about.is_some() {
            6..7
        } else {
            [4..6, 0..4][usize::from(stay)].clone()
        }];
        for (crowded, tier) in [false, true]
            .into_iter()
            .flat_map(|c| tiers.iter().map(move |t| (c, t)))
        {
            if !found.is_empty() || !self.may_wait(crowded || tier.1) {
                continue;
            }
            let group = |g: &usize, kind: usize| &self.groups[g * self.kinds.len() + kind];
            let size = |kind: usize| tier.0.iter().map(|g| group(g, kind).len()).sum::<usize>();
            let bound_to =
                |kind: &usize| bound.is_none_or(|b| b as usize == *kind) && size(*kind) > 0;
            let mut kinds: Vec<usize> = (0..self.kinds.len()).filter(bound_to).collect();
            while found.is_empty() && !kinds.is_empty() {
                // Kinds that the solution would not use come once the others are taken, by capacity.
                let draw = if about.is_some() {
                    &self.subject_draw.0
                } else {
                    &self.draw
                };
                let solved = |k: &usize| draw.get(*k).copied().unwrap_or(0.0);
                let capacity = |k: &Kind| k.slots.max(1.0) * k.run.speed * 1e-12;
                let weight = |k: &usize| solved(k) + size(*k) as f64 * capacity(&self.kinds[*k]);
                let mut u = unit(&mut rng) * kinds.iter().map(weight).sum::<f64>();
                let hit = match about {
                    Some(s) => affinity::draw(s, kinds.iter().map(|k| (*k as u64, weight(k)))),
                    None => kinds.iter().position(|k| (u -= weight(k), u < 0.0).1),
                };
                let kind = kinds.swap_remove(hit.unwrap_or(0));
                // SQ(d): d of them without replacement; those that don't suit are passed over as drawn.
                // Requests about the same draw the same ones.
                let mut pool: Vec<usize> = tier
                    .0
                    .iter()
                    .flat_map(|g| group(g, kind))
                    .copied()
                    .collect();
                let rank = |i: &usize, s: u64| affinity::rank(s, self.workers[*i].listed.worker);
                about
                    .into_iter()
                    .for_each(|s| pool.sort_by(|a, b| rank(a, s).total_cmp(&rank(b, s))));
                while found.len() < D && !pool.is_empty() {
                    let any = (unit(&mut rng) * pool.len() as f64) as usize;
                    let i = if about.is_some() {
                        pool.remove(0)
                    } else {
                        pool.swap_remove(any)
                    };
                    let w = &self.workers[i];
                    let more = if first == Some(i) { self.fetch(w) } else { 0.0 };
                    let takes = if crowded {
                        w.unstarted.is_empty()
                    } else {
                        !self.crowded(now, w, more)
                    };
                    if takes && self.usable(now, i, open, work) {
                        found.push(i);
                    }
                }
            }
        }
        self.rng = rng;
        found
    }

    /// What the request is about, unless it is known that workers keep nothing of that.
    fn about(&self, open: &Open) -> Option<u64> {
        open.subject
            .filter(|_| !self.fetches.none(self.run.1 / self.run.0.max(1.0)))
    }

    /// The worker where requests about the same go first: of the kind that their common draw by p_k gives.
    pub(super) fn first(&self, open: &Open) -> Option<usize> {
        let (s, bound) = (self.about(open)?, self.settings.classes[open.class].kind);
        let weight = |k: usize| {
            if bound.is_none_or(|b| b as usize == k) {
                self.subject_draw.0[k]
            } else {
                0.0
            }
        };
        let kind = affinity::draw(s, (0..self.draw.len()).map(|k| (k as u64, weight(k))))?;
        let rank = |i: &usize| affinity::rank(s, self.workers[*i].listed.worker);
        let of_kind = self
            .groups
            .iter()
            .skip(kind)
            .step_by(self.kinds.len())
            .flatten()
            .copied();
        of_kind.min_by(|a, b| rank(a).total_cmp(&rank(b)))
    }

    /// The first worker, if it takes the request now.
    pub(super) fn choose_first(&self, now: Time, id: RequestId) -> Option<usize> {
        let open = self
            .open
            .get(&id)
            .filter(|o| now < self.sendable_until(o) && self.may_wait(false))?;
        let (work, first) = (self.work(open.class, open.estimate), self.first(open)?);
        let w = &self.workers[first];
        (self.usable(now, first, open, work) && !self.crowded(now, w, self.fetch(w)))
            .then_some(first)
    }

    /// Jobs that a worker would do in the time that the fetch elsewhere takes.
    fn fetch(&self, w: &Worker) -> f64 {
        self.fetches.cost() * self.capacity(w) * self.run.0 / self.run.1.max(1.0)
    }

    /// May one more own job wait? A worker that looks free does so to many dispatchers at once.
    pub(super) fn may_wait(&self, unlikely: bool) -> bool {
        let looks_free = 2.0 * self.window + 2.0 + WAIT_LOAD * self.arrivals.work;
        (self.waiting as f64) < if unlikely { self.window } else { looks_free }
    }

    /// Is there a worker that may take some held request? While there is none, no request is looked at.
    pub(super) fn room(&self, now: Time) -> bool {
        let queue = self.may_wait(true);
        let free = |w: &Worker| !self.crowded(now, w, 0.0) || (queue && w.unstarted.is_empty());
        let takes = |i: &usize| now >= self.workers[*i].aside_until && free(&self.workers[*i]);
        let near = |n: usize| n / self.kinds.len() % 2 == 0;
        self.groups
            .iter()
            .enumerate()
            .any(|(n, list)| (queue || near(n)) && list.iter().any(takes))
    }

    /// Slots in flight as far as known, per slot that a worker has at least while it is cold.
    fn load(&self, now: Time, w: &Worker) -> f64 {
        (w.own + self.others(now, w) + 1.0) / (self.slots(w) * self.warmth(now, w))
    }

    /// Slots that others hold: the last news. A worker unheard of is not empty: late starts tell of all.
    fn others(&self, now: Time, w: &Worker) -> f64 {
        let at_large = self.late_share[0].max(self.late_share[1]) * self.slots(w);
        let known = w.news_at.map_or(0.0, |at| fresh(now, at));
        (w.foreign * known + at_large * (1.0 - known)).max(w.told(now))
    }

    /// No slot is expected to be free: all known ones are taken, or an own job waits there.
    pub(super) fn crowded(&self, now: Time, w: &Worker, more: f64) -> bool {
        let waits = w
            .unstarted
            .first()
            .map_or(0.0, |u| now.saturating_sub(u.0) as f64);
        w.overdue(waits, self.settings.granularity)
            || w.own + self.others(now, w) + 0.5 > self.slots(w) + more
    }

    fn slots(&self, w: &Worker) -> f64 {
        self.kinds[w.kind].slots.max(1.0)
    }

    pub(super) fn capacity(&self, w: &Worker) -> f64 {
        self.slots(w) * self.kinds[w.kind].run.speed
    }

    fn home(&self, w: &Worker) -> bool {
        self.settings.charges.cross_zone <= 0.0 || w.listed.zone == self.settings.zone
    }

    pub(super) fn count_start(&mut self, i: usize, late: bool) {
        let more = if late {
            -WINDOW_CUT * self.window
        } else {
            1.0 / self.window
        };
        self.window = (self.window + more).clamp(1.0, self.workers.len() as f64);
        let home = usize::from(self.home(&self.workers[i]));
        self.late_share[home] += LATE_STEP * (f64::from(u8::from(late)) - self.late_share[home]);
        let gain =
            self.late_share[1] - self.late_share[0] - LATE_PRICE * self.settings.charges.cross_zone;
        self.stay = (self.stay - LATE_STEP * gain).clamp(0.0, 1.0);
    }

    /// Picks a stretch of every kind's list to keep to: jobs spread thinly over a large fleet tell of none.
    fn pick_near(&mut self, now: Time) {
        let kinds = self.kinds.len();
        self.groups = vec![Vec::new(); 4 * kinds];
        for away in [0, 1] {
            let part =
                |i: &usize| self.workers[*i].active && self.home(&self.workers[*i]) == (away == 0);
            let pool: Vec<usize> = self.index.values().copied().filter(part).collect();
            let (size, capacity) = (
                pool.len(),
                pool.iter().map(|i| self.capacity(&self.workers[*i])),
            );
            let capacity = capacity.sum::<f64>();
            if away == 0 && self.late_share == [0.0; 2] {
                // Until starts tell, the load is taken to be high, and dispatchers as many in every zone.
                let zones = self
                    .workers
                    .iter()
                    .map(|w| w.listed.zone)
                    .collect::<BTreeSet<_>>()
                    .len();
                self.stay =
                    ((size * zones) as f64 / NEAR_LOAD.1 / self.workers.len() as f64).min(1.0);
            }
            let least = D as f64 / size.max(1) as f64;
            let share = (self.arrivals.work / NEAR_LOAD.0 / capacity.max(1e-9))
                .max(least)
                .min(1.0);
            for kind in 0..kinds {
                let all: Vec<&usize> = pool
                    .iter()
                    .filter(|i| self.workers[**i].kind == kind)
                    .collect();
                let first =
                    all.len() * self.settings.me as usize / self.settings.dispatchers as usize;
                let taken = (share * all.len() as f64).ceil() as usize;
                for (n, i) in all.iter().map(|i| **i).enumerate() {
                    let cold = self.cold_rate(now, &self.workers[i]);
                    let near =
                        cold.is_some() || (n + all.len() - first % all.len()) % all.len() < taken;
                    if cold != Some(0.0) {
                        self.groups[(2 * away + usize::from(!near)) * kinds + kind].push(i);
                    }
                }
            }
        }
    }

    pub(super) fn solve_draw(&mut self, now: Time) {
        self.pick_near(now);
        let speeds: Vec<f64> = self.kinds.iter().map(|k| k.run.speed).collect();
        let ready = |w: &&Worker| w.active && w.aside_until <= now && w.failure <= SUSPECT;
        let (ready, mut share) = (self.workers.iter().filter(ready), vec![0.0; speeds.len()]);
        ready.for_each(|w| share[w.kind] += self.slots(w) * self.warmth(now, w));
        let capacity: f64 = share
            .iter()
            .zip(&speeds)
            .map(|(share, speed)| share * speed)
            .sum();
        let load = self.settings.dispatchers as f64 * self.arrivals.unbound / capacity.max(1e-9);
        self.draw = solve(&share, &speeds, load, D as u32);
        self.subject_draw.follow(&self.draw);
    }

    pub(super) fn work(&self, class: usize, estimate: Option<Time>) -> f64 {
        self.classes[class].run.mean(estimate)
    }

    /// Is an arrival to be taken as beyond its tenant's share?
    pub(super) fn over_share(&mut self, tenant: TenantId) -> bool {
        let Some(share) = self.arrivals.share(tenant) else {
            return false;
        };
        // Clients may crowd to this dispatcher: one with far less than its part of them is not to blame.
        let Tenant {
            quota_per_s,
            fraction,
        } = self.settings.tenants[tenant as usize];
        let all = self.arrivals.per_s * self.settings.dispatchers as f64;
        unit(&mut self.rng) * share > (quota_per_s / all).max(CROWDING * fraction)
    }
}

//! Hybrid SQ(d): the workers of a service by kind, the probabilities `p_k` of the kinds by problem (1), and the selection of a
//! worker.

use crate::worker::{Worker, WorkerId, is_rack};
use crate::workers::Workers;
use indigofold_placement::runs::{KEEP, Speed, WeightedSum, Work, learn};
use indigofold_placement::solve::solve;
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::TaskName;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

/// Workers sampled for a task.
pub(crate) const SAMPLES: usize = 3;
/// Weight of the former load in the exponential mean.
const LOAD_KEEP: f64 = 0.7;
/// Microseconds of a millisecond.
const MICROS: u64 = 1_000;
/// A run of an unknown class without an estimate is assumed to take this time, in milliseconds.
const UNKNOWN_RUN_MS: f64 = 1_000.0;

/// Workers with like labels (racks apart) and capacity.
#[derive(Debug)]
struct Kind {
    labels: Vec<String>,
    capacity: Resources,
    speed: Speed,
    workers: Vec<WorkerId>,
    probability: f64,
}

/// A class of tasks whose run times are learned together: one step of the jobs of a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Class {
    /// Name of the route.
    pub route: String,
    /// Number of the step.
    pub step: u32,
}

/// How long the tasks of a class run. Clients' estimates are rough: they are used only where they have predicted better
/// than the class's mean.
#[derive(Debug, Default)]
struct ClassWork {
    by_estimate: Work,
    by_mean: Work,
    /// Squared errors (of logarithms) that each of the two has made.
    errors_by_estimate: WeightedSum,
    errors_by_mean: WeightedSum,
}

/// The kinds of one service.
#[derive(Debug, Default)]
pub(crate) struct Kinds {
    kinds: Vec<Kind>,
    kind_of: FxHashMap<WorkerId, usize>,
    classes: FxHashMap<Class, ClassWork>,
    all: WeightedSum,
    load: f64,
}

/// Why the winner won.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Fewest runs among the workers sampled of the drawn kind.
    FewestOfDrawn,
    /// Fewest runs among the workers sampled of the only kind that the step may use.
    FewestOfBound,
    /// The drawn kind had no capacity; fewest among the workers sampled of the next kind by `p_k`.
    FewestOfNext,
}

/// A worker of a sample.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SampledWorker {
    /// Id of the worker instance.
    pub instance: String,
    /// Number of its runs.
    pub runs: usize,
}

/// How a worker was selected.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementTrace {
    /// The task.
    pub task: TaskName,
    /// Number of the drawn kind; `None` for a step bound to a kind.
    pub drawn: Option<usize>,
    /// `p_k` of all kinds.
    pub probabilities: Vec<f64>,
    /// Workers sampled that have capacity.
    pub sampled: Vec<SampledWorker>,
    /// The selected worker.
    pub winner: String,
    /// Why.
    pub reason: Reason,
}

/// A selected worker.
#[derive(Debug)]
pub(crate) struct Selection {
    /// The worker.
    pub worker: WorkerId,
    /// Whether the step was bound to a kind.
    pub bound: bool,
    drawn: Option<usize>,
    sampled: Vec<WorkerId>,
    reason: Reason,
}

impl Kinds {
    /// Sorts the service's workers into kinds anew; known speeds stay.
    pub(crate) fn regroup(&mut self, workers: &Workers, backend: &str) {
        self.kinds.iter_mut().for_each(|kind| kind.workers.clear());
        self.kind_of.clear();
        for (id, worker) in workers
            .iter()
            .filter(|(_, w)| w.backend() == backend && w.expired_ms().is_none())
        {
            let kind = self.kind_for(worker);
            self.kinds[kind].workers.push(id);
            self.kind_of.insert(id, kind);
        }
        self.solve(workers);
    }

    fn kind_for(&mut self, worker: &Worker) -> usize {
        let labels: Vec<String> = worker
            .labels()
            .iter()
            .filter(|label| !is_rack(label))
            .cloned()
            .collect();
        let like = |kind: &Kind| kind.labels == labels && kind.capacity == worker.capacity();
        self.kinds.iter().position(like).unwrap_or_else(|| {
            let (capacity, speed) = (worker.capacity(), Speed::default());
            self.kinds.push(Kind {
                labels,
                capacity,
                speed,
                workers: Vec::new(),
                probability: 0.0,
            });
            self.kinds.len() - 1
        })
    }

    /// Solves problem (1) for the present load.
    pub(crate) fn resolve(&mut self, workers: &Workers) {
        let load = self.measured_load(workers);
        self.load = LOAD_KEEP * self.load + (1.0 - LOAD_KEEP) * load;
        self.solve(workers);
    }

    fn solve(&mut self, workers: &Workers) {
        let ready = |kind: &Kind| {
            let takes = |id: &&WorkerId| workers.get(**id).is_some_and(|w| w.agent().is_some());
            kind.workers.iter().filter(takes).count() as f64
        };
        let ready_workers: Vec<f64> = self.kinds.iter().map(ready).collect();
        let mean = self.mean_speed();
        let speeds: Vec<f64> = self.kinds.iter().map(|kind| kind.speed_or(mean)).collect();
        let probabilities = solve(&ready_workers, &speeds, self.load, SAMPLES as u32);
        self.kinds
            .iter_mut()
            .zip(probabilities)
            .for_each(|(kind, p)| kind.probability = p);
    }

    /// Fraction of the capacity, without what bound runs take, that unbound runs take.
    pub(crate) fn measured_load(&self, workers: &Workers) -> f64 {
        let (mut used, mut all) = (0.0, 0.0);
        for worker in self.kind_of.keys().filter_map(|id| workers.get(*id)) {
            let bound = dominant_share(&worker.used_bound(), &worker.capacity());
            let unbound = dominant_share(
                &worker.used().minus(&worker.used_bound()),
                &worker.capacity(),
            );
            used += unbound;
            all += (1.0 - bound).max(unbound);
        }
        if all > 0.0 { used / all } else { 0.0 }
    }

    /// Mean speed of the kinds that have a speed estimate.
    fn mean_speed(&self) -> f64 {
        let known = self.kinds.iter().filter(|kind| kind.speed.weight() > 0.0);
        let (sum, count) = known.fold((0.0, 0.0), |(sum, count), kind| {
            (sum + kind.speed.speed, count + 1.0)
        });
        if count > 0.0 { sum / count } else { 1.0 }
    }

    /// A run of this class took `run_ms` on this worker.
    pub(crate) fn record_run(
        &mut self,
        worker: WorkerId,
        class: &Class,
        estimate_ms: u64,
        run_ms: f64,
    ) {
        let Some(&kind) = self.kind_of.get(&worker) else {
            return;
        };
        let estimate = (estimate_ms > 0).then_some(estimate_ms * MICROS);
        let run = (run_ms * MICROS as f64) as u64;
        let speed = &mut self.kinds[kind].speed;
        let work = self.classes.entry(class.clone()).or_default();
        work.judge(estimate, run as f64 * speed.speed);
        let (mut same_speed, mut same_sum) = (speed.clone(), self.all);
        learn(speed, &mut work.by_mean, &mut self.all, None, run);
        if estimate.is_some() {
            learn(
                &mut same_speed,
                &mut work.by_estimate,
                &mut same_sum,
                estimate,
                run,
            );
        }
    }

    /// Run time to be expected on this worker, in milliseconds.
    pub(crate) fn expected_ms(&self, worker: WorkerId, class: &Class, estimate_ms: u64) -> f64 {
        let speed = self
            .kind_of
            .get(&worker)
            .map_or(1.0, |k| self.kinds[*k].speed_or(self.mean_speed()));
        self.expected_at_mean_speed_ms(class, estimate_ms) / speed.max(0.01)
    }

    /// Run time to be expected on a worker of mean speed, in milliseconds.
    pub(crate) fn expected_at_mean_speed_ms(&self, class: &Class, estimate_ms: u64) -> f64 {
        let estimate = (estimate_ms > 0).then_some(estimate_ms * MICROS);
        let class_mean = self.classes.get(class).and_then(|work| work.mean(estimate));
        let given_ms = if estimate_ms > 0 {
            estimate_ms as f64
        } else {
            UNKNOWN_RUN_MS
        };
        class_mean.map_or(given_ms, |micros| micros / MICROS as f64)
    }

    /// Workers of the service.
    pub(crate) fn workers(&self) -> impl Iterator<Item = WorkerId> {
        self.kinds
            .iter()
            .flat_map(|kind| kind.workers.iter().copied())
    }

    /// Draws a kind by `p_k` (or takes the one that `label` binds to) and samples workers that `fits`; the one with the
    /// fewest runs wins. Without any the other kinds follow by `p_k`.
    pub(crate) fn select(
        &self,
        rng: &mut Pcg64Mcg,
        workers: &Workers,
        label: &str,
        fits: impl Fn(WorkerId, &Worker) -> bool,
    ) -> Option<Selection> {
        let allowed = self.allowed(label);
        let bound = !label.is_empty() && allowed.len() == 1;
        let drawn = if bound {
            None
        } else {
            self.draw(rng, &allowed)
        };
        let order = self.by_probability(allowed, drawn);
        for (rank, kind) in order.iter().enumerate() {
            let sampled = sample(rng, &self.kinds[*kind].workers, workers, &fits);
            let in_flight = |id: &WorkerId| {
                workers
                    .get(*id)
                    .map_or(usize::MAX, |worker| worker.runs().len())
            };
            if let Some(&worker) = sampled.iter().min_by_key(|id| in_flight(id)) {
                let reason = match rank {
                    0 if bound => Reason::FewestOfBound,
                    0 => Reason::FewestOfDrawn,
                    _ => Reason::FewestOfNext,
                };
                return Some(Selection {
                    worker,
                    bound,
                    drawn,
                    sampled,
                    reason,
                });
            }
        }
        None
    }

    /// Kinds in the order in which they are sampled: the drawn one first, the others by falling probability.
    fn by_probability(&self, mut kinds: Vec<usize>, drawn: Option<usize>) -> Vec<usize> {
        kinds.sort_by(|a, b| {
            self.kinds[*b]
                .probability
                .total_cmp(&self.kinds[*a].probability)
        });
        if let Some(at) = drawn.and_then(|drawn| kinds.iter().position(|kind| *kind == drawn)) {
            kinds[..=at].rotate_right(1);
        }
        kinds
    }

    /// Kinds with this label; all of them if no kind has it (it may name a rack).
    fn allowed(&self, label: &str) -> Vec<usize> {
        let named = |kind: &usize| self.kinds[*kind].labels.iter().any(|l| l == label);
        let with_label: Vec<usize> = (0..self.kinds.len()).filter(named).collect();
        if with_label.is_empty() {
            (0..self.kinds.len()).collect()
        } else {
            with_label
        }
    }

    fn draw(&self, rng: &mut Pcg64Mcg, allowed: &[usize]) -> Option<usize> {
        let total: f64 = allowed
            .iter()
            .map(|kind| self.kinds[*kind].probability)
            .sum();
        let mut at = rng.random::<f64>() * total;
        for &kind in allowed {
            at -= self.kinds[kind].probability;
            if at < 0.0 {
                return Some(kind);
            }
        }
        allowed.last().copied()
    }

    /// The selection as it is shown to whoever follows placements.
    pub(crate) fn trace(
        &self,
        task: TaskName,
        selection: &Selection,
        workers: &Workers,
    ) -> PlacementTrace {
        let name = |id: WorkerId| {
            workers
                .get(id)
                .map_or_else(String::new, |worker| worker.instance().to_owned())
        };
        let in_flight = |id: WorkerId| workers.get(id).map_or(0, |worker| worker.runs().len());
        PlacementTrace {
            task,
            drawn: selection.drawn,
            probabilities: self.kinds.iter().map(|kind| kind.probability).collect(),
            sampled: selection
                .sampled
                .iter()
                .map(|id| SampledWorker {
                    instance: name(*id),
                    runs: in_flight(*id),
                })
                .collect(),
            winner: name(selection.worker),
            reason: selection.reason,
        }
    }
}

impl ClassWork {
    /// Records the errors of both predictions of this run time.
    fn judge(&mut self, estimate: Option<u64>, run: f64) {
        let error = |predicted: f64| (predicted.max(1.0) / run.max(1.0)).ln().powi(2);
        if self.by_mean.weight() > 0.0 {
            let error = error(self.by_mean.mean(None));
            self.errors_by_mean.add(KEEP, error);
        }
        if self.by_estimate.weight() > 0.0 && estimate.is_some() {
            let error = error(self.by_estimate.mean(estimate));
            self.errors_by_estimate.add(KEEP, error);
        }
    }

    /// Run time at mean speed, in microseconds, once something is known.
    fn mean(&self, estimate: Option<u64>) -> Option<f64> {
        let known = self.by_mean.weight() > 0.0;
        let mean = |errors: WeightedSum| {
            if errors.weight > 0.0 {
                errors.sum / errors.weight
            } else {
                0.0
            }
        };
        let estimates_are_better = mean(self.errors_by_estimate) <= mean(self.errors_by_mean);
        match estimate {
            Some(_) if estimates_are_better => {
                (self.by_estimate.weight() > 0.0).then(|| self.by_estimate.mean(estimate))
            }
            _ => known.then(|| self.by_mean.mean(None)),
        }
    }
}

impl Kind {
    fn speed_or(&self, mean: f64) -> f64 {
        if self.speed.weight() > 0.0 {
            self.speed.speed
        } else {
            mean
        }
    }
}

/// Up to [`SAMPLES`] different workers that fit, drawn at random.
fn sample(
    rng: &mut Pcg64Mcg,
    from: &[WorkerId],
    workers: &Workers,
    fits: impl Fn(WorkerId, &Worker) -> bool,
) -> Vec<WorkerId> {
    let mut left = from.to_vec();
    let mut sampled = Vec::with_capacity(SAMPLES);
    while sampled.len() < SAMPLES && !left.is_empty() {
        let id = left.swap_remove(rng.random_range(..left.len()));
        if workers.get(id).is_some_and(|worker| fits(id, worker)) {
            sampled.push(id);
        }
    }
    sampled
}

/// The largest fraction that is used of any resource (dominant share, Ghodsi and others, NSDI 2011).
pub(crate) fn dominant_share(used: &Resources, capacity: &Resources) -> f64 {
    let fraction = |used: u64, all: u64| {
        if all > 0 {
            used as f64 / all as f64
        } else {
            0.0
        }
    };
    fraction(used.cpu, capacity.cpu)
        .max(fraction(used.mem_mb, capacity.mem_mb))
        .max(fraction(used.gpu, capacity.gpu))
}

//! Hybrid SQ(d): groups the workers of a service into kinds, computes the probability `p_k` of each kind (the solution
//! of problem (1), see [`solve`]), and selects workers for tasks. Also estimates run times by class of tasks and kind
//! of workers.

use crate::worker::{Worker, WorkerId, is_rack};
use crate::workers::Workers;
use indigofold_placement::runs::{RUN_TIME_DECAY, Speed, WeightedSum, Work, record_run};
use indigofold_placement::solve::solve;
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::TaskName;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

/// Number `d` of workers sampled for a task.
pub(crate) const SAMPLES: usize = 3;
/// Weight of the former mean in the exponential moving average of the load.
const LOAD_KEEP: f64 = 0.7;
/// Microseconds per millisecond.
const MICROS: u64 = 1_000;
/// Expected run time of a class without observed runs and without a client's estimate, in milliseconds.
const DEFAULT_RUN_MS: f64 = 1_000.0;

/// Workers with the same labels (except rack labels) and the same capacity.
#[derive(Debug)]
struct Kind {
    labels: Vec<String>,
    capacity: Resources,
    /// Speed relative to the other kinds, learned from run times.
    speed: Speed,
    workers: Vec<WorkerId>,
    /// Probability `p_k` of drawing this kind for a task.
    probability: f64,
}

/// A class of tasks whose run times are learned together: one step of the jobs of a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Class {
    /// Name of the route of the jobs' queue.
    pub route: String,
    /// Number of the step within the job.
    pub step: u32,
}

/// Run times of the tasks of a class. Clients' estimates are rough, so they are used only where they have predicted at
/// least as well as the mean of the class.
#[derive(Debug, Default)]
struct ClassWork {
    /// Run times relative to the clients' estimates.
    by_estimate: Work,
    /// Run times without regard to estimates.
    by_mean: Work,
    /// Squared errors of the logarithms of the predictions by `by_estimate`.
    errors_by_estimate: WeightedSum,
    /// Squared errors of the logarithms of the predictions by `by_mean`.
    errors_by_mean: WeightedSum,
}

/// The kinds of workers of one service and the run times learned there.
#[derive(Debug, Default)]
pub(crate) struct Kinds {
    kinds: Vec<Kind>,
    /// Index into `kinds` of each worker's kind.
    kind_by_worker: FxHashMap<WorkerId, usize>,
    classes: FxHashMap<Class, ClassWork>,
    /// Run times at mean speed, over all classes.
    all_runs: WeightedSum,
    /// Exponential moving average of the load, between 0 and 1.
    load: f64,
}

/// Rule by which a worker was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Fewest runs among the sampled workers of the drawn kind.
    FewestOfDrawn,
    /// Fewest runs among the sampled workers of the only kind that has the step's label.
    FewestOfBound,
    /// The kinds tried before had no suitable worker; fewest runs among the sampled workers of the next kind in
    /// descending order of `p_k`.
    FewestOfNext,
}

/// A worker that was sampled for a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SampledWorker {
    /// ID of the worker instance.
    pub instance: String,
    /// Number of outstanding runs on the instance.
    pub runs: usize,
}

/// Trace of the selection of a worker for a task.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementTrace {
    /// The task that was placed.
    pub task: TaskName,
    /// Index of the drawn kind in `probabilities`; `None` for a step that is bound to one kind by its label.
    pub drawn: Option<usize>,
    /// Probability `p_k` of each kind.
    pub probabilities: Vec<f64>,
    /// Workers sampled of the winner's kind, including the winner; all of them are suitable.
    pub sampled: Vec<SampledWorker>,
    /// ID of the selected worker instance.
    pub winner: String,
    /// Rule by which the winner was selected.
    pub reason: Reason,
}

/// A worker selected for a task, and how it was selected.
#[derive(Debug)]
pub(crate) struct Selection {
    /// The selected worker.
    pub worker: WorkerId,
    /// Whether the step is bound to one kind by its label.
    pub bound: bool,
    /// Index of the drawn kind; `None` if the step is bound to one kind.
    drawn: Option<usize>,
    /// Sampled workers, including the selected one.
    sampled: Vec<WorkerId>,
    reason: Reason,
}

impl Kinds {
    /// Assigns all workers of the service to kinds again and updates the probabilities. Kinds once seen stay, with the
    /// speeds learned.
    pub(crate) fn regroup(&mut self, workers: &Workers, backend: &str) {
        self.kinds.iter_mut().for_each(|kind| kind.workers.clear());
        self.kind_by_worker.clear();
        for (id, worker) in workers
            .iter()
            .filter(|(_, w)| w.backend() == backend && w.expired_at_ms().is_none())
        {
            let kind = self.kind_index(worker);
            self.kinds[kind].workers.push(id);
            self.kind_by_worker.insert(id, kind);
        }
        self.solve(workers);
    }

    /// Index of the worker's kind, which is added if it is new.
    fn kind_index(&mut self, worker: &Worker) -> usize {
        let labels: Vec<String> = worker
            .labels()
            .iter()
            .filter(|label| !is_rack(label))
            .cloned()
            .collect();
        let matches = |kind: &Kind| kind.labels == labels && kind.capacity == worker.capacity();
        self.kinds.iter().position(matches).unwrap_or_else(|| {
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

    /// Updates the mean load and the probabilities of the kinds.
    pub(crate) fn update_probabilities(&mut self, workers: &Workers) {
        let load = self.measured_load(workers);
        self.load = LOAD_KEEP * self.load + (1.0 - LOAD_KEEP) * load;
        self.solve(workers);
    }

    /// Updates the probabilities of the kinds for the mean load. Only connected workers count.
    fn solve(&mut self, workers: &Workers) {
        let ready_count = |kind: &Kind| {
            let is_connected =
                |id: &&WorkerId| workers.get(**id).is_some_and(|w| w.agent().is_some());
            kind.workers.iter().filter(is_connected).count() as f64
        };
        let ready_workers: Vec<f64> = self.kinds.iter().map(ready_count).collect();
        let mean_speed = self.mean_speed();
        let speeds: Vec<f64> = self
            .kinds
            .iter()
            .map(|kind| kind.speed_or(mean_speed))
            .collect();
        let probabilities = solve(&ready_workers, &speeds, self.load, SAMPLES as u32);
        self.kinds
            .iter_mut()
            .zip(probabilities)
            .for_each(|(kind, p)| kind.probability = p);
    }

    /// Fraction of the service's capacity that unbound runs take, by dominant share per worker. Capacity taken by runs
    /// bound to a kind is left out; 0 if the service has no workers.
    pub(crate) fn measured_load(&self, workers: &Workers) -> f64 {
        let (mut used_share, mut available_share) = (0.0, 0.0);
        for worker in self.kind_by_worker.keys().filter_map(|id| workers.get(*id)) {
            let bound_share = dominant_share(&worker.used_bound(), &worker.capacity());
            let unbound_share = dominant_share(
                &worker.used().minus(&worker.used_bound()),
                &worker.capacity(),
            );
            used_share += unbound_share;
            available_share += (1.0 - bound_share).max(unbound_share);
        }
        if available_share > 0.0 {
            used_share / available_share
        } else {
            0.0
        }
    }

    /// Mean speed of the kinds with observed runs; 1 if there are none.
    fn mean_speed(&self) -> f64 {
        let observed_kinds = self.kinds.iter().filter(|kind| kind.speed.weight() > 0.0);
        let (sum, count) = observed_kinds.fold((0.0, 0.0), |(sum, count), kind| {
            (sum + kind.speed.speed, count + 1.0)
        });
        if count > 0.0 { sum / count } else { 1.0 }
    }

    /// Updates the run times of the class and the speed of the worker's kind with a run that took `run_ms`.
    /// `estimate_ms` is the client's estimate, 0 for none. The speed is learned from the class mean alone, not from the
    /// estimate.
    pub(crate) fn record_run(
        &mut self,
        worker: WorkerId,
        class: &Class,
        estimate_ms: u64,
        run_ms: f64,
    ) {
        let Some(&kind) = self.kind_by_worker.get(&worker) else {
            return;
        };
        let estimate = (estimate_ms > 0).then_some(estimate_ms * MICROS);
        let run = (run_ms * MICROS as f64) as u64;
        let speed = &mut self.kinds[kind].speed;
        let work = self.classes.entry(class.clone()).or_default();
        work.record_errors(estimate, run as f64 * speed.speed);
        let (mut discarded_speed, mut discarded_sum) = (speed.clone(), self.all_runs);
        record_run(speed, &mut work.by_mean, &mut self.all_runs, None, run);
        if estimate.is_some() {
            record_run(
                &mut discarded_speed,
                &mut work.by_estimate,
                &mut discarded_sum,
                estimate,
                run,
            );
        }
    }

    /// Expected run time on this worker, in milliseconds. `estimate_ms` is the client's estimate, 0 for none.
    pub(crate) fn expected_ms(&self, worker: WorkerId, class: &Class, estimate_ms: u64) -> f64 {
        let speed = self
            .kind_by_worker
            .get(&worker)
            .map_or(1.0, |k| self.kinds[*k].speed_or(self.mean_speed()));
        self.expected_at_mean_speed_ms(class, estimate_ms) / speed.max(0.01)
    }

    /// Expected run time on a worker of mean speed, in milliseconds. `estimate_ms` is the client's estimate, 0 for
    /// none; it is taken as given while no run of the class was observed.
    pub(crate) fn expected_at_mean_speed_ms(&self, class: &Class, estimate_ms: u64) -> f64 {
        let estimate = (estimate_ms > 0).then_some(estimate_ms * MICROS);
        let class_mean = self.classes.get(class).and_then(|work| work.mean(estimate));
        let default_ms = if estimate_ms > 0 {
            estimate_ms as f64
        } else {
            DEFAULT_RUN_MS
        };
        class_mean.map_or(default_ms, |micros| micros / MICROS as f64)
    }

    /// Iterates over the workers of the service, by kind.
    pub(crate) fn workers(&self) -> impl Iterator<Item = WorkerId> {
        self.kinds
            .iter()
            .flat_map(|kind| kind.workers.iter().copied())
    }

    /// Selects a worker for a task: draws a kind with probability `p_k` (or takes the one that `label` binds to),
    /// samples up to [`SAMPLES`] of its workers that satisfy `fits`, and selects the one with the fewest outstanding
    /// runs. If no worker of the kind fits, the other kinds are tried in descending order of `p_k`. `None` if no worker
    /// fits.
    pub(crate) fn select(
        &self,
        rng: &mut Pcg64Mcg,
        workers: &Workers,
        label: &str,
        fits: impl Fn(WorkerId, &Worker) -> bool,
    ) -> Option<Selection> {
        let allowed_kinds = self.allowed_kinds(label);
        let bound = !label.is_empty() && allowed_kinds.len() == 1;
        let drawn = if bound {
            None
        } else {
            self.draw_kind(rng, &allowed_kinds)
        };
        let order = self.sampling_order(allowed_kinds, drawn);
        for (rank, kind) in order.iter().enumerate() {
            let sampled = sample(rng, &self.kinds[*kind].workers, workers, &fits);
            let run_count = |id: &WorkerId| {
                workers
                    .get(*id)
                    .map_or(usize::MAX, |worker| worker.runs().len())
            };
            if let Some(&worker) = sampled.iter().min_by_key(|id| run_count(id)) {
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

    /// Order in which the kinds are sampled: the drawn one first, the others in descending order of probability.
    fn sampling_order(&self, mut kinds: Vec<usize>, drawn: Option<usize>) -> Vec<usize> {
        kinds.sort_by(|a, b| {
            self.kinds[*b]
                .probability
                .total_cmp(&self.kinds[*a].probability)
        });
        if let Some(position) = drawn.and_then(|drawn| kinds.iter().position(|kind| *kind == drawn))
        {
            kinds[..=position].rotate_right(1);
        }
        kinds
    }

    /// Kinds with this label; all kinds if none has it, as the label may name a rack.
    fn allowed_kinds(&self, label: &str) -> Vec<usize> {
        let has_label = |kind: &usize| self.kinds[*kind].labels.iter().any(|l| l == label);
        let with_label: Vec<usize> = (0..self.kinds.len()).filter(has_label).collect();
        if with_label.is_empty() {
            (0..self.kinds.len()).collect()
        } else {
            with_label
        }
    }

    /// Draws one of the allowed kinds with probability proportional to `p_k`; `None` if `allowed` is empty.
    fn draw_kind(&self, rng: &mut Pcg64Mcg, allowed: &[usize]) -> Option<usize> {
        let total: f64 = allowed
            .iter()
            .map(|kind| self.kinds[*kind].probability)
            .sum();
        let mut remaining = rng.random::<f64>() * total;
        for &kind in allowed {
            remaining -= self.kinds[kind].probability;
            if remaining < 0.0 {
                return Some(kind);
            }
        }
        allowed.last().copied()
    }

    /// Builds the trace of a selection, with the runs that the workers have now.
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
        let run_count = |id: WorkerId| workers.get(id).map_or(0, |worker| worker.runs().len());
        PlacementTrace {
            task,
            drawn: selection.drawn,
            probabilities: self.kinds.iter().map(|kind| kind.probability).collect(),
            sampled: selection
                .sampled
                .iter()
                .map(|id| SampledWorker {
                    instance: name(*id),
                    runs: run_count(*id),
                })
                .collect(),
            winner: name(selection.worker),
            reason: selection.reason,
        }
    }
}

impl ClassWork {
    /// Records the errors of both predictions for a run. `estimate` and `run` (the run time at mean speed) are in
    /// microseconds.
    fn record_errors(&mut self, estimate: Option<u64>, run: f64) {
        let error = |predicted: f64| (predicted.max(1.0) / run.max(1.0)).ln().powi(2);
        if self.by_mean.weight() > 0.0 {
            let error = error(self.by_mean.mean(None));
            self.errors_by_mean.add(RUN_TIME_DECAY, error);
        }
        if self.by_estimate.weight() > 0.0 && estimate.is_some() {
            let error = error(self.by_estimate.mean(estimate));
            self.errors_by_estimate.add(RUN_TIME_DECAY, error);
        }
    }

    /// Expected run time at mean speed, in microseconds; `None` while no run was observed for the prediction that
    /// applies.
    fn mean(&self, estimate: Option<u64>) -> Option<f64> {
        let has_runs = self.by_mean.weight() > 0.0;
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
            _ => has_runs.then(|| self.by_mean.mean(None)),
        }
    }
}

impl Kind {
    /// Speed of the kind; `mean` if no run was observed on it.
    fn speed_or(&self, mean: f64) -> f64 {
        if self.speed.weight() > 0.0 {
            self.speed.speed
        } else {
            mean
        }
    }
}

/// Draws up to [`SAMPLES`] different workers that satisfy `fits`, uniformly at random.
fn sample(
    rng: &mut Pcg64Mcg,
    candidates: &[WorkerId],
    workers: &Workers,
    fits: impl Fn(WorkerId, &Worker) -> bool,
) -> Vec<WorkerId> {
    let mut remaining_candidates = candidates.to_vec();
    let mut sampled = Vec::with_capacity(SAMPLES);
    while sampled.len() < SAMPLES && !remaining_candidates.is_empty() {
        let id = remaining_candidates.swap_remove(rng.random_range(..remaining_candidates.len()));
        if workers.get(id).is_some_and(|worker| fits(id, worker)) {
            sampled.push(id);
        }
    }
    sampled
}

/// Dominant share: the largest fraction of any resource's capacity that is used (Ghodsi et al., NSDI 2011). Resources
/// of which there is no capacity are left out.
pub(crate) fn dominant_share(used: &Resources, capacity: &Resources) -> f64 {
    let fraction = |used: u64, total_amount: u64| {
        if total_amount > 0 {
            used as f64 / total_amount as f64
        } else {
            0.0
        }
    };
    fraction(used.cpu, capacity.cpu)
        .max(fraction(used.mem_mb, capacity.mem_mb))
        .max(fraction(used.gpu, capacity.gpu))
}

//! Value of jobs relative to the work that they still need. Under overload, steps with the least work per value go
//! first, so that the jobs that end in time have the highest total value.

use crate::queue::Prospect;
use indigofold_placement::runs::{RUN_TIME_DECAY, WeightedSum};
use indigofold_protocol::job::{Resources, Step};
use rustc_hash::FxHashMap;

/// Number of cores that a GPU counts as.
const CORES_PER_GPU: f64 = 8.0;
/// Part of a job's value that does not depend on its work (section "Worth" of the rules).
const VALUE_BASE: f64 = 0.3;
/// Part of a job's value that is proportional to its work relative to the mean of its route.
const VALUE_BY_WORK: f64 = 0.7;
/// Upper limit of a job's value; a job with the mean work of its route has the value 1.
const VALUE_MAX: f64 = 4.0;
/// Fraction of its value that a job retains after its latency target.
const LATE_VALUE_FRACTION: f64 = 0.5;
/// Number of cost classes per doubling of the work per value.
const CLASSES_PER_DOUBLING: f64 = 1.0;

/// Mean work of a route's jobs; the weight of older jobs decays.
#[derive(Debug, Default)]
struct MeanWork(WeightedSum);

impl MeanWork {
    /// Adds a job's work to the mean; returns the job's value.
    fn value(&mut self, work: f64) -> f64 {
        self.0.add(RUN_TIME_DECAY, work);
        let mean = self.0.sum / self.0.weight;
        let relative_work = if mean > 0.0 { work / mean } else { 1.0 };
        (VALUE_BASE + VALUE_BY_WORK * relative_work).min(VALUE_MAX)
    }
}

/// Cost class of a step: the logarithm of the `work` that its job still needs per value that it can still reach, so
/// that steps of one class differ in cost by less than a factor of two and are ordered by their deadlines. `i16::MIN`,
/// which goes first, if there is no work left or no value.
pub(crate) fn cost_class(work: f64, value: f64, prospect: Prospect) -> i16 {
    let reachable_value = match prospect {
        Prospect::InTime => value,
        Prospect::Late | Prospect::Hopeless => value * LATE_VALUE_FRACTION,
    };
    if work <= 0.0 || reachable_value <= 0.0 {
        return i16::MIN;
    }
    ((work / reachable_value).log2() * CLASSES_PER_DOUBLING).floor() as i16
}

/// Number of cores that these resources count as; memory is not counted.
pub(crate) fn cores(resources: &Resources) -> f64 {
    resources.cpu as f64 / 1_000.0 + resources.gpu as f64 * CORES_PER_GPU
}

/// Work of `tasks` tasks of a step that run for `run_ms` each, in core-milliseconds.
pub(crate) fn work_of(step: &Step, tasks: usize, run_ms: u64) -> f64 {
    tasks as f64 * cores(&step.resources()) * run_ms as f64
}

/// Mean work of the jobs per route, to which the value of each job is relative.
#[derive(Debug, Default)]
pub(crate) struct QueueValues {
    by_route: FxHashMap<String, MeanWork>,
}

impl QueueValues {
    /// Adds the work of a job, in core-milliseconds, to the mean of its route; returns the job's value.
    pub(crate) fn value(&mut self, route: &str, work: f64) -> f64 {
        self.by_route
            .entry(route.to_owned())
            .or_default()
            .value(work)
    }
}

#[cfg(test)]
mod tests;

//! The value of jobs in relation to the work that they still need: under overload, the order by which most is earned.

use crate::queue::Prospect;
use indigofold_placement::runs::{KEEP, WeightedSum};
use indigofold_protocol::job::{Resources, Step};
use rustc_hash::FxHashMap;

/// A GPU counts as so many cores.
const CORES_OF_GPU: f64 = 8.0;
/// Value of a job that does not depend on its work (the rules' page, "Worth").
const VALUE_BASE: f64 = 0.3;
/// Value of a job by its work in relation to the mean of its queue.
const VALUE_BY_WORK: f64 = 0.7;
/// Highest value of a job in relation to the mean of its queue.
const VALUE_MAX: f64 = 4.0;
/// Fraction of its value that a job earns after its latency target.
const LATE_VALUE_FRACTION: f64 = 0.5;
/// Steps of one class differ in cost by less than a factor of two to the power of one by this number.
const CLASSES_OF_A_DOUBLING: f64 = 1.0;

/// Work of a queue's jobs, old ones fading: weight, weighted sum.
#[derive(Debug, Default)]
struct MeanWork(WeightedSum);

impl MeanWork {
    /// Adds a job's work to the mean; returns the job's value in relation to the others of its queue.
    fn value(&mut self, work: f64) -> f64 {
        self.0.add(KEEP, work);
        let mean = self.0.sum / self.0.weight;
        let relative_work = if mean > 0.0 { work / mean } else { 1.0 };
        (VALUE_BASE + VALUE_BY_WORK * relative_work).min(VALUE_MAX)
    }
}

/// Class of the cost of what a job earns: `work` that it still needs for its `value`. Steps of one class go by their
/// deadlines; without any work left there is nothing to weigh.
pub(crate) fn cost_class(work: f64, value: f64, prospect: Prospect) -> i16 {
    let earned = match prospect {
        Prospect::InTime => value,
        Prospect::Late | Prospect::Hopeless => value * LATE_VALUE_FRACTION,
    };
    if work <= 0.0 || earned <= 0.0 {
        return i16::MIN;
    }
    ((work / earned).log2() * CLASSES_OF_A_DOUBLING).floor() as i16
}

/// Cores that these resources count for.
pub(crate) fn cores(resources: &Resources) -> f64 {
    resources.cpu as f64 / 1_000.0 + resources.gpu as f64 * CORES_OF_GPU
}

/// Work of so many tasks of a step that run for `run_ms` each, in core-milliseconds.
pub(crate) fn work_of(step: &Step, tasks: usize, run_ms: u64) -> f64 {
    tasks as f64 * cores(&step.resources()) * run_ms as f64
}

/// Mean work of the jobs of each route.
#[derive(Debug, Default)]
pub(crate) struct QueueValues {
    by_route: FxHashMap<String, MeanWork>,
}

impl QueueValues {
    /// Adds the work of a job, in core-milliseconds, to the mean of its route; returns its value in relation to that.
    pub(crate) fn value(&mut self, route: &str, work: f64) -> f64 {
        self.by_route
            .entry(route.to_owned())
            .or_default()
            .value(work)
    }
}

#[cfg(test)]
mod tests;

//! What jobs are worth against the work that they still need: the order in which most is earned while more waits than
//! can be done in time.

use crate::job::Job;
use crate::queue::{Prospect, QueueKey, StepRef};
use crate::scheduler::Scheduler;
use indigofold_placement::runs::{KEEP, Sum, add};
use indigofold_protocol::job::{Resources, Step};
use indigofold_protocol::task::JobId;

/// A GPU counts as so many cores.
const CORES_OF_GPU: f64 = 8.0;
/// Part of its worth that a job has whatever its work (the rules' page, "Worth").
const VALUE_BASE: f64 = 0.3;
/// Part of its worth that a job has by its work against the mean of its queue.
const VALUE_BY_WORK: f64 = 0.7;
/// The most that a job is worth against the mean of its queue.
const VALUE_MAX: f64 = 4.0;
/// Part of its worth that a job earns after its objective.
const LATE_VALUE_FRACTION: f64 = 0.5;
/// Steps of one class differ in cost by less than a factor of two to the power of one by this number.
const CLASSES_OF_A_DOUBLING: f64 = 1.0;
/// Most steps of one queue that are put to new places at a time.
const REORDERED_MAX: usize = 2_000;

/// Work of a queue's jobs, old ones fading: weight, weighted sum.
#[derive(Debug, Default)]
pub(crate) struct MeanWork(Sum);

impl MeanWork {
    /// Takes in a job's work; returns what the job is worth against the others of its queue.
    fn update_value(&mut self, work: f64) -> f64 {
        add(&mut self.0, KEEP, work);
        let mean = self.0.1 / self.0.0;
        let share = if mean > 0.0 { work / mean } else { 1.0 };
        (VALUE_BASE + VALUE_BY_WORK * share).min(VALUE_MAX)
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
fn work_of(step: &Step, tasks: usize, run_ms: u64) -> f64 {
    tasks as f64 * cores(&step.resources()) * run_ms as f64
}

impl Job {
    /// All its work, in core-milliseconds.
    fn work(&self) -> f64 {
        let steps = self.definition.spec.stages.iter().zip(&self.run_ms);
        steps
            .map(|(step, run_ms)| work_of(step, step.count as usize, *run_ms))
            .sum()
    }

    /// Work of this step that waits and of the steps behind it, in core-milliseconds.
    pub(crate) fn work_left(&self, at: StepRef) -> f64 {
        let Some(repeat) = self.repeats.get(&at.repeat) else {
            return 0.0;
        };
        let steps = self
            .definition
            .spec
            .stages
            .iter()
            .zip(&repeat.steps)
            .zip(&self.run_ms);
        let from_here = steps.enumerate().skip(at.step as usize);
        let left = from_here.map(|(number, ((step, state), run_ms))| {
            let not_done = state.tasks.len() - state.done as usize;
            let tasks = if number == at.step as usize {
                state.waiting.len()
            } else {
                not_done
            };
            work_of(step, tasks, *run_ms)
        });
        left.sum()
    }
}

impl Scheduler {
    /// Works out what a job is worth against the others of its queue.
    pub(crate) fn update_value(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (work, route) = (job.work(), job.definition.route.clone());
        let value = self.mean_work.entry(route).or_default().update_value(work);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.value = value;
        }
    }

    /// Puts the steps of all queues to the places that they have by now.
    pub(crate) fn reorder_queues(&mut self) {
        let now_ms = self.now_ms;
        let names: Vec<String> = self.services.keys().cloned().collect();
        for name in names {
            let steps = self.services[&name].queue.iter().take(REORDERED_MAX);
            let keys =
                steps.filter_map(|key| Some(self.jobs.get(&key.at.job)?.queue_key(key.at, now_ms)));
            let keys: Vec<QueueKey> = keys.collect();
            keys.into_iter()
                .for_each(|key| self.update_queue_key(&name, key));
        }
    }

    fn update_queue_key(&mut self, service: &str, key: QueueKey) {
        let Some(job) = self.jobs.get_mut(&key.at.job) else {
            return;
        };
        let Some(state) = job.step_state_mut(key.at) else {
            return;
        };
        let Some(before) = state.queued.replace(key).filter(|before| *before != key) else {
            return;
        };
        let queue = &mut self.service(service).queue;
        queue.remove(&before);
        queue.insert(key);
    }
}

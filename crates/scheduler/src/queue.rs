//! The queue of one service: its steps with tasks to place, and their order.

use indigofold_protocol::job::{Resources, Step};
use indigofold_protocol::task::{JobId, TaskName};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::ops::Bound;

/// Identifies a step of one repetition of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct StepRef {
    /// ID of the job.
    pub job: JobId,
    /// Number of the repetition, from 0.
    pub repeat: u32,
    /// Number of the step within the job, from 0.
    pub step: u32,
}

impl StepRef {
    /// Returns the step that the task belongs to.
    pub(crate) fn of(task: &TaskName) -> Self {
        StepRef {
            job: task.job,
            repeat: task.repeat,
            step: task.step,
        }
    }

    /// Returns the name of the step's task with this index.
    pub(crate) fn task(self, index: u32) -> TaskName {
        TaskName {
            job: self.job,
            repeat: self.repeat,
            step: self.step,
            index,
        }
    }
}

/// Whether a step can still meet its job's latency target, and if not, whether it still has any value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Prospect {
    /// The latency target can be met.
    #[default]
    InTime,
    /// The latency target is missed, but the job still has part of its value.
    Late,
    /// The latency target is missed by so much that the job has no value left.
    Hopeless,
}

/// Position of a step in the queue: the fields in order of significance, the smallest key goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// Whether `prospect` is [`Prospect::Hopeless`]; such steps go last, whatever their priority.
    pub hopeless: bool,
    /// Priority of the job's route; 0 goes first.
    pub priority: u32,
    /// Class of the work that the job still needs relative to its value, see [`cost_class`](crate::value::cost_class).
    pub cost_class: i16,
    /// Whether the latency target can still be met.
    pub prospect: Prospect,
    /// Latest start that meets the job's latency target, in milliseconds of the monotonic clock.
    pub latest_start_ms: i64,
    /// The step itself.
    pub step_ref: StepRef,
}

/// What each task of a step needs of a worker, whatever the time. Steps of one need wait together while no worker has it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct StepNeed {
    /// Label that the worker must have; empty for any worker.
    pub label: String,
    /// Resources that each task takes.
    pub resources: Resources,
    /// Number of tasks that start together: all members of a gang, else 1.
    pub tasks_at_once: u32,
}

impl StepNeed {
    /// Returns the need of a step.
    pub(crate) fn of(step: &Step) -> Self {
        StepNeed {
            label: step.requirements.clone(),
            resources: step.resources(),
            tasks_at_once: if step.gang { step.count } else { 1 },
        }
    }
}

/// Steps with tasks to place, in the order in which they get capacity.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    steps: BTreeSet<QueueKey>,
    /// The same steps by what they need. A need without steps is removed.
    by_need: FxHashMap<StepNeed, BTreeSet<QueueKey>>,
    /// The need of each step.
    needs: FxHashMap<StepRef, StepNeed>,
}

impl Queue {
    /// Whether no step waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// The first step.
    pub(crate) fn first(&self) -> Option<&QueueKey> {
        self.steps.first()
    }

    /// Iterates over all steps in their order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &QueueKey> {
        self.steps.iter()
    }

    /// Adds a step with this need.
    pub(crate) fn insert(&mut self, key: QueueKey, need: StepNeed) {
        self.steps.insert(key);
        self.needs.insert(key.step_ref, need.clone());
        self.by_need.entry(need).or_default().insert(key);
    }

    /// Removes a step; returns its need, or `None` if it does not wait at this position.
    pub(crate) fn remove(&mut self, key: &QueueKey) -> Option<StepNeed> {
        if !self.steps.remove(key) {
            return None;
        }
        let need = self.needs.remove(&key.step_ref)?;
        if let Some(steps) = self.by_need.get_mut(&need) {
            steps.remove(key);
            if steps.is_empty() {
                self.by_need.remove(&need);
            }
        }
        Some(need)
    }

    /// Moves a step from the position `former_key` to `key`; no effect if it does not wait there.
    pub(crate) fn reposition(&mut self, former_key: &QueueKey, key: QueueKey) {
        if let Some(need) = self.remove(former_key) {
            self.insert(key, need);
        }
    }

    /// The first `max` steps, and of those behind them the first `max` whose need `can_meet` answers with true, all in
    /// their order. So steps that no worker can take at present do not hide the ones behind them. Each need of the queue
    /// is asked for once at most; the cost does not grow with the number of steps behind.
    pub(crate) fn first_steps(
        &self,
        max: usize,
        can_meet: impl Fn(&StepNeed) -> bool,
    ) -> Vec<QueueKey> {
        let mut first_steps: Vec<QueueKey> = self.steps.iter().take(max).copied().collect();
        let Some(last) = first_steps
            .last()
            .copied()
            .filter(|_| self.steps.len() > max)
        else {
            return first_steps;
        };
        let behind = (Bound::Excluded(last), Bound::Unbounded);
        let mut steps_behind: Vec<QueueKey> = Vec::new();
        for (need, steps) in &self.by_need {
            let has_steps_behind = steps.last().is_some_and(|key| *key > last);
            if has_steps_behind && can_meet(need) {
                steps_behind.extend(steps.range(behind).take(max).copied());
            }
        }
        steps_behind.sort_unstable();
        steps_behind.truncate(max);
        first_steps.extend(steps_behind);
        first_steps
    }
}

#[cfg(test)]
mod tests;

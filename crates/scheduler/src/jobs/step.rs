//! One step of a repetition: which of its tasks wait, run and are done.

use crate::jobs::run::{Placement, Run};
use crate::jobs::task::Task;
use crate::latency::{Cause, LatencyBreakdown};
use crate::queue::QueueKey;
use std::collections::BTreeSet;
use std::ops::Range;

/// One step of a repetition.
#[derive(Debug, Default)]
pub(crate) struct StepState {
    tasks: Vec<Task>,
    /// Number of tasks done.
    done: u32,
    /// Tasks that are to be placed.
    waiting: BTreeSet<u32>,
    /// Position in the queue while something waits.
    queued: Option<QueueKey>,
    /// Since when something waits.
    waiting_since_ms: u64,
    /// What it has waited for since then, as observed at each pass.
    waits: LatencyBreakdown,
    /// When it was looked at last.
    looked_at_ms: u64,
    /// Where the time went until the step was ready.
    latency_until_ready: LatencyBreakdown,
    /// Checkpoint of the gang as reported last.
    gang_checkpoint: String,
    gang_failures: GangFailures,
}

/// Attempts of a gang that have failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct GangFailures {
    /// How many.
    pub count: u32,
    /// The newest of them.
    pub newest_attempt: u32,
}

impl StepState {
    /// A step of `count` tasks of which nothing has begun.
    pub(crate) fn fresh(count: u32) -> Self {
        StepState {
            tasks: vec![Task::default(); count as usize],
            ..StepState::default()
        }
    }

    /// A step as its job's row has it.
    pub(crate) fn restored(tasks: Vec<Task>, gang_failures: GangFailures) -> Self {
        // A gang's members all have the same text, except in rows of earlier versions; then any of them serves.
        let newest = tasks.iter().map(Task::checkpoint).max();
        StepState {
            done: tasks.iter().filter(|task| task.is_done()).count() as u32,
            gang_checkpoint: newest.unwrap_or_default().to_owned(),
            gang_failures,
            tasks,
            ..StepState::default()
        }
    }

    /// Its tasks.
    pub(crate) fn tasks(&self) -> &[Task] {
        &self.tasks
    }

    /// One of its tasks.
    pub(crate) fn task(&self, index: u32) -> Option<&Task> {
        self.tasks.get(index as usize)
    }

    /// One of its tasks.
    pub(crate) fn task_mut(&mut self, index: u32) -> Option<&mut Task> {
        self.tasks.get_mut(index as usize)
    }

    /// Number of tasks that are not done.
    pub(crate) fn open_tasks(&self) -> usize {
        self.tasks.len() - self.done as usize
    }

    /// Tasks that are to be placed.
    pub(crate) fn waiting(&self) -> &BTreeSet<u32> {
        &self.waiting
    }

    /// Position in the queue while something waits.
    pub(crate) fn queued(&self) -> Option<QueueKey> {
        self.queued
    }

    /// Since when something waits.
    pub(crate) fn waiting_since_ms(&self) -> u64 {
        self.waiting_since_ms
    }

    /// Where the time went until the step was ready.
    pub(crate) fn latency_until_ready(&self) -> LatencyBreakdown {
        self.latency_until_ready
    }

    /// Checkpoint of the gang as reported last; empty for none.
    pub(crate) fn gang_checkpoint(&self) -> &str {
        &self.gang_checkpoint
    }

    /// Attempts of the gang that have failed.
    pub(crate) fn gang_failures(&self) -> GangFailures {
        self.gang_failures
    }

    /// Highest number of a run of any of its tasks.
    pub(crate) fn last_attempt(&self) -> u32 {
        self.tasks.iter().map(Task::last_attempt).max().unwrap_or(0)
    }

    /// A task is to be placed (again).
    pub(crate) fn wait(&mut self, index: u32, now_ms: u64) {
        let newly = self.waiting.insert(index);
        if let Some(task) = self.tasks.get_mut(index as usize).filter(|_| newly) {
            task.begin_wait(now_ms);
        }
    }

    /// Its idle tasks are to be placed, as the step is ready; `latency`: where the time went until now.
    pub(crate) fn make_ready(&mut self, latency: LatencyBreakdown, now_ms: u64) {
        let idle = self.idle_tasks();
        if self.queued.is_none() && !idle.is_empty() {
            self.latency_until_ready = latency;
        }
        idle.into_iter().for_each(|index| self.wait(index, now_ms));
    }

    /// All its tasks are to be placed.
    pub(crate) fn wait_all(&mut self, now_ms: u64) {
        (0..self.tasks.len() as u32).for_each(|index| self.wait(index, now_ms));
    }

    /// Whether tasks wait that are not in the queue yet.
    pub(crate) fn needs_queueing(&self) -> bool {
        !self.waiting.is_empty() && self.queued.is_none()
    }

    /// It begins to wait; [`enter_queue`](Self::enter_queue) follows.
    pub(crate) fn begin_wait(&mut self, now_ms: u64) {
        self.waiting_since_ms = now_ms;
        self.waits = LatencyBreakdown::default();
    }

    /// It is in the queue at this position; returns the former one.
    pub(crate) fn enter_queue(&mut self, key: QueueKey) -> Option<QueueKey> {
        self.queued.replace(key)
    }

    /// It leaves the queue; returns its position there.
    pub(crate) fn leave_queue(&mut self) -> Option<QueueKey> {
        self.queued.take()
    }

    /// All its tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// No task has a run that has not ended.
    pub(crate) fn is_idle(&self) -> bool {
        self.tasks.iter().all(|task| task.run().is_none())
    }

    /// Tasks whose ends count together: all of a gang, or the task alone.
    pub(crate) fn members(&self, index: u32, gang: bool) -> Range<u32> {
        if gang {
            0..self.tasks.len() as u32
        } else {
            index..index + 1
        }
    }

    /// Tasks with a run that has not ended.
    pub(crate) fn running_tasks(&self) -> Vec<u32> {
        self.tasks_where(|task| task.run().is_some())
    }

    /// Tasks that are not done and have no run.
    fn idle_tasks(&self) -> Vec<u32> {
        self.tasks_where(|task| !task.is_done() && task.run().is_none())
    }

    fn tasks_where(&self, condition: impl Fn(&Task) -> bool) -> Vec<u32> {
        let tasks = self.tasks.iter().enumerate();
        tasks
            .filter(|(_, task)| condition(task))
            .map(|(index, _)| index as u32)
            .collect()
    }

    /// A run of a task is placed.
    pub(crate) fn record_placement(
        &mut self,
        index: u32,
        attempt: u32,
        placement: &Placement,
        now_ms: u64,
    ) {
        let waited = self.waiting.remove(&index);
        let waits = self.waits;
        let Some(task) = self.task_mut(index) else {
            return;
        };
        if waited {
            task.end_wait(&waits, now_ms);
        }
        let resumed = !task.checkpoint().is_empty();
        task.add_run(Run::placed(attempt, placement, resumed, now_ms));
    }

    /// All members of a gang resume from its newest checkpoint.
    pub(crate) fn align_checkpoints(&mut self) {
        let checkpoint = &self.gang_checkpoint;
        self.tasks.iter_mut().for_each(|task| {
            task.set_checkpoint(checkpoint);
        });
    }

    /// These tasks are done; returns for how many that is new.
    pub(crate) fn complete(&mut self, members: Range<u32>) -> u32 {
        let mut newly = 0;
        for index in members {
            let Some(member) = self.tasks.get_mut(index as usize) else {
                continue;
            };
            newly += u32::from(member.complete());
            self.waiting.remove(&index);
        }
        self.done += newly;
        newly
    }

    /// A run of a task has failed; returns how many attempts of the task, or of its gang, have failed.
    pub(crate) fn record_failure(&mut self, index: u32, run: &Run, gang: bool) -> u32 {
        if gang && run.attempt() > self.gang_failures.newest_attempt {
            self.gang_failures = GangFailures {
                count: self.gang_failures.count + 1,
                newest_attempt: run.attempt(),
            };
        }
        let task = self.task_mut(index);
        let failures = task.map_or(0, |task| task.record_failure(run.worker()));
        if gang {
            self.gang_failures.count
        } else {
            failures
        }
    }

    /// A run has a checkpoint; any member's serves for its gang, and the newest stays. Returns whether it is new.
    pub(crate) fn store_checkpoint(&mut self, index: u32, gang: bool, checkpoint: &str) -> bool {
        let task = self.task_mut(index);
        let new = task.is_some_and(|task| task.set_checkpoint(checkpoint));
        if new && gang {
            checkpoint.clone_into(&mut self.gang_checkpoint);
        }
        new
    }

    /// The step has waited for this since it was looked at last.
    pub(crate) fn waited_for(&mut self, cause: Cause, now_ms: u64) {
        let since_ms = self.looked_at_ms.max(self.waiting_since_ms);
        self.waits.add(cause, now_ms.saturating_sub(since_ms));
        self.looked_at_ms = now_ms;
    }
}

//! The state of one step within one repetition of a job: which of its tasks are waiting, running or done.

use crate::jobs::run::{Placement, Run};
use crate::jobs::task::Task;
use crate::latency::{Cause, LatencyBreakdown};
use crate::queue::QueueKey;
use std::collections::BTreeSet;
use std::ops::Range;

/// The state of one step within one repetition of a job. All times are on the monotonic clock.
#[derive(Debug, Default)]
pub(crate) struct StepState {
    tasks: Vec<Task>,
    /// Number of tasks that are done.
    done_tasks: u32,
    /// Tasks that wait for placement.
    waiting: BTreeSet<u32>,
    /// Position in the queue; `None` while the step is not queued.
    queue_key: Option<QueueKey>,
    /// When the step last entered the queue.
    waiting_since_ms: u64,
    /// Causes of the wait since `waiting_since_ms`, as recorded at each pass over the queue.
    wait_causes: LatencyBreakdown,
    /// When a pass over the queue last considered the step.
    last_considered_ms: u64,
    /// Latency breakdown from the due time of the job's repetition until the step was ready.
    latency_until_ready: LatencyBreakdown,
    /// Last reported checkpoint of any member of the gang; empty for none.
    gang_checkpoint: String,
    gang_failures: GangFailures,
}

/// The failed attempts of a gang.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct GangFailures {
    /// Number of failed attempts; failures of several members in one attempt count once.
    pub count: u32,
    /// Number of the newest failed attempt; 0 for none.
    pub newest_attempt: u32,
}

impl StepState {
    /// Creates a step of `count` tasks of which none has begun.
    pub(crate) fn fresh(count: u32) -> Self {
        StepState {
            tasks: vec![Task::default(); count as usize],
            ..StepState::default()
        }
    }

    /// Creates a step from the stored rows of its job.
    pub(crate) fn restored(tasks: Vec<Task>, gang_failures: GangFailures) -> Self {
        // All members of a gang have the same checkpoint, except in rows of earlier versions, where any of them is valid.
        let newest = tasks.iter().map(Task::checkpoint).max();
        StepState {
            done_tasks: tasks.iter().filter(|task| task.is_done()).count() as u32,
            gang_checkpoint: newest.unwrap_or_default().to_owned(),
            gang_failures,
            tasks,
            ..StepState::default()
        }
    }

    /// The states of all tasks, by index.
    pub(crate) fn tasks(&self) -> &[Task] {
        &self.tasks
    }

    /// The task with this index, counted from 0.
    pub(crate) fn task(&self, index: u32) -> Option<&Task> {
        self.tasks.get(index as usize)
    }

    /// The task with this index, counted from 0, for changes.
    pub(crate) fn task_mut(&mut self, index: u32) -> Option<&mut Task> {
        self.tasks.get_mut(index as usize)
    }

    /// Number of tasks that are not done.
    pub(crate) fn open_tasks(&self) -> usize {
        self.tasks.len() - self.done_tasks as usize
    }

    /// Indices of the tasks that wait for placement.
    pub(crate) fn waiting(&self) -> &BTreeSet<u32> {
        &self.waiting
    }

    /// Position in the queue; `None` while the step is not queued.
    pub(crate) fn queued(&self) -> Option<QueueKey> {
        self.queue_key
    }

    /// When the step last entered the queue; 0 before that.
    pub(crate) fn waiting_since_ms(&self) -> u64 {
        self.waiting_since_ms
    }

    /// Latency breakdown from the due time of the job's repetition until the step was ready.
    pub(crate) fn latency_until_ready(&self) -> LatencyBreakdown {
        self.latency_until_ready
    }

    /// Last reported checkpoint of any member of the gang; empty for none.
    pub(crate) fn gang_checkpoint(&self) -> &str {
        &self.gang_checkpoint
    }

    /// The failed attempts of the gang.
    pub(crate) fn gang_failures(&self) -> GangFailures {
        self.gang_failures
    }

    /// Highest attempt number of any of its tasks; 0 if none has been placed.
    pub(crate) fn last_attempt(&self) -> u32 {
        self.tasks.iter().map(Task::last_attempt).max().unwrap_or(0)
    }

    /// Makes a task wait for placement, if it does not wait already.
    pub(crate) fn mark_waiting(&mut self, index: u32, now_ms: u64) {
        let is_new = self.waiting.insert(index);
        if let Some(task) = self.tasks.get_mut(index as usize).filter(|_| is_new) {
            task.begin_wait(now_ms);
        }
    }

    /// Makes all idle tasks wait for placement, as the step is ready. `latency` is the latency breakdown from the due time
    /// of the repetition until now.
    pub(crate) fn make_ready(&mut self, latency: LatencyBreakdown, now_ms: u64) {
        let idle_tasks = self.idle_tasks();
        if self.queue_key.is_none() && !idle_tasks.is_empty() {
            self.latency_until_ready = latency;
        }
        idle_tasks
            .into_iter()
            .for_each(|index| self.mark_waiting(index, now_ms));
    }

    /// Makes all tasks wait for placement.
    pub(crate) fn mark_all_waiting(&mut self, now_ms: u64) {
        (0..self.tasks.len() as u32).for_each(|index| self.mark_waiting(index, now_ms));
    }

    /// Whether the step has waiting tasks but is not in the queue yet.
    pub(crate) fn needs_queueing(&self) -> bool {
        !self.waiting.is_empty() && self.queue_key.is_none()
    }

    /// Starts the wait in the queue. The caller calls [`enter_queue`](Self::enter_queue) next.
    pub(crate) fn begin_wait(&mut self, now_ms: u64) {
        self.waiting_since_ms = now_ms;
        self.wait_causes = LatencyBreakdown::default();
    }

    /// Sets the position in the queue; returns the former one.
    pub(crate) fn enter_queue(&mut self, key: QueueKey) -> Option<QueueKey> {
        self.queue_key.replace(key)
    }

    /// Clears the position in the queue and returns it; `None` if the step was not queued.
    pub(crate) fn leave_queue(&mut self) -> Option<QueueKey> {
        self.queue_key.take()
    }

    /// Whether all tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.done_tasks as usize == self.tasks.len()
    }

    /// Whether the state of any task shows that a run of it has begun.
    pub(crate) fn shows_begin(&self) -> bool {
        self.tasks.iter().any(Task::shows_begin)
    }

    /// Whether no task has an outstanding run.
    pub(crate) fn is_idle(&self) -> bool {
        self.tasks.iter().all(|task| task.run().is_none())
    }

    /// Indices of the tasks that complete together: all members of a gang, or the task alone.
    pub(crate) fn members(&self, index: u32, gang: bool) -> Range<u32> {
        if gang {
            0..self.tasks.len() as u32
        } else {
            index..index + 1
        }
    }

    /// Indices of the tasks that have an outstanding run.
    pub(crate) fn running_tasks(&self) -> Vec<u32> {
        self.tasks_where(|task| task.run().is_some())
    }

    /// Indices of the tasks that are not done and have no outstanding run, including those that wait.
    fn idle_tasks(&self) -> Vec<u32> {
        self.tasks_where(|task| !task.is_done() && task.run().is_none())
    }

    /// Indices of the tasks that fulfil a condition.
    fn tasks_where(&self, condition: impl Fn(&Task) -> bool) -> Vec<u32> {
        let tasks = self.tasks.iter().enumerate();
        tasks
            .filter(|(_, task)| condition(task))
            .map(|(index, _)| index as u32)
            .collect()
    }

    /// Records the placement of a run of a task, and ends the task's wait.
    pub(crate) fn record_placement(
        &mut self,
        index: u32,
        attempt: u32,
        placement: &Placement,
        now_ms: u64,
    ) {
        let was_waiting = self.waiting.remove(&index);
        let wait_causes = self.wait_causes;
        let Some(task) = self.task_mut(index) else {
            return;
        };
        if was_waiting {
            task.end_wait(&wait_causes, now_ms);
        }
        let resumed = !task.checkpoint().is_empty();
        task.add_run(Run::placed(attempt, placement, resumed, now_ms));
    }

    /// Gives all members of a gang its newest checkpoint, from which their next runs resume.
    pub(crate) fn align_checkpoints(&mut self) {
        let checkpoint = &self.gang_checkpoint;
        self.tasks.iter_mut().for_each(|task| {
            task.set_checkpoint(checkpoint);
        });
    }

    /// Marks these tasks as done; returns how many of them were not done before.
    pub(crate) fn complete(&mut self, members: Range<u32>) -> u32 {
        let mut newly_done = 0;
        for index in members {
            let Some(member) = self.tasks.get_mut(index as usize) else {
                continue;
            };
            newly_done += u32::from(member.complete());
            self.waiting.remove(&index);
        }
        self.done_tasks += newly_done;
        newly_done
    }

    /// Counts a failed run of a task; returns how many runs of the task, or attempts of its gang, have failed.
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

    /// Stores a checkpoint of a task's run; for a gang, the newest of any member is kept for all. Returns whether it differs
    /// from the task's former one.
    pub(crate) fn store_checkpoint(&mut self, index: u32, gang: bool, checkpoint: &str) -> bool {
        let task = self.task_mut(index);
        let is_new = task.is_some_and(|task| task.set_checkpoint(checkpoint));
        if is_new && gang {
            checkpoint.clone_into(&mut self.gang_checkpoint);
        }
        is_new
    }

    /// Attributes the time since the last pass over the queue to this cause.
    pub(crate) fn add_wait_cause(&mut self, cause: Cause, now_ms: u64) {
        let since_ms = self.last_considered_ms.max(self.waiting_since_ms);
        self.wait_causes.add(cause, now_ms.saturating_sub(since_ms));
        self.last_considered_ms = now_ms;
    }
}

//! Check for long-running tasks that stand still: from 6 s after its last run, no such task may go without one for 3 s while
//! there is capacity for it twice over, however much of the service is in use, and whether other tasks of its job run or not.

use super::Cluster;
use super::idle_jobs::IDLE_MAX_MS;
use indigofold_protocol::job::Step;
use indigofold_protocol::task::TaskName;
use std::collections::BTreeMap;

/// Time that a task may take after its last run, or after the acceptance of its job, until the check begins.
const RESTART_MS: u64 = 6_000;

/// What the check remembers of the long-running tasks.
#[derive(Debug, Default)]
pub(crate) struct LongRunningTasks {
    /// When each task was last seen to run; before that, when its job was accepted.
    last_run_ms: BTreeMap<TaskName, u64>,
    /// Since when each task has been idle although there was capacity for it.
    idle_since_ms: BTreeMap<TaskName, u64>,
}

impl LongRunningTasks {
    /// No task counts as idle any more.
    pub(super) fn reset_idle(&mut self) {
        self.idle_since_ms.clear();
    }
}

impl Cluster {
    /// Checks that no long-running task has been idle for [`IDLE_MAX_MS`].
    pub(super) fn check_long_running_tasks(&mut self) {
        let now_ms = self.now_ms;
        for (task, accepted_ms) in self.long_running_tasks() {
            if self.is_running(task) {
                self.long_running_tasks.last_run_ms.insert(task, now_ms);
            }
            let last_run_ms = *self
                .long_running_tasks
                .last_run_ms
                .entry(task)
                .or_insert(accepted_ms);
            let is_idle = now_ms >= last_run_ms + RESTART_MS && self.has_room_twice(task);
            if !is_idle {
                self.long_running_tasks.idle_since_ms.remove(&task);
                continue;
            }
            let since_ms = *self
                .long_running_tasks
                .idle_since_ms
                .entry(task)
                .or_insert(now_ms);
            assert!(
                now_ms - since_ms < IDLE_MAX_MS,
                "the long-running task {task} has been idle since {since_ms} ms although there is capacity for it"
            );
        }
    }

    /// The long-running tasks of open jobs, and when their jobs were accepted. They have no repetitions.
    fn long_running_tasks(&self) -> Vec<(TaskName, u64)> {
        let mut tasks = Vec::new();
        for (id, job) in &self.jobs {
            let is_open = !job.cancel_sent && job.ended_ms.is_none();
            let Some(accepted_ms) = job.accepted_ms.filter(|_| is_open) else {
                continue;
            };
            let steps = (0u32..).zip(&job.spec.stages);
            for (number, step) in steps.filter(|(_, step)| step.long_running) {
                let names = (0..step.count).map(|index| TaskName {
                    job: *id,
                    repeat: 0,
                    step: number,
                    index,
                });
                tasks.extend(names.map(|name| (name, accepted_ms)));
            }
        }
        tasks
    }

    fn is_running(&self, task: TaskName) -> bool {
        let mut runs = self.nodes.iter().flat_map(|node| node.running.keys());
        runs.any(|run| run.task == task)
    }

    /// Whether there is capacity for the task, or for its gang, twice over.
    fn has_room_twice(&self, task: TaskName) -> bool {
        let job = &self.jobs[&task.job];
        let number = task.step as usize;
        let step: &Step = &job.spec.stages[number];
        let tasks_at_once = if step.gang { u64::from(step.count) } else { 1 };
        self.fitting_tasks(task.job, job, task.repeat, number) >= 2 * tasks_at_once
    }
}

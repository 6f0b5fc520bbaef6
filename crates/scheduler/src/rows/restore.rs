//! Restoring of jobs from their rows.

use super::forms::{Progress, RepetitionRow, StepRow, TaskRow};
use super::key::{RowError, decode};
use crate::definition::Definition;
use crate::jobs::{GangFailures, Job, Repetition, RestoredTask, Run, StepState, Task};
use crate::queue::StepRef;
use crate::worker::WorkerId;
use crate::workers::Workers;
use indigofold_protocol::task::JobId;
use std::collections::BTreeMap;

/// Decodes the value of `job/ID`.
pub(crate) fn read_definition(key: &[u8], value: &[u8]) -> Result<Definition, RowError> {
    decode(key, value)
}

/// The decoded rows of a job.
pub(crate) struct JobRows {
    definition: Definition,
    progress: Progress,
}

impl JobRows {
    /// Combines both rows of a job. A closed job has no definition row; the caller passes an empty definition.
    pub(crate) fn new(definition: Definition, progress: Progress) -> Self {
        JobRows {
            definition,
            progress,
        }
    }

    /// Restores the job to the state in which its rows were written. Instances that are missing in `workers` are registered
    /// there. `due_ms` returns the reading of the monotonic clock at which a repetition of the job was due.
    pub(crate) fn restore(
        self,
        workers: &mut Workers,
        now_ms: u64,
        due_ms: impl Fn(&Job, u32) -> i64,
    ) -> Job {
        let Progress {
            end,
            next_repeat,
            instances,
            repeats,
            additions,
        } = self.progress;
        let mut job = Job::restored(self.definition, end, next_repeat);
        let instances = instances.iter();
        let workers_of_runs: Vec<WorkerId> = instances
            .map(|name| workers.get_or_register(name, now_ms))
            .collect();
        let restore_repeat = |RepetitionRow { number, steps }| {
            let counts = job.steps().iter().map(|step| step.count);
            let mut rows = steps.into_iter();
            let steps = counts.map(|count| {
                let row = rows.next().unwrap_or(StepRow::Fresh);
                row.restore(count, &workers_of_runs, now_ms)
            });
            let repeat = Repetition::new(due_ms(&job, number), steps.collect());
            (number, repeat)
        };
        let repeats: BTreeMap<u32, Repetition> = repeats.into_iter().map(restore_repeat).collect();
        job.restore_repeats(repeats, additions.has_begun);
        for row in additions.speculative_runs {
            let worker = workers.get_or_register(&row.instance, now_ms);
            let step_ref = StepRef {
                job: JobId(0),
                repeat: row.repeat,
                step: row.step,
            };
            let run = Run::restored(worker, row.attempt, now_ms);
            job.restore_speculative_run(&step_ref.task(row.index), run);
        }
        job
    }
}

impl StepRow {
    /// Restores a step of `count` tasks; `workers` are the instances that its runs refer to by index.
    fn restore(self, count: u32, workers: &[WorkerId], now_ms: u64) -> StepState {
        let count = count as usize;
        let (rows, gang_failures) = match self {
            StepRow::Fresh => (Vec::new(), GangFailures::default()),
            StepRow::Done => {
                let tasks = vec![Task::restored_done(); count];
                return StepState::restored(tasks, GangFailures::default());
            }
            StepRow::Open {
                gang_failures: count,
                gang_failed_attempt: newest_attempt,
                tasks,
            } => {
                let failures = GangFailures {
                    count,
                    newest_attempt,
                };
                (tasks, failures)
            }
        };
        let tasks = rows.into_iter().map(|row| row.restore(workers, now_ms));
        let mut tasks: Vec<Task> = tasks.take(count).collect();
        tasks.resize_with(count, Task::default);
        StepState::restored(tasks, gang_failures)
    }
}

impl TaskRow {
    /// Restores a task; `workers` are the instances that its run refers to by index.
    fn restore(self, workers: &[WorkerId], now_ms: u64) -> Task {
        let run = self.run.and_then(|run| {
            let worker = *workers.get(run.instance as usize)?;
            Some(Run::restored(worker, run.attempt, now_ms))
        });
        Task::from(RestoredTask {
            last_attempt: self.last_attempt,
            failures: self.failures,
            done: self.done,
            checkpoint: self.checkpoint,
            run,
        })
    }
}

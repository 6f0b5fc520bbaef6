//! Writing of jobs' rows.

use super::forms::{
    Additions, Progress, RepetitionRow, RunRow, SpeculativeRunRow, StepRow, TaskRow,
};
use crate::definition::Definition;
use crate::jobs::{GangFailures, Job, StepState, Task};
use crate::worker::WorkerId;
use crate::workers::Workers;

/// Encodes the value of `job/ID`.
pub(crate) fn definition_bytes(definition: &Definition) -> Vec<u8> {
    postcard::to_allocvec(definition).unwrap_or_default()
}

/// Encodes the value of `progress/ID`.
pub(crate) fn progress_bytes(job: &Job, workers: &Workers) -> Vec<u8> {
    let mut instances = Vec::new();
    let mut repeats = Vec::new();
    for (number, repeat) in job.repeats() {
        let steps = repeat.steps().iter().zip(job.steps());
        let steps = steps
            .map(|(step, stage)| step_row(step, stage.gang, workers, &mut instances))
            .collect();
        repeats.push(RepetitionRow { number, steps });
    }
    let progress = Progress {
        end: job.end(),
        next_repeat: job.next_repeat(),
        instances,
        repeats,
        additions: Additions {
            speculative_runs: speculative_run_rows(job, workers),
            has_begun: needs_begun_flag(job),
        },
    };
    let row = postcard::to_allocvec(&progress).unwrap_or_default();
    progress.additions.append_to(row)
}

/// Whether an open job has begun and its repetitions do not show it.
fn needs_begun_flag(job: &Job) -> bool {
    !job.has_ended() && job.has_begun() && !job.progress_shows_begin()
}

fn speculative_run_rows(job: &Job, workers: &Workers) -> Vec<SpeculativeRunRow> {
    let mut rows = Vec::new();
    for (repeat, state) in job.repeats() {
        for (step, state) in state.steps().iter().enumerate() {
            let speculative_runs = state
                .tasks()
                .iter()
                .enumerate()
                .filter_map(|(n, task)| Some((n, task.speculative_run()?)));
            rows.extend(speculative_runs.map(|(index, speculative_run)| {
                SpeculativeRunRow {
                    repeat,
                    step: step as u32,
                    index: index as u32,
                    instance: workers
                        .get(speculative_run.worker())
                        .map_or_else(String::new, |w| w.instance().to_owned()),
                    attempt: speculative_run.attempt(),
                }
            }));
        }
    }
    rows
}

/// Index of a worker's instance in `instances`, to which it is added if missing.
fn instance_index(worker: WorkerId, workers: &Workers, instances: &mut Vec<String>) -> u32 {
    let name = workers.get(worker).map_or("", |w| w.instance());
    let known_index = instances.iter().position(|instance| instance == name);
    known_index.unwrap_or_else(|| {
        instances.push(name.to_owned());
        instances.len() - 1
    }) as u32
}

/// Converts a step to its stored form. Instances that its runs refer to are added to `instances`.
fn step_row(
    step: &StepState,
    gang: bool,
    workers: &Workers,
    instances: &mut Vec<String>,
) -> StepRow {
    let is_idle = step.is_idle();
    if is_idle && step.is_done() {
        return StepRow::Done;
    }
    let never_placed = |task: &Task| task.last_attempt() == 0 && !task.is_done();
    if is_idle && step.tasks().iter().all(never_placed) {
        return StepRow::Fresh;
    }
    let checkpoint = |task: &Task| {
        if task.is_done() {
            ""
        } else if gang {
            step.gang_checkpoint()
        } else {
            task.checkpoint()
        }
        .to_owned()
    };
    let row = |task: &Task| TaskRow {
        last_attempt: task.last_attempt(),
        failures: task.failures(),
        done: task.is_done(),
        checkpoint: checkpoint(task),
        run: task.run().map(|run| RunRow {
            instance: instance_index(run.worker(), workers, instances),
            attempt: run.attempt(),
        }),
    };
    let GangFailures {
        count,
        newest_attempt,
    } = step.gang_failures();
    StepRow::Open {
        gang_failures: count,
        gang_failed_attempt: newest_attempt,
        tasks: step.tasks().iter().map(row).collect(),
    }
}

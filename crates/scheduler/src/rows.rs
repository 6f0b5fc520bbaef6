//! Rows of the control state: `job/ID`, written once, and `progress/ID` with all tasks of a job.

use crate::api::WriteId;
use crate::definition::{Definition, JobEnd};
use crate::job::Job;
use crate::queue::StepRef;
use crate::task::{Run, StepState, Task};
use crate::worker::WorkerId;
use crate::workers::Workers;
use indigofold_protocol::task::JobId;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::BTreeMap;

const JOB_PREFIX: &[u8] = b"job/";
const PROGRESS_PREFIX: &[u8] = b"progress/";

/// A row that cannot be read.
#[derive(Debug, PartialEq, Snafu)]
pub enum RowError {
    /// The key is not one of the scheduler's.
    #[snafu(display("row `{key}` of the control state is not one of the scheduler's"))]
    Key {
        /// The key, as text.
        key: String,
    },
    /// The value has another form.
    #[snafu(display("row `{key}` of the control state cannot be read: {source}"))]
    Value {
        /// The key, as text.
        key: String,
        /// Why.
        source: postcard::Error,
    },
}

/// Which row a key names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RowKey {
    /// `job/ID`.
    Job(JobId),
    /// `progress/ID`.
    Progress(JobId),
}

impl RowKey {
    /// The key as bytes.
    pub(crate) fn bytes(self) -> Vec<u8> {
        match self {
            RowKey::Job(id) => format!("job/{id}").into_bytes(),
            RowKey::Progress(id) => format!("progress/{id}").into_bytes(),
        }
    }

    /// Reads a key.
    pub(crate) fn parse(key: &[u8]) -> Option<RowKey> {
        let id = |digits: &[u8]| std::str::from_utf8(digits).ok()?.parse().ok();
        if let Some(digits) = key.strip_prefix(JOB_PREFIX) {
            return id(digits).map(RowKey::Job);
        }
        key.strip_prefix(PROGRESS_PREFIX)
            .and_then(id)
            .map(RowKey::Progress)
    }
}

/// How far a job has come.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Progress {
    end: Option<JobEnd>,
    next_repeat: u32,
    /// Worker instances that `runs` point to.
    instances: Vec<String>,
    repeats: Vec<RepetitionRow>,
    /// Speculative runs; they follow the rest of the row, and only if there are any.
    #[serde(skip)]
    speculative_runs: Vec<SpeculativeRunRow>,
}

/// A repetition that is due and has not ended.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct RepetitionRow {
    number: u32,
    steps: Vec<StepRow>,
}

/// A speculative run of a task.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct SpeculativeRunRow {
    repeat: u32,
    step: u32,
    index: u32,
    instance: String,
    attempt: u32,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum StepRow {
    /// Nothing has been started.
    Fresh,
    /// All tasks are done and no run is outstanding.
    Done,
    /// Anything else.
    Open {
        gang_failures: u32,
        gang_failed_attempt: u32,
        tasks: Vec<TaskRow>,
    },
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct TaskRow {
    last_attempt: u32,
    failures: u32,
    done: bool,
    checkpoint: String,
    /// Its outstanding run.
    run: Option<RunRow>,
}

/// An outstanding run of a task.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct RunRow {
    /// Index into `instances`.
    instance: u32,
    attempt: u32,
}

/// The value of `job/ID`.
pub(crate) fn definition_bytes(definition: &Definition) -> Vec<u8> {
    postcard::to_allocvec(definition).unwrap_or_default()
}

/// The value of `progress/ID`.
pub(crate) fn progress_bytes(job: &Job, workers: &Workers) -> Vec<u8> {
    let mut instances = Vec::new();
    let mut repeats = Vec::new();
    for (&number, repeat) in &job.repeats {
        let stages = job.definition.spec.stages.iter();
        let steps = repeat.steps.iter().zip(stages);
        let steps = steps
            .map(|(step, stage)| step_row(step, stage.gang, workers, &mut instances))
            .collect();
        repeats.push(RepetitionRow { number, steps });
    }
    let (end, next_repeat, speculative_runs) =
        (job.end, job.next_repeat, speculative_run_rows(job, workers));
    let progress = Progress {
        end,
        next_repeat,
        instances,
        repeats,
        speculative_runs,
    };
    let row = postcard::to_allocvec(&progress).unwrap_or_default();
    if progress.speculative_runs.is_empty() {
        return row;
    }
    postcard::to_extend(&progress.speculative_runs, row).unwrap_or_default()
}

fn speculative_run_rows(job: &Job, workers: &Workers) -> Vec<SpeculativeRunRow> {
    let mut rows = Vec::new();
    for (&repeat, state) in &job.repeats {
        for (step, state) in state.steps.iter().enumerate() {
            let speculative_runs = state
                .tasks
                .iter()
                .enumerate()
                .filter_map(|(n, task)| Some((n, task.speculative_run.as_ref()?)));
            rows.extend(speculative_runs.map(|(index, speculative_run)| {
                SpeculativeRunRow {
                    repeat,
                    step: step as u32,
                    index: index as u32,
                    instance: workers
                        .get(speculative_run.worker)
                        .map_or_else(String::new, |w| w.instance.clone()),
                    attempt: speculative_run.attempt,
                }
            }));
        }
    }
    rows
}

/// Index of a worker's instance in `instances`, entered if it is new.
fn instance_index(worker: WorkerId, workers: &Workers, instances: &mut Vec<String>) -> u32 {
    let name = workers.get(worker).map_or("", |w| &w.instance);
    let known = instances.iter().position(|instance| instance == name);
    known.unwrap_or_else(|| {
        instances.push(name.to_owned());
        instances.len() - 1
    }) as u32
}

/// The row of a step; `instances` are those that its runs point to.
fn step_row(
    step: &StepState,
    gang: bool,
    workers: &Workers,
    instances: &mut Vec<String>,
) -> StepRow {
    let idle = step.tasks.iter().all(|task| task.run.is_none());
    if idle && step.is_done() {
        return StepRow::Done;
    }
    if idle
        && step
            .tasks
            .iter()
            .all(|task| task.last_attempt == 0 && !task.done)
    {
        return StepRow::Fresh;
    }
    let checkpoint = |task: &Task| {
        if task.done {
            String::new()
        } else if gang {
            step.gang_checkpoint.clone()
        } else {
            task.checkpoint.clone()
        }
    };
    let row = |task: &Task| TaskRow {
        last_attempt: task.last_attempt,
        failures: task.failures,
        done: task.done,
        checkpoint: checkpoint(task),
        run: task.run.as_ref().map(|run| RunRow {
            instance: instance_index(run.worker, workers, instances),
            attempt: run.attempt,
        }),
    };
    StepRow::Open {
        gang_failures: step.gang_failures,
        gang_failed_attempt: step.gang_failed_attempt,
        tasks: step.tasks.iter().map(row).collect(),
    }
}

/// Reads the value of `job/ID`.
pub(crate) fn read_definition(key: &[u8], value: &[u8]) -> Result<Definition, RowError> {
    read(key, value)
}

/// Reads the value of `progress/ID`.
pub(crate) fn read_progress(key: &[u8], value: &[u8]) -> Result<Progress, RowError> {
    let (mut progress, rest): (Progress, &[u8]) =
        postcard::take_from_bytes(value).map_err(|source| unreadable(key, source))?;
    if !rest.is_empty() {
        progress.speculative_runs = read(key, rest)?;
    }
    Ok(progress)
}

fn read<T: for<'a> Deserialize<'a>>(key: &[u8], value: &[u8]) -> Result<T, RowError> {
    postcard::from_bytes(value).map_err(|source| unreadable(key, source))
}

fn unreadable(key: &[u8], source: postcard::Error) -> RowError {
    RowError::Value {
        key: String::from_utf8_lossy(key).into_owned(),
        source,
    }
}

impl Progress {
    /// The job as it was when its rows were written. Instances that `workers` does not know are entered there.
    /// `due_ms` gives the steady clock's reading at which a repetition was due.
    pub(crate) fn restore(
        self,
        definition: Definition,
        workers: &mut Workers,
        now_ms: u64,
        due_ms: impl Fn(&Job, u32) -> i64,
    ) -> Job {
        let mut job = Job::new(definition);
        job.end = self.end;
        job.next_repeat = self.next_repeat;
        job.started = self.next_repeat as usize > self.repeats.len();
        job.last_write = WriteId(0);
        let worker_ids: Vec<WorkerId> = self
            .instances
            .iter()
            .map(|name| workers.get_or_register(name, now_ms))
            .collect();
        let mut repeats = BTreeMap::new();
        for RepetitionRow { number, steps } in self.repeats {
            let mut repeat = job.fresh_repeat(due_ms(&job, number));
            for (state, row) in repeat.steps.iter_mut().zip(steps) {
                job.outstanding += restore_step(state, row, &worker_ids, now_ms);
                job.started |= state.tasks.iter().any(|task| task.last_attempt > 0);
            }
            repeats.insert(number, repeat);
        }
        job.repeats = repeats;
        for speculative_run in self.speculative_runs {
            let worker = workers.get_or_register(&speculative_run.instance, now_ms);
            let at = StepRef {
                job: JobId(0),
                repeat: speculative_run.repeat,
                step: speculative_run.step,
            };
            if let Some(task) = job
                .task_mut(&at.task(speculative_run.index))
                .filter(|task| task.run.is_some())
            {
                task.speculative_run = Some(Run::restored(worker, speculative_run.attempt, now_ms));
                job.outstanding += 1;
            }
        }
        job
    }
}

/// Fills a step's state in; returns its number of outstanding runs.
fn restore_step(state: &mut StepState, row: StepRow, workers: &[WorkerId], now_ms: u64) -> u32 {
    match row {
        StepRow::Fresh => {}
        StepRow::Done => state.tasks.iter_mut().for_each(|task| {
            task.done = true;
            task.last_attempt = 1;
        }),
        StepRow::Open {
            gang_failures,
            gang_failed_attempt,
            tasks,
        } => {
            (state.gang_failures, state.gang_failed_attempt) = (gang_failures, gang_failed_attempt);
            for (task, row) in state.tasks.iter_mut().zip(tasks) {
                let run = row.run.and_then(|run| {
                    let worker = *workers.get(run.instance as usize)?;
                    Some(Run::restored(worker, run.attempt, now_ms))
                });
                *task = Task {
                    last_attempt: row.last_attempt,
                    failures: row.failures,
                    done: row.done,
                    run,
                    speculative_run: None,
                    checkpoint: row.checkpoint,
                    ..Task::default()
                };
            }
        }
    }
    // A gang's members all have the same text, except in rows of earlier versions; then any of them serves.
    state.gang_checkpoint = state
        .tasks
        .iter()
        .map(|task| &task.checkpoint)
        .max()
        .cloned()
        .unwrap_or_default();
    state.done = state.tasks.iter().filter(|task| task.done).count() as u32;
    state.tasks.iter().filter(|task| task.run.is_some()).count() as u32
}

impl Run {
    /// A run that a predecessor has placed; its order may have been sent. It counts as resumed: when it began is not
    /// known, so its end says nothing about how long such tasks run.
    fn restored(worker: WorkerId, attempt: u32, now_ms: u64) -> Self {
        Run {
            attempt,
            worker,
            sent: true,
            sent_ms: now_ms,
            began_ms: None,
            stop: None,
            placed_ms: now_ms,
            resumed: true,
            bound: false,
            remote_factor: 1.0,
            percent: 0,
            percent_ms: now_ms,
            listed_ms: now_ms,
        }
    }
}

#[cfg(test)]
mod tests;

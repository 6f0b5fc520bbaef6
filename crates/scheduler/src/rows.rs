//! Stored rows of jobs in the control state: `job/ID` holds the definition and is written once; `progress/ID` holds the
//! progress of all tasks and is rewritten as it changes.

use crate::definition::{Definition, JobEnd};
use crate::jobs::{GangFailures, Job, Repetition, RestoredTask, Run, StepState, Task};
use crate::queue::StepRef;
use crate::worker::WorkerId;
use crate::workers::Workers;
use indigofold_protocol::task::JobId;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::BTreeMap;

const JOB_PREFIX: &[u8] = b"job/";
const PROGRESS_PREFIX: &[u8] = b"progress/";

/// Why a row of the control state cannot be restored.
#[derive(Debug, PartialEq, Snafu)]
pub enum RowError {
    /// The key is neither that of a job's row nor that of a worker instance's row.
    #[snafu(display(
        "row `{key}` of the control state does not belong to the scheduler: expected `job/ID`, `progress/ID` or `life/INSTANCE`"
    ))]
    Key {
        /// The key as text; bytes that are not UTF-8 are replaced.
        key: String,
    },
    /// The value cannot be decoded.
    #[snafu(display("value of row `{key}` of the control state cannot be decoded: {source}"))]
    Value {
        /// The key as text; bytes that are not UTF-8 are replaced.
        key: String,
        /// The error of the decoder.
        source: postcard::Error,
    },
}

/// The kind and job of a row, as named by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RowKey {
    /// Key `job/ID`: the definition of a job.
    Job(JobId),
    /// Key `progress/ID`: the progress of a job.
    Progress(JobId),
}

impl RowKey {
    /// The key as it is stored.
    pub(crate) fn bytes(self) -> Vec<u8> {
        match self {
            RowKey::Job(id) => format!("job/{id}").into_bytes(),
            RowKey::Progress(id) => format!("progress/{id}").into_bytes(),
        }
    }

    /// Parses a stored key; `None` if it is not the key of a job's row.
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

/// The value of the row `progress/ID`.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Progress {
    /// `None` while the job is open.
    end: Option<JobEnd>,
    /// Number of the first repetition that has not been opened.
    next_repeat: u32,
    /// IDs of the worker instances that the runs refer to by index.
    instances: Vec<String>,
    repeats: Vec<RepetitionRow>,
    /// What was added to the row in later versions.
    #[serde(skip)]
    additions: Additions,
}

/// What later versions have added to a progress row. It is encoded after the rest of the row, and only as far as there is
/// any, so that a row without it has the same form as in earlier versions; these ignore what they do not know.
#[derive(Debug, Default, PartialEq)]
struct Additions {
    /// Speculative runs; not encoded if there are none and the job has not begun.
    speculative_runs: Vec<SpeculativeRunRow>,
    /// Whether the job has begun, if the rest of the row does not show it. Encoded only if it is true.
    has_begun: bool,
}

/// The stored form of a repetition that is due and has not ended.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct RepetitionRow {
    number: u32,
    steps: Vec<StepRow>,
}

/// The stored form of a speculative run. `repeat`, `step` and `index` name its task.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct SpeculativeRunRow {
    repeat: u32,
    step: u32,
    index: u32,
    instance: String,
    attempt: u32,
}

/// The stored form of a step.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum StepRow {
    /// No task has had a run.
    Fresh,
    /// All tasks are done and no run is outstanding.
    Done,
    /// Any other state.
    Open {
        gang_failures: u32,
        gang_failed_attempt: u32,
        tasks: Vec<TaskRow>,
    },
}

/// The stored form of a task.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct TaskRow {
    last_attempt: u32,
    failures: u32,
    done: bool,
    checkpoint: String,
    /// The outstanding run, other than a speculative one.
    run: Option<RunRow>,
}

/// The stored form of an outstanding run.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct RunRow {
    /// Index into [`Progress::instances`].
    instance: u32,
    attempt: u32,
}

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

impl Additions {
    /// Appends the encoded additions to the rest of the row.
    fn append_to(&self, row: Vec<u8>) -> Vec<u8> {
        if self.speculative_runs.is_empty() && !self.has_begun {
            return row;
        }
        let row = postcard::to_extend(&self.speculative_runs, row).unwrap_or_default();
        if !self.has_begun {
            return row;
        }
        postcard::to_extend(&self.has_begun, row).unwrap_or_default()
    }

    /// Decodes what follows the rest of the row with this key.
    fn read(key: &[u8], bytes: &[u8]) -> Result<Additions, RowError> {
        if bytes.is_empty() {
            return Ok(Additions::default());
        }
        let (speculative_runs, bytes) =
            postcard::take_from_bytes(bytes).map_err(|source| decode_error(key, source))?;
        let has_begun = if bytes.is_empty() {
            false
        } else {
            decode(key, bytes)?
        };
        Ok(Additions {
            speculative_runs,
            has_begun,
        })
    }
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

/// Decodes the value of `job/ID`.
pub(crate) fn read_definition(key: &[u8], value: &[u8]) -> Result<Definition, RowError> {
    decode(key, value)
}

/// Decodes the value of `progress/ID`.
pub(crate) fn read_progress(key: &[u8], value: &[u8]) -> Result<Progress, RowError> {
    let (mut progress, remaining_bytes): (Progress, &[u8]) =
        postcard::take_from_bytes(value).map_err(|source| decode_error(key, source))?;
    progress.additions = Additions::read(key, remaining_bytes)?;
    Ok(progress)
}

fn decode<T: for<'a> Deserialize<'a>>(key: &[u8], value: &[u8]) -> Result<T, RowError> {
    postcard::from_bytes(value).map_err(|source| decode_error(key, source))
}

fn decode_error(key: &[u8], source: postcard::Error) -> RowError {
    RowError::Value {
        key: String::from_utf8_lossy(key).into_owned(),
        source,
    }
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

#[cfg(test)]
mod tests;

//! Decodes the scheduler's rows (`job/ID`, `progress/ID`, encoded with postcard), as far as inspection needs them. The
//! scheduler's own types are private to it, so these types repeat the stored format; a test decodes rows of a real scheduler
//! with them.

use indigofold_protocol::inspection::TaskCounts;
use indigofold_protocol::job::{JobSpec, JobState, Step};
use indigofold_protocol::task::JobId;
use serde::Deserialize;

/// Key of a row of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowName {
    /// `job/ID`: the definition of a job.
    Job(JobId),
    /// `progress/ID`: the progress of a job.
    Progress(JobId),
}

impl RowName {
    /// Parses a key; `None` if the row is not one of the scheduler's.
    pub fn parse(key: &[u8]) -> Option<RowName> {
        let (kind, id) = str::from_utf8(key).ok()?.split_once('/')?;
        let id = id.parse().ok()?;
        match kind {
            "job" => Some(RowName::Job(id)),
            "progress" => Some(RowName::Progress(id)),
            _ => None,
        }
    }
}

/// A job as it was accepted; value of `job/ID`.
#[derive(Clone, Debug, Deserialize)]
pub struct Definition {
    /// The job as the client submitted it.
    pub spec: JobSpec,
    /// Name of the job's route.
    pub route: String,
    /// Service to which the route led when the job was accepted.
    pub service: String,
    /// Terms of the route when the job was accepted.
    pub terms: Terms,
    /// When the job was accepted, as Unix time in milliseconds.
    pub accepted_wall_ms: u64,
}

/// The terms that a route gives its jobs.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Terms {
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failures of one task at which the whole job fails.
    pub max_retries: u32,
    /// Factor in the latency target: multiplies the longest chain of dependent work.
    pub stretch: f64,
    /// Constant part of the latency target, in milliseconds.
    pub target_latency_ms: u64,
}

/// Progress of a job; value of `progress/ID`.
#[derive(Clone, Debug, Deserialize)]
pub struct Progress {
    /// How and when the job ended; `None` while it is open.
    pub end: Option<End>,
    /// Number of the first repetition that is not due yet.
    pub next_repeat: u32,
    /// IDs of the instances that runs refer to.
    pub instances: Vec<String>,
    /// Repetitions that are due and have not ended.
    pub repeats: Vec<RepeatRow>,
    /// Outstanding speculative runs. They are appended to the rest of the row, and only if it has additions.
    #[serde(skip)]
    pub speculative_runs: Vec<SpeculativeRunRow>,
    /// Whether the job has begun, if the rest of the row does not show it. Appended only if it is true.
    #[serde(skip)]
    pub has_begun_flag: bool,
}

/// A repetition of a job.
#[derive(Clone, Debug, Deserialize)]
pub struct RepeatRow {
    /// Number of the repetition, from 0.
    pub repeat: u32,
    /// Steps of the repetition, in the order of the job's definition.
    pub steps: Vec<StepRow>,
}

/// A speculative run of a task.
#[derive(Clone, Debug, Deserialize)]
pub struct SpeculativeRunRow {
    /// Number of the repetition, from 0.
    pub repeat: u32,
    /// Number of the step within the job, from 0.
    pub step: u32,
    /// Number of the task within the step, from 0.
    pub index: u32,
    /// ID of the instance that runs it.
    pub instance: String,
    /// Attempt number of the run.
    pub attempt: u32,
}

/// The end of a job.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct End {
    /// `Completed`, `Failed` or `Cancelled`.
    pub state: JobState,
    /// When the job ended, as Unix time in milliseconds.
    pub wall_ms: u64,
}

/// A step of a repetition.
#[derive(Clone, Debug, Deserialize)]
pub enum StepRow {
    /// No task has had a run.
    Fresh,
    /// All tasks are done and no run is outstanding.
    Done,
    /// Any other state.
    Open {
        /// For a gang, the number of failed attempts.
        gang_failures: u32,
        /// For a gang, the number of the newest failed attempt.
        gang_failed_attempt: u32,
        /// State of each task.
        tasks: Vec<TaskRow>,
    },
}

/// State of a task.
#[derive(Clone, Debug, Deserialize)]
pub struct TaskRow {
    /// Attempt number of the newest run.
    pub last_attempt: u32,
    /// Number of runs that ended `failed`.
    pub failures: u32,
    /// Whether the task is done.
    pub done: bool,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// The outstanding run, without speculative ones; `None` if there is none.
    pub run: Option<RunRow>,
}

/// An outstanding run of a task.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct RunRow {
    /// Index into [`Progress::instances`].
    pub instance: u32,
    /// Attempt number of the run.
    pub attempt: u32,
}

/// Decodes the value of `job/ID`; `None` if it is not in the expected format.
pub fn read_definition(value: &[u8]) -> Option<Definition> {
    postcard::from_bytes(value).ok()
}

/// Decodes the value of `progress/ID`; `None` if it is not in the expected format.
pub fn read_progress(value: &[u8]) -> Option<Progress> {
    let (mut progress, rest): (Progress, &[u8]) = postcard::take_from_bytes(value).ok()?;
    if rest.is_empty() {
        return Some(progress);
    }
    let (speculative_runs, rest) = postcard::take_from_bytes(rest).ok()?;
    progress.speculative_runs = speculative_runs;
    if !rest.is_empty() {
        progress.has_begun_flag = postcard::from_bytes(rest).ok()?;
    }
    Some(progress)
}

impl StepRow {
    /// Returns the state of each task; empty if the row stores one state for all of them.
    pub fn tasks(&self) -> &[TaskRow] {
        match self {
            StepRow::Open { tasks, .. } => tasks,
            StepRow::Fresh | StepRow::Done => &[],
        }
    }

    /// Returns the outstanding runs of the step's tasks, without speculative ones.
    pub fn runs(&self) -> impl Iterator<Item = RunRow> {
        self.tasks().iter().filter_map(|task| task.run)
    }

    /// Whether all tasks of the step are done.
    pub fn is_done(&self) -> bool {
        match self {
            StepRow::Fresh => false,
            StepRow::Done => true,
            StepRow::Open { tasks, .. } => tasks.iter().all(|task| task.done),
        }
    }

    /// Whether the row shows that a run of a task of the step has begun.
    pub fn shows_begin(&self) -> bool {
        match self {
            StepRow::Fresh => false,
            StepRow::Done => true,
            StepRow::Open { tasks, .. } => tasks.iter().any(TaskRow::shows_begin),
        }
    }

    /// Counts the step's tasks by state. Tasks that are neither placed nor done are waiting if `is_open`, that is if the
    /// step has no unfinished dependencies, and blocked otherwise.
    pub fn counts(&self, step: &Step, is_open: bool) -> TaskCounts {
        let all = u64::from(step.count);
        let (running, done) = match self {
            StepRow::Fresh => (0, 0),
            StepRow::Done => (0, all),
            StepRow::Open { tasks, .. } => {
                let running = tasks
                    .iter()
                    .filter(|task| !task.done && task.run.is_some())
                    .count() as u64;
                (
                    running,
                    tasks.iter().filter(|task| task.done).count() as u64,
                )
            }
        };
        let rest = all.saturating_sub(running + done);
        let (waiting, blocked) = if is_open { (rest, 0) } else { (0, rest) };
        TaskCounts {
            waiting,
            blocked,
            running,
            done,
        }
    }
}

impl TaskRow {
    /// Whether the row shows that a run of the task has begun: one has ended `done` or `failed`, or has made a checkpoint.
    pub fn shows_begin(&self) -> bool {
        self.done || self.failures > 0 || !self.checkpoint.is_empty()
    }
}

impl Progress {
    /// Whether a worker has begun a task of the job. The row may be 2 s behind what the head knows.
    pub fn has_begun(&self) -> bool {
        let some_finished = self.next_repeat as usize > self.repeats.len();
        let mut steps = self.repeats.iter().flat_map(|repeat| &repeat.steps);
        self.has_begun_flag || some_finished || steps.any(StepRow::shows_begin)
    }

    /// Returns the job's state as clients see it, or saw it up to 2 s ago.
    pub fn state(&self) -> JobState {
        let unended = if self.has_begun() {
            JobState::Running
        } else {
            JobState::Queued
        };
        self.end.map_or(unended, |end| end.state)
    }
}

/// Returns the numbers of the steps that `step` depends on and that are not done.
pub fn unfinished_dependencies(step: &Step, steps: &[StepRow]) -> Vec<u32> {
    let unfinished = |on: &u32| steps.get(*on as usize).is_none_or(|row| !row.is_done());
    step.depends_on.iter().copied().filter(unfinished).collect()
}

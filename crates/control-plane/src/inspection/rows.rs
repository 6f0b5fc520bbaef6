//! The scheduler's rows (`job/ID`, `progress/ID`) in postcard, as far as a reader of the table needs them. The scheduler's
//! own types are private to it; a test reads rows of a real scheduler by these.

use indigofold_protocol::inspection::TaskCounts;
use indigofold_protocol::job::{JobSpec, JobState, Step};
use indigofold_protocol::task::JobId;
use serde::Deserialize;

/// Which of the scheduler's rows a key names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowName {
    /// `job/ID`.
    Job(JobId),
    /// `progress/ID`.
    Progress(JobId),
}

impl RowName {
    /// Reads a key; `None` for rows that are not the scheduler's.
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

/// A job as it was accepted.
#[derive(Clone, Debug, Deserialize)]
pub struct Definition {
    /// The job as the client submitted it.
    pub spec: JobSpec,
    /// Name of its route.
    pub route: String,
    /// Service to which the route led when the job was accepted.
    pub service: String,
    /// Terms of the route when the job was accepted.
    pub terms: Terms,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_wall_ms: u64,
}

/// The terms that a route gives its jobs.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Terms {
    /// 0 is the highest.
    pub priority: u32,
    /// Number of failures of one task that fails its job.
    pub max_retries: u32,
    /// Latency target: multiple of the longest chain of work.
    pub stretch: f64,
    /// Latency target: the part that does not depend on the work, in milliseconds.
    pub target_latency_ms: u64,
}

/// Progress of a job.
#[derive(Clone, Debug, Deserialize)]
pub struct Progress {
    /// Its end.
    pub end: Option<End>,
    /// The first repetition that is not due yet.
    pub next_repeat: u32,
    /// Ids of the instances that runs refer to.
    pub instances: Vec<String>,
    /// Repetitions that are due and not finished.
    pub repeats: Vec<RepeatRow>,
    /// Speculative runs; they follow the rest of the row if there are any.
    #[serde(skip)]
    pub speculative_runs: Vec<SpeculativeRunRow>,
}

/// A repetition of a job.
#[derive(Clone, Debug, Deserialize)]
pub struct RepeatRow {
    /// Its number, from 0.
    pub repeat: u32,
    /// Its steps, in the order of the job.
    pub steps: Vec<StepRow>,
}

/// A speculative run of a task.
#[derive(Clone, Debug, Deserialize)]
pub struct SpeculativeRunRow {
    /// Repetition.
    pub repeat: u32,
    /// Step.
    pub step: u32,
    /// Task within the step.
    pub index: u32,
    /// Id of the instance that runs it.
    pub instance: String,
    /// Attempt number of the run.
    pub attempt: u32,
}

/// The end of a job.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct End {
    /// `Completed`, `Failed` or `Cancelled`.
    pub state: JobState,
    /// When, in milliseconds since 1970.
    pub wall_ms: u64,
}

/// A step of a repetition.
#[derive(Clone, Debug, Deserialize)]
pub enum StepRow {
    /// Nothing has been started.
    Fresh,
    /// All tasks are done and no run is outstanding.
    Done,
    /// Anything else.
    Open {
        /// Failed attempts of a gang.
        gang_failures: u32,
        /// Number of the newest failed attempt of a gang.
        gang_failed_attempt: u32,
        /// The tasks.
        tasks: Vec<TaskRow>,
    },
}

/// A task.
#[derive(Clone, Debug, Deserialize)]
pub struct TaskRow {
    /// Attempt number of the newest run.
    pub last_attempt: u32,
    /// Runs that ended `failed`.
    pub failures: u32,
    /// It is done.
    pub done: bool,
    /// Checkpoint to resume from.
    pub checkpoint: String,
    /// Outstanding run.
    pub run: Option<RunRow>,
}

/// An outstanding run.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct RunRow {
    /// Index into [`Progress::instances`].
    pub instance: u32,
    /// Attempt number.
    pub attempt: u32,
}

/// Reads the value of `job/ID`; `None` if it has another form.
pub fn read_definition(value: &[u8]) -> Option<Definition> {
    postcard::from_bytes(value).ok()
}

/// Reads the value of `progress/ID`; `None` if it has another form.
pub fn read_progress(value: &[u8]) -> Option<Progress> {
    let (mut progress, rest): (Progress, &[u8]) = postcard::take_from_bytes(value).ok()?;
    if !rest.is_empty() {
        progress.speculative_runs = postcard::from_bytes(rest).ok()?;
    }
    Some(progress)
}

impl StepRow {
    /// Its tasks; none if all have the same state.
    pub fn tasks(&self) -> &[TaskRow] {
        match self {
            StepRow::Open { tasks, .. } => tasks,
            StepRow::Fresh | StepRow::Done => &[],
        }
    }

    /// The outstanding runs of its tasks, without speculative ones.
    pub fn runs(&self) -> impl Iterator<Item = RunRow> {
        self.tasks().iter().filter_map(|task| task.run)
    }

    /// Whether all its tasks are done.
    pub fn is_done(&self) -> bool {
        match self {
            StepRow::Fresh => false,
            StepRow::Done => true,
            StepRow::Open { tasks, .. } => tasks.iter().all(|task| task.done),
        }
    }

    /// Whether any of its tasks has been started.
    pub fn has_started(&self) -> bool {
        match self {
            StepRow::Fresh => false,
            StepRow::Done => true,
            StepRow::Open { tasks, .. } => tasks.iter().any(|task| task.last_attempt > 0),
        }
    }

    /// Its tasks by state; those without a run are waiting if the step `is_open`, and blocked otherwise.
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

impl Progress {
    /// Whether any task of the job has been started.
    pub fn has_started(&self) -> bool {
        let some_finished = self.next_repeat as usize > self.repeats.len();
        some_finished
            || self
                .repeats
                .iter()
                .any(|repeat| repeat.steps.iter().any(StepRow::has_started))
    }

    /// The job's state as clients see it.
    pub fn state(&self) -> JobState {
        let unended = if self.has_started() {
            JobState::Running
        } else {
            JobState::Queued
        };
        self.end.map_or(unended, |end| end.state)
    }
}

/// The steps that `step` depends on and that are not done.
pub fn unfinished_dependencies(step: &Step, steps: &[StepRow]) -> Vec<u32> {
    let unfinished = |on: &u32| steps.get(*on as usize).is_none_or(|row| !row.is_done());
    step.depends_on.iter().copied().filter(unfinished).collect()
}

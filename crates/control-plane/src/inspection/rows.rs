//! The scheduler's rows (`job/ID`, `progress/ID`) as a reader of the table sees them. The scheduler keeps its own types
//! to itself; a test holds these against the rows that it writes.

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

/// A job as it was taken.
#[derive(Clone, Debug, Deserialize)]
pub struct Definition {
    /// What the client handed in.
    pub spec: JobSpec,
    /// Name of its route.
    pub route: String,
    /// Service to which the route led then.
    pub service: String,
    /// Terms of the route then.
    pub terms: Terms,
    /// When it was taken, in milliseconds since 1970.
    pub accepted_wall_ms: u64,
}

/// What a queue grants its jobs.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Terms {
    /// 0 goes first.
    pub priority: u32,
    /// A task that has failed so often fails its job.
    pub max_retries: u32,
    /// Part of the objective: multiple of the longest chain of work.
    pub stretch: f64,
    /// Part of the objective that does not depend on the work.
    pub target_latency_ms: u64,
}

/// How far a job has come.
#[derive(Clone, Debug, Deserialize)]
pub struct Progress {
    /// How it ended.
    pub end: Option<End>,
    /// The first repetition that is not due yet.
    pub next_repeat: u32,
    /// Workers' lives that runs point to.
    pub instances: Vec<String>,
    /// Repetitions that are due and not over, with their steps.
    pub repeats: Vec<(u32, Vec<StepRow>)>,
    /// Second runs; they follow the rest of the row, and only if there are any.
    #[serde(skip)]
    pub copies: Vec<CopyRow>,
}

/// A second run of a task.
#[derive(Clone, Debug, Deserialize)]
pub struct CopyRow {
    /// Repetition.
    pub repeat: u32,
    /// Step.
    pub step: u32,
    /// Task within the step.
    pub index: u32,
    /// The worker's life.
    pub instance: String,
    /// The run's number.
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
        /// Attempts of a gang that have failed.
        gang_failures: u32,
        /// The newest of these.
        gang_failed_attempt: u32,
        /// The tasks.
        tasks: Vec<TaskRow>,
    },
}

/// A task.
#[derive(Clone, Debug, Deserialize)]
pub struct TaskRow {
    /// Highest number of a run so far.
    pub last_attempt: u32,
    /// Runs that ended `failed`.
    pub failures: u32,
    /// It is done.
    pub done: bool,
    /// Progress to resume from.
    pub checkpoint: String,
    /// Outstanding run: index into `instances`, attempt.
    pub run: Option<(u32, u32)>,
}

/// Reads the value of `job/ID`; `None` if it has another form.
pub fn read_definition(value: &[u8]) -> Option<Definition> {
    postcard::from_bytes(value).ok()
}

/// Reads the value of `progress/ID`; `None` if it has another form.
pub fn read_progress(value: &[u8]) -> Option<Progress> {
    let (mut progress, rest): (Progress, &[u8]) = postcard::take_from_bytes(value).ok()?;
    if !rest.is_empty() {
        progress.copies = postcard::from_bytes(rest).ok()?;
    }
    Some(progress)
}

impl StepRow {
    /// Its tasks, where they differ from each other.
    pub fn tasks(&self) -> &[TaskRow] {
        match self {
            StepRow::Open { tasks, .. } => tasks,
            StepRow::Fresh | StepRow::Done => &[],
        }
    }

    /// All its tasks are done.
    pub fn is_done(&self) -> bool {
        match self {
            StepRow::Fresh => false,
            StepRow::Done => true,
            StepRow::Open { tasks, .. } => tasks.iter().all(|task| task.done),
        }
    }

    /// Something of it has been started.
    pub fn has_started(&self) -> bool {
        match self {
            StepRow::Fresh => false,
            StepRow::Done => true,
            StepRow::Open { tasks, .. } => tasks.iter().any(|task| task.last_attempt > 0),
        }
    }

    /// Its tasks by how they stand, if its turn `is_open`.
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
    /// Something of the job has been started.
    pub fn has_started(&self) -> bool {
        let some_over = self.next_repeat as usize > self.repeats.len();
        some_over
            || self
                .repeats
                .iter()
                .any(|(_, steps)| steps.iter().any(StepRow::has_started))
    }

    /// The job's state as clients are shown it.
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
pub fn unfinished_before(step: &Step, steps: &[StepRow]) -> Vec<u32> {
    let unfinished = |on: &u32| steps.get(*on as usize).is_none_or(|row| !row.is_done());
    step.depends_on.iter().copied().filter(unfinished).collect()
}

//! Status of a job, and why its steps wait.

use super::task_counts::TaskCounts;
use crate::job::JobState;
use serde::{Deserialize, Serialize};

/// Most runs of one step that are listed.
pub const RUNS_LISTED_MAX: usize = 100;
/// Most steps of a job, over all its repetitions, that are listed.
pub const STEPS_LISTED_MAX: usize = 200;

/// Status of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobInspection {
    /// Its id.
    pub id: String,
    /// Its queue; not stored for ended jobs.
    pub queue: Option<String>,
    /// The service whose workers run its tasks; not stored for ended jobs.
    pub service: Option<String>,
    /// Its state as clients are shown it.
    pub state: JobState,
    /// When it was accepted, in milliseconds since 1970; not stored for ended jobs.
    pub accepted_wall_ms: Option<u64>,
    /// Number of its repetitions; not stored for ended jobs.
    pub repeats: Option<u32>,
    /// When the next repetition is due, in milliseconds since 1970.
    pub next_due_wall_ms: Option<u64>,
    /// The steps of the repetitions that are due and not complete.
    pub steps: Vec<StepInspection>,
    /// There are more steps than listed.
    pub more_steps: bool,
}

/// Status of a step of a repetition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepInspection {
    /// Repetition, from 0.
    pub repeat: u32,
    /// Step, from 0.
    pub step: u32,
    /// Its tasks.
    pub tasks: TaskCounts,
    /// Runs that ended `failed`.
    pub failures: u32,
    /// Where its tasks run, [`RUNS_LISTED_MAX`] at most.
    pub runs: Vec<RunInspection>,
    /// Why tasks of it wait, if any do.
    pub wait: Option<Wait>,
}

/// An outstanding run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunInspection {
    /// Task within the step, from 0.
    pub index: u32,
    /// The run's number.
    pub attempt: u32,
    /// The worker's instance.
    pub instance: String,
}

/// Why tasks of a step wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wait {
    /// These earlier steps are not done.
    Dependency(Vec<u32>),
    /// No worker of the service is connected and takes new work.
    NoWorkers,
    /// No worker of the service has the label and the capacity that a task needs.
    NoWorkerFits,
    /// Too few tasks fit beside what runs.
    #[serde(rename = "no_room")]
    InsufficientCapacity {
        /// Tasks that fit now.
        #[serde(rename = "places")]
        fitting_tasks: u64,
        /// Tasks needed at once: all members of a gang, else 1.
        needed: u64,
    },
    /// There is capacity, yet the scheduler does not use it now: it is reserved for another step, its workers are
    /// suspected, in backoff or without a full report since a change of the head, or the step waits for its rack.
    #[serde(rename = "held_back")]
    Deferred {
        /// Tasks that would fit.
        #[serde(rename = "places")]
        fitting_tasks: u64,
    },
}

//! Status of a job, and the reasons why its steps wait.

use super::task_counts::TaskCounts;
use crate::job::JobState;
use serde::{Deserialize, Serialize};

/// Maximum number of runs listed for one step.
pub const RUNS_LISTED_MAX: usize = 100;
/// Maximum number of steps listed for a job, over all its repetitions.
pub const STEPS_LISTED_MAX: usize = 200;

/// Status of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobInspection {
    /// Id of the job: 16 hexadecimal digits.
    pub id: String,
    /// Name of the job's queue (its route); `None` for ended jobs, for which it is not stored.
    pub queue: Option<String>,
    /// Name of the service whose workers run the tasks; `None` for ended jobs, for which it is not stored.
    pub service: Option<String>,
    /// State of the job as reported to clients.
    pub state: JobState,
    /// Acceptance time of the job, in milliseconds since 1970; `None` for ended jobs, for which it is not stored.
    pub accepted_wall_ms: Option<u64>,
    /// Number of repetitions; `None` for ended jobs, for which it is not stored.
    pub repeats: Option<u32>,
    /// Due time of the next repetition, in milliseconds since 1970; `None` if there is no further one.
    pub next_due_wall_ms: Option<u64>,
    /// Steps of the repetitions that are due and not complete, [`STEPS_LISTED_MAX`] at most.
    pub steps: Vec<StepInspection>,
    /// Whether there are more steps than `steps` lists.
    pub more_steps: bool,
}

/// Status of one step in one repetition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepInspection {
    /// Number of the repetition, from 0.
    pub repeat: u32,
    /// Number of the step, from 0.
    pub step: u32,
    /// Tasks of the step by state.
    pub tasks: TaskCounts,
    /// Number of runs that ended as `failed`.
    pub failures: u32,
    /// Outstanding runs of the step's tasks, [`RUNS_LISTED_MAX`] at most.
    pub runs: Vec<RunInspection>,
    /// Reason why tasks of the step wait; `None` if none wait.
    pub wait: Option<WaitReason>,
}

/// An outstanding run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunInspection {
    /// Index of the task within the step, from 0.
    pub index: u32,
    /// Attempt number of the run.
    pub attempt: u32,
    /// Id of the worker instance on which it is placed.
    pub instance: String,
}

/// Reason why tasks of a step wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// The step depends on these earlier steps, which are not done.
    Dependency(Vec<u32>),
    /// The service has no connected worker that accepts new work.
    NoWorkers,
    /// No worker of the service has both the label and the total capacity that a task needs.
    NoWorkerFits,
    /// Too few tasks fit into the capacity that placed tasks leave free.
    #[serde(rename = "no_room")]
    InsufficientCapacity {
        /// Number of tasks that fit now.
        #[serde(rename = "places")]
        fitting_tasks: u64,
        /// Number of tasks that must fit at once: all members of a gang, else 1.
        needed: u64,
    },
    /// Capacity is free, but the scheduler does not use it now: it is reserved for another step, its workers are
    /// suspected of failure, in backoff or have sent no full report since the head changed, or the step waits for
    /// capacity in its rack.
    #[serde(rename = "held_back")]
    Deferred {
        /// Number of tasks that would fit into the free capacity.
        #[serde(rename = "places")]
        fitting_tasks: u64,
    },
}

//! Jobs as clients submit them, and the states that clients are shown.

use serde::{Deserialize, Serialize};

/// Longest `spec` of a job, in bytes.
pub const SPEC_BYTES_MAX: usize = 4_000;

/// What a worker has, or a task takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Megabytes of memory.
    pub mem_mb: u64,
    /// GPUs.
    pub gpu: u64,
}

impl Resources {
    /// Whether `other` fits into this.
    pub fn can_fit(&self, other: &Resources) -> bool {
        other.cpu <= self.cpu && other.mem_mb <= self.mem_mb && other.gpu <= self.gpu
    }

    /// This and `other` together.
    #[must_use]
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu + other.cpu,
            mem_mb: self.mem_mb + other.mem_mb,
            gpu: self.gpu + other.gpu,
        }
    }

    /// What is left of this without `other`; never below zero.
    #[must_use]
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

/// One step of a job: `count` like tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks, at least 1.
    pub count: u32,
    /// Thousandths of a core that each task takes.
    pub cpu: u64,
    /// Megabytes of memory that each task takes.
    pub mem_mb: u64,
    /// GPUs that each task takes.
    pub gpu: u64,
    /// Client's rough guess of a task's run time, in milliseconds; 0 if it gave none.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all be done first.
    pub depends_on: Vec<u32>,
    /// Its tasks make checkpoints.
    pub checkpoints: bool,
    /// Its tasks work only all together.
    pub gang: bool,
    /// Spread over more than one rack, its tasks run `remote_slowdown` times as long.
    pub rack_local: bool,
    /// Label that the worker must have; empty for none.
    pub requirements: String,
    /// Rack that has the data; empty for none.
    pub affinity: String,
    /// Most tasks of the step (of one repetition) on one worker; 0 for no bound.
    pub anti_affinity: u32,
    /// Several runs of a task may run at the same time.
    pub speculative: bool,
    /// Its tasks run until the job is cancelled.
    pub long_running: bool,
}

impl Step {
    /// What one task takes.
    pub fn resources(&self) -> Resources {
        Resources {
            cpu: self.cpu,
            mem_mb: self.mem_mb,
            gpu: self.gpu,
        }
    }
}

/// A job as its client submits it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobSpec {
    /// Text passed to each task, [`SPEC_BYTES_MAX`] bytes at most.
    pub spec: String,
    /// The steps.
    pub stages: Vec<Step>,
    /// Number of repetitions; 0 for a single run of the steps, without a due time.
    pub repeat_count: u32,
    /// When repetition 0 is due, in milliseconds since 1970.
    pub start_at_ms: u64,
    /// Time between two repetitions, in milliseconds.
    pub interval_ms: u64,
}

/// A job's state as clients are shown it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// Nothing of it runs yet.
    Queued,
    /// Something of it has been started.
    Running,
    /// All its tasks are done.
    Completed,
    /// A task, or a gang, has failed as often as its queue allows.
    Failed,
    /// Its client has cancelled it.
    Cancelled,
}

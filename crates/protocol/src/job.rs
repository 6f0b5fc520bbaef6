//! Jobs as clients submit them, and the job states that are reported to clients.

use serde::{Deserialize, Serialize};

/// Maximum length of a job's `spec`, in bytes.
pub const SPEC_BYTES_MAX: usize = 4_000;

/// Amounts of resources: the capacity of a worker or the demand of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in megabytes.
    pub mem_mb: u64,
    /// Number of GPUs.
    pub gpu: u64,
}

impl Resources {
    /// Returns true if `other` fits into this amount in every dimension.
    pub fn can_fit(&self, other: &Resources) -> bool {
        other.cpu <= self.cpu && other.mem_mb <= self.mem_mb && other.gpu <= self.gpu
    }

    /// Returns how many times `other` fits into this amount at once; `u64::MAX` if it is nothing.
    pub fn count_of(&self, other: &Resources) -> u64 {
        let count = |amount: u64, unit: u64| amount.checked_div(unit).unwrap_or(u64::MAX);
        count(self.cpu, other.cpu)
            .min(count(self.mem_mb, other.mem_mb))
            .min(count(self.gpu, other.gpu))
    }

    /// Returns the sum of both amounts.
    #[must_use]
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu + other.cpu,
            mem_mb: self.mem_mb + other.mem_mb,
            gpu: self.gpu + other.gpu,
        }
    }

    /// Returns the difference of both amounts; each dimension saturates at zero.
    #[must_use]
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

/// One step of a job: `count` identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks, at least 1.
    pub count: u32,
    /// CPU that each task needs, in thousandths of a core.
    pub cpu: u64,
    /// Memory that each task needs, in megabytes.
    pub mem_mb: u64,
    /// Number of GPUs that each task needs.
    pub gpu: u64,
    /// The client's rough estimate of the run time of one task, in milliseconds; 0 if none is given.
    pub estimate_ms: u64,
    /// Indexes of earlier steps whose tasks must all be done before this step starts.
    pub depends_on: Vec<u32>,
    /// Whether the tasks write checkpoints from which a later run can resume.
    pub checkpoints: bool,
    /// Whether the tasks form a gang: they must all run at the same time.
    pub gang: bool,
    /// Whether the tasks slow down when spread over several racks: they then run `remote_slowdown` times as long.
    pub rack_local: bool,
    /// Label that a worker must have to run the tasks; empty for none.
    pub requirements: String,
    /// Rack that holds the input data; empty for none.
    pub affinity: String,
    /// Maximum number of the step's tasks (of one repetition) on one worker; 0 for no limit.
    pub anti_affinity: u32,
    /// Whether a task may have several runs at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
}

impl Step {
    /// Resources that one task needs.
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
    /// Text that is passed unchanged to each task, [`SPEC_BYTES_MAX`] bytes at most.
    pub spec: String,
    /// Steps of the job; each may depend on earlier ones only.
    pub stages: Vec<Step>,
    /// Number of repetitions; 0 to execute the steps once, without a due time.
    pub repeat_count: u32,
    /// Due time of repetition 0, in milliseconds since 1970.
    pub start_at_ms: u64,
    /// Time between the due times of two repetitions, in milliseconds.
    pub interval_ms: u64,
}

/// State of a job as reported to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task of the job has begun: no worker has been seen to run one.
    Queued,
    /// A worker has begun a task of the job. It stays so, also when no run is left.
    Running,
    /// All tasks of the job are done.
    Completed,
    /// A task, or a gang, has failed as often as the route's `max_retries` allows.
    Failed,
    /// The client cancelled the job.
    Cancelled,
}

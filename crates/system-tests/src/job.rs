//! Jobs as a client submits them, and what their tasks do once they run. Names of serialized fields are the wire's.

use crate::wire::Capacity;
use serde::Serialize;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What a task does once it runs.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Its work. A task that fails does so halfway.
    pub work: Duration,
    /// So many of its runs fail before one ends `done`.
    pub failures: u32,
    /// Its first run makes no progress and does not end by itself.
    pub first_hangs: bool,
}

/// One step of a job. What is 0, false or empty is not sent.
#[derive(Clone, Debug, Serialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Thousandths of a core for each.
    #[serde(skip_serializing_if = "is_zero")]
    pub cpu: u64,
    /// Megabytes for each.
    #[serde(skip_serializing_if = "is_zero")]
    pub mem_mb: u64,
    /// GPUs for each.
    #[serde(skip_serializing_if = "is_zero")]
    pub gpu: u64,
    /// Estimate of a task's time.
    #[serde(skip_serializing_if = "is_zero")]
    pub estimate_ms: u64,
    /// Steps that must be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<usize>,
    /// Its tasks write checkpoints.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Its tasks work only together.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// A label that the worker must have.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub requirements: String,
    /// Most tasks on one worker.
    #[serde(skip_serializing_if = "is_zero")]
    pub anti_affinity: u64,
    /// Its tasks may have speculative runs.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Its tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// What its tasks do; not sent.
    #[serde(skip)]
    pub behaviour: Behaviour,
}

impl Step {
    /// `count` tasks that work for `work_ms` on half a core each.
    pub fn new(count: u32, work_ms: u64) -> Self {
        let behaviour = Behaviour {
            work: Duration::from_millis(work_ms),
            failures: 0,
            first_hangs: false,
        };
        Step {
            count,
            cpu: 500,
            mem_mb: 256,
            gpu: 0,
            estimate_ms: work_ms,
            depends_on: Vec::new(),
            checkpoints: false,
            gang: false,
            requirements: String::new(),
            anti_affinity: 0,
            speculative: false,
            long_running: false,
            behaviour,
        }
    }

    /// The step after these steps.
    pub fn after(mut self, steps: &[usize]) -> Self {
        self.depends_on = steps.to_vec();
        self
    }

    /// The step with so many thousandths of a core for each task.
    pub fn cpu(mut self, cpu: u64) -> Self {
        self.cpu = cpu;
        self
    }

    /// The step as a gang.
    pub fn gang(mut self) -> Self {
        self.gang = true;
        self
    }

    /// The step with tasks that write checkpoints.
    pub fn checkpoints(mut self) -> Self {
        self.checkpoints = true;
        self
    }

    /// The step with tasks that run until the job is cancelled.
    pub fn long_running(mut self) -> Self {
        self.long_running = true;
        self
    }

    /// The step with so many tasks on one worker at most.
    pub fn anti_affinity(mut self, tasks: u64) -> Self {
        self.anti_affinity = tasks;
        self
    }

    /// The step on workers with this label only.
    pub fn requires(mut self, label: &str) -> Self {
        self.requirements = label.to_owned();
        self
    }

    /// The step with tasks that fail so often first.
    pub fn failures(mut self, failures: u32) -> Self {
        self.behaviour.failures = failures;
        self
    }

    /// The step with tasks whose first run makes no progress.
    pub fn first_hangs(mut self) -> Self {
        self.behaviour.first_hangs = true;
        self
    }

    /// What one task takes.
    pub fn resources(&self) -> Capacity {
        Capacity {
            cpu: self.cpu,
            mem_mb: self.mem_mb,
            gpu: self.gpu,
        }
    }
}

/// A job.
#[derive(Clone, Debug, Serialize)]
pub struct Job {
    /// The text that each task is started with.
    pub spec: String,
    /// The steps.
    pub stages: Vec<Step>,
    /// How often the steps run; 0 for once, without a set time.
    #[serde(skip_serializing_if = "is_zero")]
    pub repeat_count: u64,
    /// When the first repetition is due, since 1970.
    #[serde(skip_serializing_if = "is_zero")]
    pub start_at_ms: u64,
    /// Time between two repetitions.
    #[serde(skip_serializing_if = "is_zero")]
    pub interval_ms: u64,
}

impl Job {
    /// A job of these steps.
    pub fn new(stages: Vec<Step>) -> Self {
        let spec = format!("text {:016x}", crate::random::number());
        Job {
            spec,
            stages,
            repeat_count: 0,
            start_at_ms: 0,
            interval_ms: 0,
        }
    }

    /// A job of one task.
    pub fn single(work_ms: u64) -> Self {
        Job::new(vec![Step::new(1, work_ms)])
    }

    /// The job repeated, for the first time after `delay`.
    pub fn repeated(mut self, times: u64, delay: Duration, interval: Duration) -> Self {
        self.repeat_count = times;
        self.start_at_ms = (since_1970() + delay).as_millis() as u64;
        self.interval_ms = interval.as_millis() as u64;
        self
    }

    /// How often its steps run.
    pub fn repeats(&self) -> u32 {
        self.repeat_count.max(1) as u32
    }

    /// When this repetition is due, since 1970; `None` if it is due at once.
    pub fn due(&self, repeat: u32) -> Option<Duration> {
        let due = Duration::from_millis(self.start_at_ms + u64::from(repeat) * self.interval_ms);
        (self.repeat_count > 0).then_some(due)
    }

    /// Whether it runs until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.stages.iter().any(|step| step.long_running)
    }
}

/// The time of day.
pub fn since_1970() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !value
}

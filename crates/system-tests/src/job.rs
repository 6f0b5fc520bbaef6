//! Jobs as a client submits them, and the behaviour of their tasks in the simulated environment. Serialized fields have
//! the names of the protocol.

use crate::wire::Capacity;
use serde::Serialize;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How the runs of a step's tasks behave.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Work of one task. A run that fails does so halfway through it.
    pub work: Duration,
    /// Number of a task's runs that fail before one succeeds.
    pub failures: u32,
    /// Whether a task's first run makes no progress and does not end until it is stopped.
    pub first_hangs: bool,
}

/// One step of a job. Fields with the value 0, false or empty are not sent.
#[derive(Clone, Debug, Serialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// CPU of each task, in thousandths of a core.
    #[serde(skip_serializing_if = "is_zero")]
    pub cpu: u64,
    /// Memory of each task, in megabytes.
    #[serde(skip_serializing_if = "is_zero")]
    pub mem_mb: u64,
    /// GPUs of each task.
    #[serde(skip_serializing_if = "is_zero")]
    pub gpu: u64,
    /// Estimated run time of a task, in milliseconds.
    #[serde(skip_serializing_if = "is_zero")]
    pub estimate_ms: u64,
    /// Indices of the steps that must be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<usize>,
    /// Whether its tasks write checkpoints.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether its tasks form a gang, which works only while all of its members run.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// A label that the worker must have; empty for none.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub requirements: String,
    /// Upper bound of its tasks on one worker; 0 for no bound.
    #[serde(skip_serializing_if = "is_zero")]
    pub anti_affinity: u64,
    /// Whether its tasks may have speculative runs, concurrent with another run.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Whether its tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// Behaviour of its tasks in the simulated environment; not sent.
    #[serde(skip)]
    pub behaviour: Behaviour,
}

impl Step {
    /// A step of `count` tasks, each with `work_ms` of work on half a core.
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

    /// Makes the step depend on these steps.
    pub fn after(mut self, steps: &[usize]) -> Self {
        self.depends_on = steps.to_vec();
        self
    }

    /// Sets the CPU of each task, in thousandths of a core.
    pub fn cpu(mut self, cpu: u64) -> Self {
        self.cpu = cpu;
        self
    }

    /// Makes the step a gang.
    pub fn gang(mut self) -> Self {
        self.gang = true;
        self
    }

    /// Makes the tasks write checkpoints.
    pub fn checkpoints(mut self) -> Self {
        self.checkpoints = true;
        self
    }

    /// Makes the tasks run until the job is cancelled.
    pub fn long_running(mut self) -> Self {
        self.long_running = true;
        self
    }

    /// Limits the number of its tasks on one worker.
    pub fn anti_affinity(mut self, tasks: u64) -> Self {
        self.anti_affinity = tasks;
        self
    }

    /// Restricts the step to workers with this label.
    pub fn requires(mut self, label: &str) -> Self {
        self.requirements = label.to_owned();
        self
    }

    /// Sets the number of runs of each task that fail before one succeeds.
    pub fn failures(mut self, failures: u32) -> Self {
        self.behaviour.failures = failures;
        self
    }

    /// Makes the first run of each task hang.
    pub fn first_hangs(mut self) -> Self {
        self.behaviour.first_hangs = true;
        self
    }

    /// Resources of one task.
    pub fn resources(&self) -> Capacity {
        Capacity {
            cpu: self.cpu,
            mem_mb: self.mem_mb,
            gpu: self.gpu,
        }
    }
}

/// A job as submitted.
#[derive(Clone, Debug, Serialize)]
pub struct Job {
    /// Text that is passed to each task when it starts.
    pub spec: String,
    /// The steps, which refer to each other by index.
    pub stages: Vec<Step>,
    /// Number of repetitions; 0 to run the steps once, without a due time.
    #[serde(skip_serializing_if = "is_zero")]
    pub repeat_count: u64,
    /// Due time of the first repetition, in milliseconds since 1970.
    #[serde(skip_serializing_if = "is_zero")]
    pub start_at_ms: u64,
    /// Time between the due times of two repetitions, in milliseconds.
    #[serde(skip_serializing_if = "is_zero")]
    pub interval_ms: u64,
}

impl Job {
    /// A job of these steps, with a random text.
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

    /// A job of one task with `work_ms` of work.
    pub fn single(work_ms: u64) -> Self {
        Job::new(vec![Step::new(1, work_ms)])
    }

    /// Makes the job repeat `times` times, due for the first time after `delay` and then at each `interval`.
    pub fn repeated(mut self, times: u64, delay: Duration, interval: Duration) -> Self {
        self.repeat_count = times;
        self.start_at_ms = (since_1970() + delay).as_millis() as u64;
        self.interval_ms = interval.as_millis() as u64;
        self
    }

    /// Number of times that its steps run.
    pub fn repeats(&self) -> u32 {
        self.repeat_count.max(1) as u32
    }

    /// Due time of a repetition, since 1970; `None` if the job is not repeated and so is due at once.
    pub fn due(&self, repeat: u32) -> Option<Duration> {
        let due = Duration::from_millis(self.start_at_ms + u64::from(repeat) * self.interval_ms);
        (self.repeat_count > 0).then_some(due)
    }

    /// Whether the job runs until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.stages.iter().any(|step| step.long_running)
    }
}

/// The system clock's time since 1970; zero if the clock is set before.
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

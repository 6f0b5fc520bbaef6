//! Parsing and validation of jobs.

use crate::job::{JobSpec, SPEC_BYTES_MAX, Step};
use crate::json;
use snafu::{ResultExt, Snafu, ensure};

pub use crate::json::JsonError;

/// Maximum number of steps of a job.
pub const STEPS_MAX: usize = 1_000;
/// Maximum number of tasks in one repetition of a job.
pub const TASKS_MAX: u64 = 50_000;
/// Maximum number of repetitions of a job.
pub const REPEATS_MAX: u32 = 1_000_000;
/// Maximum of each resource, and of the estimate in milliseconds, that one task may need. Sums over all tasks of a job
/// stay within 64 bits.
pub const AMOUNT_MAX: u64 = 1 << 40;

/// The reason why a job is rejected.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum JobError {
    /// The text is not valid JSON, or a field has the wrong type.
    #[snafu(display("the job cannot be read: {source}"))]
    Unreadable {
        /// The parser's error, with the field and the expected type.
        source: JsonError,
    },
    /// `spec` is longer than [`SPEC_BYTES_MAX`].
    #[snafu(display("`spec` has {bytes} bytes: {SPEC_BYTES_MAX} are allowed"))]
    LongSpec {
        /// Length of `spec`, in bytes.
        bytes: usize,
    },
    /// The job has no steps, or more than [`STEPS_MAX`].
    #[snafu(display("`stages` has {steps} steps: 1 to {STEPS_MAX} are allowed"))]
    StepCount {
        /// Number of steps found.
        steps: usize,
    },
    /// A step has no tasks.
    #[snafu(display("`stages[{step}].count` is 0: at least 1 is allowed"))]
    NoTasks {
        /// Index of the step, from 0.
        step: usize,
    },
    /// The steps have more than [`TASKS_MAX`] tasks in total.
    #[snafu(display("the steps have {tasks} tasks: {TASKS_MAX} are allowed"))]
    TaskCount {
        /// Total number of tasks found.
        tasks: u64,
    },
    /// A step depends on itself or on a later step.
    #[snafu(display(
        "`stages[{step}].depends_on` names step {dependency}: only steps before {step} are allowed"
    ))]
    Dependency {
        /// Index of the step, from 0.
        step: usize,
        /// Index of the step that it depends on.
        dependency: u32,
    },
    /// A resource or the estimate of a step is above [`AMOUNT_MAX`].
    #[snafu(display("`stages[{step}].{field}` is {amount}: at most {AMOUNT_MAX} is allowed"))]
    Amount {
        /// Index of the step, from 0.
        step: usize,
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        amount: u64,
    },
    /// There are more than [`REPEATS_MAX`] repetitions, or the due time of the last one exceeds 64 bits.
    #[snafu(display(
        "`repeat_count` is {repeats}: at most {REPEATS_MAX} are allowed, all due within 64 bits"
    ))]
    Repeats {
        /// Number of repetitions found.
        repeats: u32,
    },
}

/// Parses and validates a job. Unknown fields are ignored; missing fields are 0, false or empty.
///
/// # Errors
///
/// [`JobError`] if the text cannot be parsed or [`check_job`] rejects the job.
pub fn parse_job(bytes: &[u8]) -> Result<JobSpec, JobError> {
    let job: JobSpec = json::read(bytes).context(UnreadableSnafu)?;
    check_job(&job)?;
    Ok(job)
}

/// Checks the rules that the types do not enforce. Edges check a job when they parse it, the scheduler when it accepts
/// it.
///
/// # Errors
///
/// [`JobError`] with the field and its allowed values.
pub fn check_job(job: &JobSpec) -> Result<(), JobError> {
    ensure!(
        job.spec.len() <= SPEC_BYTES_MAX,
        LongSpecSnafu {
            bytes: job.spec.len()
        }
    );
    let steps = job.stages.len();
    ensure!((1..=STEPS_MAX).contains(&steps), StepCountSnafu { steps });
    for (step, stage) in job.stages.iter().enumerate() {
        check_step(step, stage)?;
    }
    let tasks: u64 = job.stages.iter().map(|stage| u64::from(stage.count)).sum();
    ensure!(tasks <= TASKS_MAX, TaskCountSnafu { tasks });
    check_repeats(job)
}

/// Checks one step.
fn check_step(step: usize, stage: &Step) -> Result<(), JobError> {
    ensure!(stage.count > 0, NoTasksSnafu { step });
    for dependency in stage.depends_on.iter().copied() {
        ensure!(
            (dependency as usize) < step,
            DependencySnafu { step, dependency }
        );
    }
    let amounts = [
        ("cpu", stage.cpu),
        ("mem_mb", stage.mem_mb),
        ("gpu", stage.gpu),
        ("estimate_ms", stage.estimate_ms),
    ];
    for (field, amount) in amounts {
        ensure!(
            amount <= AMOUNT_MAX,
            AmountSnafu {
                step,
                field,
                amount
            }
        );
    }
    Ok(())
}

/// Checks the number of repetitions and the due time of the last one.
fn check_repeats(job: &JobSpec) -> Result<(), JobError> {
    let repeats = job.repeat_count;
    let last = u64::from(repeats.saturating_sub(1));
    let last_due = job
        .interval_ms
        .checked_mul(last)
        .and_then(|delay| delay.checked_add(job.start_at_ms));
    ensure!(
        repeats <= REPEATS_MAX && last_due.is_some(),
        RepeatsSnafu { repeats }
    );
    Ok(())
}

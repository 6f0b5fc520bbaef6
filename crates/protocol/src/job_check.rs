//! Reading and checking of jobs.

use crate::job::{JobSpec, SPEC_BYTES_MAX, Step};
use crate::json;
use snafu::{ResultExt, Snafu, ensure};

pub use crate::json::JsonError;

/// Most steps of a job.
pub const STEPS_MAX: usize = 1_000;
/// Most tasks of one repetition of a job.
pub const TASKS_MAX: u64 = 50_000;
/// Most repetitions of a job.
pub const REPEATS_MAX: u32 = 1_000_000;
/// Largest amount of anything that one task may need; sums over all tasks stay within 64 bits.
pub const AMOUNT_MAX: u64 = 1 << 40;

/// A job that is rejected.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum JobError {
    /// It is not JSON, or a field has the wrong type.
    #[snafu(display("the job cannot be read: {source}"))]
    Unreadable {
        /// What, where, and what is allowed.
        source: JsonError,
    },
    /// Its text is too long.
    #[snafu(display("`spec` has {bytes} bytes: {SPEC_BYTES_MAX} are allowed"))]
    LongSpec {
        /// Bytes of the text.
        bytes: usize,
    },
    /// It has no steps, or too many.
    #[snafu(display("`stages` has {steps} steps: 1 to {STEPS_MAX} are allowed"))]
    StepCount {
        /// Number of steps.
        steps: usize,
    },
    /// A step has no tasks.
    #[snafu(display("`stages[{step}].count` is 0: at least 1 is allowed"))]
    NoTasks {
        /// The step, from 0.
        step: usize,
    },
    /// Too many tasks altogether.
    #[snafu(display("the steps have {tasks} tasks: {TASKS_MAX} are allowed"))]
    TaskCount {
        /// Number of tasks.
        tasks: u64,
    },
    /// A step waits for itself or for a later one.
    #[snafu(display(
        "`stages[{step}].depends_on` names step {on}: only steps before {step} are allowed"
    ))]
    Order {
        /// The step, from 0.
        step: usize,
        /// The step that it names.
        on: u32,
    },
    /// A task needs more than [`AMOUNT_MAX`] of something.
    #[snafu(display("`stages[{step}].{field}` is {amount}: at most {AMOUNT_MAX} is allowed"))]
    Amount {
        /// The step, from 0.
        step: usize,
        /// The field.
        field: &'static str,
        /// Its value.
        amount: u64,
    },
    /// Too many repetitions, or the last one falls due beyond the end of the calendar.
    #[snafu(display(
        "`repeat_count` is {repeats}: at most {REPEATS_MAX} are allowed, all due within 64 bits"
    ))]
    Repeats {
        /// Number of repetitions.
        repeats: u32,
    },
}

/// Reads and checks a job. Unknown fields are skipped, missing ones are 0, false or empty.
///
/// # Errors
///
/// [`JobError`] if it cannot be read, or as [`check_job`].
pub fn parse_job(bytes: &[u8]) -> Result<JobSpec, JobError> {
    let job: JobSpec = json::read(bytes).context(UnreadableSnafu)?;
    check_job(&job)?;
    Ok(job)
}

/// Checks what the types do not ensure. Edges check jobs as they read them, the scheduler as it accepts them.
///
/// # Errors
///
/// [`JobError`] with the field and what is allowed.
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
    for on in stage.depends_on.iter().copied() {
        ensure!((on as usize) < step, OrderSnafu { step, on });
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

/// Checks the times at which repetitions fall due.
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

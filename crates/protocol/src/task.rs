//! Names of jobs, tasks and runs.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;
use std::str::FromStr;

/// Number of hexadecimal digits in a job's id.
const JOB_ID_DIGITS: usize = 16;

/// A job's id, chosen by its client: 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// A text that is not a job id or a task name.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum NameError {
    /// A job id must be 16 hexadecimal digits.
    #[snafu(display("`{text}` is not a job id: 16 hexadecimal digits are expected"))]
    Job {
        /// The text.
        text: String,
    },
    /// A task name must be ID.K.STEP.INDEX.
    #[snafu(display("`{text}` is not a task name: ID.K.STEP.INDEX is expected"))]
    Task {
        /// The text.
        text: String,
    },
}

impl FromStr for JobId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let digits = text.len() == JOB_ID_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
        let parsed = digits.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        parsed.map(JobId).ok_or_else(|| NameError::Job {
            text: text.to_owned(),
        })
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One task of a job: the task `index` of step `step` of repetition `repeat`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// Repetition, from 0; 0 for jobs that do not repeat.
    pub repeat: u32,
    /// Step, from 0.
    pub step: u32,
    /// Task within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}",
            self.job, self.repeat, self.step, self.index
        )
    }
}

impl FromStr for TaskName {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let parse = || {
            let mut fields = text.split('.');
            let job = fields.next()?.parse().ok()?;
            let repeat = fields.next()?.parse().ok()?;
            let step = fields.next()?.parse().ok()?;
            let index = fields.next()?.parse().ok()?;
            fields.next().is_none().then_some(TaskName {
                job,
                repeat,
                step,
                index,
            })
        };
        parse().ok_or_else(|| NameError::Task {
            text: text.to_owned(),
        })
    }
}

/// One start of a task. Numbers of one task's runs rise from 1; a gang's members share them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunId {
    /// The task.
    pub task: TaskName,
    /// The run's number (`attempt` on the wire).
    pub attempt: u32,
}

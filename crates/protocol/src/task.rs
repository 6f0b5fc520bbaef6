//! Identifiers of jobs, tasks and runs.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;
use std::str::FromStr;

/// Number of hexadecimal digits in a job's id.
const JOB_ID_DIGITS: usize = 16;

/// Id of a job, chosen by its client; written as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// A text that is not a job id or a task name.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum NameError {
    /// The text is not a job id: 16 hexadecimal digits.
    #[snafu(display("`{text}` is not a job id: 16 hexadecimal digits are expected"))]
    Job {
        /// The text found.
        text: String,
    },
    /// The text is not a task name: `ID.K.STEP.INDEX`, where K is the repetition.
    #[snafu(display("`{text}` is not a task name: ID.K.STEP.INDEX is expected"))]
    Task {
        /// The text found.
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

/// Name of a task of a job: task `index` of step `step` in repetition `repeat`. Written as `ID.K.STEP.INDEX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskName {
    /// Id of the job.
    pub job: JobId,
    /// Number of the repetition, from 0; 0 for jobs that do not repeat.
    pub repeat: u32,
    /// Index of the step, from 0.
    pub step: u32,
    /// Index of the task within the step, from 0.
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

/// Id of a run: one attempt to execute a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunId {
    /// Name of the task.
    pub task: TaskName,
    /// Attempt number; the runs of a task are numbered upwards from 1, and the members of a gang share their numbers.
    pub attempt: u32,
}

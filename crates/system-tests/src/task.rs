//! Names of tasks and runs, as used in heartbeats.

use std::fmt;

/// A task's name, written `JOB.REPEAT.STEP.INDEX`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskName {
    /// The job's id.
    pub job: String,
    /// Repetition of the job, from 0.
    pub repeat: u32,
    /// Index of the step in its job, from 0.
    pub step: usize,
    /// Index of the task in its step, from 0.
    pub index: u32,
}

impl TaskName {
    /// Parses a task name; `None` unless `text` is one in canonical form.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let job = parts.next()?.to_owned();
        let repeat = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        let name = TaskName {
            job,
            repeat,
            step,
            index,
        };
        (parts.next().is_none() && name.to_string() == text).then_some(name)
    }

    /// Whether both belong to the same repetition of the same step.
    pub fn same_step(&self, other: &TaskName) -> bool {
        self.job == other.job && self.repeat == other.repeat && self.step == other.step
    }
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

/// One run of a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunName {
    /// The task.
    pub task: TaskName,
    /// Attempt number on the wire (`attempt`).
    pub attempt: u32,
}

impl RunName {
    /// Whether both are members of the same run of a gang. Only meaningful if their step is a gang.
    pub fn same_gang(&self, other: &RunName) -> bool {
        self.attempt == other.attempt && self.task.same_step(&other.task)
    }
}

impl fmt::Display for RunName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} run {}", self.task, self.attempt)
    }
}

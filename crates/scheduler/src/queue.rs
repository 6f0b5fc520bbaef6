//! The queue of one service: its steps with tasks to place, and their order.

use indigofold_protocol::task::{JobId, TaskName};
use std::collections::BTreeSet;

/// Identifies a step of one repetition of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct StepRef {
    /// ID of the job.
    pub job: JobId,
    /// Number of the repetition, from 0.
    pub repeat: u32,
    /// Number of the step within the job, from 0.
    pub step: u32,
}

impl StepRef {
    /// Returns the step that the task belongs to.
    pub(crate) fn of(task: &TaskName) -> Self {
        StepRef {
            job: task.job,
            repeat: task.repeat,
            step: task.step,
        }
    }

    /// Returns the name of the step's task with this index.
    pub(crate) fn task(self, index: u32) -> TaskName {
        TaskName {
            job: self.job,
            repeat: self.repeat,
            step: self.step,
            index,
        }
    }
}

/// Whether a step can still meet its job's latency target, and if not, whether it still has any value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Prospect {
    /// The latency target can be met.
    #[default]
    InTime,
    /// The latency target is missed, but the job still has part of its value.
    Late,
    /// The latency target is missed by so much that the job has no value left.
    Hopeless,
}

/// Position of a step in the queue: the fields in order of significance, the smallest key goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// Whether `prospect` is [`Prospect::Hopeless`]; such steps go last, whatever their priority.
    pub hopeless: bool,
    /// Priority of the job's route; 0 goes first.
    pub priority: u32,
    /// Class of the work that the job still needs relative to its value, see [`cost_class`](crate::value::cost_class).
    pub cost_class: i16,
    /// Whether the latency target can still be met.
    pub prospect: Prospect,
    /// Latest start that meets the job's latency target, in milliseconds of the monotonic clock.
    pub latest_start_ms: i64,
    /// The step itself.
    pub step_ref: StepRef,
}

/// Steps with tasks to place, in the order in which they get capacity.
pub(crate) type Queue = BTreeSet<QueueKey>;

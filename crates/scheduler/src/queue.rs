//! Order of admission: the steps of one service that have tasks to place.

use indigofold_protocol::task::{JobId, TaskName};
use std::collections::BTreeSet;

/// A step of one repetition of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct StepRef {
    /// The job.
    pub job: JobId,
    /// Repetition.
    pub repeat: u32,
    /// Step.
    pub step: u32,
}

impl StepRef {
    /// The step of a task.
    pub(crate) fn of(task: &TaskName) -> Self {
        StepRef {
            job: task.job,
            repeat: task.repeat,
            step: task.step,
        }
    }

    /// A task of the step.
    pub(crate) fn task(self, index: u32) -> TaskName {
        TaskName {
            job: self.job,
            repeat: self.repeat,
            step: self.step,
            index,
        }
    }
}

/// What a step may still earn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Prospect {
    /// The latency target can be met.
    #[default]
    InTime,
    /// The latency target is missed, not by far.
    Late,
    /// The latency target is missed by so much that nothing is earned.
    Hopeless,
}

/// Position of a step in the queue; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// Steps that can earn nothing any more go last.
    pub hopeless: bool,
    /// Priority of the job's queue.
    pub priority: u32,
    /// Class of the work that the job still needs for what it earns.
    pub cost_class: i16,
    /// What it may still earn.
    pub prospect: Prospect,
    /// When it has to start for the latency target of the job to be met, on the steady clock.
    pub latest_start_ms: i64,
    /// The step.
    pub at: StepRef,
}

/// Steps with tasks to place, in order of admission.
pub(crate) type Queue = BTreeSet<QueueKey>;

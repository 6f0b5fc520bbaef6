//! What the lifecycle of jobs tells others.

use crate::jobs::run::Run;
use crate::queue::QueueKey;
use crate::run_result::RunResult;
use crate::step_traits::StepTraits;
use indigofold_protocol::task::{JobId, RunId, TaskName};

/// What follows for others from a change of a job.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum JobEvent {
    /// A job was accepted: its definition is to be written.
    Accepted(JobId),
    /// The progress of a job is to be written.
    ProgressChanged(JobId),
    /// Nothing of an ended job runs any more: of its rows only its end stays.
    Closed(JobId),
    /// An ended job is not shown any more: its rows are to be deleted.
    Forgotten(JobId),
    /// Tasks of a step are to be placed.
    StepReady {
        /// Service that runs them.
        service: String,
        /// Position of the step in the queue.
        key: QueueKey,
    },
    /// No task of a step is to be placed any more.
    StepLeft {
        /// Service in whose queue the step was.
        service: String,
        /// Its position there.
        key: QueueKey,
    },
    /// All runs of a task are to be stopped at once.
    StopTask(TaskName),
    /// A run of a job that has ended is to be stopped once that end is committed.
    StopOnceCommitted(RunId),
}

/// A run has ended: what its worker, its service and their statistics have to know of it.
#[derive(Debug)]
pub(crate) struct RunEnded {
    /// The run as it was.
    pub run: Run,
    /// How it came to its end.
    pub result: RunResult,
    /// What of its step matters.
    pub traits: StepTraits,
    /// It failed, as others of the job have on another worker.
    pub failed_elsewhere: bool,
}

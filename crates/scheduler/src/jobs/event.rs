//! Events that the job table emits for the rest of the scheduler.

use crate::jobs::run::Run;
use crate::queue::{QueueKey, StepNeed};
use crate::run_result::RunResult;
use crate::step_traits::StepTraits;
use indigofold_protocol::task::{JobId, RunId, TaskName};

/// An action that the cluster has to take after a change of a job.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum JobEvent {
    /// A job was accepted: its definition row has to be written.
    Accepted(JobId),
    /// The progress row of a job has to be written.
    ProgressChanged(JobId),
    /// An ended job has no outstanding runs left: its definition row is deleted, and its progress row keeps only its end.
    Closed(JobId),
    /// The retention time of an ended job is over: its remaining row has to be deleted.
    Removed(JobId),
    /// A step with waiting tasks enters the queue.
    StepEnqueued {
        /// Service that runs the tasks.
        service: String,
        /// Position of the step in the queue.
        key: QueueKey,
        /// What the step's tasks need of a worker.
        need: StepNeed,
    },
    /// A step leaves the queue, as none of its tasks is waiting or its job has ended or moved to another service.
    StepDequeued {
        /// Service in whose queue the step was.
        service: String,
        /// Position that the step had in the queue.
        key: QueueKey,
    },
    /// All runs of a task have to be stopped immediately.
    StopTask(TaskName),
    /// A run of an ended job has to be stopped once the end of the job is committed.
    StopOnceCommitted(RunId),
}

/// A run that has ended, with the details that its worker, its service and their statistics need.
#[derive(Debug)]
pub(crate) struct RunEnded {
    /// The run in its last state.
    pub run: Run,
    /// How the run ended.
    pub result: RunResult,
    /// Properties of the run's step.
    pub traits: StepTraits,
    /// Whether the run failed and other runs of the job have failed on a different worker.
    pub failed_elsewhere: bool,
}

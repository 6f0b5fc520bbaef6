//! Read-only queries ("questions") of the command line tool to a core member, and their answers.
//!
//! A query needs no `Hello` before it. Every member reports its own status; only the acting head can report on jobs,
//! queues and services.

mod job;
mod status;
mod task_counts;

use crate::member::MemberAddress;
use crate::task::JobId;
use serde::{Deserialize, Serialize};

pub use job::{
    JobInspection, RUNS_LISTED_MAX, RunInspection, STEPS_LISTED_MAX, StepInspection, WaitReason,
};
pub use status::{
    EndedJobs, MemberStatus, PeerStatus, QueueStatus, ServiceStatus, StoredState, ViewStatus,
    WorkStatus,
};
pub use task_counts::TaskCounts;

/// A query with its call number. The reply carries the same `call`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InspectionCall {
    /// Number chosen by the tool, for matching the reply.
    pub call: u64,
    /// The query to answer.
    pub question: InspectionQuery,
}

/// A query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InspectionQuery {
    /// Status of the member; the acting head adds the status of queues and services.
    Status,
    /// Status of a job, and why its steps wait. Only the acting head can answer.
    Job(JobId),
}

/// The answer to an [`InspectionCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InspectionReply {
    /// Number of the [`InspectionCall`] that is answered.
    pub call: u64,
    /// The answer.
    pub answer: InspectionAnswer,
}

/// The answer to a [`InspectionQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum InspectionAnswer {
    /// The member's status.
    Status(Box<MemberStatus>),
    /// The job's status; `None` if the job is unknown.
    Job(Option<Box<JobInspection>>),
    /// This member is not the acting head, and the query needs it.
    NotHead {
        /// The acting head, if this member knows it.
        head: Option<MemberAddress>,
    },
    /// The member cannot answer at present.
    Unavailable {
        /// The reason, as text for the user.
        reason: String,
    },
}

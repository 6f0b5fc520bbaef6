//! Questions of the command line tool to a member of the core, and the answers. Nothing here changes any state.
//!
//! A question needs no `Hello` before it. Every member answers for itself; only the acting
//! head knows the work.

mod job;
mod status;
mod task_counts;

use crate::member::MemberAddress;
use crate::task::JobId;
use serde::{Deserialize, Serialize};

pub use job::{
    JobInspection, RUNS_LISTED_MAX, RunInspection, STEPS_LISTED_MAX, StepInspection, Wait,
};
pub use status::{
    EndedJobs, MemberStatus, PeerStatus, QueueStatus, ServiceStatus, StoredState, ViewStatus,
    WorkStatus,
};
pub use task_counts::TaskCounts;

/// A question. The answer carries the same `call`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InspectionCall {
    /// Chosen by the tool.
    pub call: u64,
    /// The question.
    pub question: Question,
}

/// The question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// The status of the member and, if it is the acting head, of the work.
    Status,
    /// The status of a job and why it waits. Answered by the acting head.
    Job(JobId),
}

/// The answer to an [`InspectionCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InspectionReply {
    /// The question's number.
    pub call: u64,
    /// The answer.
    pub answer: InspectionAnswer,
}

/// A member's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum InspectionAnswer {
    /// The member's status.
    Status(Box<MemberStatus>),
    /// The job's status; `None`: no such job is known.
    Job(Option<Box<JobInspection>>),
    /// This member is not the acting head.
    NotHead {
        /// The head, where it knows one that is at work.
        head: Option<MemberAddress>,
    },
    /// The member cannot answer now.
    Unavailable {
        /// Why.
        reason: String,
    },
}

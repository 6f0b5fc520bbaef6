//! Questions of the command line tool to a member of the core, and the answers. Nothing here changes any state.
//!
//! A question needs no [`Hello`](crate::internal::Hello) before it. Every member answers for itself; only the acting
//! head knows the work.

use crate::job::JobState;
use crate::member::MemberAddress;
use crate::task::JobId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Most runs of one step that are listed.
pub const RUNS_LISTED_MAX: usize = 100;
/// Most steps of a job, over all its repetitions, that are listed.
pub const STEPS_LISTED_MAX: usize = 200;

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

/// Status of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Version of its program.
    pub version: String,
    /// Its addresses.
    pub address: MemberAddress,
    /// The view that it accepted last.
    pub view: Option<ViewStatus>,
    /// The head that is at work, where it knows one.
    pub head: Option<MemberAddress>,
    /// It is the head, and may act.
    pub acting: bool,
    /// State of the rows on its disk.
    pub stored: StoredState,
    /// Its last write to the disk has failed.
    pub storage_failing: bool,
    /// The other members and seeds, and whether its connection to each is open.
    pub peers: Vec<PeerStatus>,
    /// Node agents connected to it.
    #[serde(rename = "companions")]
    pub agents: u32,
    /// Edges connected to it.
    pub edges: u32,
    /// The work; only the acting head reports it.
    pub work: Option<WorkStatus>,
}

/// A view of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewStatus {
    /// Its number: the fencing token of the head's orders.
    pub number: u64,
    /// A majority is known to have accepted it.
    pub agreed: bool,
    /// Internal addresses of the voters.
    pub voters: Vec<SocketAddr>,
    /// Internal addresses of the members that store each write, the head first.
    pub chain: Vec<SocketAddr>,
}

/// State of a member's rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredState {
    /// Number of the view that ordered the last write.
    pub view: u64,
    /// Sequence number of the last write.
    pub seq: u64,
}

/// Another member as the one asked sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its internal address.
    pub internal: SocketAddr,
    /// Name of its machine, once it is known.
    pub node_name: Option<String>,
    /// The connection to it is open.
    pub connected: bool,
}

/// The work of the cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkStatus {
    /// Version of the configuration in force; 0 before the first.
    pub config_version: u64,
    /// Writes that are not committed yet.
    pub open_writes: u64,
    /// The workers of each service.
    pub services: Vec<ServiceStatus>,
    /// The open jobs of each queue.
    pub queues: Vec<QueueStatus>,
    /// Ended jobs that are still shown.
    pub ended: EndedJobs,
    /// Rows that this version of the program cannot read.
    pub unreadable_rows: u64,
}

/// The workers of a service that are connected through their node agents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service's name.
    pub service: String,
    /// Workers that take new work.
    pub ready: u32,
    /// Workers that are draining.
    pub draining: u32,
}

/// The open jobs of a queue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// Name of the route.
    pub queue: String,
    /// Jobs of which nothing has been started.
    pub queued: u64,
    /// Jobs of which something has been started.
    pub running: u64,
    /// Their tasks.
    pub tasks: TaskCounts,
}

/// Ended jobs that are still shown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJobs {
    /// All tasks done.
    pub completed: u64,
    /// Failed too often.
    pub failed: u64,
    /// Cancelled by their clients.
    pub cancelled: u64,
}

/// Tasks by state. Only repetitions that are due count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Their earlier steps are done and nothing of them runs.
    pub waiting: u64,
    /// Earlier steps are not done.
    pub blocked: u64,
    /// A run is outstanding.
    pub running: u64,
    /// Done.
    pub done: u64,
}

impl TaskCounts {
    /// Adds others.
    pub fn add(&mut self, other: TaskCounts) {
        self.waiting += other.waiting;
        self.blocked += other.blocked;
        self.running += other.running;
        self.done += other.done;
    }
}

/// Status of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobInspection {
    /// Its id.
    pub id: String,
    /// Its queue; not stored for ended jobs.
    pub queue: Option<String>,
    /// The service whose workers run its tasks; not stored for ended jobs.
    pub service: Option<String>,
    /// Its state as clients are shown it.
    pub state: JobState,
    /// When it was accepted, in milliseconds since 1970; not stored for ended jobs.
    pub accepted_wall_ms: Option<u64>,
    /// Number of its repetitions; not stored for ended jobs.
    pub repeats: Option<u32>,
    /// When the next repetition is due, in milliseconds since 1970.
    pub next_due_wall_ms: Option<u64>,
    /// The steps of the repetitions that are due and not complete.
    pub steps: Vec<StepInspection>,
    /// There are more steps than listed.
    pub more_steps: bool,
}

/// Status of a step of a repetition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepInspection {
    /// Repetition, from 0.
    pub repeat: u32,
    /// Step, from 0.
    pub step: u32,
    /// Its tasks.
    pub tasks: TaskCounts,
    /// Runs that ended `failed`.
    pub failures: u32,
    /// Where its tasks run, [`RUNS_LISTED_MAX`] at most.
    pub runs: Vec<RunInspection>,
    /// Why tasks of it wait, if any do.
    pub wait: Option<Wait>,
}

/// An outstanding run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunInspection {
    /// Task within the step, from 0.
    pub index: u32,
    /// The run's number.
    pub attempt: u32,
    /// The worker's instance.
    pub instance: String,
}

/// Why tasks of a step wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wait {
    /// These earlier steps are not done.
    Dependency(Vec<u32>),
    /// No worker of the service is connected and takes new work.
    NoWorkers,
    /// No worker of the service has the label and the capacity that a task needs.
    NoWorkerFits,
    /// Too few tasks fit beside what runs.
    #[serde(rename = "no_room")]
    InsufficientCapacity {
        /// Tasks that fit now.
        #[serde(rename = "places")]
        fitting_tasks: u64,
        /// Tasks needed at once: all members of a gang, else 1.
        needed: u64,
    },
    /// There is capacity, yet the scheduler does not use it now: it is reserved for another step, its workers are
    /// suspected, in backoff or without a full report since a change of the head, or the step waits for its rack.
    #[serde(rename = "held_back")]
    Deferred {
        /// Tasks that would fit.
        #[serde(rename = "places")]
        fitting_tasks: u64,
    },
}

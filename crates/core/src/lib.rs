//! The core of the single-process scheduler: jobs, their attempts and the one answer that each job gets. It is independent
//! of protocols: no sockets, no encodings, no JSON. A front, the part that speaks a protocol with clients and machines,
//! reports what happened ([`CoreInput`]) and implements the operations that the core needs ([`Transport`]). [`engine`]
//! drives the decision module, [`job_table`] keeps the open jobs, [`actor`] feeds the engine from a queue.

#![forbid(unsafe_code)]

pub mod actor;
pub mod clock;
pub mod engine;
pub mod job_table;
pub mod metrics;

use async_channel::Sender;
use indigofold_decisions::api::{Entry, Load, Request, RequestId, Scope, Status, Time, WorkerId};
use indigofold_decisions::statistics::Statistics;
use indigofold_decisions::transferred_job::TransferredJob;

/// The id of a job, unique within one process.
pub type JobId = RequestId;

/// The id of one attempt to run a job on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The job that the attempt belongs to.
    pub job: JobId,
    /// The position among the attempts of this job, counted from 0.
    pub number: u32,
}

/// An attempt that the transport sends to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its job and its position among that job's attempts.
    pub id: AttemptId,
    /// The machine that runs it.
    pub machine: WorkerId,
    /// The job's deadline: the scheduler waits for the attempt until this time.
    pub until: Time,
    /// Sending must start before this time, or not at all.
    pub by: Time,
}

/// The one final answer to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is done; the front has the result of the job worker.
    Served,
    /// The job is rejected and has had no effect: the client may retry, best after this many microseconds (0: no advice).
    Rejected(Time),
    /// The job has failed; it may or may not have had an effect.
    Failed,
}

/// The destination of a job's answer.
#[derive(Debug)]
pub enum Reply {
    /// The receiver of this channel.
    Channel(Sender<Answer>),
    /// The transport, through [`Transport::answer`].
    Transport,
}

/// An input that a front sends to the core.
#[derive(Debug)]
pub enum CoreInput {
    /// A job was accepted; its client waits for the answer until this time.
    Job(Request, Time, Reply),
    /// The client of a job has disconnected; no answer is owed any more.
    ClientLeft(JobId),
    /// The machine has started to run an attempt.
    Started(AttemptId),
    /// The machine has not acknowledged an attempt in time; the attempt stays in flight.
    Unacknowledged(AttemptId),
    /// The progress of an attempt, from 0 to 1.
    Progress(AttemptId, f64),
    /// An attempt ended with this status. A repeated report, or one for an attempt that was given up, has one effect only:
    /// a success answers the job if it is still open.
    Ended(AttemptId, Status, Option<Load>),
    /// A change of the membership, or all of it, as the scope says.
    Membership(Scope, Vec<Entry>),
    /// The settings of the module from now on.
    Settings(Box<indigofold_decisions::api::Settings>),
    /// The statistics of another process of this scheduler, translated to the ids of this one.
    Statistics(Box<Statistics<u32>>),
    /// Requests an open job for transfer to another process; it is removed here. The reply is `None` if the job cannot be
    /// released now: the module has unhandled events, or no answer is owed.
    Release(JobId, Sender<Option<Released>>),
    /// A job that another process has started continues here; this is its deadline.
    Adopted(JobId, Box<TransferredJob<u32>>, Time, Reply),
    /// Requests the statistics in this scope.
    ReadStatistics(Sender<Statistics<u32>>, StatisticsScope),
    /// A probe of this worker ended with this status and, if the worker sent one, a load report.
    Probed(WorkerId, Status, Option<Load>),
}

/// An open job that is transferred to another process.
#[derive(Debug)]
pub struct Released {
    /// The state that the module keeps of the job.
    pub job: TransferredJob<u32>,
    /// The job's deadline.
    pub until: Time,
    /// The destination of its answer in this process.
    pub reply: Reply,
}

/// The part of the statistics that is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatisticsScope {
    /// The complete statistics.
    All,
    /// Everything but the slots in flight: their jobs are about to migrate.
    ExceptInFlight,
    /// Only the slots in flight at machines at present.
    InFlight,
}

/// A request of the core for the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipRequest {
    /// Starts (`true`) or stops (`false`) the updates of the membership.
    Watch(bool),
    /// The complete membership, once.
    FetchAll,
}

/// The result of a call that gives up an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivenUp {
    /// The attempt was not sent and never will be.
    Unsent,
    /// The attempt is given up; no further input follows for it.
    Done,
    /// The machine is being notified. [`CoreInput::Ended`] follows once, with [`Status::Cancelled`] when the machine has
    /// acknowledged the cancellation. A new attempt of the job that is sent before that could arrive sooner and run at the
    /// same time as this one.
    Pending,
}

/// The operations that a front implements for the core. No method may block. `false` means that the request was not sent
/// at all; the core counts it as failed.
pub trait Transport {
    /// Sends an attempt to its machine. [`CoreInput::Ended`] follows once.
    fn send(&self, attempt: Attempt) -> bool;
    /// Gives up an attempt. The result says whether further input follows for it.
    fn give_up(&self, attempt: AttemptId, machine: WorkerId) -> GivenUp;
    /// Probes a machine for its load. [`CoreInput::Probed`] follows.
    fn probe(&self, machine: WorkerId) -> bool;
    /// Closes the idle connections to a machine.
    fn hang_up(&self, machine: WorkerId);
    /// Requests the membership. [`CoreInput::Membership`] follows.
    fn request_membership(&self, request: MembershipRequest) -> bool;
    /// Delivers the answer to a job that came with [`Reply::Transport`].
    fn answer(&self, job: JobId, answer: Answer) {
        let _ = (job, answer);
    }
    /// Drops the front's state of a job; the core does not refer to the job again.
    fn forget(&self, job: JobId);
    /// Writes an event to the operators' log.
    fn log_event(&self, text: &str);
}

/// Settings of the core.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Settings of the decision module.
    pub module: indigofold_decisions::api::Settings,
    /// Seed of the random numbers.
    pub seed: u64,
    /// A job's deadline is this long before the time until which its client waits, in microseconds.
    pub answer_margin: Time,
}

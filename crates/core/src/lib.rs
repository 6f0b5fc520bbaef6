//! The core of the single-process scheduler: jobs, attempts and the one answer that each job gets. It knows no protocol:
//! no bytes, no sockets, no JSON. A front reports what happened ([`CoreInput`]) and carries out what it asks for
//! ([`Transport`]). [`engine`] drives the decision module, [`job_table`] keeps the open jobs, [`actor`] feeds the engine
//! from a queue.

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

/// A job's number, unique in one process.
pub type JobId = RequestId;

/// Names one attempt to have a job done by a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The job.
    pub job: JobId,
    /// 0, 1, 2 ... in the order of the attempts of this job.
    pub number: u32,
}

/// An attempt to be carried to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The attempt.
    pub id: AttemptId,
    /// The machine.
    pub machine: WorkerId,
    /// When the scheduler stops waiting for it.
    pub until: Time,
    /// It must not begin to go out from this time on.
    pub by: Time,
}

/// The one final answer to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Done; the front has what the job worker made.
    Served,
    /// A rejection: trying again is harmless, best after this long (0: no advice).
    Rejected(Time),
    /// Failed; nothing is promised of its effect.
    Failed,
}

/// Where a job's one answer goes.
#[derive(Debug)]
pub enum Reply {
    /// To the channel's receiver.
    To(Sender<Answer>),
    /// To the transport, by [`Transport::answer`].
    Transport,
}

/// An input of the core, from a front.
#[derive(Debug)]
pub enum CoreInput {
    /// A job was taken; the client waits for it until this time.
    Job(Request, Time, Reply),
    /// The client has left; no answer is owed any more.
    ClientLeft(JobId),
    /// An attempt's job has begun.
    Started(AttemptId),
    /// The machine has not acknowledged an attempt in time; the attempt goes on.
    Unacknowledged(AttemptId),
    /// How much of an attempt is done, 0 to 1.
    Progress(AttemptId, f64),
    /// How an attempt ended. Reported again, or after the attempt was given up, it has one effect only: an open job is
    /// served by any attempt that was done.
    Ended(AttemptId, Status, Option<Load>),
    /// An update of the membership.
    Membership(Scope, Vec<Entry>),
    /// Other settings of the module from now on.
    Settings(Box<indigofold_decisions::api::Settings>),
    /// The statistics of another process of this scheduler, under this one's ids.
    Statistics(Box<Statistics<u32>>),
    /// An open job is asked for, to be given away: it is forgotten here. `None` where it cannot go now: something has
    /// happened that the module has not handled yet, or no answer is owed.
    Release(JobId, Sender<Option<Released>>),
    /// A job goes on here that another process has begun; the client waits for it until this time.
    Adopted(JobId, Box<TransferredJob<u32>>, Time, Reply),
    /// Statistics are requested: all of them, or a part.
    ReadStatistics(Sender<Statistics<u32>>, StatisticsScope),
    /// The result of a probe.
    Probed(WorkerId, Status, Option<Load>),
}

/// An open job that is given away.
#[derive(Debug)]
pub struct Released {
    /// What the module knows of it.
    pub job: TransferredJob<u32>,
    /// Until when it must be answered.
    pub until: Time,
    /// Where its answer would have gone.
    pub reply: Reply,
}

/// Which statistics are requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatisticsScope {
    /// All of them.
    All,
    /// All but the slots in flight: their jobs are about to migrate themselves.
    ExceptInFlight,
    /// Only the slots in flight at machines now.
    InFlight,
}

/// What the core requests of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipRequest {
    /// Updates from now on, or none any more.
    Watch(bool),
    /// The complete membership, once.
    FetchAll,
}

/// What has become of an attempt that is to be given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivenUp {
    /// It was not sent, and never will be.
    Unsent,
    /// It is given up; no further input follows.
    Done,
    /// Its machine is being notified. [`CoreInput::Ended`] follows, once: with [`Status::Cancelled`] when it has been. Another attempt
    /// of the job sent before could get there sooner, and run beside it.
    Pending,
}

/// What a front does for the core. None of it may wait; each call that is not carried out is answered `false`
/// and counts as one that failed before anything went out.
pub trait Transport {
    /// Carries an attempt to its machine. [`CoreInput::Ended`] follows, once.
    fn send(&self, attempt: Attempt) -> bool;
    /// Stops waiting for an attempt.
    fn give_up(&self, attempt: AttemptId, machine: WorkerId) -> GivenUp;
    /// Asks a machine for its load. [`CoreInput::Probed`] follows.
    fn probe(&self, machine: WorkerId) -> bool;
    /// Closes the idle connections to a machine.
    fn hang_up(&self, machine: WorkerId);
    /// Requests the membership. [`CoreInput::Membership`] follows.
    fn request_membership(&self, request: MembershipRequest) -> bool;
    /// The one answer to a job that came with [`Reply::Transport`].
    fn answer(&self, job: JobId, answer: Answer) {
        let _ = (job, answer);
    }
    /// The job will not be named again.
    fn forget(&self, job: JobId);
    /// Writes an event to the operators' log.
    fn log_event(&self, text: &str);
}

/// Settings of the core, as plain values.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Those of the decision module.
    pub module: indigofold_decisions::api::Settings,
    /// Random numbers start here.
    pub seed: u64,
    /// How long before the client's time is up a job is answered at the latest.
    pub answer_margin: Time,
}

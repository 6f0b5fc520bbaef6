//! The record of events on workers and of states shown to clients: the input of the checks.

use crate::configuration::Queue;
use crate::job::Job;
use crate::task::RunName;
use crate::wire::{Capacity, EndReason};
use std::collections::HashMap;
use std::time::Duration;

/// Time since the environment was created.
pub type Moment = Duration;

/// Index of a worker's instance among all instances of all workers, in the order of their starts. The instance's id on
/// the wire is in its [`InstanceRecord`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InstanceIndex(pub usize);

/// A job's state as shown to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No task of the job has started.
    Queued,
    /// The job is in progress.
    Running,
    /// All of its tasks are done.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// A client has cancelled the job.
    Cancelled,
}

impl JobState {
    /// The state with this name on the wire; `None` if the name is unknown.
    pub fn from_name(name: &str) -> Option<Self> {
        Some(match name {
            "queued" => JobState::Queued,
            "running" => JobState::Running,
            "completed" => JobState::Completed,
            "failed" => JobState::Failed,
            "cancelled" => JobState::Cancelled,
            _ => return None,
        })
    }

    /// Whether no other state can follow.
    pub fn is_final(self) -> bool {
        !matches!(self, JobState::Queued | JobState::Running)
    }
}

/// An event on a worker, or a state shown to a client.
#[derive(Clone, Debug)]
pub enum Event {
    /// An instance of a worker started.
    InstanceStarted {
        /// The instance.
        instance: InstanceIndex,
    },
    /// An instance of a worker ended, and its runs with it.
    InstanceEnded {
        /// The instance.
        instance: InstanceIndex,
    },
    /// A worker started a run on an order.
    Started {
        /// The instance of the run.
        instance: InstanceIndex,
        /// The run.
        run: RunName,
        /// The order's text.
        spec: String,
        /// The order's checkpoint.
        checkpoint: String,
        /// Whether the checkpoint is empty, or was reported by this task (or its gang) before.
        checkpoint_is_own: bool,
    },
    /// A run ended on a worker.
    Ended {
        /// The instance of the run.
        instance: InstanceIndex,
        /// The run.
        run: RunName,
        /// Why the run ended.
        reason: EndReason,
    },
    /// An end was acknowledged, and the run lease did not expire between the end and its acknowledgement.
    EndAcknowledged {
        /// The instance of the run.
        instance: InstanceIndex,
        /// The run.
        run: RunName,
        /// Why the run had ended.
        reason: EndReason,
    },
    /// The instance's draining was acknowledged.
    DrainAcknowledged {
        /// The instance.
        instance: InstanceIndex,
    },
    /// A job's state was shown to a client.
    JobStateShown {
        /// The job.
        job: String,
        /// When the client sent its request.
        requested_at: Moment,
        /// The state; `None` if the response was that the job does not exist.
        state: Option<JobState>,
    },
    /// A worker received a response that cannot be parsed.
    Unreadable {
        /// The instance.
        instance: InstanceIndex,
        /// The parse error.
        why: String,
    },
}

/// An event with its time.
#[derive(Clone, Debug)]
pub struct Entry {
    /// When the event occurred.
    pub at: Moment,
    /// The event.
    pub event: Event,
}

/// Properties of a worker's instance.
#[derive(Clone, Debug)]
pub struct InstanceRecord {
    /// The instance's id on the wire.
    pub id: String,
    /// The worker's name, the same over all its instances.
    pub worker: String,
    /// The service it belongs to.
    pub service: String,
    /// Resources for its runs.
    pub capacity: Capacity,
    /// Labels that steps can require.
    pub labels: Vec<String>,
}

/// A job, with its client's requests and their outcome.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// The job as it was submitted.
    pub job: Job,
    /// The queue it was submitted to.
    pub queue: Queue,
    /// When the job was first accepted; `None` if it was not.
    pub accepted: Option<Moment>,
    /// Number of requests to submit the job so far.
    pub submissions: u32,
    /// Number of those requests that were refused with a status of `REFUSALS`.
    pub refusals: u32,
    /// When the job's cancellation was first requested.
    pub cancel_sent: Option<Moment>,
    /// When the job's cancellation was first acknowledged.
    pub cancel_acknowledged: Option<Moment>,
}

/// Status codes which mean that the job was not accepted and will not run.
const REFUSALS: [u16; 4] = [400, 404, 429, 503];

impl JobRecord {
    /// Creates the record of a job that has not been submitted yet.
    pub fn new(job: Job, queue: Queue) -> Self {
        JobRecord {
            job,
            queue,
            accepted: None,
            submissions: 0,
            refusals: 0,
            cancel_sent: None,
            cancel_acknowledged: None,
        }
    }

    /// Handles the status of a request to submit the job; `None` if there was no complete response.
    pub fn handle_response(&mut self, status: Option<u16>, now: Moment) {
        match status {
            Some(200..300) => _ = self.accepted.get_or_insert(now),
            Some(status) if REFUSALS.contains(&status) => self.refusals += 1,
            _ => {}
        }
    }

    /// Whether every request to submit the job was refused.
    pub fn is_refused(&self) -> bool {
        self.accepted.is_none() && self.refusals == self.submissions
    }
}

/// A start of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunStart<'a> {
    /// The instance that the run was on.
    pub instance: InstanceIndex,
    /// The run.
    pub run: &'a RunName,
}

/// An end of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunEnd<'a> {
    /// The instance that the run was on.
    pub instance: InstanceIndex,
    /// The run.
    pub run: &'a RunName,
    /// Why the run ended.
    pub reason: EndReason,
}

/// All events, instances and jobs of a test.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Events in the order in which they occurred.
    pub entries: Vec<Entry>,
    /// All instances of all workers, by [`InstanceIndex`].
    pub instances: Vec<InstanceRecord>,
    /// All jobs, by id.
    pub jobs: HashMap<String, JobRecord>,
}

impl Record {
    /// The instance with this index.
    pub fn instance(&self, instance: InstanceIndex) -> &InstanceRecord {
        &self.instances[instance.0]
    }

    /// All events, in order.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.entries.iter().map(|entry| &entry.event)
    }

    /// All starts of a job's tasks, in order.
    pub fn starts<'a>(&'a self, job: &'a str) -> impl Iterator<Item = RunStart<'a>> + 'a {
        self.events().filter_map(move |event| match event {
            Event::Started { instance, run, .. } if run.task.job == job => Some(RunStart {
                instance: *instance,
                run,
            }),
            _ => None,
        })
    }

    /// All ends of a job's runs, in order.
    pub fn ends<'a>(&'a self, job: &'a str) -> impl Iterator<Item = RunEnd<'a>> + 'a {
        self.events().filter_map(move |event| match event {
            Event::Ended {
                instance,
                run,
                reason,
            } if run.task.job == job => Some(RunEnd {
                instance: *instance,
                run,
                reason: *reason,
            }),
            _ => None,
        })
    }

    /// Number of starts of a job's runs.
    pub fn count_starts(&self, job: &str) -> usize {
        self.starts(job).count()
    }

    /// Number of a job's runs that have ended for this reason.
    pub fn count_ends(&self, job: &str, reason: EndReason) -> usize {
        self.ends(job).filter(|end| end.reason == reason).count()
    }

    /// Number of jobs that have been accepted.
    pub fn count_accepted(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|job| job.accepted.is_some()).count()
    }
}

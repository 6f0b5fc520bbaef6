//! The record of what has happened on workers and of what clients were shown: the input of the checks.

use crate::configuration::Queue;
use crate::job::Job;
use crate::task::RunName;
use crate::wire::{Capacity, EndReason};
use std::collections::HashMap;
use std::time::Duration;

/// Time since the environment was created.
pub type Moment = Duration;

/// Index of a worker's instance among all instances of all workers, in the order of their starts. The id that it uses
/// on the wire is in its [`InstanceRecord`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InstanceIndex(pub usize);

/// A job's state as clients are shown it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// Nothing of it runs yet.
    Queued,
    /// It runs.
    Running,
    /// All of its tasks are done.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// Its client has cancelled it.
    Cancelled,
}

impl JobState {
    /// The state with this name on the wire.
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

/// Something that happened on a worker or that a client was shown.
#[derive(Clone, Debug)]
pub enum Event {
    /// An instance of a worker started.
    InstanceStarted {
        /// Which.
        instance: InstanceIndex,
    },
    /// An instance of a worker ended, and its runs with it.
    InstanceEnded {
        /// Which.
        instance: InstanceIndex,
    },
    /// A worker started a run on an order.
    Started {
        /// Where.
        instance: InstanceIndex,
        /// What.
        run: RunName,
        /// The order's text.
        spec: String,
        /// The order's checkpoint.
        checkpoint: String,
        /// Whether that checkpoint is empty, or was reported by this task (or its gang) before.
        checkpoint_is_own: bool,
    },
    /// A run ended on a worker.
    Ended {
        /// Where.
        instance: InstanceIndex,
        /// What.
        run: RunName,
        /// Why.
        reason: EndReason,
    },
    /// An end was acknowledged, and the run lease has not expired between the end and its acknowledgement.
    EndAcknowledged {
        /// Where.
        instance: InstanceIndex,
        /// What.
        run: RunName,
        /// Why it had ended.
        reason: EndReason,
    },
    /// The instance's draining was acknowledged.
    DrainAcknowledged {
        /// Which.
        instance: InstanceIndex,
    },
    /// A client was shown a job's state.
    JobStateShown {
        /// The job.
        job: String,
        /// When the client sent its request.
        requested_at: Moment,
        /// The state; `None`: that there is no such job.
        state: Option<JobState>,
    },
    /// A worker received a response that cannot be read.
    Unreadable {
        /// Which.
        instance: InstanceIndex,
        /// What is wrong with it.
        why: String,
    },
}

/// An event and its time.
#[derive(Clone, Debug)]
pub struct Entry {
    /// When.
    pub at: Moment,
    /// What.
    pub event: Event,
}

/// An instance of a worker.
#[derive(Clone, Debug)]
pub struct InstanceRecord {
    /// Its id on the wire.
    pub id: String,
    /// The worker's name, the same over all its instances.
    pub worker: String,
    /// Its service.
    pub service: String,
    /// Its resources.
    pub capacity: Capacity,
    /// Its labels.
    pub labels: Vec<String>,
}

/// A job as its client knows it.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// The job.
    pub job: Job,
    /// The queue it was submitted to.
    pub queue: Queue,
    /// When it was first accepted.
    pub accepted: Option<Moment>,
    /// Requests to submit it so far.
    pub submissions: u32,
    /// Requests that were clearly refused.
    pub refusals: u32,
    /// When its cancellation was first requested.
    pub cancel_sent: Option<Moment>,
    /// When its cancellation was first acknowledged.
    pub cancel_acknowledged: Option<Moment>,
}

/// Statuses by which a job was not accepted and never runs.
const REFUSALS: [u16; 4] = [400, 404, 429, 503];

impl JobRecord {
    /// A job that is about to be submitted.
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

    /// A request to submit it got this status, or no complete response.
    pub fn handle_response(&mut self, status: Option<u16>, now: Moment) {
        match status {
            Some(200..300) => _ = self.accepted.get_or_insert(now),
            Some(status) if REFUSALS.contains(&status) => self.refusals += 1,
            _ => {}
        }
    }

    /// Whether every request to submit it was refused.
    pub fn is_refused(&self) -> bool {
        self.accepted.is_none() && self.refusals == self.submissions
    }
}

/// A start of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunStart<'a> {
    /// Where.
    pub instance: InstanceIndex,
    /// What.
    pub run: &'a RunName,
}

/// An end of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunEnd<'a> {
    /// Where.
    pub instance: InstanceIndex,
    /// What.
    pub run: &'a RunName,
    /// Why.
    pub reason: EndReason,
}

/// All that has happened.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Events in the order in which they happened.
    pub entries: Vec<Entry>,
    /// All instances of all workers.
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

    /// How many of a job's runs have started.
    pub fn count_starts(&self, job: &str) -> usize {
        self.starts(job).count()
    }

    /// How many of a job's runs have ended for this reason.
    pub fn count_ends(&self, job: &str, reason: EndReason) -> usize {
        self.ends(job).filter(|end| end.reason == reason).count()
    }

    /// How many jobs have been accepted.
    pub fn count_accepted(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|job| job.accepted.is_some()).count()
    }
}

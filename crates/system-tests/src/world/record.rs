//! What has happened: the material of the checks.

use super::life::LifeId;
use crate::configuration::Queue;
use crate::job::Job;
use crate::task::RunName;
use crate::wire::{Capacity, How};
use std::collections::HashMap;
use std::time::Duration;

/// Time since the world began.
pub type Moment = Duration;

/// A job's state as clients are shown it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// Nothing of it runs yet.
    Queued,
    /// It runs.
    Running,
    /// All is done.
    Completed,
    /// It has failed too often.
    Failed,
    /// Its client has cancelled it.
    Cancelled,
}

impl JobState {
    /// The state that this word names.
    pub fn of_word(word: &str) -> Option<Self> {
        Some(match word {
            "queued" => JobState::Queued,
            "running" => JobState::Running,
            "completed" => JobState::Completed,
            "failed" => JobState::Failed,
            "cancelled" => JobState::Cancelled,
            _ => return None,
        })
    }

    /// Whether nothing can follow it.
    pub fn is_final(self) -> bool {
        !matches!(self, JobState::Queued | JobState::Running)
    }
}

/// Something that happened on a worker or that a client was shown.
#[derive(Clone, Debug)]
pub enum Event {
    /// A worker began.
    LifeBegan {
        /// Its life.
        life: LifeId,
    },
    /// A worker is gone, with all that ran there.
    LifeOver {
        /// Its life.
        life: LifeId,
    },
    /// A worker began a task on an order.
    Started {
        /// Where.
        life: LifeId,
        /// What.
        run: RunName,
        /// The order's text.
        spec: String,
        /// The order's progress.
        saved: String,
        /// Whether that progress is empty, or was told of this task (or its gang) before.
        saved_is_its_own: bool,
    },
    /// A run ended on a worker.
    Ended {
        /// Where.
        life: LifeId,
        /// What.
        run: RunName,
        /// How.
        how: How,
    },
    /// An end was taken note of, with no lapse of the hold between.
    Noted {
        /// Where.
        life: LifeId,
        /// What.
        run: RunName,
        /// How it had ended.
        how: How,
    },
    /// The worker's draining was acknowledged.
    DrainAcknowledged {
        /// Its life.
        life: LifeId,
    },
    /// A client was shown a job's state.
    Shown {
        /// The job.
        job: String,
        /// When the client asked.
        asked: Moment,
        /// The state; `None`: that there is no such job.
        state: Option<JobState>,
    },
    /// A worker was told something that cannot be read.
    Unreadable {
        /// Its life.
        life: LifeId,
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

/// One life of a worker.
#[derive(Clone, Debug)]
pub struct LifeRecord {
    /// Its id.
    pub id: String,
    /// The worker's name, the same over all its lives.
    pub worker: String,
    /// Its service.
    pub service: String,
    /// What it has.
    pub capacity: Capacity,
    /// Its labels.
    pub labels: Vec<String>,
}

/// A job as its client has seen it.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// The job.
    pub job: Job,
    /// The queue it was handed to.
    pub queue: Queue,
    /// When it was first accepted.
    pub accepted: Option<Moment>,
    /// Calls to hand it in so far.
    pub calls: u32,
    /// Calls that were clearly refused.
    pub refusals: u32,
    /// When its cancelling was first asked for.
    pub cancel_sent: Option<Moment>,
    /// When its cancelling was first acknowledged.
    pub cancel_acknowledged: Option<Moment>,
}

/// Statuses that say that a job was not taken and never runs.
const REFUSALS: [u16; 4] = [400, 404, 429, 503];

impl JobRecord {
    /// A job that is about to be handed in.
    pub fn new(job: Job, queue: Queue) -> Self {
        JobRecord {
            job,
            queue,
            accepted: None,
            calls: 0,
            refusals: 0,
            cancel_sent: None,
            cancel_acknowledged: None,
        }
    }

    /// A call to hand it in got this status, or no complete answer.
    pub fn answered(&mut self, status: Option<u16>, now: Moment) {
        match status {
            Some(200..300) => _ = self.accepted.get_or_insert(now),
            Some(status) if REFUSALS.contains(&status) => self.refusals += 1,
            _ => {}
        }
    }

    /// Whether every call to hand it in was refused.
    pub fn is_refused(&self) -> bool {
        self.accepted.is_none() && self.refusals == self.calls
    }
}

/// All that has happened.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Events in the order in which they happened.
    pub entries: Vec<Entry>,
    /// All lives of all workers.
    pub lives: Vec<LifeRecord>,
    /// All jobs, by id.
    pub jobs: HashMap<String, JobRecord>,
}

impl Record {
    /// The life of this number.
    pub fn life(&self, life: LifeId) -> &LifeRecord {
        &self.lives[life.0]
    }

    /// All starts of a job's tasks, in order.
    pub fn starts<'a>(&'a self, job: &'a str) -> impl Iterator<Item = (LifeId, &'a RunName)> + 'a {
        self.entries
            .iter()
            .filter_map(move |entry| match &entry.event {
                Event::Started { life, run, .. } if run.task.job == job => Some((*life, run)),
                _ => None,
            })
    }

    /// All ends of a job's runs, in order.
    pub fn ends<'a>(
        &'a self,
        job: &'a str,
    ) -> impl Iterator<Item = (LifeId, &'a RunName, How)> + 'a {
        self.entries
            .iter()
            .filter_map(move |entry| match &entry.event {
                Event::Ended { life, run, how } if run.task.job == job => Some((*life, run, *how)),
                _ => None,
            })
    }

    /// How many of a job's runs have ended so.
    pub fn count_ends(&self, job: &str, how: How) -> usize {
        self.ends(job).filter(|(_, _, ended)| *ended == how).count()
    }
}

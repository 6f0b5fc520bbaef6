//! An open job that one process of this scheduler transfers to the process that takes over: what the decision module
//! knows of it, as a value. The history of its attempts is part of it, so that every limit on attempts goes on to hold.
//!
//! Classes and workers are ids inside a process and names between processes. Between processes the value is serialized
//! by postcard, field by field in this order: the order and the types of the fields must stay as they are.

use crate::ids::Time;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Most slots that a job may take.
const SLOTS_MAX: f64 = 1e6;

/// What the decision module knows of an open job; `N` identifies its class and the workers of its attempts. Times are
/// microseconds of Unix time, durations microseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TransferredJob<N> {
    /// Its class.
    pub class: N,
    /// Started after this time, it would likely end after its latency target.
    pub late_from: Time,
    /// When its client gives up.
    pub deadline: Time,
    /// Expected work as time at speed 1, where the client gave one.
    pub estimate: Option<Time>,
    /// What it is about: jobs with the same affinity need the same data, which workers keep for a while.
    pub affinity: Option<u64>,
    /// Slots that it takes.
    pub slots: f64,
    /// Attempts that it may have at most.
    pub attempt_limit: usize,
    /// It is beyond its tenant's quota.
    pub over_quota: bool,
    /// Its attempts so far, in the order sent.
    pub attempts: Vec<Attempt<N>>,
}

/// One attempt of a job; `N` identifies its worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Attempt<N> {
    /// Its worker.
    pub worker: N,
    /// When it was sent.
    pub sent: Time,
    /// For how long the oldest connection to the worker had been idle when it was sent.
    pub connection_idle: Time,
    /// When the worker started it. Where starts are not reported: when it was sent, if no other own job was there.
    pub started: Option<Time>,
    /// The last progress report, or the start.
    pub last_progress: Progress,
    /// The first progress report with work done.
    pub first_progress: Option<Progress>,
    /// It was not sent to the worker where jobs with its affinity go first.
    pub away_from_home: bool,
    /// Its progress report was overdue: its slots count as free.
    pub timed_out: bool,
    /// The worker has not acknowledged it in time.
    pub unacknowledged: bool,
    /// It has ended.
    pub done: bool,
    /// It has ended without having run.
    pub never_ran: bool,
}

/// How far an attempt was at some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// When it was reported.
    pub at: Time,
    /// Fraction of the work that was done, 0 to 1.
    pub done: f64,
}

/// Why a transferred job is not adopted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InvalidJob {
    /// Its slots are negative, not a number, or more than any job takes.
    Slots(f64),
    /// The reported progress of an attempt is no fraction of its work.
    Progress(f64),
}

impl fmt::Display for InvalidJob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidJob::Slots(slots) => {
                write!(
                    f,
                    "slots of a job are {slots}, 0 to {SLOTS_MAX} are allowed"
                )
            }
            InvalidJob::Progress(done) => {
                write!(f, "the share done of a job is {done}, 0 to 1 is allowed")
            }
        }
    }
}

impl std::error::Error for InvalidJob {}

impl<N> Attempt<N> {
    /// The same attempt with another identifier of its worker.
    pub fn at<M>(self, rename: impl FnOnce(N) -> M) -> Attempt<M> {
        Attempt {
            worker: rename(self.worker),
            sent: self.sent,
            connection_idle: self.connection_idle,
            started: self.started,
            last_progress: self.last_progress,
            first_progress: self.first_progress,
            away_from_home: self.away_from_home,
            timed_out: self.timed_out,
            unacknowledged: self.unacknowledged,
            done: self.done,
            never_ran: self.never_ran,
        }
    }

    /// Fractions of work done that were reported of it.
    fn reported_fractions(&self) -> impl Iterator<Item = f64> {
        let first = self.first_progress.map(|progress| progress.done);
        [Some(self.last_progress.done), first].into_iter().flatten()
    }
}

impl<N> TransferredJob<N> {
    /// The same job with other identifiers; `None` if `class` has none for its class. `worker` has to give one for
    /// every worker, also for those that its process does not know.
    pub fn renamed<M>(
        self,
        class: impl FnOnce(&N) -> Option<M>,
        mut worker: impl FnMut(&N) -> M,
    ) -> Option<TransferredJob<M>> {
        let attempts = self.attempts.into_iter();
        Some(TransferredJob {
            class: class(&self.class)?,
            late_from: self.late_from,
            deadline: self.deadline,
            estimate: self.estimate,
            affinity: self.affinity,
            slots: self.slots,
            attempt_limit: self.attempt_limit,
            over_quota: self.over_quota,
            attempts: attempts
                .map(|attempt| attempt.at(|name| worker(&name)))
                .collect(),
        })
    }

    /// Checks what another process has sent.
    ///
    /// # Errors
    /// The first number that is out of its range.
    pub fn check(&self) -> Result<(), InvalidJob> {
        if !(0.0..=SLOTS_MAX).contains(&self.slots) {
            return Err(InvalidJob::Slots(self.slots));
        }
        let mut fractions = self.attempts.iter().flat_map(Attempt::reported_fractions);
        match fractions.find(|done| !(0.0..=1.0).contains(done)) {
            Some(done) => Err(InvalidJob::Progress(done)),
            None => Ok(()),
        }
    }
}

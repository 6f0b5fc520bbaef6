//! State of an open job that one process of this scheduler transfers to the process that replaces it. The state
//! includes the history of the job's attempts, so that every limit on attempts continues to hold.
//!
//! Classes and workers are identified by numbers inside a process and by names between processes. Between processes the
//! value is serialized by postcard, field by field in order: the order and the types of the fields must not change.

use crate::ids::Time;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum number of slots of a job.
const SLOTS_MAX: f64 = 1e6;

/// State of an open job in the decision module; `N` identifies its class and the workers of its attempts. Times are
/// microseconds of Unix time, durations microseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TransferredJob<N> {
    /// Class of the job.
    pub class: N,
    /// If the job starts after this time, it will probably end after its latency target.
    pub late_from: Time,
    /// When the client gives up.
    pub deadline: Time,
    /// Expected work as run time at speed 1; `None`: the client gave no estimate.
    pub estimate: Option<Time>,
    /// Jobs with the same affinity need the same data, which workers cache for a while. `None`: no affinity.
    pub affinity: Option<u64>,
    /// Slots that the job takes.
    pub slots: f64,
    /// Maximum number of attempts of the job.
    pub attempt_limit: usize,
    /// Whether the job is beyond its tenant's quota.
    pub over_quota: bool,
    /// Attempts so far, in the order sent.
    pub attempts: Vec<Attempt<N>>,
}

/// One attempt of a job; `N` identifies its worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Attempt<N> {
    /// Worker that the attempt was sent to.
    pub worker: N,
    /// When the attempt was sent.
    pub sent: Time,
    /// How long the oldest idle connection to the worker had been idle at the send; 0: there was none.
    pub connection_idle: Time,
    /// When the worker started the attempt. If workers report no starts, the time of the send, provided that no other
    /// job of this dispatcher was there.
    pub started: Option<Time>,
    /// The last progress report, or the start with no work done.
    pub last_progress: Progress,
    /// The first progress report that shows work done.
    pub first_progress: Option<Progress>,
    /// Whether the attempt was sent to a worker other than the home worker of the job's affinity.
    pub away_from_home: bool,
    /// Whether a progress report or the acknowledgement was overdue, so that the attempt's slots count as free.
    pub timed_out: bool,
    /// Whether the worker has failed to acknowledge the attempt in time.
    pub unacknowledged: bool,
    /// Whether the attempt has ended.
    pub done: bool,
    /// Whether the attempt has ended without having run.
    pub never_ran: bool,
}

/// Progress of an attempt at some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// When the progress was reported.
    pub at: Time,
    /// Fraction of the work done, 0 to 1.
    pub done: f64,
}

/// Why a transferred job is not adopted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InvalidJob {
    /// The number of slots is negative, not a number, or greater than any job may take.
    Slots(f64),
    /// The reported progress of an attempt is not a fraction between 0 and 1.
    Progress(f64),
}

impl fmt::Display for InvalidJob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidJob::Slots(slots) => {
                write!(
                    f,
                    "the transferred job takes {slots} slots: 0 to {SLOTS_MAX} are allowed"
                )
            }
            InvalidJob::Progress(done) => {
                write!(
                    f,
                    "the progress of an attempt of the transferred job is {done}: 0 to 1 is allowed"
                )
            }
        }
    }
}

impl std::error::Error for InvalidJob {}

impl<N> Attempt<N> {
    /// The same attempt with its worker's identifier translated.
    pub fn renamed<M>(self, rename: impl FnOnce(N) -> M) -> Attempt<M> {
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

    /// Reported fractions of work done.
    fn reported_fractions(&self) -> impl Iterator<Item = f64> {
        let first = self.first_progress.map(|progress| progress.done);
        [Some(self.last_progress.done), first].into_iter().flatten()
    }
}

impl<N> TransferredJob<N> {
    /// The same job with its identifiers translated; `None` if `class` returns none for the job's class. `worker` must
    /// return an identifier for every worker, including those that the receiving process does not know.
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
                .map(|attempt| attempt.renamed(|name| worker(&name)))
                .collect(),
        })
    }

    /// Checks a job that another process has sent.
    ///
    /// # Errors
    /// Returns the first number that is out of range.
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

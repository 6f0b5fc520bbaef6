//! An open job on its way from one process of this scheduler to the one that takes over: what the module knows of it,
//! as a value. What its attempts have done so far goes with it, so that no rule on attempts begins anew. Names are
//! numbers inside a process and texts between processes.

use crate::ids::Time;
use serde::{Deserialize, Serialize};

/// What a module knows of an open job; `N` is what names its class and the workers of its attempts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredJob<N> {
    /// Its class.
    pub class: N,
    /// Started after this, it would likely be late.
    pub late_from: Time,
    /// When its client gives up.
    pub deadline: Time,
    /// Expected work, where given.
    pub estimate: Option<Time>,
    /// What it is about.
    pub affinity: Option<u64>,
    /// Slots that it takes.
    pub slots: f64,
    /// Attempts that it may have in all.
    pub attempt_limit: usize,
    /// It is beyond its tenant's share.
    pub over_quota: bool,
    /// Its attempts so far, in order.
    pub attempts: Vec<Attempt<N>>,
}

/// One attempt.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Attempt<N> {
    /// Its worker.
    pub worker: N,
    /// When it was sent.
    pub sent: Time,
    /// How long a connection to the worker had been idle then.
    pub connection_idle: Time,
    /// When its job began. Where that is not told: when it was sent, if no other job of ours was there.
    pub started: Option<Time>,
    /// Its last sign, and the share done by then.
    pub last_progress: (Time, f64),
    /// The first share done that was told.
    pub first_progress: Option<(Time, f64)>,
    /// It did not go to the worker where its like goes first.
    pub away_from_home: bool,
    /// No sign came when it was due: its slots are taken for free.
    pub timed_out: bool,
    /// The worker has not said in time that it took it.
    pub unacknowledged: bool,
    /// It has ended.
    pub done: bool,
    /// ... and never ran.
    pub never_ran: bool,
}

impl<N> Attempt<N> {
    /// The same at a worker by another name.
    pub fn at<M>(self, name: impl FnOnce(N) -> M) -> Attempt<M> {
        Attempt {
            worker: name(self.worker),
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
}

impl<N> TransferredJob<N> {
    /// The same under other names. `None`: its class has none there. A worker without one gets what `worker` makes up.
    pub fn renamed<M>(
        self,
        class: impl FnOnce(&N) -> Option<M>,
        mut worker: impl FnMut(&N) -> M,
    ) -> Option<TransferredJob<M>> {
        Some(TransferredJob {
            class: class(&self.class)?,
            late_from: self.late_from,
            deadline: self.deadline,
            estimate: self.estimate,
            affinity: self.affinity,
            slots: self.slots,
            attempt_limit: self.attempt_limit,
            over_quota: self.over_quota,
            attempts: self
                .attempts
                .into_iter()
                .map(|t| t.at(|n| worker(&n)))
                .collect(),
        })
    }

    /// Is every figure one that can be?
    pub fn check(&self) -> Result<(), String> {
        if !(0.0..=1e6).contains(&self.slots) {
            return Err(format!(
                "slots of a job are {}, 0 to 1000000 are allowed",
                self.slots
            ));
        }
        let shares = self.attempts.iter().flat_map(|t| {
            [
                t.last_progress.1,
                t.first_progress
                    .map_or(0.0, |first_progress| first_progress.1),
            ]
        });
        match shares
            .into_iter()
            .find(|fraction| !(0.0..=1.0).contains(fraction))
        {
            Some(fraction) => Err(format!(
                "the share done of a job is {fraction}, 0 to 1 is allowed"
            )),
            None => Ok(()),
        }
    }
}

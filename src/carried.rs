//! An open job on its way from one process of this scheduler to the one that takes over: what the module knows of it,
//! as a value. What its attempts have done so far goes with it, so that no rule on attempts begins anew. Names are
//! numbers inside a process and texts between processes.

use crate::ids::Time;
use serde::{Deserialize, Serialize};

/// What a module knows of an open job; `N` is what names its class and the workers of its attempts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Carried<N> {
    /// Its class.
    pub class: N,
    /// Started after this, it would likely be late.
    pub late_from: Time,
    /// When its client gives up.
    pub deadline: Time,
    /// Expected work, where given.
    pub estimate: Option<Time>,
    /// What it is about.
    pub subject: Option<u64>,
    /// Slots that it takes.
    pub slots: f64,
    /// Attempts that it may have in all.
    pub attempts: usize,
    /// It is beyond its tenant's share.
    pub over: bool,
    /// Its attempts so far, in order.
    pub tries: Vec<Try<N>>,
}

/// One attempt.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Try<N> {
    /// Its worker.
    pub worker: N,
    /// When it was sent.
    pub sent: Time,
    /// How long a connection to the worker had been idle then.
    pub unused: Time,
    /// When its job began. Where that is not told: when it was sent, if no other job of ours was there.
    pub started: Option<Time>,
    /// Its last sign, and the share done by then.
    pub sign: (Time, f64),
    /// The first share done that was told.
    pub told: Option<(Time, f64)>,
    /// It did not go to the worker where its like goes first.
    pub away: bool,
    /// No sign came when it was due: its slots are taken for free.
    pub silent: bool,
    /// The worker has not said in time that it took it.
    pub unheard: bool,
    /// It has ended.
    pub done: bool,
    /// ... and never ran.
    pub never_ran: bool,
}

impl<N> Try<N> {
    /// The same at a worker by another name.
    pub fn at<M>(self, name: impl FnOnce(N) -> M) -> Try<M> {
        Try {
            worker: name(self.worker),
            sent: self.sent,
            unused: self.unused,
            started: self.started,
            sign: self.sign,
            told: self.told,
            away: self.away,
            silent: self.silent,
            unheard: self.unheard,
            done: self.done,
            never_ran: self.never_ran,
        }
    }
}

impl<N> Carried<N> {
    /// The same under other names. `None`: its class has none there. A worker without one gets what `worker` makes up.
    pub fn renamed<M>(
        self,
        class: impl FnOnce(&N) -> Option<M>,
        mut worker: impl FnMut(&N) -> M,
    ) -> Option<Carried<M>> {
        Some(Carried {
            class: class(&self.class)?,
            late_from: self.late_from,
            deadline: self.deadline,
            estimate: self.estimate,
            subject: self.subject,
            slots: self.slots,
            attempts: self.attempts,
            over: self.over,
            tries: self
                .tries
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
        let shares = self
            .tries
            .iter()
            .flat_map(|t| [t.sign.1, t.told.map_or(0.0, |told| told.1)]);
        match shares
            .into_iter()
            .find(|share| !(0.0..=1.0).contains(share))
        {
            Some(share) => Err(format!(
                "the share done of a job is {share}, 0 to 1 is allowed"
            )),
            None => Ok(()),
        }
    }
}

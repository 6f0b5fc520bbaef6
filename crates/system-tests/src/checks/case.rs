//! The rules' names, and a record under examination.

use crate::environment::{Moment, Record};
use crate::job::Step;
use crate::settings::Bounds;
use crate::task::TaskName;
use std::fmt;

/// A rule, by its name on the page of rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// A worker's capacity is never exceeded.
    Limit,
    /// A task never has two runs at once, nor another run once its `done` is acknowledged.
    Twice,
    /// A step waits for the steps before it, a repetition for its time.
    Order,
    /// A task runs where its queue's configuration, its step's label and its step's spread allow it.
    Route,
    /// A task is not retried after it has failed as often as its queue allows.
    Budget,
    /// No member of a gang waits in vain.
    Gang,
    /// Only what was submitted is started, as it was submitted, and nothing long after its cancellation.
    Unasked,
    /// Nothing is started that was refused.
    Refused,
    /// No task starts on a draining worker.
    Drain,
    /// A job that is shown as completed is complete.
    Mixed,
    /// An accepted job is kept.
    Lost,
    /// Attempt numbers of a task rise.
    Attempt,
    /// Responses to workers can be read.
    Wire,
}

/// A rule that was broken.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When.
    pub at: Moment,
    /// By what.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (rule, at_s, detail) = (self.rule, self.at.as_secs_f64(), &self.detail);
        write!(f, "{rule:?} at {at_s:.3} s: {detail}")
    }
}

/// Checks that do not apply to a test because of the faults that it injects.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exemptions {
    /// Gangs may wait in vain: something was killed, partitioned or frozen.
    pub gangs: bool,
    /// Cancelled jobs may run on: the same, beside a cancellation.
    pub late_stops: bool,
}

/// A record under examination, what it is checked against, and the violations found so far.
pub(super) struct Case<'a> {
    pub(super) record: &'a Record,
    pub(super) bounds: &'a Bounds,
    pub(super) now: Moment,
    found: Vec<Violation>,
}

impl<'a> Case<'a> {
    pub(super) fn new(record: &'a Record, bounds: &'a Bounds, now: Moment) -> Self {
        Case {
            record,
            bounds,
            now,
            found: Vec::new(),
        }
    }

    pub(super) fn report(&mut self, rule: Rule, at: Moment, detail: String) {
        self.found.push(Violation { rule, at, detail });
    }

    pub(super) fn into_violations(self) -> Vec<Violation> {
        self.found
    }
}

/// The step of a task whose job was submitted.
pub(super) fn step_of<'a>(record: &'a Record, task: &TaskName) -> Option<&'a Step> {
    record.jobs.get(&task.job)?.job.stages.get(task.step)
}

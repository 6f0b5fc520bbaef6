//! The rules' names, and the state of one check of a record.

use crate::environment::{Moment, Record};
use crate::job::Step;
use crate::settings::Bounds;
use crate::task::TaskName;
use std::fmt;

/// A rule, under its name in the documentation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// A worker's capacity is never exceeded.
    Limit,
    /// A task never has two runs at once, nor another run once its `done` is acknowledged.
    Twice,
    /// A step starts after the steps it depends on are done, and a repetition not before its due time.
    Order,
    /// A task runs where its queue's configuration, its step's label and its step's spread allow it.
    Route,
    /// A task is not retried after it has failed as often as its queue allows.
    Budget,
    /// No member of a gang ends because the other members did not start in time.
    Gang,
    /// Only submitted tasks start, with their submitted text, and none starts or runs on long after a cancellation.
    Unasked,
    /// No task of a refused job starts.
    Refused,
    /// No task starts on a draining worker.
    Drain,
    /// A job that is shown as completed is complete.
    Mixed,
    /// An accepted job does not disappear, and is not shown as failed or cancelled without cause.
    Lost,
    /// Attempt numbers of a task increase from start to start.
    Attempt,
    /// Workers can parse every response to their heartbeats.
    Wire,
}

/// One violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// When the violation was observed.
    pub at: Moment,
    /// Description of the violation, for the test's failure message.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (rule, at_s, detail) = (self.rule, self.at.as_secs_f64(), &self.detail);
        write!(f, "{rule:?} at {at_s:.3} s: {detail}")
    }
}

/// Checks that are skipped for a test because of the faults that it injects.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exemptions {
    /// Skips the gang rule: after a kill, a partition or a freeze, members may wait for others that never start.
    pub gangs: bool,
    /// Skips the rule on cancelled jobs: with such a fault around a cancellation, their runs may start or end late.
    pub late_stops: bool,
}

/// A record being checked, the bounds that it is checked against, and the violations found so far.
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

/// The step of a task; `None` if its job was not submitted or has no such step.
pub(super) fn step_of<'a>(record: &'a Record, task: &TaskName) -> Option<&'a Step> {
    record.jobs.get(&task.job)?.job.stages.get(task.step)
}

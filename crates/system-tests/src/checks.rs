//! The rules, held against the record of a test.

mod jobs;
mod placement;
mod runs;

use crate::settings::Bounds;
use crate::world::{Moment, Record};
use std::fmt;

/// A rule, by its name on the page of rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// A worker's capacity is never exceeded.
    Limit,
    /// A task never runs twice at once, nor again once its `done` is taken note of.
    Twice,
    /// A step waits for the steps before it, a repetition for its time.
    Order,
    /// A task runs where its queue's configuration, its step's label and its step's spread allow it.
    Route,
    /// A task is not started again after it has failed as often as its queue allows.
    Budget,
    /// No member of a gang waits in vain.
    Gang,
    /// Only what was sent is started, as it was sent, and nothing long after its cancelling.
    Unasked,
    /// Nothing is started that was refused.
    Refused,
    /// A draining worker gets nothing new.
    Drain,
    /// What is shown as completed is.
    Mixed,
    /// What was accepted is kept.
    Lost,
    /// Run numbers of a task rise.
    Attempt,
    /// What workers are told can be read.
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
        write!(
            f,
            "{:?} at {:.3} s: {}",
            self.rule,
            self.at.as_secs_f64(),
            self.detail
        )
    }
}

/// What a test does that a rule excuses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Excuses {
    /// Gangs may wait in vain: something was killed, cut off or frozen.
    pub gangs: bool,
    /// Cancelled jobs may run on: the same, beside a cancelling.
    pub late_stops: bool,
}

/// A record under examination, and what it is held against.
struct Case<'a> {
    record: &'a Record,
    bounds: &'a Bounds,
    now: Moment,
    found: Vec<Violation>,
}

impl Case<'_> {
    fn report(&mut self, rule: Rule, at: Moment, detail: String) {
        self.found.push(Violation { rule, at, detail });
    }
}

/// All rules that were broken up to `now`.
pub fn violations(
    record: &Record,
    bounds: &Bounds,
    excuses: Excuses,
    now: Moment,
) -> Vec<Violation> {
    let mut case = Case {
        record,
        bounds,
        now,
        found: Vec::new(),
    };
    placement::limit(&mut case);
    placement::route(&mut case);
    placement::drain(&mut case);
    runs::twice(&mut case);
    runs::order(&mut case);
    runs::attempts(&mut case);
    runs::budget(&mut case);
    if !excuses.gangs {
        runs::gangs(&mut case);
    }
    jobs::unasked(&mut case);
    if !excuses.late_stops {
        jobs::cancelled(&mut case);
    }
    jobs::shown(&mut case);
    jobs::unreadable(&mut case);
    case.found
}

//! The fronts: each speaks one protocol with clients and job workers, on the same core and rules.

pub mod faktory;
pub mod platform;

use crate::api::Time;
use std::cell::Cell;

/// The program's lifecycle, as the fronts share it.
#[derive(Default)]
pub struct Lifecycle {
    /// The program is to stop.
    pub stopping: Cell<bool>,
    /// ... and closes connections, each after its answer.
    pub closing: Cell<bool>,
    /// By when a job that still comes must be answered.
    pub answer_deadline: Cell<Option<Time>>,
    /// Operators have asked for no new clients: not ready, and connections are closed, each after its answer.
    pub drained: Cell<bool>,
    /// This process accepts clients.
    pub accepting: Cell<bool>,
    /// A new process serves in place of this one.
    pub superseded: Cell<bool>,
    /// When a job last came.
    pub last_job: Cell<Time>,
}

impl Lifecycle {
    /// Are clients to go elsewhere, each after its answer?
    pub fn closes_after_answer(&self) -> bool {
        self.closing.get() || self.drained.get() || self.superseded.get()
    }

    /// The time until which a job that comes now may take.
    pub fn bound(&self, until: Time) -> Time {
        self.answer_deadline
            .get()
            .map_or(until, |last| until.min(last))
    }
}

//! The fronts: each speaks one protocol with clients and job workers, on the same core and rules.

pub mod faktory;
pub mod platform;

use crate::api::Time;
use std::cell::Cell;

/// What the fronts share of the program's life.
#[derive(Default)]
pub struct Life {
    /// The program is to stop.
    pub stopping: Cell<bool>,
    /// ... and closes connections, each after its answer.
    pub closing: Cell<bool>,
    /// By when a job that still comes must be answered.
    pub last_moment: Cell<Option<Time>>,
    /// Operators have asked for no new clients: not ready, and connections are closed, each after its answer.
    pub drained: Cell<bool>,
    /// This process accepts clients.
    pub accepting: Cell<bool>,
    /// A new process serves in place of this one.
    pub handed: Cell<bool>,
    /// When a job last came.
    pub last_job: Cell<Time>,
}

impl Life {
    /// Are clients to go elsewhere, each after its answer?
    pub fn sends_away(&self) -> bool {
        self.closing.get() || self.drained.get() || self.handed.get()
    }

    /// The time until which a job that comes now may take.
    pub fn bound(&self, until: Time) -> Time {
        self.last_moment.get().map_or(until, |last| until.min(last))
    }
}

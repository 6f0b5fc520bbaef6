//! The protocol front ends. Each one serves clients and job workers over its own protocol; all use the same core and
//! scheduling rules.

pub mod faktory;
pub mod platform;

use crate::api::Time;
use std::cell::Cell;

/// Lifecycle state of the process, shared by the front ends.
#[derive(Default)]
pub struct Lifecycle {
    /// A shutdown has been requested.
    pub stopping: Cell<bool>,
    /// The shutdown has reached the phase in which each connection is closed after its current answer.
    pub closing: Cell<bool>,
    /// Latest time at which a job may be answered during a shutdown; `None` while there is no such limit.
    pub answer_deadline: Cell<Option<Time>>,
    /// An operator has drained the process: it reports not ready and closes each connection after its current answer.
    pub drained: Cell<bool>,
    /// This process accepts client connections.
    pub accepting: Cell<bool>,
    /// A new process has taken over serving from this one.
    pub superseded: Cell<bool>,
    /// Time at which the last job arrived.
    pub last_job: Cell<Time>,
}

impl Lifecycle {
    /// Whether connections are closed after their current answer, so that clients connect to another process.
    pub fn closes_after_answer(&self) -> bool {
        self.closing.get() || self.drained.get() || self.superseded.get()
    }

    /// Returns the job deadline `until`, or `answer_deadline` if that is earlier.
    pub fn cap_deadline(&self, until: Time) -> Time {
        self.answer_deadline
            .get()
            .map_or(until, |last| until.min(last))
    }
}

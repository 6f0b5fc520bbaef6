//! Number of tasks by state.

use serde::{Deserialize, Serialize};

/// Number of tasks by state, over the repetitions that are due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Tasks that could start: the steps they depend on are done and they have no outstanding run.
    pub waiting: u64,
    /// Tasks that depend on steps that are not done.
    pub blocked: u64,
    /// Tasks with an outstanding run, that is one that was placed and is not known to have ended or to be lost. Whether its
    /// worker has begun it is not stored.
    pub running: u64,
    /// Tasks that are done.
    pub done: u64,
}

impl TaskCounts {
    /// Adds the counts of `other`, state by state.
    pub fn add(&mut self, other: TaskCounts) {
        self.waiting += other.waiting;
        self.blocked += other.blocked;
        self.running += other.running;
        self.done += other.done;
    }
}

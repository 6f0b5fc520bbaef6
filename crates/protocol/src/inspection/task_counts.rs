//! Tasks by state.

use serde::{Deserialize, Serialize};

/// Tasks by state. Only repetitions that are due count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Their earlier steps are done and nothing of them runs.
    pub waiting: u64,
    /// Earlier steps are not done.
    pub blocked: u64,
    /// A run is outstanding.
    pub running: u64,
    /// Done.
    pub done: u64,
}

impl TaskCounts {
    /// Adds others.
    pub fn add(&mut self, other: TaskCounts) {
        self.waiting += other.waiting;
        self.blocked += other.blocked;
        self.running += other.running;
        self.done += other.done;
    }
}

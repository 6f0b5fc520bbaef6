//! Whether a worker has begun a task of the job, and whether its rows show it.

use crate::jobs::job::Job;
use crate::jobs::repetition::Repetition;

impl Job {
    /// Whether a worker has begun a task of the job. A run that is placed, or whose start order is sent, has not begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.begun
    }

    /// Whether the job has begun, but its rows, as last written, do not show it.
    pub(crate) fn has_unwritten_begin(&self) -> bool {
        self.begun && !self.begun_in_rows
    }

    /// Whether the job's repetitions alone show that it has begun: one has ended, or a run of a task of the others is known
    /// to have begun.
    pub(crate) fn progress_shows_begin(&self) -> bool {
        let has_ended_repeat = self.next_repeat as usize > self.repeats.len();
        has_ended_repeat || self.repeats.values().any(Repetition::shows_begin)
    }

    /// Records that a worker has begun a task of the job; returns whether that is new.
    pub(crate) fn set_begun(&mut self) -> bool {
        !std::mem::replace(&mut self.begun, true)
    }
}

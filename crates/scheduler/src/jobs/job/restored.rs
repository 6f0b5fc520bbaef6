//! Restoring a job from the rows that a previous head has written.

use crate::definition::{Definition, JobEnd};
use crate::jobs::job::Job;
use crate::jobs::repetition::Repetition;
use crate::jobs::run::Run;
use crate::jobs::step::StepState;
use crate::jobs::task::Task;
use indigofold_protocol::task::TaskName;
use std::collections::BTreeMap;

impl Job {
    /// Creates a job from its stored rows, without its repetitions; [`restore_repeats`](Self::restore_repeats) adds them.
    pub(crate) fn restored(definition: Definition, end: Option<JobEnd>, next_repeat: u32) -> Self {
        Job {
            end,
            next_repeat,
            ..Job::new(definition)
        }
    }

    /// Adds the repetitions that had not ended when the rows were written. `has_begun` is what the rows say of the job
    /// besides; rows of earlier versions, which say nothing, show that it has begun by its progress only.
    pub(crate) fn restore_repeats(&mut self, repeats: BTreeMap<u32, Repetition>, has_begun: bool) {
        self.repeats = repeats;
        self.begun = has_begun || self.progress_shows_begin();
        self.begun_in_rows = self.begun;
        let tasks = self
            .repeats
            .values()
            .flat_map(Repetition::steps)
            .flat_map(StepState::tasks);
        self.outstanding_count = tasks.flat_map(Task::runs).count() as u32;
    }

    /// Adds a speculative run to a task; ignored if the task has no regular run.
    pub(crate) fn restore_speculative_run(&mut self, task: &TaskName, run: Run) {
        let restored = self
            .task_mut(task)
            .is_some_and(|entry| entry.restore_speculative_run(run));
        self.outstanding_count += u32::from(restored);
    }
}

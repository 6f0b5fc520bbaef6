//! One repetition of a job: the state of each of its steps.

use crate::jobs::step::StepState;

/// A repetition of a job that is due and has not ended.
#[derive(Debug)]
pub(crate) struct Repetition {
    /// When the repetition was due, on the monotonic clock; negative if that was before the clock's zero.
    due_ms: i64,
    steps: Vec<StepState>,
}

impl Repetition {
    /// Creates a repetition with these steps; `due_ms` is on the monotonic clock.
    pub(crate) fn new(due_ms: i64, steps: Vec<StepState>) -> Self {
        Repetition { due_ms, steps }
    }

    /// When the repetition was due, on the monotonic clock; negative if that was before the clock's zero.
    pub(crate) fn due_ms(&self) -> i64 {
        self.due_ms
    }

    /// The states of all steps, by step number.
    pub(crate) fn steps(&self) -> &[StepState] {
        &self.steps
    }

    /// The state of the step with this number, counted from 0.
    pub(crate) fn step(&self, number: u32) -> Option<&StepState> {
        self.steps.get(number as usize)
    }

    /// The state of the step with this number, counted from 0, for changes.
    pub(crate) fn step_mut(&mut self, number: u32) -> Option<&mut StepState> {
        self.steps.get_mut(number as usize)
    }

    /// Whether all tasks of the repetition are done.
    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }

    /// Whether the state of any step shows that a run of one of its tasks has begun.
    pub(crate) fn shows_begin(&self) -> bool {
        self.steps.iter().any(StepState::shows_begin)
    }

    /// Whether all tasks are done and no run is outstanding.
    pub(crate) fn is_finished(&self) -> bool {
        self.is_done() && self.steps.iter().all(StepState::is_idle)
    }
}

//! One repetition of a job's steps.

use crate::jobs::step::StepState;

/// One repetition of a job's steps.
#[derive(Debug)]
pub(crate) struct Repetition {
    /// When it was due, on the steady clock (may lie before its beginning).
    due_ms: i64,
    steps: Vec<StepState>,
}

impl Repetition {
    /// A repetition with these steps; `due_ms` is on the steady clock.
    pub(crate) fn new(due_ms: i64, steps: Vec<StepState>) -> Self {
        Repetition { due_ms, steps }
    }

    /// When it was due, on the steady clock (may lie before its beginning).
    pub(crate) fn due_ms(&self) -> i64 {
        self.due_ms
    }

    /// Its steps.
    pub(crate) fn steps(&self) -> &[StepState] {
        &self.steps
    }

    /// One of its steps.
    pub(crate) fn step(&self, number: u32) -> Option<&StepState> {
        self.steps.get(number as usize)
    }

    /// One of its steps.
    pub(crate) fn step_mut(&mut self, number: u32) -> Option<&mut StepState> {
        self.steps.get_mut(number as usize)
    }

    /// All its tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }

    /// All its tasks are done and no run is outstanding.
    pub(crate) fn is_finished(&self) -> bool {
        self.is_done() && self.steps.iter().all(StepState::is_idle)
    }
}

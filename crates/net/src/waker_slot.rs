//! A place for the waker of one waiting task.

use std::cell::RefCell;
use std::task::Waker;

/// Keeps the waker of the one task that waits for something.
#[derive(Debug, Default)]
pub(crate) struct WakerSlot(RefCell<Option<Waker>>);

impl WakerSlot {
    /// Has `waker` woken at the next [`WakerSlot::wake`], in place of the one registered before.
    pub(crate) fn register(&self, waker: &Waker) {
        let mut registered = self.0.borrow_mut();
        if !registered
            .as_ref()
            .is_some_and(|previous| previous.will_wake(waker))
        {
            *registered = Some(waker.clone());
        }
    }

    /// Wakes the task that waits, if one does.
    pub(crate) fn wake(&self) {
        if let Some(waker) = self.0.borrow_mut().take() {
            waker.wake();
        }
    }
}

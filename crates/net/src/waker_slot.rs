//! Storage for the waker of one waiting task.

use std::cell::RefCell;
use std::task::Waker;

/// Stores the waker of the one task that waits for an event.
#[derive(Debug, Default)]
pub(crate) struct WakerSlot(RefCell<Option<Waker>>);

impl WakerSlot {
    /// Registers `waker` for the next [`WakerSlot::wake`]; it replaces the one registered before.
    pub(crate) fn register(&self, waker: &Waker) {
        let mut registered = self.0.borrow_mut();
        if !registered
            .as_ref()
            .is_some_and(|previous| previous.will_wake(waker))
        {
            *registered = Some(waker.clone());
        }
    }

    /// Wakes the waiting task, if there is one, and clears the slot.
    pub(crate) fn wake(&self) {
        if let Some(waker) = self.0.borrow_mut().take() {
            waker.wake();
        }
    }
}

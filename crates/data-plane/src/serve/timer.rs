//! The single timer of a process; its sleep is restarted only when something is due earlier than before.

use futures_channel::oneshot;
use futures_util::future::{Either, select};
use indigofold_net::{runtime, steady_ms};
use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::time::Duration;

/// Maximum duration of one sleep of the timer.
const LONGEST_SLEEP_MS: u64 = 60_000;

/// A timer that calls a function when something is due; any part of the process may set it to an earlier time.
#[derive(Default)]
pub(super) struct Timer {
    /// Time at which something is due next; `u64::MAX` for never.
    due_ms: Cell<u64>,
    /// Interrupts the current sleep.
    restart: RefCell<Option<oneshot::Sender<()>>>,
}

impl Timer {
    /// Sets the timer to `due_ms`, where `None` means never. A time later than the one set before is ignored.
    pub(super) fn set_if_earlier(&self, due_ms: Option<u64>) {
        let due_ms = due_ms.unwrap_or(u64::MAX);
        if due_ms >= self.due_ms.get() {
            return;
        }
        self.due_ms.set(due_ms);
        if let Some(restart) = self.restart.borrow_mut().take() {
            // The send fails if the sleep has already ended.
            let _ = restart.send(());
        }
    }

    /// Calls `on_due` at once and then whenever something is due; `on_due` returns the next time at which something is
    /// due.
    pub(super) async fn run(&self, on_due: impl Fn() -> Option<u64>) {
        loop {
            self.due_ms.set(on_due().unwrap_or(u64::MAX));
            while steady_ms() < self.due_ms.get() {
                self.sleep().await;
            }
        }
    }

    /// Sleeps until the due time, for at most [`LONGEST_SLEEP_MS`], or until the timer is set to an earlier time.
    async fn sleep(&self) {
        let (sender, receiver) = oneshot::channel();
        *self.restart.borrow_mut() = Some(sender);
        let sleep_duration_ms = self
            .due_ms
            .get()
            .saturating_sub(steady_ms())
            .min(LONGEST_SLEEP_MS);
        let sleep = pin!(runtime::sleep(Duration::from_millis(sleep_duration_ms)));
        if let Either::Left(_) = select(sleep, receiver).await {
            self.restart.borrow_mut().take();
        }
    }
}

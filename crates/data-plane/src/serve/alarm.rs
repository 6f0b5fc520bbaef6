//! One timer for all that a process waits for: it is set again only when something is due earlier than before.

use futures_channel::oneshot;
use futures_util::future::{Either, select};
use indigofold_net::{runtime, steady_ms};
use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::time::Duration;

/// The timer sleeps at most so long.
const LONGEST_SLEEP_MS: u64 = 60_000;

/// When the timer goes off.
#[derive(Default)]
pub struct Alarm {
    due_ms: Cell<u64>,
    reset: RefCell<Option<oneshot::Sender<()>>>,
}

impl Alarm {
    /// Something is due at `due_ms`.
    pub fn set(&self, due_ms: Option<u64>) {
        let due_ms = due_ms.unwrap_or(u64::MAX);
        let earlier = due_ms < self.due_ms.get();
        if earlier {
            self.due_ms.set(due_ms);
            if let Some(reset) = self.reset.borrow_mut().take() {
                let _ = reset.send(());
            }
        }
    }

    /// Calls `ring` whenever something is due; it returns when the next thing is.
    pub async fn run(&self, ring: impl Fn() -> Option<u64>) {
        loop {
            self.due_ms.set(ring().unwrap_or(u64::MAX));
            while steady_ms() < self.due_ms.get() {
                self.sleep().await;
            }
        }
    }

    /// Sleeps until something is due or is due earlier than before.
    async fn sleep(&self) {
        let (sender, receiver) = oneshot::channel();
        *self.reset.borrow_mut() = Some(sender);
        let sleep_ms = self
            .due_ms
            .get()
            .saturating_sub(steady_ms())
            .min(LONGEST_SLEEP_MS);
        let sleep = pin!(runtime::sleep(Duration::from_millis(sleep_ms)));
        if let Either::Left(_) = select(sleep, receiver).await {
            self.reset.borrow_mut().take();
        }
    }
}

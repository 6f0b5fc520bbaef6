//! The state of an attempt, shared by its job, the machine's actor and the connection.

use crate::ids::WorkerId;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// The stage of an attempt; stages are ordered.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No byte was sent.
    Unsent,
    /// Sending has begun, but the last byte wasn't sent.
    Begun,
    /// The last byte was sent.
    Sent,
    /// The machine has accepted the attempt.
    Accepted,
    /// The attempt was withdrawn, ended before the machine accepted it, or its cancellation is complete.
    Ended,
}

/// The state of an attempt, shared by its job, the machine's actor and the connection.
pub struct AttemptState {
    /// The machine that the attempt is assigned to.
    pub machine: WorkerId,
    pub(super) stage: Cell<Stage>,
    pub(super) fully_sent: Cell<bool>,
    pub(super) given_up: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl AttemptState {
    /// Creates the state of an attempt in this stage.
    pub fn new(machine: WorkerId, stage: Stage) -> Rc<Self> {
        let (given_up, waker) = Default::default();
        let (fully_sent, stage) = (Cell::new(stage > Stage::Begun), Cell::new(stage));
        Rc::new(AttemptState {
            machine,
            stage,
            fully_sent,
            given_up,
            waker,
        })
    }

    /// The current stage.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Whether the last byte was sent, however the attempt ended.
    pub fn fully_sent(&self) -> bool {
        self.fully_sent.get()
    }

    /// Whether the attempt has ended, or was accepted by its machine and not given up since.
    pub fn is_settled(&self) -> bool {
        let stage = self.stage.get();
        stage == Stage::Ended || (stage == Stage::Accepted && !self.given_up.get())
    }

    /// Withdraws the attempt if no byte was sent, so that none ever will be. Returns whether that was the case.
    pub fn withdraw(&self) -> bool {
        let unsent = self.stage.get() == Stage::Unsent;
        if unsent {
            self.stage.set(Stage::Ended);
        }
        unsent
    }

    pub(super) fn give_up(&self) {
        self.given_up.set(true);
        self.waker.take().into_iter().for_each(Waker::wake);
    }

    /// Waits until the attempt is given up.
    pub(super) async fn is_given_up(&self) {
        poll_fn(|context| {
            if self.given_up.get() {
                return Poll::Ready(());
            }
            self.waker.replace(Some(context.waker().clone()));
            Poll::Pending
        })
        .await;
    }
}

//! How far an attempt has come, as its job, its machine's actor and the connection see it.

use crate::ids::WorkerId;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// How far an attempt has come.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Nothing of it was sent.
    Unsent,
    /// Some of it has, but not its last byte.
    Begun,
    /// All of it has.
    Sent,
    /// The machine has taken it.
    Taken,
    /// It has ended before that, or was given up.
    Ended,
}

/// An attempt as its job, its machine's actor and the connection see it.
pub struct AttemptState {
    /// Where it goes.
    pub machine: WorkerId,
    pub(super) stage: Cell<Stage>,
    pub(super) went_out: Cell<bool>,
    pub(super) given_up: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl AttemptState {
    /// One that has come so far.
    pub fn new(machine: WorkerId, stage: Stage) -> Rc<Self> {
        let (given_up, waker) = Default::default();
        let (went_out, stage) = (Cell::new(stage > Stage::Begun), Cell::new(stage));
        Rc::new(AttemptState {
            machine,
            stage,
            went_out,
            given_up,
            waker,
        })
    }

    /// How far it has come.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Was all of it sent, however it ended?
    pub fn went_out(&self) -> bool {
        self.went_out.get()
    }

    /// Has it ended, or been taken by its machine and not been given up since?
    pub fn is_settled(&self) -> bool {
        let stage = self.stage.get();
        stage == Stage::Ended || (stage == Stage::Taken && !self.given_up.get())
    }

    /// Withdraws it if nothing of it was sent: then nothing ever will be.
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

    /// Returns once it is to be given up.
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

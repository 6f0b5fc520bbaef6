//! How far a connection is, and whether it is to end.

use super::options::HttpOptions;
use crate::clock::steady_ms;
use crate::waker_slot::WakerSlot;
use std::cell::Cell;
use std::task::Waker;
use std::time::Duration;

/// What a connection is about.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// No byte of a request has come in.
    Idle,
    /// A request is coming in.
    Receiving,
    /// The handler works on a request.
    Answering,
}

/// How a connection is to end.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    /// It goes on.
    Open,
    /// After the request in progress; at once if there is none.
    Graceful,
    /// At once.
    Abrupt,
}

/// How far a connection is; shared by its task, its socket and the server.
pub(super) struct Progress {
    phase: Cell<Phase>,
    /// When the phase began, on the steady clock.
    since_ms: Cell<u64>,
    ending: Cell<Ending>,
    /// The connection's task.
    task: WakerSlot,
}

impl Progress {
    /// A connection that has just been accepted.
    pub(super) fn new() -> Progress {
        Progress {
            phase: Cell::new(Phase::Idle),
            since_ms: Cell::new(steady_ms()),
            ending: Cell::new(Ending::Open),
            task: WakerSlot::default(),
        }
    }

    /// Bytes have come in.
    pub(super) fn received(&self) {
        if self.phase.get() == Phase::Idle {
            self.enter(Phase::Receiving);
        }
    }

    /// Enters a phase.
    pub(super) fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since_ms.set(steady_ms());
    }

    /// Closes the connection if the peer has exceeded a time limit.
    pub(super) fn enforce(&self, options: &HttpOptions, now_ms: u64) {
        let waited = Duration::from_millis(now_ms.saturating_sub(self.since_ms.get()));
        let late = match self.phase.get() {
            Phase::Idle => waited > options.idle_timeout,
            Phase::Receiving => waited > options.header_timeout,
            Phase::Answering => false,
        };
        if late {
            self.end(Ending::Abrupt);
        }
    }

    /// How the connection is to end.
    pub(super) fn ending(&self) -> Ending {
        self.ending.get()
    }

    /// Closes the connection after the request in progress; at once if there is none.
    pub(super) fn end_gracefully(&self) {
        self.end(Ending::Graceful);
    }

    /// Closes the connection at once.
    pub(super) fn end_abruptly(&self) {
        self.end(Ending::Abrupt);
    }

    /// Has the connection's task end it.
    fn end(&self, ending: Ending) {
        self.ending.set(ending);
        self.task.wake();
    }

    /// Wakes the connection's task with `waker` when it is to end.
    pub(super) fn register(&self, waker: &Waker) {
        self.task.register(waker);
    }
}

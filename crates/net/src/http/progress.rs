//! State of a connection for the time limits and the shutdown.

use super::options::HttpOptions;
use crate::clock::steady_ms;
use crate::waker_slot::WakerSlot;
use std::cell::Cell;
use std::task::Waker;
use std::time::Duration;

/// Phase of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// No byte of a request has been received.
    Idle,
    /// A request is being received.
    Receiving,
    /// The handler is processing a request.
    Answering,
}

/// Whether a connection is to end, and how.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    /// The connection stays open.
    Open,
    /// The connection ends after the request in progress, or at once if there is none.
    Graceful,
    /// The connection ends at once.
    Abrupt,
}

/// Phase and requested ending of a connection; shared by its task, its socket and the server.
pub(super) struct Progress {
    phase: Cell<Phase>,
    /// Start of the phase, on the monotonic clock.
    phase_started_ms: Cell<u64>,
    ending: Cell<Ending>,
    /// Waker of the connection's task.
    waker: WakerSlot,
}

impl Progress {
    /// Creates the state of a connection that was just accepted.
    pub(super) fn new() -> Progress {
        Progress {
            phase: Cell::new(Phase::Idle),
            phase_started_ms: Cell::new(steady_ms()),
            ending: Cell::new(Ending::Open),
            waker: WakerSlot::default(),
        }
    }

    /// Records that bytes were received.
    pub(super) fn record_received(&self) {
        if self.phase.get() == Phase::Idle {
            self.enter(Phase::Receiving);
        }
    }

    /// Enters a phase and restarts its time limit.
    pub(super) fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.phase_started_ms.set(steady_ms());
    }

    /// Closes the connection if it exceeds the time limit of its phase.
    pub(super) fn enforce_time_limit(&self, options: &HttpOptions, now_ms: u64) {
        let elapsed = Duration::from_millis(now_ms.saturating_sub(self.phase_started_ms.get()));
        let exceeded = match self.phase.get() {
            Phase::Idle => elapsed > options.idle_timeout,
            Phase::Receiving => elapsed > options.header_timeout,
            Phase::Answering => false,
        };
        if exceeded {
            self.request_end(Ending::Abrupt);
        }
    }

    /// Returns whether the connection is to end, and how.
    pub(super) fn ending(&self) -> Ending {
        self.ending.get()
    }

    /// Closes the connection after the request in progress; at once if there is none.
    pub(super) fn end_gracefully(&self) {
        self.request_end(Ending::Graceful);
    }

    /// Closes the connection at once.
    pub(super) fn end_abruptly(&self) {
        self.request_end(Ending::Abrupt);
    }

    /// Requests an ending and wakes the connection's task to carry it out.
    fn request_end(&self, ending: Ending) {
        self.ending.set(ending);
        self.waker.wake();
    }

    /// Registers `waker` of the connection's task, to be woken when an ending is requested.
    pub(super) fn register(&self, waker: &Waker) {
        self.waker.register(waker);
    }
}

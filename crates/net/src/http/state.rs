//! State shared by the tasks of one server.

use super::options::HttpOptions;
use super::progress::Progress;
use crate::waker_slot::WakerSlot;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::{Rc, Weak};
use std::task::Poll;

/// State shared by the tasks of one server.
pub(super) struct ServerState {
    options: Cell<HttpOptions>,
    shutting_down: Cell<bool>,
    connections: RefCell<Vec<Weak<Progress>>>,
    open: Cell<usize>,
    /// Whether the task that enforces the time limits runs.
    watched: Cell<bool>,
    /// Waker of the task that waits until no connection is open.
    drained: WakerSlot,
}

impl ServerState {
    /// Creates the state of a server without connections.
    pub(super) fn new(options: HttpOptions) -> ServerState {
        ServerState {
            options: Cell::new(options),
            shutting_down: Cell::new(false),
            connections: RefCell::default(),
            open: Cell::new(0),
            watched: Cell::new(false),
            drained: WakerSlot::default(),
        }
    }

    /// Returns the current limits.
    pub(super) fn options(&self) -> HttpOptions {
        self.options.get()
    }

    /// Sets the limits for requests that are received from now on.
    pub(super) fn set_options(&self, options: HttpOptions) {
        self.options.set(options);
    }

    /// Whether each response is to close its connection.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.shutting_down.get()
    }

    /// Makes each further response close its connection.
    pub(super) fn begin_shutdown(&self) {
        self.shutting_down.set(true);
    }

    /// Number of open connections.
    pub(super) fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Adds an accepted connection.
    pub(super) fn opened(&self, progress: &Rc<Progress>) {
        self.connections.borrow_mut().push(Rc::downgrade(progress));
        self.open.set(self.open.get() + 1);
    }

    /// Counts a connection that has ended. After the last one, wakes the task that waits for it.
    pub(super) fn closed(&self) {
        self.open.set(self.open.get() - 1);
        if self.open.get() == 0 {
            self.drained.wake();
        }
    }

    /// Calls `act` for each open connection and removes the closed ones from the list.
    pub(super) fn for_each_connection(&self, act: impl Fn(&Progress)) {
        self.connections.borrow_mut().retain(|connection| {
            let connection = connection.upgrade();
            connection.inspect(|progress| act(progress)).is_some()
        });
    }

    /// Sets whether the task that enforces the time limits runs; returns the previous value.
    pub(super) fn set_watched(&self, watched: bool) -> bool {
        self.watched.replace(watched)
    }

    /// Waits until no connection is open.
    pub(super) async fn until_drained(&self) {
        poll_fn(|context| {
            if self.open.get() == 0 {
                return Poll::Ready(());
            }
            self.drained.register(context.waker());
            Poll::Pending
        })
        .await;
    }
}

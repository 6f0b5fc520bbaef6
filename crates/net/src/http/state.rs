//! State shared by the tasks of one server.

use super::message::HttpConnectionId;
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
    open_connections: Cell<usize>,
    /// Number of connections accepted so far.
    accepted_connections: Cell<u64>,
    /// Whether the task that enforces the time limits runs.
    limits_enforced: Cell<bool>,
    /// Waker of the task that waits until no connection is open.
    drain_waker: WakerSlot,
}

impl ServerState {
    /// Creates the state of a server without connections.
    pub(super) fn new(options: HttpOptions) -> ServerState {
        ServerState {
            options: Cell::new(options),
            shutting_down: Cell::new(false),
            connections: RefCell::default(),
            open_connections: Cell::new(0),
            accepted_connections: Cell::new(0),
            limits_enforced: Cell::new(false),
            drain_waker: WakerSlot::default(),
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
        self.open_connections.get()
    }

    /// Adds an accepted connection, and returns its number.
    pub(super) fn add_connection(&self, progress: &Rc<Progress>) -> HttpConnectionId {
        self.connections.borrow_mut().push(Rc::downgrade(progress));
        self.open_connections.set(self.open_connections.get() + 1);
        let number = self.accepted_connections.get();
        self.accepted_connections.set(number + 1);
        HttpConnectionId(number)
    }

    /// Counts a connection that has ended. After the last one, wakes the task that waits for it.
    pub(super) fn remove_connection(&self) {
        self.open_connections.set(self.open_connections.get() - 1);
        if self.open_connections.get() == 0 {
            self.drain_waker.wake();
        }
    }

    /// Calls `action` for each open connection and removes the closed ones from the list.
    pub(super) fn for_each_connection(&self, action: impl Fn(&Progress)) {
        self.connections.borrow_mut().retain(|connection| {
            let connection = connection.upgrade();
            connection.inspect(|progress| action(progress)).is_some()
        });
    }

    /// Sets whether the task that enforces the time limits runs; returns the previous value.
    pub(super) fn set_limits_enforced(&self, limits_enforced: bool) -> bool {
        self.limits_enforced.replace(limits_enforced)
    }

    /// Waits until no connection is open.
    pub(super) async fn wait_until_drained(&self) {
        poll_fn(|context| {
            if self.open_connections.get() == 0 {
                return Poll::Ready(());
            }
            self.drain_waker.register(context.waker());
            Poll::Pending
        })
        .await;
    }
}

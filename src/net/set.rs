//! The set of connections: how many descriptors are in use, and which submitters may be asked to go.

use async_channel::{Receiver, Sender, bounded};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Descriptors kept back for what is not a connection: listener, poller, timer, signals, log, list.
const KEPT_BACK: usize = 32;
/// Descriptors that only connections to job workers may use.
const OUTWARD: usize = 128;

/// All connections of the program, within the limit on sockets.
pub struct Set {
    limit: usize,
    open: Cell<usize>,
    next: Cell<u64>,
    idle: RefCell<BTreeMap<u64, Sender<()>>>,
}

/// Which way a connection was made.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Accepted.
    In,
    /// Accepted although there is no room for more submitters: it may bring news that makes room.
    Extra,
    /// Dialled.
    Out,
}

/// One connection's place in the set; given back when dropped.
pub struct Seat(Rc<Set>);

/// An idle connection's offer to be closed; withdrawn when dropped.
pub struct Offer {
    set: Rc<Set>,
    number: u64,
    asked: Receiver<()>,
}

impl Set {
    /// A set for a process that may hold so many descriptors.
    pub fn new(descriptors: usize) -> Rc<Self> {
        let limit = descriptors.saturating_sub(KEPT_BACK).max(16);
        Rc::new(Set { limit, open: Cell::new(0), next: Cell::new(0), idle: RefCell::default() })
    }

    /// Is there room for one more connection of this kind?
    pub fn has_room(&self, way: Way) -> bool {
        let outward = OUTWARD.min(self.limit / 4);
        let kept = match way {
            Way::In => outward,
            Way::Extra => outward / 2,
            Way::Out => 0,
        };
        self.open.get() + kept < self.limit
    }

    /// A place for a connection, if there is one.
    pub fn seat(self: &Rc<Self>, way: Way) -> Option<Seat> {
        if !self.has_room(way) {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(Seat(self.clone()))
    }

    /// Asks the connection that has been idle longest to close. `false`: none is idle.
    pub fn shed(&self) -> bool {
        match self.idle.borrow_mut().pop_first() {
            Some((_, ask)) => ask.try_send(()).is_ok(),
            None => false,
        }
    }

    /// Asks all idle connections to close.
    pub fn shed_all(&self) {
        while self.shed() {}
    }

    /// Notes that a connection is idle and may be asked to close.
    pub fn offer(self: &Rc<Self>) -> Offer {
        let (ask, asked) = bounded(1);
        let number = self.next.get();
        self.next.set(number + 1);
        self.idle.borrow_mut().insert(number, ask);
        Offer { set: self.clone(), number, asked }
    }

    /// Connections open now.
    pub fn open(&self) -> usize {
        self.open.get()
    }
}

impl Offer {
    /// Returns once the set asks for the connection to be closed.
    pub async fn asked(&self) {
        if self.asked.recv().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for Offer {
    fn drop(&mut self) {
        self.set.idle.borrow_mut().remove(&self.number);
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

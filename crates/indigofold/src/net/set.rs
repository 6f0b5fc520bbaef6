//! The set of connections: counts the descriptors in use, and selects the accepted connections to evict.

use async_channel::{Receiver, Sender, bounded};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Descriptors reserved for everything outside the set: listeners, poller, timer, signals, log, admin calls.
const RESERVED_DESCRIPTORS: usize = 32;
/// Maximum number of descriptors kept for dialled connections. Accepted connections that may carry reports can use half of
/// them.
const OUTBOUND_DESCRIPTORS: usize = 128;

/// Fraction of the clients' third of the descriptors above which idle connections are closed.
const CROWDED_ABOVE: (usize, usize) = (3, 4);

/// Minimum idle time before an idle connection is closed early: the client may be about to send its next message.
const IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(100);

/// All connections of the program, within the limit on descriptors.
pub struct Set {
    limit: Cell<usize>,
    /// A third of the descriptors of the scheduler: the part that clients may hold.
    client_limit: Cell<usize>,
    open: Cell<usize>,
    accepted: Cell<usize>,
    next: Cell<u64>,
    evictable: RefCell<BTreeMap<(Rank, u64), EvictionEntry>>,
}

/// A connection that may be evicted: the channel to notify it, whether it is known to be a client's, and since when it has
/// had its rank.
struct EvictionEntry {
    evict: Sender<()>,
    client: bool,
    since: Instant,
}

/// The eviction order of accepted connections: the lowest rank, whose loss costs least, is evicted first. Within a rank,
/// the connection that has had it for longest is evicted first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// The last answer was sent, and further input is discarded.
    Closing,
    /// No byte was received yet.
    NothingSent,
    /// The first message is not complete.
    PartialMessage,
    /// The connection is idle after its first answer, and may never be used again.
    AnsweredOnce,
    /// The connection was just accepted, and its first message may be on its way.
    Fresh,
    /// The connection has been used repeatedly, and is idle between two messages.
    Used,
    /// A job worker's connection, on which it reports the ends of its jobs; never evicted to free a descriptor.
    Worker,
}

/// The direction in which a connection was established.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// The connection was accepted.
    Inbound,
    /// The connection was accepted beyond the limit for clients: it may carry a report that ends a job.
    InboundExtra,
    /// The connection was dialled by this process.
    Outbound,
}

/// A connection's place in the set, released when dropped.
pub struct ConnectionPermit(Rc<Set>, Direction);

/// A connection's registration for eviction, withdrawn when dropped.
pub struct EvictionHandle {
    set: Rc<Set>,
    key: (Rank, u64),
    evicted: Receiver<()>,
}

impl Set {
    /// Creates an empty set for a process that may hold this many descriptors.
    pub fn new(descriptors: usize) -> Rc<Self> {
        let (limit, client_limit, open, accepted, next) = Default::default();
        let set = Rc::new(Set {
            limit,
            client_limit,
            open,
            accepted,
            next,
            evictable: RefCell::default(),
        });
        set.set_limit(descriptors);
        set.client_limit.set(descriptors / 3);
        set
    }

    /// Changes the number of descriptors that the process may hold. Open connections stay open, and the clients' third does
    /// not change, as it applies to all processes of the scheduler together.
    pub fn set_limit(&self, descriptors: usize) {
        self.limit
            .set(descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(16));
    }

    /// Raises or lowers the limit by this many descriptors, when connections have moved between processes.
    pub fn resize(&self, by: isize) {
        self.limit.set(self.limit.get().saturating_add_signed(by));
    }

    /// The number of descriptors in use, including the reserved ones.
    pub fn descriptors(&self) -> usize {
        self.open.get() + RESERVED_DESCRIPTORS
    }

    /// The number of accepted connections that are open.
    pub fn accepted(&self) -> usize {
        self.accepted.get()
    }

    /// Returns true if the limit allows one more connection in this direction.
    pub fn has_capacity(&self, direction: Direction) -> bool {
        let outward = OUTBOUND_DESCRIPTORS.min(self.limit.get() / 4);
        let kept = match direction {
            Direction::Inbound => outward,
            Direction::InboundExtra => outward / 2,
            Direction::Outbound => 0,
        };
        self.open.get() + kept < self.limit.get()
    }

    /// Reserves a place for a connection; `None` if the limit is reached.
    pub fn reserve(self: &Rc<Self>, direction: Direction) -> Option<ConnectionPermit> {
        if !self.has_capacity(direction) {
            return None;
        }
        self.open.set(self.open.get() + 1);
        if direction != Direction::Outbound {
            self.accepted.set(self.accepted.get() + 1);
        }
        Some(ConnectionPermit(self.clone(), direction))
    }

    /// Evicts the connection of the lowest rank, up to [`Rank::Used`]. Returns false if there is none.
    pub fn evict_one(&self) -> bool {
        self.evict_up_to(Rank::Used)
    }

    /// Evicts the connection of the lowest rank, up to `rank`. Returns false if there is none.
    pub fn evict_up_to(&self, rank: Rank) -> bool {
        let mut evictable = self.evictable.borrow_mut();
        let first = evictable
            .first_entry()
            .filter(|first| first.key().0 <= rank);
        first.is_some_and(|first| first.remove().evict.try_send(()).is_ok())
    }

    /// Evicts one connection if accepted connections use more than three quarters of the descriptors that clients may hold,
    /// as an idle one could keep another client from connecting. A connection that was just accepted stays, and so does one
    /// that has just received its answer: where clients queue for connections, the next job is already on its way on it.
    pub fn evict_if_crowded(&self, now: Instant) {
        if self.accepted.get() <= self.client_limit.get() * CROWDED_ABOVE.0 / CROWDED_ABOVE.1
            || self.evict_up_to(Rank::PartialMessage)
        {
            return;
        }
        let mut evictable = self.evictable.borrow_mut();
        // The first of a rank is the oldest: if it has not been idle for long enough, none of that rank has.
        let idle_long_enough = |rank| {
            let first = evictable
                .range((rank, 0)..)
                .next()
                .filter(|(key, _)| key.0 == rank);
            first
                .filter(|(_, o)| now.saturating_duration_since(o.since) >= IDLE_BEFORE_EVICTION)
                .map(|(key, _)| *key)
        };
        let chosen = idle_long_enough(Rank::AnsweredOnce).or_else(|| idle_long_enough(Rank::Used));
        let _ = chosen
            .and_then(|key| evictable.remove(&key))
            .map(|entry| entry.evict.try_send(()));
    }

    /// Evicts all idle connections except those whose first message is or may be on its way, those that are already closing,
    /// and, if `jobs` is set because jobs are open, those of job workers.
    pub fn evict_idle(&self, jobs: bool) {
        self.evictable.borrow_mut().retain(|(rank, _), entry| {
            let stays = matches!(rank, Rank::Fresh | Rank::PartialMessage | Rank::Closing)
                || (jobs && *rank == Rank::Worker);
            stays || entry.evict.try_send(()).is_err()
        });
    }

    /// The number of connections that have received their last answer and are closing.
    pub fn closing(&self) -> usize {
        self.evictable
            .borrow()
            .range(..(Rank::NothingSent, 0))
            .count()
    }

    /// Evicts the connections of clients that have been idle for at least this long.
    pub fn evict_idle_clients(&self, idle: Duration) {
        self.evictable.borrow_mut().retain(|_, entry| {
            let chosen = entry.client && entry.since.elapsed() >= idle;
            !chosen || entry.evict.try_send(()).is_err()
        });
    }

    /// Registers a connection that may be evicted, until the returned value is dropped.
    pub fn register_evictable(self: &Rc<Self>, rank: Rank, client: bool) -> EvictionHandle {
        let (evict, evicted) = bounded(1);
        let key = (rank, self.next.replace(self.next.get() + 1));
        self.evictable.borrow_mut().insert(
            key,
            EvictionEntry {
                evict,
                client,
                since: Instant::now(),
            },
        );
        EvictionHandle {
            set: self.clone(),
            key,
            evicted,
        }
    }

    /// The number of open connections, accepted and dialled.
    pub fn open(&self) -> usize {
        self.open.get()
    }
}

impl EvictionHandle {
    /// Returns once the connection is evicted; its owner must then close it.
    pub async fn evicted(&self) {
        if self.evicted.recv().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for EvictionHandle {
    fn drop(&mut self) {
        self.set.evictable.borrow_mut().remove(&self.key);
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        if self.1 != Direction::Outbound {
            self.0.accepted.set(self.0.accepted.get() - 1);
        }
    }
}

#[cfg(test)]
mod tests;

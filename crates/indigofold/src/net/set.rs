//! The set of connections: how many descriptors are in use, and which accepted ones may be evicted.

use async_channel::{Receiver, Sender, bounded};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Descriptors kept back for what is not in the set: listeners, poller, timer, signals, log, operators' calls.
const RESERVED_DESCRIPTORS: usize = 32;
/// Descriptors that only connections to job workers may use.
const OUTBOUND_DESCRIPTORS: usize = 128;

/// Part of the clients' share of the descriptors from which on idle connections are closed.
const THIN_OUT_FROM: (usize, usize) = (3, 4);

/// A connection that has been idle for less is about to be used again, or not; nobody knows yet.
const IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(100);

/// All connections of the program, within the limit on sockets.
pub struct Set {
    limit: Cell<usize>,
    third: Cell<usize>,
    open: Cell<usize>,
    accepted: Cell<usize>,
    next: Cell<u64>,
    offers: RefCell<BTreeMap<(Rank, u64), Offered>>,
}

/// A connection that may be evicted: how it is notified, whether it is known to be a client's, and since when it is idle.
struct Offered {
    evict: Sender<()>,
    client: bool,
    since: Instant,
}

/// What is lost if an accepted connection chosen, the least first. Within a rank the one that has stood for longest
/// chosen first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// It has had its last answer: only what still comes is read over.
    Closing,
    /// It has never sent anything.
    NothingSent,
    /// Its first message is not complete.
    PartialMessage,
    /// It has had one answer and stands idle: perhaps nobody will use it again.
    Once,
    /// It has just been accepted: its first message may be on its way.
    Fresh,
    /// It is in use, and idle between two messages.
    Used,
    /// A job worker's, over which it is to say what becomes of its jobs: it never chosen to make room.
    Worker,
}

/// Which way a connection was made.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Accepted.
    Inbound,
    /// Accepted although there is no room for more clients: it may bring a report that ends a job.
    InboundExtra,
    /// Dialled.
    Outbound,
}

/// One connection's place in the set; given back when dropped.
pub struct Seat(Rc<Set>, Direction);

/// A connection's offer to be closed; withdrawn when dropped.
pub struct Offer {
    set: Rc<Set>,
    key: (Rank, u64),
    evicted: Receiver<()>,
}

impl Set {
    /// A set for a process that may hold so many descriptors.
    pub fn new(descriptors: usize) -> Rc<Self> {
        let (limit, third, open, accepted, next) = Default::default();
        let set = Rc::new(Set {
            limit,
            third,
            open,
            accepted,
            next,
            offers: RefCell::default(),
        });
        set.set_limit(descriptors);
        set.third.set(descriptors / 3);
        set
    }

    /// So many descriptors are the process's from now on. What is open stays, and so does the clients' third: it is
    /// theirs over all processes of the scheduler together.
    pub fn set_limit(&self, descriptors: usize) {
        self.limit
            .set(descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(16));
    }

    /// Raises or lowers the limit: connections have moved from one process to another.
    pub fn resize(&self, by: isize) {
        self.limit.set(self.limit.get().saturating_add_signed(by));
    }

    /// Descriptors in use, with those kept back.
    pub fn descriptors(&self) -> usize {
        self.open.get() + RESERVED_DESCRIPTORS
    }

    /// Accepted connections open now.
    pub fn accepted(&self) -> usize {
        self.accepted.get()
    }

    /// Is there room for one more connection of this kind?
    pub fn has_capacity(&self, direction: Direction) -> bool {
        let outward = OUTBOUND_DESCRIPTORS.min(self.limit.get() / 4);
        let kept = match direction {
            Direction::Inbound => outward,
            Direction::InboundExtra => outward / 2,
            Direction::Outbound => 0,
        };
        self.open.get() + kept < self.limit.get()
    }

    /// A place for a connection, if there is one.
    pub fn seat(self: &Rc<Self>, direction: Direction) -> Option<Seat> {
        if !self.has_capacity(direction) {
            return None;
        }
        self.open.set(self.open.get() + 1);
        if direction != Direction::Outbound {
            self.accepted.set(self.accepted.get() + 1);
        }
        Some(Seat(self.clone(), direction))
    }

    /// Evicts the connection of the lowest rank. `false`: none may be evicted.
    pub fn evict_one(&self) -> bool {
        self.evict_up_to(Rank::Used)
    }

    /// The same, but only among those of at most this rank.
    pub fn evict_up_to(&self, rank: Rank) -> bool {
        let mut offers = self.offers.borrow_mut();
        let first = offers.first_entry().filter(|first| first.key().0 <= rank);
        first.is_some_and(|first| first.remove().evict.try_send(()).is_ok())
    }

    /// Asks one to go if accepted connections take up most of what clients may hold: no more than a third of
    /// the descriptors is theirs, and one that stands idle keeps somebody else from connecting at all. One just accepted
    /// stays; so does one that has just had its answer: where clients wait for a connection, the next job is on its
    /// way on it at that moment.
    pub fn thin_out(&self, now: Instant) {
        if self.accepted.get() <= self.third.get() * THIN_OUT_FROM.0 / THIN_OUT_FROM.1
            || self.evict_up_to(Rank::PartialMessage)
        {
            return;
        }
        let mut offers = self.offers.borrow_mut();
        // Within a rank the oldest stands first: where it has not idle_long_enough, none has.
        let idle_long_enough = |rank| {
            let first = offers
                .range((rank, 0)..)
                .next()
                .filter(|(key, _)| key.0 == rank);
            first
                .filter(|(_, o)| now.saturating_duration_since(o.since) >= IDLE_BEFORE_EVICTION)
                .map(|(key, _)| *key)
        };
        let chosen = idle_long_enough(Rank::Once).or_else(|| idle_long_enough(Rank::Used));
        let _ = chosen
            .and_then(|key| offers.remove(&key))
            .map(|offered| offered.evict.try_send(()));
    }

    /// Asks all that stand idle to close, but for those whose first message is or may be on its way, those that part,
    /// and, while there are jobs, job workers'.
    pub fn evict_idle(&self, jobs: bool) {
        self.offers.borrow_mut().retain(|(rank, _), offered| {
            let stays = matches!(rank, Rank::Fresh | Rank::PartialMessage | Rank::Closing)
                || (jobs && *rank == Rank::Worker);
            stays || offered.evict.try_send(()).is_err()
        });
    }

    /// Connections that have had their last answer.
    pub fn closing(&self) -> usize {
        self.offers.borrow().range(..(Rank::NothingSent, 0)).count()
    }

    /// Asks those clients' connections to close that have stood idle for so long.
    pub fn evict_idle_clients(&self, idle: Duration) {
        self.offers.borrow_mut().retain(|_, offered| {
            let chosen = offered.client && offered.since.elapsed() >= idle;
            !chosen || offered.evict.try_send(()).is_err()
        });
    }

    /// Notes that a connection may be asked to close.
    pub fn offer(self: &Rc<Self>, rank: Rank, client: bool) -> Offer {
        let (evict, evicted) = bounded(1);
        let key = (rank, self.next.replace(self.next.get() + 1));
        self.offers.borrow_mut().insert(
            key,
            Offered {
                evict,
                client,
                since: Instant::now(),
            },
        );
        Offer {
            set: self.clone(),
            key,
            evicted,
        }
    }

    /// Connections open now.
    pub fn open(&self) -> usize {
        self.open.get()
    }
}

impl Offer {
    /// Returns once the set asks for the connection to be closed.
    pub async fn evicted(&self) {
        if self.evicted.recv().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for Offer {
    fn drop(&mut self) {
        self.set.offers.borrow_mut().remove(&self.key);
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        if self.1 != Direction::Outbound {
            self.0.accepted.set(self.0.accepted.get() - 1);
        }
    }
}

#[cfg(test)]
mod tests;

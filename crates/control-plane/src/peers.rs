//! Outgoing connections to the other members: one to each, on which this member sends its messages. Decides which members to
//! dial, and when.

use crate::sessions::ConnectionId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Longest wait after the first failure, in milliseconds; doubles with each further failure.
const RETRY_MIN_MS: u64 = 100;
/// Upper limit of the wait between two attempts, in milliseconds.
const RETRY_MAX_MS: u64 = 800;

/// The members to keep an outgoing connection to, and the state of each connection.
#[derive(Debug)]
pub struct Peers {
    /// State of the connection to each member, by the member's internal address.
    links: BTreeMap<SocketAddr, Link>,
    /// State of the random number generator for the jitter of retries. Never 0, as xorshift would return only zeros.
    random: u64,
}

#[derive(Clone, Copy, Debug)]
struct Link {
    state: LinkState,
    /// Consecutive failures since the connection was last open.
    failures: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    /// Closed; to be dialled at `dial_due_ms` on the monotonic clock.
    Waiting { dial_due_ms: u64 },
    /// [`Peers::poll_dials`] has returned the address; the result of the dial is not known yet.
    Dialling,
    /// Connected; the hello was sent.
    Open(ConnectionId),
}

impl Link {
    fn is_open(&self) -> bool {
        matches!(self.state, LinkState::Open(_))
    }
}

impl Peers {
    /// Returns an empty set of peers. `seed` initializes the random numbers for the jitter of retries.
    pub fn new(seed: u64) -> Self {
        Peers {
            links: BTreeMap::new(),
            random: seed | 1,
        }
    }

    /// Replaces the set of members to keep a connection to; new ones are due to be dialled at once. Returns the open
    /// connections to members that are no longer in the set, for the caller to close.
    pub fn set_addresses(
        &mut self,
        now_ms: u64,
        addresses: BTreeSet<SocketAddr>,
    ) -> Vec<ConnectionId> {
        let mut surplus_connections = Vec::new();
        self.links.retain(|address, link| {
            let is_kept = addresses.contains(address);
            if let (false, LinkState::Open(connection)) = (is_kept, link.state) {
                surplus_connections.push(connection);
            }
            is_kept
        });
        for address in addresses {
            let new_link = Link {
                state: LinkState::Waiting {
                    dial_due_ms: now_ms,
                },
                failures: 0,
            };
            self.links.entry(address).or_insert(new_link);
        }
        surplus_connections
    }

    /// Returns the addresses to dial now. The caller reports each result with [`Self::dial_succeeded`] or
    /// [`Self::dial_failed`].
    pub fn poll_dials(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        let mut due_addresses = Vec::new();
        for (address, link) in &mut self.links {
            if matches!(link.state, LinkState::Waiting { dial_due_ms } if dial_due_ms <= now_ms) {
                link.state = LinkState::Dialling;
                due_addresses.push(*address);
            }
        }
        due_addresses
    }

    /// Returns when [`Self::poll_dials`] is due, on the monotonic clock in milliseconds; [`u64::MAX`] if no dial is
    /// scheduled.
    pub fn next_due_ms(&self) -> u64 {
        let dial_due_times_ms = self.links.values().filter_map(|link| match link.state {
            LinkState::Waiting { dial_due_ms } => Some(dial_due_ms),
            LinkState::Dialling | LinkState::Open(_) => None,
        });
        dial_due_times_ms.min().unwrap_or(u64::MAX)
    }

    /// Schedules a dial at once to a peer that has just connected to this member and is therefore up. A dial in progress does
    /// not prevent that: it may have begun while the peer's machine was down, and would then hang until its timeout.
    pub fn peer_connected(&mut self, now_ms: u64, address: SocketAddr) {
        if let Some(link) = self.links.get_mut(&address).filter(|link| !link.is_open()) {
            link.state = LinkState::Waiting {
                dial_due_ms: now_ms,
            };
        }
    }

    /// Records a successful dial. Returns false if the connection is not needed: the peer was removed, or another connection
    /// to it is open.
    pub fn dial_succeeded(&mut self, address: SocketAddr, connection: ConnectionId) -> bool {
        let Some(link) = self.links.get_mut(&address).filter(|link| !link.is_open()) else {
            return false;
        };
        *link = Link {
            state: LinkState::Open(connection),
            failures: 0,
        };
        true
    }

    /// Records a failed dial and schedules a retry, unless another dial to the peer has succeeded in the meantime.
    pub fn dial_failed(&mut self, now_ms: u64, address: SocketAddr) {
        if self.links.get(&address).is_some_and(|link| !link.is_open()) {
            self.schedule_retry(now_ms, address);
        }
    }

    /// Schedules the next dial, with exponential backoff and jitter: the wait is between half of the backoff and all of it.
    fn schedule_retry(&mut self, now_ms: u64, address: SocketAddr) {
        let longest_wait_ms = self
            .links
            .get(&address)
            .map(|link| backoff_ms(link.failures));
        let Some(wait_ms) =
            longest_wait_ms.map(|longest_ms| longest_ms / 2 + self.random_up_to(longest_ms / 2))
        else {
            return;
        };
        if let Some(link) = self.links.get_mut(&address) {
            *link = Link {
                state: LinkState::Waiting {
                    dial_due_ms: now_ms + wait_ms,
                },
                failures: link.failures.saturating_add(1),
            };
        }
    }

    /// Schedules a retry for the peer whose connection was closed, and returns the peer's address; `None` if the connection is
    /// not an open one to a peer.
    pub fn connection_closed(
        &mut self,
        now_ms: u64,
        connection: ConnectionId,
    ) -> Option<SocketAddr> {
        let open_state = LinkState::Open(connection);
        let address = self
            .links
            .iter()
            .find(|(_, link)| link.state == open_state)
            .map(|(address, _)| *address)?;
        self.schedule_retry(now_ms, address);
        Some(address)
    }

    /// Returns the open connection to a peer, if there is one.
    pub fn connection(&self, address: SocketAddr) -> Option<ConnectionId> {
        match self.links.get(&address)?.state {
            LinkState::Open(connection) => Some(connection),
            LinkState::Waiting { .. } | LinkState::Dialling => None,
        }
    }

    /// Returns a random number from 0 to `max`, inclusive. Xorshift is good enough for jitter.
    fn random_up_to(&mut self, max: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % (max + 1)
    }
}

/// Returns the backoff after this many consecutive failures, before jitter.
fn backoff_ms(failures: u32) -> u64 {
    RETRY_MIN_MS
        .saturating_mul(1 << failures.min(8))
        .min(RETRY_MAX_MS)
}

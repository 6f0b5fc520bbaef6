//! Connections to the other members: one to each, for this member's own messages. Decides which members to dial, and when.

use crate::sessions::ConnectionId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Wait after the first failure, in milliseconds; doubles with each further one.
const RETRY_MIN_MS: u64 = 100;
/// Longest wait between two attempts, in milliseconds.
const RETRY_MAX_MS: u64 = 800;

/// The members that this one dials.
#[derive(Debug)]
pub struct Peers {
    /// The members to keep a connection to, by internal address.
    links: BTreeMap<SocketAddr, Link>,
    /// State of the random numbers that spread the attempts; never 0.
    random: u64,
}

#[derive(Clone, Copy, Debug)]
struct Link {
    state: LinkState,
    /// Failures since the connection was last open.
    failures: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    /// To be dialled at this time, on the steady clock.
    Waiting {
        until_ms: u64,
    },
    /// A dial was returned by [`Peers::poll_dials`].
    Dialling,
    Open(ConnectionId),
}

impl Link {
    fn is_open(&self) -> bool {
        matches!(self.state, LinkState::Open(_))
    }
}

impl Peers {
    /// No peers; `seed` starts the random numbers that spread the attempts.
    pub fn new(seed: u64) -> Self {
        Peers {
            links: BTreeMap::new(),
            random: seed | 1,
        }
    }

    /// Keeps a connection to each of `addresses` from now on, and to no other; returns the connections to close.
    pub fn set_addresses(
        &mut self,
        now_ms: u64,
        addresses: BTreeSet<SocketAddr>,
    ) -> Vec<ConnectionId> {
        let mut surplus = Vec::new();
        self.links.retain(|address, link| {
            let kept = addresses.contains(address);
            if let (false, LinkState::Open(connection)) = (kept, link.state) {
                surplus.push(connection);
            }
            kept
        });
        for address in addresses {
            let new = Link {
                state: LinkState::Waiting { until_ms: now_ms },
                failures: 0,
            };
            self.links.entry(address).or_insert(new);
        }
        surplus
    }

    /// The addresses to dial now; the result of each is to be reported by [`Self::dial_succeeded`] or [`Self::dial_failed`].
    pub fn poll_dials(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (address, link) in &mut self.links {
            if matches!(link.state, LinkState::Waiting { until_ms } if until_ms <= now_ms) {
                link.state = LinkState::Dialling;
                due.push(*address);
            }
        }
        due
    }

    /// When [`Self::poll_dials`] is due, on the steady clock in milliseconds.
    pub fn next_due_ms(&self) -> u64 {
        let waiting = self.links.values().filter_map(|link| match link.state {
            LinkState::Waiting { until_ms } => Some(until_ms),
            LinkState::Dialling | LinkState::Open(_) => None,
        });
        waiting.min().unwrap_or(u64::MAX)
    }

    /// The peer has just connected to this member, so that it is up: it is dialled at once. An open dial does not prevent
    /// that, as it may have begun while the machine was down, and would hang.
    pub fn peer_connected(&mut self, now_ms: u64, address: SocketAddr) {
        if let Some(link) = self.links.get_mut(&address).filter(|link| !link.is_open()) {
            link.state = LinkState::Waiting { until_ms: now_ms };
        }
    }

    /// A dial has succeeded; false if the connection is not needed any more.
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

    /// A dial has failed. A connection of another dial stays.
    pub fn dial_failed(&mut self, now_ms: u64, address: SocketAddr) {
        if self.links.get(&address).is_some_and(|link| !link.is_open()) {
            self.schedule_retry(now_ms, address);
        }
    }

    /// Schedules the next dial, with backoff and jitter.
    fn schedule_retry(&mut self, now_ms: u64, address: SocketAddr) {
        let wait_ms = self
            .links
            .get(&address)
            .map(|link| backoff_ms(link.failures));
        let Some(wait_ms) = wait_ms.map(|longest| longest / 2 + self.random_up_to(longest / 2))
        else {
            return;
        };
        if let Some(link) = self.links.get_mut(&address) {
            *link = Link {
                state: LinkState::Waiting {
                    until_ms: now_ms + wait_ms,
                },
                failures: link.failures.saturating_add(1),
            };
        }
    }

    /// A connection is closed; returns its peer, if it was one of these.
    pub fn connection_closed(
        &mut self,
        now_ms: u64,
        connection: ConnectionId,
    ) -> Option<SocketAddr> {
        let open = LinkState::Open(connection);
        let address = self
            .links
            .iter()
            .find(|(_, link)| link.state == open)
            .map(|(address, _)| *address)?;
        self.schedule_retry(now_ms, address);
        Some(address)
    }

    /// The open connection to this peer.
    pub fn connection(&self, address: SocketAddr) -> Option<ConnectionId> {
        match self.links.get(&address)?.state {
            LinkState::Open(connection) => Some(connection),
            LinkState::Waiting { .. } | LinkState::Dialling => None,
        }
    }

    /// A number from 0 to `below` (xorshift: good enough to spread attempts).
    fn random_up_to(&mut self, max: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % (max + 1)
    }
}

/// Longest wait after so many failures in a row.
fn backoff_ms(failures: u32) -> u64 {
    RETRY_MIN_MS
        .saturating_mul(1 << failures.min(8))
        .min(RETRY_MAX_MS)
}

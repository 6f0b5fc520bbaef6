//! The search for the acting head: connections to members that are not known to be the acting head.

use super::action::ConnectionId;
use std::net::SocketAddr;

/// A connection that does not open within this time is given up.
pub const CONNECT_TIMEOUT_MS: u64 = 400;
/// A connection on which the member sends no welcome within this time after it opened is given up.
pub const GREETING_TIMEOUT_MS: u64 = 700;
/// Time for which a connection to a member that is not the head stays open after each welcome.
pub const LISTEN_MS: u64 = 600;
/// Maximum number of connections of the search at the same time. The connection to a head that a member has named may
/// exceed it.
pub const SEARCH_CONNECTIONS_MAX: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The connection is being opened.
    Dialling,
    /// The connection is open and the greeting was sent; the member's welcome is awaited.
    Greeting,
    /// The member is not the head; a later welcome may name the head.
    Listening,
}

#[derive(Debug)]
struct SearchConnection {
    id: ConnectionId,
    address: SocketAddr,
    stage: Stage,
    /// Time at which the connection is given up unless it reaches the next stage or a welcome arrives.
    deadline_ms: u64,
}

/// A connection that no longer belongs to the search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RemovedConnection {
    /// Number of the connection.
    pub id: ConnectionId,
    /// Address of the member.
    pub address: SocketAddr,
}

impl From<SearchConnection> for RemovedConnection {
    fn from(connection: SearchConnection) -> Self {
        RemovedConnection {
            id: connection.id,
            address: connection.address,
        }
    }
}

/// The connections of the search for the acting head.
#[derive(Debug, Default)]
pub(super) struct Search {
    connections: Vec<SearchConnection>,
    last_id: u64,
}

impl Search {
    /// Whether this connection belongs to the search.
    pub(super) fn contains(&self, id: ConnectionId) -> bool {
        self.connections
            .iter()
            .any(|connection| connection.id == id)
    }

    /// Whether [`SEARCH_CONNECTIONS_MAX`] is reached, so that no further candidate is to be dialled.
    pub(super) fn is_full(&self) -> bool {
        self.connections.len() >= SEARCH_CONNECTIONS_MAX
    }

    /// The addresses of the connected or dialled members.
    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.connections.iter().map(|connection| connection.address)
    }

    /// Adds a connection that is about to be opened, and returns its number.
    pub(super) fn dial(&mut self, now_ms: u64, address: SocketAddr) -> ConnectionId {
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.connections.push(SearchConnection {
            id,
            address,
            stage: Stage::Dialling,
            deadline_ms: now_ms + CONNECT_TIMEOUT_MS,
        });
        id
    }

    /// Adds an open connection to a member that is no longer the acting head.
    pub(super) fn listen(&mut self, now_ms: u64, id: ConnectionId, address: SocketAddr) {
        self.connections.push(SearchConnection {
            id,
            address,
            stage: Stage::Listening,
            deadline_ms: now_ms + LISTEN_MS,
        });
    }

    /// Handles an opened connection on which the greeting was sent.
    pub(super) fn handle_connected(&mut self, now_ms: u64, id: ConnectionId) {
        self.set_stage(id, Stage::Greeting, now_ms + GREETING_TIMEOUT_MS);
    }

    /// Handles a welcome of a member that is not the acting head of a newer view; its connection stays open for another
    /// [`LISTEN_MS`].
    pub(super) fn handle_welcome(&mut self, now_ms: u64, id: ConnectionId) {
        self.set_stage(id, Stage::Listening, now_ms + LISTEN_MS);
    }

    /// Removes a connection; `None` if it does not belong to the search.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<RemovedConnection> {
        let index = self
            .connections
            .iter()
            .position(|connection| connection.id == id)?;
        Some(self.connections.swap_remove(index).into())
    }

    /// Removes the connections that are to be given up by now.
    pub(super) fn remove_expired(&mut self, now_ms: u64) -> Vec<RemovedConnection> {
        self.remove_if(|connection| connection.deadline_ms <= now_ms)
    }

    /// Removes the connections to this address that have not opened yet.
    pub(super) fn remove_dialling(&mut self, address: SocketAddr) -> Vec<RemovedConnection> {
        self.remove_if(|connection| {
            connection.address == address && connection.stage == Stage::Dialling
        })
    }

    /// Ends the search: removes all connections.
    pub(super) fn clear(&mut self) -> Vec<RemovedConnection> {
        self.remove_if(|_| true)
    }

    /// Time at which the next connection is to be given up; `None` without connections.
    pub(super) fn next_timeout_ms(&self) -> Option<u64> {
        self.connections
            .iter()
            .map(|connection| connection.deadline_ms)
            .min()
    }

    fn set_stage(&mut self, id: ConnectionId, stage: Stage, deadline_ms: u64) {
        let mut connections = self.connections.iter_mut();
        if let Some(connection) = connections.find(|connection| connection.id == id) {
            connection.stage = stage;
            connection.deadline_ms = deadline_ms;
        }
    }

    fn remove_if(
        &mut self,
        is_removed: impl Fn(&SearchConnection) -> bool,
    ) -> Vec<RemovedConnection> {
        self.connections
            .extract_if(.., |connection| is_removed(connection))
            .map(RemovedConnection::from)
            .collect()
    }
}

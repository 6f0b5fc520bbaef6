//! Actions that the link requests from the process.

use std::net::SocketAddr;

/// Number of a connection to a core member, unique within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId(pub u64);

/// An action that the process carries out, or an event that it handles, in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Open a connection and greet the member.
    Dial {
        /// Number of the new connection.
        connection: ConnectionId,
        /// Address of the member.
        address: SocketAddr,
    },
    /// Send a liveness probe to the acting head over this connection.
    ProbeHead(ConnectionId),
    /// Close a connection.
    Close(ConnectionId),
    /// This connection is now the one to the acting head.
    Attached(ConnectionId),
    /// The connection to the acting head is given up. `Attached` follows at once if a new head replaces it.
    Detached,
}

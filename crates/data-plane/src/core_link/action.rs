//! What the process has to do for the link.

use std::net::SocketAddr;

/// A connection, numbered by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LinkId(pub u64);

/// What the process has to do, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Open a connection and greet the member.
    Dial {
        /// Number of the connection.
        link: LinkId,
        /// Where to.
        address: SocketAddr,
    },
    /// Send a liveness probe to the acting head over this connection.
    ProbeHead(LinkId),
    /// Close a connection.
    Close(LinkId),
    /// This connection leads to an acting head.
    Attached(LinkId),
    /// No acting head is known any more.
    Detached,
}

//! Errors of sockets, connections, signals and the runtime.

use indigofold_protocol::codec::CodecError;
use snafu::Snafu;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// A failure of a socket, a connection, a signal handler or the runtime, or invalid data from a peer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NetError {
    /// The runtime (poller and timers) cannot be set up.
    #[snafu(display("the asynchronous runtime cannot be started: {source}"))]
    Runtime {
        /// The system's error.
        source: io::Error,
    },
    /// A listener cannot be opened on an address.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A listener cannot accept a connection.
    #[snafu(display("cannot accept connections on {address}: {source}"))]
    Accept {
        /// The listener's address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A connection to a peer cannot be established.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// The peer's address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A peer does not accept a connection in time.
    #[snafu(display("{address} did not accept a connection within {} ms", timeout.as_millis()))]
    ConnectTimeout {
        /// The peer's address.
        address: SocketAddr,
        /// Time limit of the attempt.
        timeout: Duration,
    },
    /// An open connection fails.
    #[snafu(display("the connection to {peer} failed: {source}"))]
    Connection {
        /// The peer's address.
        peer: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A peer sends bytes that are not a valid frame.
    #[snafu(display("{peer} sent an invalid frame: {source}"))]
    Frame {
        /// The peer's address.
        peer: SocketAddr,
        /// The decoder's error.
        source: CodecError,
    },
    /// A peer closes the connection within a frame.
    #[snafu(display("{peer} closed the connection within a frame"))]
    Truncated {
        /// The peer's address.
        peer: SocketAddr,
    },
    /// A signal handler cannot be installed.
    #[snafu(display("signal {signal} cannot be caught: {source}"))]
    Signal {
        /// Number of the signal.
        signal: i32,
        /// The system's error.
        source: io::Error,
    },
}

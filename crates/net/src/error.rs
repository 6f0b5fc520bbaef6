//! What can fail on a socket.

use indigofold_protocol::codec::CodecError;
use snafu::Snafu;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// A failure of a socket, of the runtime or of what came in over a connection.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NetError {
    /// The runtime (poller and timers) cannot be set up.
    #[snafu(display("the asynchronous runtime cannot be started: {source}"))]
    Runtime {
        /// Why.
        source: io::Error,
    },
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// A listener can accept no more connections.
    #[snafu(display("cannot accept connections on {address}: {source}"))]
    Accept {
        /// The listener's address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// A peer cannot be reached.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// The peer's address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// A peer has not answered in time.
    #[snafu(display("{address} has not accepted a connection within {} ms", timeout.as_millis()))]
    ConnectTimeout {
        /// The peer's address.
        address: SocketAddr,
        /// The time it had.
        timeout: Duration,
    },
    /// An open connection has failed.
    #[snafu(display("the connection to {peer} has failed: {source}"))]
    Connection {
        /// The peer's address.
        peer: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// What a peer has sent cannot be read.
    #[snafu(display("{peer} has sent what is no frame: {source}"))]
    Frame {
        /// The peer's address.
        peer: SocketAddr,
        /// Why.
        source: CodecError,
    },
    /// A peer has closed the connection within a frame.
    #[snafu(display("{peer} has closed the connection within a frame"))]
    Truncated {
        /// The peer's address.
        peer: SocketAddr,
    },
    /// A signal handler cannot be installed.
    #[snafu(display("signal {signal} cannot be caught: {source}"))]
    Signal {
        /// The signal's number.
        signal: i32,
        /// Why.
        source: io::Error,
    },
}

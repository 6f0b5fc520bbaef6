//! TCP sockets with the options that every connection of the cluster gets.
//!
//! Sockets are made and bound by direct system calls: the runtime would pass these, which never block, to a thread.

use crate::error::{ConnectSnafu, ConnectTimeoutSnafu, ListenSnafu, NetError};
use crate::runtime::{sleep, timeout};
use compio::net::{TcpListener, TcpSocket, TcpStream};
use snafu::ResultExt;
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes sent to a peer that does not acknowledge them for this time end the connection.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2_500);
/// An idle connection is probed after this time, and as often again.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of probes without an answer that end the connection.
const PROBES: u32 = 2;
/// New connections that the system keeps until they are accepted.
const BACKLOG: i32 = 1_024;
/// Attempts to listen on an address that is still in use, by a predecessor that is about to end.
const LISTEN_ATTEMPTS: u32 = 20;
/// Time between two such attempts.
const LISTEN_RETRY: Duration = Duration::from_millis(100);

/// Listens on `address`; an address in use is tried again for two seconds.
pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener, NetError> {
    for _ in 1..LISTEN_ATTEMPTS {
        match bind(address) {
            Ok(listener) => return Ok(listener),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => sleep(LISTEN_RETRY).await,
            Err(error) => return Err(error).context(ListenSnafu { address }),
        }
    }
    bind(address).context(ListenSnafu { address })
}

/// A listening socket. `SO_REUSEADDR` lets a restarted process bind at once.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Connects to `address`. A machine without power does not answer: the attempt ends after `limit`.
pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, NetError> {
    let attempt = async {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        let socket = TcpSocket::from_std_stream(socket.into())?;
        let stream = socket.connect(address).await?;
        set_options(&stream)?;
        Ok(stream)
    };
    match timeout(limit, attempt).await {
        Some(connected) => connected.context(ConnectSnafu { address }),
        None => ConnectTimeoutSnafu {
            address,
            timeout: limit,
        }
        .fail(),
    }
}

/// Sets the options of an open connection: no delay of small writes, and an early end if the peer is out of reach.
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Ends the given directions of a connection, whichever tasks still use it.
pub(crate) fn shut_down(stream: &TcpStream, direction: std::net::Shutdown) {
    // Fails only on a connection that has ended already.
    let _ = SockRef::from(stream).shutdown(direction);
}

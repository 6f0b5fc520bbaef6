//! TCP sockets with the options common to all connections.
//!
//! Sockets are created and bound by direct system calls. These never block, and the runtime would pass them to another
//! thread.

use crate::error::{ConnectSnafu, ConnectTimeoutSnafu, ListenSnafu, NetError};
use crate::runtime::{sleep, timeout};
use compio::net::{TcpListener, TcpSocket, TcpStream};
use snafu::ResultExt;
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which a connection ends if the peer does not acknowledge sent bytes (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time before the first keepalive probe, and time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the connection ends.
const PROBES_MAX: u32 = 2;
/// Maximum number of connections that the system queues until they are accepted.
const BACKLOG: i32 = 1_024;
/// Number of attempts to listen on an address that is in use, for example by a previous process that is shutting down.
const LISTEN_ATTEMPTS: u32 = 20;
/// Time between two attempts to listen.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Listens on `address`. If the address is in use, retries for about two seconds.
pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener, NetError> {
    for _ in 1..LISTEN_ATTEMPTS {
        match bind(address) {
            Ok(listener) => return Ok(listener),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => sleep(RETRY_DELAY).await,
            Err(error) => return Err(error).context(ListenSnafu { address }),
        }
    }
    bind(address).context(ListenSnafu { address })
}

/// Opens a listening socket. `SO_REUSEADDR` lets a restarted process bind at once.
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

/// Connects to `address`. The attempt fails after `limit`, since a machine that is down does not answer at all.
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

/// Sets the options of an open connection: small writes are not delayed, and an unreachable peer is detected early.
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES_MAX);
    socket.set_tcp_keepalive(&keepalive)
}

/// Shuts down the given directions of a connection, even if other tasks still use it.
pub(crate) fn shut_down(stream: &TcpStream, direction: std::net::Shutdown) {
    // This fails only if the connection has already ended.
    let _ = SockRef::from(stream).shutdown(direction);
}

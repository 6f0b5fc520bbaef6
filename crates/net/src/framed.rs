//! Connections between the cluster's own processes: frames in both directions over one TCP connection each.

mod link;
mod reader;
mod sender;

pub use reader::FrameReader;
pub use sender::{ConnectionClosed, FrameSender, QUEUE_BYTES_MAX};

use crate::error::{AcceptSnafu, ListenSnafu, NetError};
use crate::socket;
use compio::net::{TcpListener, TcpStream};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;

/// An open connection. It closes when the reader is dropped, when all senders are dropped and the send queue is
/// written, when [`FrameSender::close`] is called, or when either direction fails.
#[derive(Debug)]
pub struct Connection {
    /// Address of the peer's socket.
    pub peer: SocketAddr,
    /// Receives frames from the peer.
    pub reader: FrameReader,
    /// Sends frames to the peer.
    pub sender: FrameSender,
}

impl Connection {
    /// Splits an open socket into the two halves.
    fn new(stream: TcpStream, peer: SocketAddr) -> Connection {
        let sender = FrameSender::start(stream.clone(), peer);
        let reader = FrameReader::new(stream, peer, sender.link());
        Connection {
            peer,
            reader,
            sender,
        }
    }
}

/// Connects to a peer at its internal address.
///
/// # Errors
///
/// [`NetError`] if the connection is not established within `timeout`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Connection, NetError> {
    let stream = socket::connect(address, timeout).await?;
    Ok(Connection::new(stream, address))
}

/// Accepts connections on an internal address.
#[derive(Debug)]
pub struct FrameListener {
    listener: TcpListener,
    address: SocketAddr,
}

/// Listens on an internal address; port 0 selects a free port.
///
/// # Errors
///
/// [`NetError::Listen`] if the address cannot be bound.
pub async fn listen(address: SocketAddr) -> Result<FrameListener, NetError> {
    let listener = socket::listen(address).await?;
    let address = listener.local_addr().context(ListenSnafu { address })?;
    Ok(FrameListener { listener, address })
}

impl FrameListener {
    /// The address that the listener is bound to, with its actual port.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts the next connection. Errors are temporary (no file descriptor is free, or the peer has closed the
    /// connection): the caller should wait briefly and call again.
    ///
    /// # Errors
    ///
    /// [`NetError::Accept`] if the system cannot accept a connection or set its options.
    pub async fn accept(&self) -> Result<Connection, NetError> {
        let address = self.address;
        let (stream, peer) = self
            .listener
            .accept()
            .await
            .context(AcceptSnafu { address })?;
        socket::set_options(&stream).context(AcceptSnafu { address })?;
        Ok(Connection::new(stream, peer))
    }
}

//! Connections between the cluster's own processes: frames in both directions over one TCP connection.

mod link;
mod reader;
mod sender;

pub use reader::FrameReader;
pub use sender::{Closed, FrameSender, QUEUE_BYTES_MAX};

use crate::error::{AcceptSnafu, ListenSnafu, NetError};
use crate::socket;
use compio::net::{TcpListener, TcpStream};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;

/// An open connection. It closes when the reader is dropped, when all senders are dropped and the queue is written,
/// when [`FrameSender::close`] is called, and when either direction fails.
#[derive(Debug)]
pub struct Connection {
    /// Address of the peer's socket.
    pub peer: SocketAddr,
    /// What the peer sends.
    pub reader: FrameReader,
    /// What is sent to the peer.
    pub sender: FrameSender,
}

impl Connection {
    /// The two halves of an open socket.
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

/// Connects to a peer's internal port.
///
/// # Errors
///
/// [`NetError`] if the peer cannot be reached within `timeout`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Connection, NetError> {
    let stream = socket::connect(address, timeout).await?;
    Ok(Connection::new(stream, address))
}

/// Accepts connections on the internal port.
#[derive(Debug)]
pub struct FrameListener {
    listener: TcpListener,
    address: SocketAddr,
}

/// Listens on the internal port.
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
    /// The address listened on.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// The next connection. An error (no descriptor is free, the peer has closed) is temporary; wait
    /// briefly, then go on.
    ///
    /// # Errors
    ///
    /// [`NetError::Accept`].
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

//! Open connections to other processes, and the tasks that accept, dial and read them.

use super::error::{DriverError, NetSnafu};
use super::event::Event;
use crate::core_member::Input;
use crate::inbox::Inbox;
use crate::sessions::ConnectionId;
use indigofold_net::framed::{self, Connection, FrameListener, FrameReader, FrameSender};
use indigofold_net::runtime;
use indigofold_protocol::internal::Frame;
use snafu::ResultExt;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of connecting to a member.
const DIAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Wait before accepting again after a failure, which is most likely a lack of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// The open connections. Clones share the same connections.
#[derive(Clone)]
pub(super) struct Connections {
    senders: Rc<RefCell<HashMap<ConnectionId, FrameSender>>>,
    /// ID of the next connection.
    next_id: Rc<Cell<u64>>,
    inbox: Inbox<Event>,
}

impl Connections {
    /// Listens on the internal address and starts to accept connections.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub(super) async fn listen(
        address: SocketAddr,
        inbox: Inbox<Event>,
    ) -> Result<Connections, DriverError> {
        let listener = framed::listen(address).await.context(NetSnafu)?;
        let connections = Connections {
            senders: Rc::default(),
            next_id: Rc::default(),
            inbox,
        };
        runtime::spawn(connections.clone().accept(listener));
        Ok(connections)
    }

    /// Queues a frame. A frame for a closed connection is dropped; the member learns of the loss from [`Input::Closed`].
    pub(super) fn send(&self, connection: ConnectionId, frame: &Frame) {
        if let Some(sender) = self.senders.borrow().get(&connection) {
            let _ = sender.send(frame);
        }
    }

    /// Closes a connection.
    pub(super) fn close(&self, connection: ConnectionId) {
        if let Some(sender) = self.senders.borrow_mut().remove(&connection) {
            sender.close();
        }
    }

    /// Dials another member. The result is passed on as [`Input::Dialled`] or [`Input::DialFailed`].
    pub(super) fn dial(&self, address: SocketAddr) {
        let connections = self.clone();
        runtime::spawn(async move {
            match framed::connect(address, DIAL_TIMEOUT).await {
                Ok(opened_connection) => {
                    let (id, reader) = connections.add(opened_connection);
                    connections.push_input(Input::Dialled {
                        address,
                        connection: id,
                    });
                    connections.read(id, reader).await;
                }
                Err(error) => {
                    log::debug!("dial failed error={error}");
                    connections.push_input(Input::DialFailed { address });
                }
            }
        });
    }

    /// Accepts connections until the process ends.
    async fn accept(self, listener: FrameListener) {
        loop {
            match listener.accept().await {
                Ok(opened_connection) => {
                    let (id, reader) = self.add(opened_connection);
                    let connections = self.clone();
                    runtime::spawn(async move { connections.read(id, reader).await });
                }
                Err(error) => {
                    log::warn!("accept failed, will retry error={error}");
                    runtime::sleep(ACCEPT_RETRY).await;
                }
            }
        }
    }

    /// Passes on the frames of a connection until it ends, then closes it.
    async fn read(&self, connection: ConnectionId, mut reader: FrameReader) {
        loop {
            match reader.next().await {
                Ok(Some(frame)) => self.push_input(Input::Frame { connection, frame }),
                Ok(None) => break,
                Err(error) => {
                    log::debug!("connection failed error={error}");
                    break;
                }
            }
        }
        self.close(connection);
        self.push_input(Input::Closed { connection });
    }

    /// Assigns an ID to a new connection and stores its sending half.
    fn add(&self, opened_connection: Connection) -> (ConnectionId, FrameReader) {
        let id = ConnectionId(self.next_id.replace(self.next_id.get() + 1));
        self.senders
            .borrow_mut()
            .insert(id, opened_connection.sender);
        (id, opened_connection.reader)
    }

    fn push_input(&self, input: Input) {
        self.inbox.push(Event::CoreMember(input));
    }
}

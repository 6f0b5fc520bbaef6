//! Handles connections that open and close, and dispatches the frames received on them.

use super::{CoreMember, Input, Output};
use crate::clocks::Clocks;
use crate::sessions::ConnectionId;
use indigofold_protocol::internal::{Frame, Hello, ProcessKind};
use indigofold_replication::{Input as ReplicaInput, message};
use indigofold_scheduler::{AgentId, CallerId, Event};
use snafu::{OptionExt, Snafu, ensure};
use std::net::SocketAddr;

/// Reason to reject a frame.
#[derive(Debug, Snafu)]
enum FrameError {
    #[snafu(display("a {frame} frame was received before a Hello"))]
    BeforeHello { frame: &'static str },
    #[snafu(display("{node_name} is of kind {kind:?}, which must not send {frame} frames"))]
    UnexpectedSender {
        frame: &'static str,
        kind: ProcessKind,
        node_name: String,
    },
}

impl CoreMember {
    /// Queues a frame to be sent.
    pub(super) fn send(&mut self, connection: ConnectionId, frame: Frame) {
        self.outputs.push(Output::Send { connection, frame });
    }

    /// Sends this member's hello and announcement on a connection that it has opened to another member.
    pub(super) fn handle_dialled(&mut self, address: SocketAddr, connection: ConnectionId) {
        if !self.peers.dial_succeeded(address, connection) {
            self.outputs.push(Output::Close { connection });
            return;
        }
        self.send(connection, Frame::Hello(self.settings.hello.clone()));
        self.send_welcome(connection);
    }

    /// Removes a connection that either side has closed, and informs the scheduler.
    pub(super) fn handle_closed(&mut self, clocks: Clocks, connection: ConnectionId) {
        if let Some(address) = self.peers.connection_closed(clocks.steady_ms, connection) {
            log::debug!("connection closed peer={address}");
        }
        let Some(session) = self.sessions.remove(connection) else {
            return;
        };
        let event = match session.kind {
            ProcessKind::Edge => Event::CallerDisconnected(CallerId(connection.0)),
            ProcessKind::Agent => Event::AgentDisconnected(AgentId(connection.0)),
            ProcessKind::Core => return,
        };
        if self.is_head() && session.kind == ProcessKind::Agent {
            log::info!("node agent disconnected agent={}", session.node_name);
        }
        self.scheduler_event(clocks, event);
        if session.has_reported() {
            self.close_rejected(clocks, &session.node_name);
        }
    }

    /// Handles a received frame. A frame that its sender may not send closes the connection.
    pub(super) fn handle_frame(&mut self, clocks: Clocks, connection: ConnectionId, frame: Frame) {
        if let Err(error) = self.check_sender(connection, &frame) {
            log::warn!("frame rejected, connection closed error={error}");
            return self.close_connection(clocks, connection);
        }
        match frame {
            Frame::Hello(hello) => self.handle_hello(clocks, connection, hello),
            Frame::Welcome(welcome) => self.handle_welcome(clocks, welcome),
            Frame::Replication(bytes) => self.handle_replication(clocks, connection, &bytes),
            Frame::Call(call) => self.handle_call(clocks, connection, call),
            Frame::Report(report) => self.handle_report(clocks, connection, report),
            Frame::Inspect(call) => self.handle_inspection(clocks, connection, call),
            // Rejected by `check_sender`.
            Frame::Reply(_) | Frame::Orders(_) | Frame::Inspected(_) => {}
        }
    }

    /// Checks that the process at the other end of the connection may send this kind of frame.
    fn check_sender(&self, connection: ConnectionId, frame: &Frame) -> Result<(), FrameError> {
        let (frame_name, permitted_sender) = match frame {
            Frame::Replication(_) => ("Replication", Some(ProcessKind::Core)),
            Frame::Call(_) => ("Call", Some(ProcessKind::Edge)),
            Frame::Report(_) => ("Report", Some(ProcessKind::Agent)),
            Frame::Reply(_) => ("Reply", None),
            Frame::Orders(_) => ("Orders", None),
            Frame::Inspected(_) => ("Inspected", None),
            Frame::Hello(_) | Frame::Welcome(_) | Frame::Inspect(_) => return Ok(()),
        };
        let session = self
            .sessions
            .get(connection)
            .context(BeforeHelloSnafu { frame: frame_name })?;
        ensure!(
            permitted_sender == Some(session.kind),
            UnexpectedSenderSnafu {
                frame: frame_name,
                kind: session.kind,
                node_name: &session.node_name
            }
        );
        Ok(())
    }

    /// Handles a replication message of another member. A message that cannot be decoded closes the connection, as the rest of
    /// the stream can no longer be trusted.
    fn handle_replication(&mut self, clocks: Clocks, connection: ConnectionId, bytes: &[u8]) {
        match message::decode(bytes) {
            Ok(envelope) => self.replica_input(clocks, ReplicaInput::Message(envelope)),
            Err(error) => {
                let session = self.sessions.get(connection);
                let node_name = session.map_or("", |session| session.node_name.as_str());
                log::warn!("frame rejected, connection closed member={node_name} error={error}");
                self.close_connection(clocks, connection);
            }
        }
    }

    /// Closes a connection from this side.
    pub(super) fn close_connection(&mut self, clocks: Clocks, connection: ConnectionId) {
        self.outputs.push(Output::Close { connection });
        self.handle(clocks, Input::Closed { connection });
    }

    /// Handles the hello of a process that has connected to this member. A second hello on a connection is a protocol error and
    /// closes the connection.
    fn handle_hello(&mut self, clocks: Clocks, connection: ConnectionId, hello: Hello) {
        let (kind, node_name) = (hello.kind, hello.node_name.clone());
        if !self.sessions.register(connection, hello) {
            self.close_connection(clocks, connection);
            return;
        }
        self.send_welcome(connection);
        match kind {
            ProcessKind::Core => self.peer_connected(clocks.steady_ms, &node_name),
            ProcessKind::Agent => {
                let agent = AgentId(connection.0);
                self.scheduler_event(clocks, Event::AgentConnected { agent, node_name });
            }
            ProcessKind::Edge => {}
        }
    }

    /// Dials the member with this name at once if no connection to it is open: it has just connected, and so can be reached.
    fn peer_connected(&mut self, now_ms: u64, node_name: &str) {
        let members = self.replica.members();
        if let Some(member) = members.iter().find(|member| member.node_name == node_name) {
            self.peers.peer_connected(now_ms, member.internal);
        }
    }

    /// Sends the latest welcome on a connection.
    pub(super) fn send_welcome(&mut self, connection: ConnectionId) {
        let welcome = self.announcement.welcome().clone();
        self.send(connection, Frame::Welcome(welcome));
    }
}

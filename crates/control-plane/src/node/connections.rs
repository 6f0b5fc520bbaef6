//! Frames that come in, and connections that come and go.

use super::{Home, Input, Node, Output};
use crate::head::Clocks;
use crate::sessions::ConnectionId;
use indigofold_protocol::internal::{Frame, Hello, ProcessKind, Welcome};
use indigofold_replication::{Input as ReplicaInput, message};
use indigofold_scheduler::{AgentId, CallerId, Event};
use snafu::{OptionExt, Snafu, ensure};
use std::net::SocketAddr;

/// Why a frame is not read.
#[derive(Debug, Snafu)]
enum FrameRefusal {
    #[snafu(display("a {frame} came before a Hello"))]
    Ungreeted { frame: &'static str },
    #[snafu(display("{node_name} is {kind:?}, which sends no {frame}"))]
    Sender {
        frame: &'static str,
        kind: ProcessKind,
        node_name: String,
    },
}

impl Node {
    /// This member's own connection to another one has come about: it says who it is and where it is reached.
    pub(super) fn dialled(&mut self, address: SocketAddr, connection: ConnectionId) {
        if !self.peers.opened(address, connection) {
            self.outputs.push(Output::Close { connection });
            return;
        }
        let hello = Frame::Hello(self.settings.hello.clone());
        self.outputs.push(Output::Send {
            connection,
            frame: hello,
        });
        let welcome = Frame::Welcome(self.welcome.clone());
        self.outputs.push(Output::Send {
            connection,
            frame: welcome,
        });
    }

    /// A connection is closed, by whomever.
    pub(super) fn closed(&mut self, clocks: Clocks, connection: ConnectionId) {
        if let Some(address) = self.peers.closed(clocks.steady_ms, connection) {
            log::debug!("the connection to {address} is closed");
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
            log::info!("node agent {} is no longer connected", session.node_name);
        }
        self.scheduler_event(clocks, event);
    }

    /// A frame has come in.
    pub(super) fn frame(&mut self, clocks: Clocks, connection: ConnectionId, frame: Frame) {
        if let Err(refusal) = self.check_sender(connection, &frame) {
            log::warn!("a frame is refused and its connection closed: {refusal}");
            return self.drop_connection(clocks, connection);
        }
        match frame {
            Frame::Hello(hello) => self.greeted(clocks, connection, hello),
            Frame::Welcome(welcome) => self.welcomed(clocks, welcome),
            Frame::Replication(bytes) => self.replicated(clocks, connection, &bytes),
            Frame::Call(call) => self.call(clocks, connection, call),
            Frame::Report(report) => self.report(clocks, connection, report),
            Frame::Inspect(call) => self.inspect(clocks, connection, call),
            // Refused above.
            Frame::Reply(_) | Frame::Orders(_) | Frame::Inspected(_) => {}
        }
    }

    /// Whether the peer of this connection may send such a frame.
    fn check_sender(&self, connection: ConnectionId, frame: &Frame) -> Result<(), FrameRefusal> {
        let (name, sender) = match frame {
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
            .context(UngreetedSnafu { frame: name })?;
        ensure!(
            sender == Some(session.kind),
            SenderSnafu {
                frame: name,
                kind: session.kind,
                node_name: &session.node_name
            }
        );
        Ok(())
    }

    /// Another member's message. After one that cannot be read the stream is not trusted any more.
    fn replicated(&mut self, clocks: Clocks, connection: ConnectionId, bytes: &[u8]) {
        match message::decode(bytes) {
            Ok(envelope) => self.replica_input(clocks, ReplicaInput::Message(envelope)),
            Err(error) => {
                let from = self
                    .sessions
                    .get(connection)
                    .map_or("", |session| session.node_name.as_str());
                log::warn!("a frame is refused and its connection closed: {from}: {error}");
                self.drop_connection(clocks, connection);
            }
        }
    }

    /// Closes a connection from this side.
    pub(super) fn drop_connection(&mut self, clocks: Clocks, connection: ConnectionId) {
        self.outputs.push(Output::Close { connection });
        self.handle(clocks, Input::Closed { connection });
    }

    /// Somebody who has dialled this member says who it is.
    fn greeted(&mut self, clocks: Clocks, connection: ConnectionId, hello: Hello) {
        let (kind, node_name) = (hello.kind, hello.node_name.clone());
        if !self.sessions.greet(connection, hello) {
            self.drop_connection(clocks, connection);
            return;
        }
        self.outputs.push(Output::Send {
            connection,
            frame: Frame::Welcome(self.welcome.clone()),
        });
        if kind == ProcessKind::Core {
            let known = self
                .replica
                .members()
                .into_iter()
                .find(|member| member.node_name == node_name);
            known
                .into_iter()
                .for_each(|member| self.peers.heard_from(clocks.steady_ms, member.internal));
        }
        if kind == ProcessKind::Agent && matches!(self.home, Home::Here(_)) {
            let agent = AgentId(connection.0);
            self.scheduler_event(clocks, Event::AgentConnected { agent, node_name });
        }
    }

    /// Another member tells whom it knows.
    fn welcomed(&mut self, clocks: Clocks, welcome: Welcome) {
        let own = self.settings.address.internal;
        for address in welcome
            .members
            .into_iter()
            .filter(|member| member.internal != own)
        {
            self.replica_input(clocks, ReplicaInput::MemberDiscovered { address });
        }
        self.welcome_due_ms = 0;
    }
}

//! Connections that others have opened to this member: edges, companions and other members.

use crate::inspection::WorkerAccount;
use indigofold_protocol::internal::{Hello, InstanceReport, ProcessKind};
use std::collections::BTreeMap;

/// Names a connection; never used again within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A connection whose peer has said who it is.
#[derive(Debug)]
pub struct Session {
    /// What the peer is.
    pub kind: ProcessKind,
    /// Name of its machine.
    pub node_name: String,
    /// Calls of it that have not been replied to.
    pub open_calls: u64,
    /// The worker that a companion reported last.
    pub worker: Option<WorkerAccount>,
}

/// The connections that others have opened, from their `Hello` on.
#[derive(Debug, Default)]
pub struct Sessions {
    sessions: BTreeMap<ConnectionId, Session>,
}

impl Sessions {
    /// The peer has said who it is; false if it has done so before.
    pub fn greet(&mut self, connection: ConnectionId, hello: Hello) -> bool {
        let session = Session {
            kind: hello.kind,
            node_name: hello.node_name,
            open_calls: 0,
            worker: None,
        };
        self.sessions.insert(connection, session).is_none()
    }

    /// The session on this connection.
    pub fn get(&self, connection: ConnectionId) -> Option<&Session> {
        self.sessions.get(&connection)
    }

    /// A call has come in.
    pub fn call_opened(&mut self, connection: ConnectionId) {
        if let Some(session) = self.sessions.get_mut(&connection) {
            session.open_calls += 1;
        }
    }

    /// A call is replied to.
    pub fn call_replied(&mut self, connection: ConnectionId) {
        if let Some(session) = self.sessions.get_mut(&connection) {
            session.open_calls = session.open_calls.saturating_sub(1);
        }
    }

    /// A companion reports its worker, or that it has none.
    pub fn worker_reported(&mut self, connection: ConnectionId, report: Option<&InstanceReport>) {
        let Some(session) = self.sessions.get_mut(&connection) else {
            return;
        };
        let known = match (&session.worker, report) {
            (Some(worker), Some(report)) => worker.agrees(report),
            (None, None) => true,
            _ => false,
        };
        if !known {
            session.worker = report.map(WorkerAccount::from);
        }
    }

    /// The connection is closed.
    pub fn remove(&mut self, connection: ConnectionId) -> Option<Session> {
        self.sessions.remove(&connection)
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Session)> {
        self.sessions
            .iter()
            .map(|(connection, session)| (*connection, session))
    }
}

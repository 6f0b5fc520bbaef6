//! Connections that others have opened to this member: edges, node agents and other members.

use crate::inspection::WorkerProfile;
use indigofold_protocol::internal::{Hello, InstanceReport, ProcessKind};
use indigofold_scheduler::AgentId;
use std::collections::BTreeMap;

/// Identifies a connection; never reused within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A connection whose greeting has been received.
#[derive(Debug)]
pub struct Session {
    /// Kind of the process at the other end.
    pub kind: ProcessKind,
    /// Name of its machine.
    pub node_name: String,
    /// Number of its calls without a reply.
    open_calls: u64,
    /// The worker in a node agent's last report.
    worker: Option<WorkerProfile>,
}

/// The connections that others have opened, from their `Hello` on.
#[derive(Debug, Default)]
pub struct Sessions {
    sessions: BTreeMap<ConnectionId, Session>,
}

impl Sessions {
    /// Adds the connection with its greeting; false if it already had one.
    pub fn register(&mut self, connection: ConnectionId, hello: Hello) -> bool {
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

    /// A call was received.
    pub fn call_opened(&mut self, connection: ConnectionId) {
        if let Some(session) = self.sessions.get_mut(&connection) {
            session.open_calls += 1;
        }
    }

    /// A call was replied to.
    pub fn call_replied(&mut self, connection: ConnectionId) {
        if let Some(session) = self.sessions.get_mut(&connection) {
            session.open_calls = session.open_calls.saturating_sub(1);
        }
    }

    /// A node agent reports its worker, or that it has none.
    pub fn worker_reported(&mut self, connection: ConnectionId, report: Option<&InstanceReport>) {
        let Some(session) = self.sessions.get_mut(&connection) else {
            return;
        };
        let is_known = match (&session.worker, report) {
            (Some(worker), Some(report)) => worker.matches_report(report),
            (None, None) => true,
            _ => false,
        };
        if !is_known {
            session.worker = report.map(WorkerProfile::from);
        }
    }

    /// Removes a connection that is closed.
    pub fn remove(&mut self, connection: ConnectionId) -> Option<Session> {
        self.sessions.remove(&connection)
    }

    /// All sessions.
    pub fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Session)> {
        self.sessions
            .iter()
            .map(|(connection, session)| (*connection, session))
    }

    /// Number of connected processes of a kind.
    pub fn count(&self, kind: ProcessKind) -> u32 {
        self.iter()
            .filter(|(_, session)| session.kind == kind)
            .count() as u32
    }

    /// The connected node agents, with the names of their machines.
    pub fn agents(&self) -> Vec<(AgentId, String)> {
        self.iter()
            .filter(|(_, session)| session.kind == ProcessKind::Agent)
            .map(|(connection, session)| (AgentId(connection.0), session.node_name.clone()))
            .collect()
    }

    /// The connections with calls that have no reply.
    pub fn with_open_calls(&self) -> Vec<ConnectionId> {
        self.iter()
            .filter(|(_, session)| session.open_calls > 0)
            .map(|(connection, _)| connection)
            .collect()
    }

    /// The workers that connected node agents have reported.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerProfile> {
        self.iter()
            .filter_map(|(_, session)| session.worker.as_ref())
    }
}

//! Connections opened to this member by edges, node agents and other members.

use crate::inspection::WorkerProfile;
use indigofold_protocol::internal::{Hello, InstanceReport, ProcessKind, RUN_LEASE_MS};
use indigofold_scheduler::AgentId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// Identifies a connection; never reused within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A node agent counts as present for this time after its latest report. Longer than the run leases that an agent has
/// granted, so that they have expired if it stands still; reports are at most 300 ms apart.
pub const AGENT_PRESENCE_MS: u64 = RUN_LEASE_MS + 1_000;

/// Decision on a report of a node agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportAdmission {
    /// The report is to be handled. The agent has given up these connections, which are to be closed.
    Handled {
        /// Connections of the same machine whose `Hello` was received before; empty after the first report.
        replaced: Vec<ConnectionId>,
    },
    /// The node agent of another machine with the same name is present on `present`: the report is not to be handled.
    Rejected {
        /// Connection of the present node agent.
        present: ConnectionId,
        /// True for the first rejected report on its connection, so that a log line follows once.
        is_first: bool,
    },
    /// A report on this connection was rejected before. Agents report some items once on a connection, so this one has to
    /// connect anew.
    Incomplete,
}

/// State of a connection on which a `Hello` was received.
#[derive(Debug)]
pub struct Session {
    /// Kind of the process at the other end.
    pub kind: ProcessKind,
    /// Name of the machine of that process.
    pub node_name: String,
    /// Number that the process has drawn at its start.
    incarnation: u64,
    /// Address of the machine, from the `Hello`; `None` if the process does not send it.
    ip: Option<IpAddr>,
    /// Number of the `Hello`, in the order in which they were received from all processes.
    greeting: u64,
    /// Number of calls on the connection without a reply.
    open_calls: u64,
    /// When the latest report or call on the connection was handled, on the monotonic clock; `None` before the first.
    used_ms: Option<u64>,
    /// Whether a report on the connection was rejected.
    is_rejected: bool,
    /// For node agents, the worker in the last report; `None` before the first report and if the agent has no worker.
    worker: Option<WorkerProfile>,
}

impl Session {
    /// Whether a report of a node agent was handled on the connection.
    pub fn has_reported(&self) -> bool {
        self.kind == ProcessKind::Agent && self.used_ms.is_some()
    }

    /// Whether the two are known to be processes of different machines.
    fn is_other_machine(&self, other: &Session) -> bool {
        let addresses = self.ip.zip(other.ip);
        addresses.is_some_and(|(own_ip, other_ip)| own_ip != other_ip)
    }

    fn has_same_name(&self, other: &Session) -> bool {
        self.kind == other.kind && self.node_name == other.node_name
    }
}

/// Connections opened to this member whose `Hello` has been received and that are not closed.
#[derive(Debug, Default)]
pub struct Sessions {
    sessions: BTreeMap<ConnectionId, Session>,
    /// Number of `Hello`s received so far.
    greetings: u64,
    /// Connections on which updates without a number were ignored since the last [`Sessions::take_ignored_updates`].
    ignored_updates: BTreeSet<ConnectionId>,
}

impl Sessions {
    /// Adds a connection whose `Hello` was received. Returns false, and changes nothing, if the connection had already sent
    /// one.
    pub fn register(&mut self, connection: ConnectionId, hello: Hello) -> bool {
        if self.sessions.contains_key(&connection) {
            return false;
        }
        self.greetings += 1;
        let session = Session {
            kind: hello.kind,
            node_name: hello.node_name,
            incarnation: hello.incarnation,
            ip: hello.ip,
            greeting: self.greetings,
            open_calls: 0,
            used_ms: None,
            is_rejected: false,
            worker: None,
        };
        self.sessions.insert(connection, session);
        true
    }

    /// Returns the session on a connection; `None` if no `Hello` was received on it.
    pub fn get(&self, connection: ConnectionId) -> Option<&Session> {
        self.sessions.get(&connection)
    }

    /// Counts a call that was received on the connection. The first one shows that the edge has given up its connections
    /// whose `Hello` was received before: it has read the welcome on this connection, and uses one at a time. Returns them.
    pub fn call_opened(&mut self, now_ms: u64, connection: ConnectionId) -> Vec<ConnectionId> {
        let Some(session) = self.sessions.get_mut(&connection) else {
            return Vec::new();
        };
        session.open_calls += 1;
        if session.used_ms.replace(now_ms).is_some() {
            return Vec::new();
        }
        let incarnation = session.incarnation;
        self.greeted_before(connection, |former| former.incarnation == incarnation)
    }

    /// Counts a reply that was sent on the connection.
    pub fn call_replied(&mut self, connection: ConnectionId) {
        if let Some(session) = self.sessions.get_mut(&connection) {
            session.open_calls = session.open_calls.saturating_sub(1);
        }
    }

    /// Decides whether a node agent's report is handled. The first one on a connection replaces the other connections from
    /// the same machine whose `Hello` was received before: the agent has read the welcome on this connection, and uses one
    /// at a time. A `Hello` alone may be a late one, on a connection that the agent has given up.
    ///
    /// A report of another machine that has the same name is rejected while the present agent reports; otherwise two agents
    /// that claim one name would replace each other without end. A process at the same address is the present agent's
    /// successor, as only one can listen there; so is one that does not say its address.
    pub fn admit_report(&mut self, now_ms: u64, connection: ConnectionId) -> ReportAdmission {
        let present = self.present_agent(now_ms, connection);
        let Some(session) = self.sessions.get_mut(&connection) else {
            return ReportAdmission::Incomplete;
        };
        if let Some(present) = present {
            let is_first = !std::mem::replace(&mut session.is_rejected, true);
            return ReportAdmission::Rejected { present, is_first };
        }
        if session.is_rejected {
            return ReportAdmission::Incomplete;
        }
        let replaced = if session.used_ms.replace(now_ms).is_none() {
            self.greeted_before(connection, |_| true)
        } else {
            Vec::new()
        };
        ReportAdmission::Handled { replaced }
    }

    /// Returns the connection of a node agent of another machine with the same name that has reported within
    /// [`AGENT_PRESENCE_MS`]; `None` if reports on `connection` are handled already.
    fn present_agent(&self, now_ms: u64, connection: ConnectionId) -> Option<ConnectionId> {
        let session = self.get(connection)?;
        if session.used_ms.is_some() {
            return None;
        }
        let is_present = |other: &Session| {
            other.has_same_name(session)
                && other.is_other_machine(session)
                && other
                    .used_ms
                    .is_some_and(|used_ms| now_ms < used_ms + AGENT_PRESENCE_MS)
        };
        self.iter()
            .find(|(_, other)| is_present(other))
            .map(|(present, _)| present)
    }

    /// Returns the connections of this machine's node agents on which reports were rejected.
    pub fn rejected_agents(&self, node_name: &str) -> Vec<ConnectionId> {
        self.iter()
            .filter(|(_, session)| session.is_rejected && session.node_name == node_name)
            .map(|(connection, _)| connection)
            .collect()
    }

    /// Returns the other connections of the same kind from the same machine whose `Hello` was received before that of
    /// `connection`, as far as `is_included`.
    fn greeted_before(
        &self,
        connection: ConnectionId,
        is_included: impl Fn(&Session) -> bool,
    ) -> Vec<ConnectionId> {
        let Some(session) = self.get(connection) else {
            return Vec::new();
        };
        let is_former = |other: &Session| {
            other.has_same_name(session) && other.greeting < session.greeting && is_included(other)
        };
        self.iter()
            .filter(|(_, other)| is_former(other))
            .map(|(former, _)| former)
            .collect()
    }

    /// Stores the worker that a node agent reports; `None` if the agent has no worker.
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

    /// Records that a node agent's report was ignored though it carries updates without a number.
    pub fn updates_ignored(&mut self, connection: ConnectionId) {
        self.ignored_updates.insert(connection);
    }

    /// Takes the open connections on which such reports were ignored since the last call.
    pub fn take_ignored_updates(&mut self) -> Vec<ConnectionId> {
        let ignored = std::mem::take(&mut self.ignored_updates).into_iter();
        ignored
            .filter(|connection| self.sessions.contains_key(connection))
            .collect()
    }

    /// Removes a closed connection and returns its session; `None` if no `Hello` was received on it.
    pub fn remove(&mut self, connection: ConnectionId) -> Option<Session> {
        self.sessions.remove(&connection)
    }

    /// Iterates over all sessions, in the order in which the connections were opened.
    pub fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Session)> {
        self.sessions
            .iter()
            .map(|(connection, session)| (*connection, session))
    }

    /// Returns the number of connected processes of a kind.
    pub fn count(&self, kind: ProcessKind) -> u32 {
        self.iter()
            .filter(|(_, session)| session.kind == kind)
            .count() as u32
    }

    /// Returns the connected node agents with the names of their machines.
    pub fn agents(&self) -> Vec<(AgentId, String)> {
        self.iter()
            .filter(|(_, session)| session.kind == ProcessKind::Agent)
            .map(|(connection, session)| (AgentId(connection.0), session.node_name.clone()))
            .collect()
    }

    /// Returns the connections that have calls without a reply.
    pub fn with_open_calls(&self) -> Vec<ConnectionId> {
        self.iter()
            .filter(|(_, session)| session.open_calls > 0)
            .map(|(connection, _)| connection)
            .collect()
    }

    /// Iterates over the workers that the connected node agents reported last.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerProfile> {
        self.iter()
            .filter_map(|(_, session)| session.worker.as_ref())
    }
}

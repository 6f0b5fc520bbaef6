//! Messages between the cluster's own processes. Edges and node agents connect to the core members; members
//! connect to each other. The first frame on a connection is a [`Hello`]; a member answers with a [`Welcome`].
//!
//! All `*_ms` times are milliseconds; `sent_ms` values are readings of the sender's steady clock, meaningful to that
//! sender only.

use crate::config::IngressLimits;
use crate::inspection::{InspectionCall, InspectionReply};
use crate::job::{JobSpec, JobState, Resources};
use crate::task::RunId;
use crate::worker::{RunEnd, WorkerState};
use serde::{Deserialize, Serialize};

pub use crate::member::MemberAddress;

/// The kind of process that connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessKind {
    /// Takes clients' requests.
    Edge,
    /// Node agent: runs beside a worker.
    Agent,
    /// Core member: holds a replica of the control state.
    Core,
}

/// First frame of the process that connects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of its machine.
    pub node_name: String,
    /// What it is.
    pub kind: ProcessKind,
    /// Its zone.
    pub zone: String,
    /// Drawn anew at each start of the process.
    pub incarnation: u64,
}

/// A member's answer to [`Hello`], and sent again whenever it changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Welcome {
    /// Number of the view that the member follows.
    pub view: u64,
    /// The view's head, where the member knows one that is at work.
    pub head: Option<MemberAddress>,
    /// All members that it knows.
    pub members: Vec<MemberAddress>,
    /// This member is the head, and may act (its lease holds).
    pub acting: bool,
    /// Version of the configuration in force; 0 before the first. Known to the acting head only.
    pub config_version: u64,
    /// Limits that the configuration sets on clients' requests.
    pub limits: IngressLimits,
}

/// An edge's call for a client. The reply carries the same `call`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientCall {
    /// Chosen by the edge; unique on its connection.
    pub call: u64,
    /// The `Host` header, without a port.
    pub host: String,
    /// The path.
    pub path: String,
    /// What the client requests.
    pub operation: ClientOperation,
}

/// What a client requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClientOperation {
    /// POST PREFIX + ID.
    Submit(JobSpec),
    /// GET PREFIX + ID: the job's state; GET PREFIX: how many jobs wait.
    Get,
    /// DELETE PREFIX + ID.
    Cancel,
}

/// The head's reply to a [`ClientCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientReply {
    /// The call's number.
    pub call: u64,
    /// Its result.
    pub outcome: ClientOutcome,
}

/// The result of a client's call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClientOutcome {
    /// The job is stored (200).
    Accepted,
    /// The job is not accepted and never runs because of this call (429).
    TooMany {
        /// When to retry.
        retry_after_ms: u64,
    },
    /// The call was not carried out: this member is not the acting head, or has no configuration (503).
    Unavailable {
        /// When to retry.
        retry_after_ms: u64,
    },
    /// No route leads there (404).
    UnknownRoute,
    /// The job cannot be read or never be done (400).
    Invalid {
        /// What, where, and what is allowed.
        reason: String,
    },
    /// The job's state (200).
    State(JobState),
    /// No such job (410).
    NoSuchJob,
    /// How many jobs wait (200).
    Pending(u64),
    /// The job is cancelled (200).
    Cancelled,
}

/// A node agent's report to the head, sent at changes and at least every few hundred milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The agent's steady clock when it sent this.
    pub sent_ms: u64,
    /// The worker's present instance, if one has registered here.
    pub instance: Option<InstanceReport>,
    /// Earlier instances (or this one, once it has ended or all its run leases have expired): nothing of theirs runs or
    /// ever will.
    pub ended_instances: Vec<String>,
    /// Starts that were never sent to the worker and never will be.
    pub not_started: Vec<RunId>,
}

/// An instance of a worker, as its node agent knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Its id.
    pub id: String,
    /// The service it belongs to.
    pub backend: String,
    /// Its zone.
    pub zone: String,
    /// Whether it takes new work.
    pub state: WorkerState,
    /// Least time until it ends, while it drains.
    pub remaining_ms: Option<u64>,
    /// How long it will still be slow after its start.
    pub warmup_remaining_ms: u64,
    /// Its resources.
    pub capacity: Resources,
    /// Its labels.
    pub labels: Vec<String>,
    /// Time since its last heartbeat.
    pub since_heartbeat_ms: u64,
    /// What runs there, by its last heartbeat; `None`: as in the last report on this connection.
    pub running: Option<Vec<RunningRun>>,
    /// Ends that the head has not acknowledged yet, in the order of their numbers.
    pub finished: Vec<FinishedRun>,
    /// Starts sent to the worker whose run no heartbeat has listed yet.
    pub in_flight: Vec<RunId>,
}

/// A run at work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningRun {
    /// The run.
    pub run: RunId,
    /// Its last checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress, in percent.
    pub percent: u32,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinishedRun {
    /// The worker's number of this end; rises within one instance.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub end: RunEnd,
    /// Its last checkpoint; empty for none.
    pub checkpoint: String,
}

/// The head's orders to a node agent; also the answer to each of its reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentOrders {
    /// The head's view: the fencing token. Orders of a lower one than the highest received are dropped.
    pub epoch: u64,
    /// `sent_ms` of the newest report received: the agent may extend run leases for [`LEASE_AUTHORITY_MS`] from then on.
    /// `None`: this message gives no authority to extend.
    pub echo_sent_ms: Option<u64>,
    /// The worker's instance that this is for; orders for another one are dropped.
    pub instance: String,
    /// Runs to start. Sent again after a reconnection; the agent does not start a known run twice.
    pub start: Vec<StartOrder>,
    /// Runs to stop.
    pub stop: Vec<RunId>,
    /// Ends up to this number are on disk and may be acknowledged to the worker.
    pub acknowledged_end: Option<u64>,
}

impl AgentOrders {
    /// Whether something is to be started or stopped.
    pub fn has_work(&self) -> bool {
        !self.start.is_empty() || !self.stop.is_empty()
    }
}

/// For how long after sending a report that the head has answered a node agent may go on extending run leases.
pub const LEASE_AUTHORITY_MS: u64 = 8_000;

/// The run lease that a node agent grants at each heartbeat; never above the bound `max_hold_ms`.
pub const RUN_LEASE_MS: u64 = 4_500;

/// A run to start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The run.
    pub run: RunId,
    /// What it needs; the agent sends it on only where it fits.
    pub resources: Resources,
    /// The job's text.
    pub spec: String,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: String,
}

/// Every message on an internal connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of the process that connects.
    Hello(Hello),
    /// A member's answer.
    Welcome(Welcome),
    /// Edge to head.
    Call(ClientCall),
    /// Head to edge.
    Reply(ClientReply),
    /// Node agent to head.
    Report(AgentReport),
    /// Head to node agent.
    Orders(AgentOrders),
    /// Member to member: a message of the replication protocol, encoded by that crate.
    Replication(Vec<u8>),
    /// Command line tool to member: a question that changes nothing.
    Inspect(InspectionCall),
    /// A member's answer to it.
    Inspected(InspectionReply),
}

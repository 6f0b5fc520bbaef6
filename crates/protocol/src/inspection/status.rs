//! Status of a member, and of queues and services.

use super::task_counts::TaskCounts;
use crate::member::MemberAddress;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Status of a core member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Version of the program that the member runs.
    pub version: String,
    /// Addresses of the member.
    pub address: MemberAddress,
    /// The view that the member accepted last; `None` before the first.
    pub view: Option<ViewStatus>,
    /// The acting head; `None` if the member knows none.
    pub head: Option<MemberAddress>,
    /// Whether the member is the head and may act, that is, its lease holds.
    pub acting: bool,
    /// Position of the member's database in the replicated writes.
    pub stored: StoredState,
    /// Whether the member's last write to its disk failed.
    pub storage_failing: bool,
    /// The other members and seed nodes, with the state of the connection to each.
    pub peers: Vec<PeerStatus>,
    /// Number of node agents connected to the member.
    #[serde(rename = "companions")]
    pub agents: u32,
    /// Number of edges connected to the member.
    pub edges: u32,
    /// Queues and services; `None` unless the member is the acting head.
    pub work: Option<WorkStatus>,
}

/// A view of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewStatus {
    /// Number of the view; also the fencing token of the head's orders.
    pub number: u64,
    /// Whether a majority of the voters is known to have accepted the view.
    pub agreed: bool,
    /// Internal addresses of the voters.
    pub voters: Vec<SocketAddr>,
    /// Internal addresses of the members that store each write, the head first.
    pub chain: Vec<SocketAddr>,
}

/// Position of a member's database: the last write that it contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredState {
    /// Number of the view that ordered the last write.
    pub view: u64,
    /// Sequence number of the last write.
    pub seq: u64,
}

/// Another member, as the member that answers sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Address at which the peer accepts internal connections.
    pub internal: SocketAddr,
    /// Name of the peer's machine; `None` until it is known.
    pub node_name: Option<String>,
    /// Whether the connection to the peer is open.
    pub connected: bool,
}

/// Jobs, queues and services of the cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkStatus {
    /// Version of the configuration in force; 0 before the first.
    pub config_version: u64,
    /// Number of writes that are not committed yet.
    pub open_writes: u64,
    /// Connected workers of each service.
    pub services: Vec<ServiceStatus>,
    /// Open jobs of each queue.
    pub queues: Vec<QueueStatus>,
    /// Ended jobs whose results are still stored.
    pub ended: EndedJobs,
    /// Number of stored rows that this version of the program cannot decode.
    pub unreadable_rows: u64,
}

/// Workers of a service that are connected through their node agents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: String,
    /// Number of workers that accept new work.
    pub ready: u32,
    /// Number of workers that are draining.
    pub draining: u32,
}

/// Open jobs of a queue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// Name of the route that feeds the queue.
    pub queue: String,
    /// Number of jobs of which no task has begun, or had begun up to 2 s ago.
    pub queued: u64,
    /// Number of jobs of which a worker has begun a task.
    pub running: u64,
    /// Tasks of these jobs by state.
    pub tasks: TaskCounts,
}

/// Ended jobs whose results are still stored, by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJobs {
    /// Number of jobs whose tasks are all done.
    pub completed: u64,
    /// Number of jobs that failed because a task reached the failure limit.
    pub failed: u64,
    /// Number of jobs that their clients cancelled.
    pub cancelled: u64,
}

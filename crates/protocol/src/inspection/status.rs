//! Status of a member and of the work.

use super::task_counts::TaskCounts;
use crate::member::MemberAddress;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Status of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Version of its program.
    pub version: String,
    /// Its addresses.
    pub address: MemberAddress,
    /// The view that it accepted last.
    pub view: Option<ViewStatus>,
    /// The head that is at work, where it knows one.
    pub head: Option<MemberAddress>,
    /// It is the head, and may act.
    pub acting: bool,
    /// State of the rows on its disk.
    pub stored: StoredState,
    /// Its last write to the disk has failed.
    pub storage_failing: bool,
    /// The other members and seeds, and whether its connection to each is open.
    pub peers: Vec<PeerStatus>,
    /// Node agents connected to it.
    #[serde(rename = "companions")]
    pub agents: u32,
    /// Edges connected to it.
    pub edges: u32,
    /// The work; only the acting head reports it.
    pub work: Option<WorkStatus>,
}

/// A view of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewStatus {
    /// Its number: the fencing token of the head's orders.
    pub number: u64,
    /// A majority is known to have accepted it.
    pub agreed: bool,
    /// Internal addresses of the voters.
    pub voters: Vec<SocketAddr>,
    /// Internal addresses of the members that store each write, the head first.
    pub chain: Vec<SocketAddr>,
}

/// State of a member's rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredState {
    /// Number of the view that ordered the last write.
    pub view: u64,
    /// Sequence number of the last write.
    pub seq: u64,
}

/// Another member as the one asked sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its internal address.
    pub internal: SocketAddr,
    /// Name of its machine, once it is known.
    pub node_name: Option<String>,
    /// The connection to it is open.
    pub connected: bool,
}

/// The work of the cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkStatus {
    /// Version of the configuration in force; 0 before the first.
    pub config_version: u64,
    /// Writes that are not committed yet.
    pub open_writes: u64,
    /// The workers of each service.
    pub services: Vec<ServiceStatus>,
    /// The open jobs of each queue.
    pub queues: Vec<QueueStatus>,
    /// Ended jobs that are still shown.
    pub ended: EndedJobs,
    /// Rows that this version of the program cannot read.
    pub unreadable_rows: u64,
}

/// The workers of a service that are connected through their node agents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service's name.
    pub service: String,
    /// Workers that take new work.
    pub ready: u32,
    /// Workers that are draining.
    pub draining: u32,
}

/// The open jobs of a queue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// Name of the route.
    pub queue: String,
    /// Jobs of which nothing has been started.
    pub queued: u64,
    /// Jobs of which something has been started.
    pub running: u64,
    /// Their tasks.
    pub tasks: TaskCounts,
}

/// Ended jobs that are still shown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJobs {
    /// All tasks done.
    pub completed: u64,
    /// Failed too often.
    pub failed: u64,
    /// Cancelled by their clients.
    pub cancelled: u64,
}

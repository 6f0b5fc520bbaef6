//! Worker instances as their node agents report them: capacity, state, runs, connections.

use crate::api::AgentId;
use crate::health::Health;
use indigofold_protocol::internal::{InstanceReport, LEASE_AUTHORITY_MS, RUN_LEASE_MS};
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::{RunId, TaskName};
use indigofold_protocol::worker::WorkerState;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};

/// Clocks may run at different rates, up to this percentage.
const CLOCK_PERCENT: u64 = 105;
/// Added to the time after which all leases have expired.
const EXPIRY_MARGIN_MS: u64 = 300;
/// A node agent that has not reported for so long gets no new starts.
const REPORT_FRESH_MS: u64 = 1_000;
/// A worker without a heartbeat for so long gets no new starts.
const UNRESPONSIVE_MS: u64 = 1_500;
/// An expired instance that never came back is forgotten after this time.
const EXPIRED_FORGET_MS: u64 = 600_000;

/// Number of a worker instance; never used again for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerId(pub u32);

/// One worker instance.
#[derive(Debug)]
pub struct Worker {
    /// Its id among workers.
    pub instance: String,
    /// Machine that it and its node agent run on; unknown until it reports.
    pub node_name: Option<String>,
    /// Machine that its row names, if it has one.
    pub recorded_node: Option<String>,
    /// Connection over which it is reached.
    pub agent: Option<AgentId>,
    /// Service it belongs to; empty until it reports.
    pub backend: String,
    /// Whether it takes new work.
    pub state: WorkerState,
    /// When its drain ends, while it is draining.
    pub drain_end_ms: Option<u64>,
    /// What it has.
    pub capacity: Resources,
    /// Its labels.
    pub labels: Vec<String>,
    /// What outstanding runs take.
    pub used: Resources,
    /// What of this is used by runs that were bound to a kind.
    pub used_bound: Resources,
    /// Tasks with an outstanding run here.
    pub runs: BTreeSet<TaskName>,
    /// A full report was received on the present connection.
    pub full_report_received: bool,
    /// When its node agent reported last.
    pub last_report_ms: u64,
    /// Time since its last heartbeat then, in milliseconds.
    pub since_heartbeat_ms: u64,
    /// When a report of its node agent was answered last; before that, when this scheduler took over.
    pub answered_ms: u64,
    /// When its leases expired without a report; `None` while they may be valid.
    pub expired_ms: Option<u64>,
    /// Runs that counted as lost when it expired; to be stopped should it come back.
    pub given_up: Vec<RunId>,
    /// When the node agent sent the report that was answered with these stops.
    pub given_up_report_sent_ms: Option<u64>,
    /// Runs listed as running that are not outstanding here.
    pub unknown_runs: Vec<RunId>,
    /// The same among the starts in flight.
    pub unknown_in_flight: Vec<RunId>,
    /// Number of the newest end that was handled.
    pub handled_end: u64,
    /// Number of the newest end that is committed.
    pub committed_end: u64,
    /// No new starts before this time.
    pub backoff_until_ms: u64,
    /// It warms up until then.
    pub warm_up_until_ms: u64,
    /// Its health by the results of its runs.
    pub health: Health,
}

impl Worker {
    fn new(instance: String, now_ms: u64) -> Self {
        Worker {
            instance,
            node_name: None,
            recorded_node: None,
            agent: None,
            backend: String::new(),
            state: WorkerState::Ready,
            drain_end_ms: None,
            capacity: Resources::default(),
            labels: Vec::new(),
            used: Resources::default(),
            used_bound: Resources::default(),
            runs: BTreeSet::new(),
            full_report_received: false,
            last_report_ms: now_ms,
            since_heartbeat_ms: 0,
            answered_ms: now_ms,
            expired_ms: None,
            given_up: Vec::new(),
            given_up_report_sent_ms: None,
            unknown_runs: Vec::new(),
            unknown_in_flight: Vec::new(),
            handled_end: 0,
            committed_end: 0,
            backoff_until_ms: 0,
            warm_up_until_ms: 0,
            health: Health::default(),
        }
    }

    /// Applies what a report says about the instance; returns whether its kind or readiness changed.
    pub fn apply_report(&mut self, now_ms: u64, report: &InstanceReport) -> bool {
        let changed = self.backend != report.backend
            || self.capacity != report.capacity
            || self.labels != report.labels
            || self.state != report.state;
        if changed {
            self.backend.clone_from(&report.backend);
            self.labels.clone_from(&report.labels);
            (self.capacity, self.state) = (report.capacity, report.state);
        }
        self.drain_end_ms = report.remaining_ms.map(|left| now_ms + left);
        self.warm_up_until_ms = now_ms + report.warmup_remaining_ms;
        (self.last_report_ms, self.since_heartbeat_ms) = (now_ms, report.since_heartbeat_ms);
        changed
    }

    /// Whether it may be sent new runs now.
    pub fn accepts_starts(&self, now_ms: u64) -> bool {
        self.is_responsive(now_ms)
            && self.full_report_received
            && self.expired_ms.is_none()
            && self.given_up.is_empty()
            && self.unknown_runs.is_empty()
            && self.unknown_in_flight.is_empty()
            && now_ms >= self.backoff_until_ms
    }

    /// Whether it is connected, ready and heard from recently; a backoff does not matter.
    pub fn is_responsive(&self, now_ms: u64) -> bool {
        self.agent.is_some()
            && self.state == WorkerState::Ready
            && now_ms.saturating_sub(self.last_report_ms) < REPORT_FRESH_MS
            && self.since_heartbeat_ms < UNRESPONSIVE_MS
    }

    /// Free capacity.
    pub fn free(&self) -> Resources {
        self.capacity.minus(&self.used)
    }

    /// Whether these resources fit beside what runs.
    pub fn has_capacity(&self, resources: &Resources) -> bool {
        self.capacity.holds(&self.used.plus(resources))
    }

    /// Takes capacity for a run.
    pub fn occupy(&mut self, task: TaskName, resources: &Resources, bound: bool) {
        self.runs.insert(task);
        self.used = self.used.plus(resources);
        if bound {
            self.used_bound = self.used_bound.plus(resources);
        }
    }

    /// Frees the capacity of a run.
    pub fn release(&mut self, task: &TaskName, resources: &Resources, bound: bool) {
        if self.runs.remove(task) {
            self.used = self.used.minus(resources);
            if bound {
                self.used_bound = self.used_bound.minus(resources);
            }
        }
    }

    /// Rack, if a label names one.
    pub fn rack(&self) -> Option<&str> {
        self.labels
            .iter()
            .map(String::as_str)
            .find(|label| is_rack(label))
    }
}

/// Whether a label names a rack: `r`, digits, `-`, digits.
pub fn is_rack(label: &str) -> bool {
    let digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    let parts = label
        .strip_prefix('r')
        .and_then(|rest| rest.split_once('-'));
    parts.is_some_and(|(row, rack)| digits(row) && digits(rack))
}

/// A connection of a node agent.
#[derive(Clone, Debug)]
pub struct Connection {
    /// Name of its machine.
    pub node_name: String,
    /// The instance reported last.
    pub worker: Option<WorkerId>,
}

/// All instances and connections.
#[derive(Debug)]
pub struct Workers {
    instances: BTreeMap<WorkerId, Worker>,
    by_instance: FxHashMap<String, WorkerId>,
    by_node: FxHashMap<String, BTreeSet<WorkerId>>,
    connections: FxHashMap<AgentId, Connection>,
    connection_of_node: FxHashMap<String, AgentId>,
    next: u32,
    lease_expiry_ms: u64,
}

impl Workers {
    /// No instances yet. `max_lease_ms` is the longest run lease that workers grant.
    pub fn new(max_lease_ms: u64) -> Self {
        let longest_ms = LEASE_AUTHORITY_MS + RUN_LEASE_MS.min(max_lease_ms);
        Workers {
            instances: BTreeMap::new(),
            by_instance: FxHashMap::default(),
            by_node: FxHashMap::default(),
            connections: FxHashMap::default(),
            connection_of_node: FxHashMap::default(),
            next: 0,
            lease_expiry_ms: longest_ms * CLOCK_PERCENT / 100 + EXPIRY_MARGIN_MS,
        }
    }

    /// An instance.
    pub fn get(&self, worker: WorkerId) -> Option<&Worker> {
        self.instances.get(&worker)
    }

    /// An instance.
    pub fn get_mut(&mut self, worker: WorkerId) -> Option<&mut Worker> {
        self.instances.get_mut(&worker)
    }

    /// All instances, by number.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerId, &Worker)> {
        self.instances.iter().map(|(id, worker)| (*id, worker))
    }

    /// The instance of this id, entered if it is new.
    pub fn get_or_register(&mut self, instance: &str, now_ms: u64) -> WorkerId {
        if let Some(&known) = self.by_instance.get(instance) {
            return known;
        }
        let id = WorkerId(self.next);
        self.next += 1;
        self.by_instance.insert(instance.to_owned(), id);
        self.instances
            .insert(id, Worker::new(instance.to_owned(), now_ms));
        id
    }

    /// The instance of this id, if it is known.
    pub fn find(&self, instance: &str) -> Option<WorkerId> {
        self.by_instance.get(instance).copied()
    }

    /// Forgets an instance; its runs must have been ended before.
    pub fn forget(&mut self, id: WorkerId) {
        let Some(worker) = self.instances.remove(&id) else {
            return;
        };
        self.by_instance.remove(&worker.instance);
        if let Some(instances) = worker
            .node_name
            .as_ref()
            .and_then(|node| self.by_node.get_mut(node))
        {
            instances.remove(&id);
        }
        for connection in self
            .connections
            .values_mut()
            .filter(|c| c.worker == Some(id))
        {
            connection.worker = None;
        }
    }

    /// Other instances known on the machine of this one.
    pub fn others_at(&self, node_name: &str, id: WorkerId) -> Vec<WorkerId> {
        self.at(node_name)
            .into_iter()
            .filter(|other| *other != id)
            .collect()
    }

    /// Instances known on this machine.
    pub fn at(&self, node_name: &str) -> Vec<WorkerId> {
        self.by_node
            .get(node_name)
            .into_iter()
            .flatten()
            .copied()
            .collect()
    }

    /// A node agent has connected; it replaces an older connection of the same machine.
    pub fn connected(&mut self, agent: AgentId, node_name: String) {
        if let Some(older) = self.connection_of_node.insert(node_name.clone(), agent) {
            self.disconnected(older);
        }
        self.connections.insert(
            agent,
            Connection {
                node_name,
                worker: None,
            },
        );
    }

    /// A connection has closed.
    pub fn disconnected(&mut self, agent: AgentId) {
        let Some(connection) = self.connections.remove(&agent) else {
            return;
        };
        if self.connection_of_node.get(&connection.node_name) == Some(&agent) {
            self.connection_of_node.remove(&connection.node_name);
        }
        if let Some(worker) = connection.worker.and_then(|id| self.instances.get_mut(&id))
            && worker.agent == Some(agent)
        {
            (worker.agent, worker.full_report_received) = (None, false);
        }
    }

    /// A connection that is in use.
    pub fn connection(&self, agent: AgentId) -> Option<&Connection> {
        self.connections.get(&agent)
    }

    /// A connection reports an instance.
    pub fn attach(&mut self, agent: AgentId, id: WorkerId) {
        let Some(connection) = self.connections.get_mut(&agent) else {
            return;
        };
        let before = connection.worker.replace(id);
        let node_name = connection.node_name.clone();
        if let Some(before) = before
            .filter(|before| *before != id)
            .and_then(|b| self.instances.get_mut(&b))
        {
            (before.agent, before.full_report_received) = (None, false);
        }
        let Some(worker) = self.instances.get_mut(&id) else {
            return;
        };
        if worker.agent != Some(agent) {
            (worker.agent, worker.full_report_received) = (Some(agent), false);
            (worker.unknown_runs, worker.unknown_in_flight) = (Vec::new(), Vec::new());
        }
        self.set_node(id, node_name);
    }

    /// The instance is on this machine.
    pub fn set_node(&mut self, id: WorkerId, node_name: String) {
        let Some(worker) = self.instances.get_mut(&id) else {
            return;
        };
        if worker.node_name.as_ref() != Some(&node_name) {
            worker.node_name = Some(node_name.clone());
            self.by_node.entry(node_name).or_default().insert(id);
        }
    }

    /// The connection reports no instance at present.
    pub fn detach(&mut self, agent: AgentId) {
        let worker = self
            .connections
            .get_mut(&agent)
            .and_then(|c| c.worker.take());
        if let Some(worker) = worker.and_then(|id| self.instances.get_mut(&id))
            && worker.agent == Some(agent)
        {
            (worker.agent, worker.full_report_received) = (None, false);
        }
    }

    /// Instances whose leases have all expired by now.
    pub fn newly_expired(&self, now_ms: u64) -> Vec<WorkerId> {
        let has_expired =
            |w: &Worker| w.expired_ms.is_none() && now_ms >= w.answered_ms + self.lease_expiry_ms;
        self.iter()
            .filter(|(_, worker)| has_expired(worker))
            .map(|(id, _)| id)
            .collect()
    }

    /// Instances that expired long ago.
    pub fn long_expired(&self, now_ms: u64) -> Vec<WorkerId> {
        let old = |w: &Worker| {
            w.expired_ms
                .is_some_and(|at| now_ms >= at + EXPIRED_FORGET_MS)
        };
        self.iter()
            .filter(|(_, worker)| old(worker))
            .map(|(id, _)| id)
            .collect()
    }
}

//! The registry of worker instances, their machines, and the connections of their node agents.

use crate::api::AgentId;
use crate::worker::{Worker, WorkerId};
use indigofold_protocol::internal::{LEASE_AUTHORITY_MS, RUN_LEASE_MS};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};

/// Clocks may run at different rates, up to this percentage.
const CLOCK_PERCENT: u64 = 105;
/// Added to the time after which all leases have expired.
const EXPIRY_MARGIN_MS: u64 = 300;
/// An expired instance that never came back is forgotten after this time.
const EXPIRED_FORGET_MS: u64 = 600_000;

/// A connection of a node agent.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    /// Name of its machine.
    pub node_name: String,
    /// The instance reported last.
    pub worker: Option<WorkerId>,
}

/// All instances and connections.
#[derive(Debug)]
pub(crate) struct Workers {
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
    pub(crate) fn new(max_lease_ms: u64) -> Self {
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
    pub(crate) fn get(&self, worker: WorkerId) -> Option<&Worker> {
        self.instances.get(&worker)
    }

    /// An instance.
    pub(crate) fn get_mut(&mut self, worker: WorkerId) -> Option<&mut Worker> {
        self.instances.get_mut(&worker)
    }

    /// All instances, by number.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (WorkerId, &Worker)> {
        self.instances.iter().map(|(id, worker)| (*id, worker))
    }

    /// The instance of this id, entered if it is new.
    pub(crate) fn get_or_register(&mut self, instance: &str, now_ms: u64) -> WorkerId {
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
    pub(crate) fn find(&self, instance: &str) -> Option<WorkerId> {
        self.by_instance.get(instance).copied()
    }

    /// Forgets an instance; its runs must have been ended before.
    pub(crate) fn forget(&mut self, id: WorkerId) {
        let Some(worker) = self.instances.remove(&id) else {
            return;
        };
        self.by_instance.remove(worker.instance());
        if let Some(instances) = worker
            .node_name()
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
    pub(crate) fn others_at(&self, node_name: &str, id: WorkerId) -> Vec<WorkerId> {
        self.at(node_name)
            .into_iter()
            .filter(|other| *other != id)
            .collect()
    }

    /// Instances known on this machine.
    pub(crate) fn at(&self, node_name: &str) -> Vec<WorkerId> {
        self.by_node
            .get(node_name)
            .into_iter()
            .flatten()
            .copied()
            .collect()
    }

    /// A node agent has connected; it replaces an older connection of the same machine.
    pub(crate) fn connected(&mut self, agent: AgentId, node_name: String) {
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
    pub(crate) fn disconnected(&mut self, agent: AgentId) {
        let Some(connection) = self.connections.remove(&agent) else {
            return;
        };
        if self.connection_of_node.get(&connection.node_name) == Some(&agent) {
            self.connection_of_node.remove(&connection.node_name);
        }
        if let Some(worker) = connection.worker.and_then(|id| self.instances.get_mut(&id))
            && worker.agent() == Some(agent)
        {
            worker.detach();
        }
    }

    /// A connection that is in use.
    pub(crate) fn connection(&self, agent: AgentId) -> Option<&Connection> {
        self.connections.get(&agent)
    }

    /// A connection reports an instance.
    pub(crate) fn attach(&mut self, agent: AgentId, id: WorkerId) {
        let Some(connection) = self.connections.get_mut(&agent) else {
            return;
        };
        let before = connection.worker.replace(id);
        let node_name = connection.node_name.clone();
        if let Some(before) = before
            .filter(|before| *before != id)
            .and_then(|b| self.instances.get_mut(&b))
        {
            before.detach();
        }
        let Some(worker) = self.instances.get_mut(&id) else {
            return;
        };
        worker.attach(agent);
        self.set_node(id, node_name);
    }

    /// The instance is on this machine.
    pub(crate) fn set_node(&mut self, id: WorkerId, node_name: String) {
        let Some(worker) = self.instances.get_mut(&id) else {
            return;
        };
        if worker.set_node(&node_name) {
            self.by_node.entry(node_name).or_default().insert(id);
        }
    }

    /// The connection reports no instance at present.
    pub(crate) fn detach(&mut self, agent: AgentId) {
        let worker = self
            .connections
            .get_mut(&agent)
            .and_then(|c| c.worker.take());
        if let Some(worker) = worker.and_then(|id| self.instances.get_mut(&id))
            && worker.agent() == Some(agent)
        {
            worker.detach();
        }
    }

    /// Instances whose leases have all expired by now.
    pub(crate) fn newly_expired(&self, now_ms: u64) -> Vec<WorkerId> {
        let has_expired = |w: &Worker| {
            w.expired_ms().is_none() && now_ms >= w.answered_ms() + self.lease_expiry_ms
        };
        self.iter()
            .filter(|(_, worker)| has_expired(worker))
            .map(|(id, _)| id)
            .collect()
    }

    /// Instances that expired long ago.
    pub(crate) fn long_expired(&self, now_ms: u64) -> Vec<WorkerId> {
        let old = |w: &Worker| {
            w.expired_ms()
                .is_some_and(|at| now_ms >= at + EXPIRED_FORGET_MS)
        };
        self.iter()
            .filter(|(_, worker)| old(worker))
            .map(|(id, _)| id)
            .collect()
    }
}

//! Registry of all worker instances, the machines that they run on, and the connections of the node agents.

use crate::api::AgentId;
use crate::worker::{Worker, WorkerId};
use indigofold_protocol::internal::{LEASE_AUTHORITY_MS, RUN_LEASE_MS};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};

/// Leases count as expired only after this percentage of their time, because the clocks of machines may run at
/// different rates.
const CLOCK_PERCENT: u64 = 105;
/// Added to the time after which all leases count as expired.
const EXPIRY_MARGIN_MS: u64 = 300;
/// An instance that is not reported again after its leases expired is forgotten after this time.
const EXPIRED_FORGET_MS: u64 = 600_000;

/// An open connection of a node agent.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    /// Name of the machine that the node agent runs on.
    pub node_name: String,
    /// Instance that the connection reports; `None` while it reports none.
    pub worker: Option<WorkerId>,
    /// Updates of the agent up to this number are handled and committed; rises with the commits, 0 before the first.
    pub acknowledged_update: u64,
}

/// All known instances and open connections.
#[derive(Debug)]
pub(crate) struct Workers {
    instances: BTreeMap<WorkerId, Worker>,
    /// Instances by ID.
    by_instance: FxHashMap<String, WorkerId>,
    /// Instances by the name of their machine.
    by_node: FxHashMap<String, BTreeSet<WorkerId>>,
    connections: FxHashMap<AgentId, Connection>,
    /// Number of the next instance.
    next_number: u32,
    /// Time after the latest answer to a node agent's report when all leases of its instance have expired, in
    /// milliseconds.
    lease_expiry_ms: u64,
}

impl Workers {
    /// Creates a registry without instances. `max_lease_ms` limits the run leases that node agents grant.
    pub(crate) fn new(max_lease_ms: u64) -> Self {
        let longest_ms = LEASE_AUTHORITY_MS + RUN_LEASE_MS.min(max_lease_ms);
        Workers {
            instances: BTreeMap::new(),
            by_instance: FxHashMap::default(),
            by_node: FxHashMap::default(),
            connections: FxHashMap::default(),
            next_number: 0,
            lease_expiry_ms: longest_ms * CLOCK_PERCENT / 100 + EXPIRY_MARGIN_MS,
        }
    }

    /// Returns the instance with this number, if it is known.
    pub(crate) fn get(&self, worker: WorkerId) -> Option<&Worker> {
        self.instances.get(&worker)
    }

    /// Returns the instance with this number for changes, if it is known.
    pub(crate) fn get_mut(&mut self, worker: WorkerId) -> Option<&mut Worker> {
        self.instances.get_mut(&worker)
    }

    /// Iterates over all instances in ascending order of their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (WorkerId, &Worker)> {
        self.instances.iter().map(|(id, worker)| (*id, worker))
    }

    /// Returns the number of the instance with this ID; adds the instance if it is new.
    pub(crate) fn get_or_register(&mut self, instance: &str, now_ms: u64) -> WorkerId {
        if let Some(&known) = self.by_instance.get(instance) {
            return known;
        }
        let id = WorkerId(self.next_number);
        self.next_number += 1;
        self.by_instance.insert(instance.to_owned(), id);
        self.instances
            .insert(id, Worker::new(instance.to_owned(), now_ms));
        id
    }

    /// Returns the number of the instance with this ID, if it is known.
    pub(crate) fn find(&self, instance: &str) -> Option<WorkerId> {
        self.by_instance.get(instance).copied()
    }

    /// Removes an instance. The caller must have ended its runs before.
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

    /// Instances known on this machine, except `id`.
    pub(crate) fn other_instances_on(&self, node_name: &str, id: WorkerId) -> Vec<WorkerId> {
        self.instances_on(node_name)
            .into_iter()
            .filter(|other| *other != id)
            .collect()
    }

    /// Instances known on this machine.
    pub(crate) fn instances_on(&self, node_name: &str) -> Vec<WorkerId> {
        self.by_node
            .get(node_name)
            .into_iter()
            .flatten()
            .copied()
            .collect()
    }

    /// Adds the connection of a node agent. A machine may have several connections; an instance is attached to the one
    /// that has reported it last.
    pub(crate) fn add_connection(&mut self, agent: AgentId, node_name: String) {
        self.connections.insert(
            agent,
            Connection {
                node_name,
                worker: None,
                acknowledged_update: 0,
            },
        );
    }

    /// Removes a connection that has closed.
    pub(crate) fn remove_connection(&mut self, agent: AgentId) {
        let Some(connection) = self.connections.remove(&agent) else {
            return;
        };
        if let Some(worker) = connection.worker.and_then(|id| self.instances.get_mut(&id))
            && worker.agent() == Some(agent)
        {
            worker.detach();
        }
    }

    /// Returns an open connection; `None` if it has closed.
    pub(crate) fn connection(&self, agent: AgentId) -> Option<&Connection> {
        self.connections.get(&agent)
    }

    /// Records that the node agent's updates up to this number are handled and committed.
    pub(crate) fn acknowledge_updates(&mut self, agent: AgentId, number: u64) {
        if let Some(connection) = self.connections.get_mut(&agent) {
            connection.acknowledged_update = connection.acknowledged_update.max(number);
        }
    }

    /// Number up to which the node agent's updates are handled and committed; `None` if the connection has closed.
    pub(crate) fn acknowledged_update(&self, agent: AgentId) -> Option<u64> {
        self.connection(agent)
            .map(|connection| connection.acknowledged_update)
    }

    /// Records that the connection reports this instance. An instance that it reported before is detached.
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

    /// Makes the next full report of each instance count as the first one on its connection.
    pub(crate) fn expect_full_reports(&mut self) {
        self.instances
            .values_mut()
            .for_each(Worker::expect_full_report);
    }

    /// Records that the instance is on this machine.
    pub(crate) fn set_node(&mut self, id: WorkerId, node_name: String) {
        let Some(worker) = self.instances.get_mut(&id) else {
            return;
        };
        if worker.set_node(&node_name) {
            self.by_node.entry(node_name).or_default().insert(id);
        }
    }

    /// Records that the connection currently reports no instance.
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

    /// Instances whose leases have all expired by now and that are not marked as expired yet.
    pub(crate) fn newly_expired(&self, now_ms: u64) -> Vec<WorkerId> {
        let has_expired = |w: &Worker| {
            w.expired_at_ms().is_none() && now_ms >= w.answered_at_ms() + self.lease_expiry_ms
        };
        self.iter()
            .filter(|(_, worker)| has_expired(worker))
            .map(|(id, _)| id)
            .collect()
    }

    /// Expired instances that can be forgotten.
    pub(crate) fn long_expired(&self, now_ms: u64) -> Vec<WorkerId> {
        let old = |w: &Worker| {
            w.expired_at_ms()
                .is_some_and(|at| now_ms >= at + EXPIRED_FORGET_MS)
        };
        self.iter()
            .filter(|(_, worker)| old(worker))
            .map(|(id, _)| id)
            .collect()
    }
}

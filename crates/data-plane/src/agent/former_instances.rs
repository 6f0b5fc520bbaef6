//! Former instances of the worker: which of them have ended, and when their runs can no longer be running.

use super::connection_updates::ConnectionUpdates;
use super::lease_authority::expires_by_ms;
use indigofold_protocol::internal::RUN_LEASE_MS;

/// Maximum number of former instances that are remembered and reported on each new connection.
pub const ENDED_INSTANCES_MAX: usize = 16;

/// The former instances of the worker on this machine.
#[derive(Debug)]
pub(super) struct FormerInstances {
    /// Time at which the leases that a previous agent process may have granted have expired.
    unregistered_expires_ms: u64,
    /// Instances that were replaced or deregistered; late heartbeats from them are not read.
    closed_instances: Vec<String>,
    /// Instances without running runs, to be reported as ended. One that returns is removed.
    ended_instances: ConnectionUpdates<String>,
    /// The instance named in the head's latest orders while no instance is current; it has sent no heartbeat to this
    /// process. `None` if there is no such instance.
    unregistered_instance: Option<String>,
}

impl FormerInstances {
    /// Creates the state without any known instance. A previous agent process may have granted a lease until
    /// `started_ms`.
    pub(super) fn new(started_ms: u64) -> Self {
        FormerInstances {
            unregistered_expires_ms: expires_by_ms(started_ms, RUN_LEASE_MS),
            closed_instances: Vec::new(),
            ended_instances: ConnectionUpdates::new(ENDED_INSTANCES_MAX),
            unregistered_instance: None,
        }
    }

    /// Whether this instance was replaced or deregistered.
    pub(super) fn is_closed(&self, id: &str) -> bool {
        self.closed_instances.iter().any(|instance| instance == id)
    }

    /// Whether this instance is reported as ended.
    pub(super) fn is_ended(&self, id: &String) -> bool {
        self.ended_instances.contains(id)
    }

    /// Records that an instance was replaced or deregistered and that none of its runs is running.
    pub(super) fn close(&mut self, id: String) {
        self.unregistered_instance
            .take_if(|instance| *instance == id);
        self.closed_instances.push(id.clone());
        if self.closed_instances.len() > ENDED_INSTANCES_MAX {
            self.closed_instances.remove(0);
        }
        self.ended_instances.push(id);
    }

    /// Records that all leases of an instance have expired; the instance may still return.
    pub(super) fn expire(&mut self, id: String) {
        self.ended_instances.push(id);
    }

    /// Handles an instance that sent its first heartbeat, or its first one after its leases expired.
    pub(super) fn handle_registered(&mut self, id: &String) {
        self.ended_instances.remove(id);
        self.unregistered_instance
            .take_if(|instance| instance == id);
    }

    /// Handles orders of the head for an instance other than the current one. `has_current`: another instance is
    /// current, so the instance in the orders has ended. Returns whether there is something to report.
    pub(super) fn handle_unknown(&mut self, id: String, has_current: bool) -> bool {
        if id.is_empty() || self.is_closed(&id) || self.is_ended(&id) {
            return false;
        }
        if has_current {
            self.close(id);
        } else {
            self.unregistered_instance = Some(id);
        }
        has_current
    }

    /// Marks the unregistered instance as ended once its leases have expired. Returns whether there is something to
    /// report.
    pub(super) fn expire_unknown(&mut self, now_ms: u64) -> bool {
        if now_ms < self.unregistered_expires_ms {
            return false;
        }
        let Some(id) = self.unregistered_instance.take() else {
            return false;
        };
        self.ended_instances.push(id);
        true
    }

    /// Time at which to call [`FormerInstances::expire_unknown`] next; `None` without such an instance.
    pub(super) fn next_timeout_ms(&self) -> Option<u64> {
        self.unregistered_instance
            .as_ref()
            .map(|_| self.unregistered_expires_ms)
    }

    /// The list of ended instances to report.
    pub(super) fn ended_updates(&mut self) -> &mut ConnectionUpdates<String> {
        &mut self.ended_instances
    }

    /// Whether an ended instance has not been reported on the current connection.
    pub(super) fn is_report_pending(&self) -> bool {
        self.ended_instances.is_pending()
    }
}

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
    /// Changes with the head's answers to reports without an instance, and with registrations and ends.
    unregistered: Unregistered,
}

/// The instance that a previous agent process may have registered; it has not registered at this process.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Unregistered {
    /// No head has answered a report without an instance yet.
    Unknown,
    /// The head's latest orders while no instance was current name this instance.
    Named(String),
    /// The head knows no instance on this machine, or the one that it named has registered or ended.
    None,
}

impl Unregistered {
    /// Records that the instance `id` has registered or ended.
    fn clear_if(&mut self, id: &str) {
        if matches!(self, Unregistered::Named(named) if named == id) {
            *self = Unregistered::None;
        }
    }
}

impl FormerInstances {
    /// Creates the state without any known instance. A previous agent process may have granted a lease until
    /// `started_ms`.
    pub(super) fn new(started_ms: u64) -> Self {
        FormerInstances {
            unregistered_expires_ms: expires_by_ms(started_ms, RUN_LEASE_MS),
            closed_instances: Vec::new(),
            ended_instances: ConnectionUpdates::new(ENDED_INSTANCES_MAX),
            unregistered: Unregistered::Unknown,
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
        self.unregistered.clear_if(&id);
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

    /// Handles an instance that was registered, or that returned after its leases expired.
    pub(super) fn handle_registered(&mut self, id: &str) {
        self.ended_instances.remove(&id.to_owned());
        self.unregistered.clear_if(id);
    }

    /// Handles orders of the head for an instance other than the current one; an empty `id` means that the head knows no
    /// instance on this machine. `has_current`: another instance is current, so the instance in the orders has ended.
    /// Returns whether there is something to report.
    pub(super) fn handle_unknown(&mut self, id: String, has_current: bool) -> bool {
        if self.is_closed(&id) || self.is_ended(&id) {
            return false;
        }
        match (id.is_empty(), has_current) {
            (true, true) => false,
            (true, false) => {
                self.unregistered = Unregistered::None;
                false
            }
            (false, true) => {
                self.close(id);
                true
            }
            (false, false) => {
                self.unregistered = Unregistered::Named(id);
                false
            }
        }
    }

    /// Whether an instance other than `id` that has not registered at this process may hold a lease, granted by a
    /// previous agent process.
    pub(super) fn may_hold_lease(&self, now_ms: u64, id: &str) -> bool {
        let is_possible = match &self.unregistered {
            Unregistered::Unknown => true,
            Unregistered::Named(named) => named != id,
            Unregistered::None => false,
        };
        is_possible && now_ms < self.unregistered_expires_ms
    }

    /// Marks the unregistered instance as ended once its leases have expired. Returns whether there is something to
    /// report.
    pub(super) fn expire_unknown(&mut self, now_ms: u64) -> bool {
        if now_ms < self.unregistered_expires_ms {
            return false;
        }
        match std::mem::replace(&mut self.unregistered, Unregistered::None) {
            Unregistered::Named(id) => {
                self.ended_instances.push(id);
                true
            }
            Unregistered::Unknown | Unregistered::None => false,
        }
    }

    /// Time at which to call [`FormerInstances::expire_unknown`] next; `None` without such an instance.
    pub(super) fn next_timeout_ms(&self) -> Option<u64> {
        let is_named = matches!(self.unregistered, Unregistered::Named(_));
        is_named.then_some(self.unregistered_expires_ms)
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

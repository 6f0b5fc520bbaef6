//! Former instances of the worker: which of them have ended, and when their runs can no longer be running.

use super::lease_authority::expires_by_ms;
use super::update_list::UpdateList;
use super::update_sequence::UpdateSequence;
use indigofold_protocol::internal::RUN_LEASE_MS;

/// Maximum number of former instances that are remembered. While the head has not settled the ends of as many, no further
/// instance registers.
pub const ENDED_INSTANCES_MAX: usize = 16;

/// The former instances of the worker on this machine.
#[derive(Debug)]
pub(super) struct FormerInstances {
    /// Time at which the leases that a previous agent process may have granted have expired.
    unregistered_expires_ms: u64,
    /// Instances that were replaced or deregistered; late heartbeats from them are not read.
    closed_instances: Vec<String>,
    /// Instances whose leases have expired. One that returns is removed.
    expired_instances: Vec<String>,
    /// Instances without running runs that are reported as ended until the head acknowledges it. One that returns is
    /// removed.
    ended_instances: UpdateList<String>,
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
            expired_instances: Vec::new(),
            ended_instances: UpdateList::new(ENDED_INSTANCES_MAX),
            unregistered: Unregistered::Unknown,
        }
    }

    /// Whether this instance was replaced or deregistered.
    pub(super) fn is_closed(&self, id: &str) -> bool {
        self.closed_instances.iter().any(|instance| instance == id)
    }

    /// Whether all leases of this instance have expired and it has not returned since.
    pub(super) fn has_expired(&self, id: &str) -> bool {
        self.expired_instances.iter().any(|instance| instance == id)
    }

    /// Records that an instance was replaced or deregistered and that none of its runs is running.
    pub(super) fn close(&mut self, id: String) {
        self.unregistered.clear_if(&id);
        remember(&mut self.closed_instances, id.clone());
        self.ended_instances.push(id);
    }

    /// Records that all leases of an instance have expired; the instance may still return.
    pub(super) fn expire(&mut self, id: String) {
        remember(&mut self.expired_instances, id.clone());
        self.ended_instances.push(id);
    }

    /// Handles an instance that was registered, or that returned after its leases expired.
    pub(super) fn handle_registered(&mut self, id: &str) {
        self.ended_instances.remove(&id.to_owned());
        self.expired_instances.retain(|instance| instance != id);
        self.unregistered.clear_if(id);
    }

    /// Handles orders of the head for an instance other than the current one; an empty `id` means that the head knows no
    /// instance on this machine. `has_current`: another instance is current, so the instance in the orders has ended.
    /// Returns whether there is something to report.
    ///
    /// A head that names an instance has not handled its end. The end is reported until the head acknowledges it, and once
    /// more if the head names the instance after that.
    pub(super) fn handle_unknown(&mut self, id: String, has_current: bool) -> bool {
        if id.is_empty() {
            if !has_current {
                self.unregistered = Unregistered::None;
            }
            return false;
        }
        let is_known = self.is_closed(&id) || self.has_expired(&id);
        if self.ended_instances.contains(&id) {
            return false;
        }
        if !is_known && !has_current {
            self.unregistered = Unregistered::Named(id);
            return false;
        }
        if self.is_full() {
            // The head names it again in its next orders.
            return false;
        }
        if is_known {
            self.ended_instances.push(id);
        } else {
            self.close(id);
        }
        true
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
                self.expire(id);
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

    /// Whether the head has not settled the ends of [`ENDED_INSTANCES_MAX`] instances.
    pub(super) fn is_full(&self) -> bool {
        self.ended_instances.is_full()
    }

    /// Whether an ended instance has not been reported yet.
    pub(super) fn has_unreported(&self) -> bool {
        self.ended_instances.has_unreported()
    }

    /// Returns the ended instances for a report.
    pub(super) fn poll_ended(&mut self, sequence: &mut UpdateSequence) -> Vec<String> {
        self.ended_instances.poll(sequence)
    }

    /// Handles a new connection to an acting head.
    pub(super) fn handle_connected(&mut self) {
        self.ended_instances.handle_connected();
    }

    /// Removes the ends that the head has acknowledged.
    pub(super) fn handle_progress(&mut self, sequence: &UpdateSequence) {
        self.ended_instances.handle_progress(sequence);
    }
}

/// Adds an instance to a list of at most [`ENDED_INSTANCES_MAX`], from which the oldest are dropped.
fn remember(instances: &mut Vec<String>, id: String) {
    instances.retain(|instance| *instance != id);
    instances.push(id);
    if instances.len() > ENDED_INSTANCES_MAX {
        instances.remove(0);
    }
}

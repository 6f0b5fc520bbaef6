//! State of each service: its queue, its kinds of workers, its reservations, and when the next pass over its queue is
//! due.

use crate::backlog_cache::BacklogCache;
use crate::kinds::Kinds;
use crate::queue::{Queue, QueueKey, StepNeed};
use crate::recent_demand::RecentDemand;
use crate::reservations::Reservations;
use crate::workers::Workers;
use std::collections::BTreeMap;

/// Minimum time between two passes over a queue that is not empty.
const BACKLOG_PASS_MS: u64 = 10;

/// State of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceState {
    kinds: Kinds,
    /// Workers reserved for steps that need much capacity at once.
    reservations: Reservations,
    /// Which tasks waited recently.
    recent: RecentDemand,
    /// Estimated time to work off the queue, cached.
    backlog: BacklogCache,
    /// Steps with tasks to place.
    queue: Queue,
    /// Whether something has changed since the last pass that may allow a task to be placed.
    pass_requested: bool,
    /// Whether a worker was added, removed or changed since the last pass, so that the kinds have to be regrouped.
    regroup_requested: bool,
    /// The next pass over the queue does not begin before this time.
    next_pass_ms: u64,
}

impl ServiceState {
    /// The service's workers by kind.
    pub(crate) fn kinds(&self) -> &Kinds {
        &self.kinds
    }

    /// Mutable access to the workers by kind.
    pub(crate) fn kinds_mut(&mut self) -> &mut Kinds {
        &mut self.kinds
    }

    /// Workers reserved for steps that need much capacity at once.
    pub(crate) fn reservations(&self) -> &Reservations {
        &self.reservations
    }

    /// Mutable access to the reservations.
    pub(crate) fn reservations_mut(&mut self) -> &mut Reservations {
        &mut self.reservations
    }

    /// Which tasks waited recently.
    pub(crate) fn recent(&self) -> &RecentDemand {
        &self.recent
    }

    /// Mutable access to the record of recent demand.
    pub(crate) fn recent_mut(&mut self) -> &mut RecentDemand {
        &mut self.recent
    }

    /// The cached estimate of the time to work off the queue.
    pub(crate) fn backlog(&self) -> &BacklogCache {
        &self.backlog
    }

    /// Caches an estimate of the time to work off the queue, in milliseconds.
    pub(crate) fn set_backlog(&mut self, backlog_ms: u64, now_ms: u64) {
        self.backlog.set(backlog_ms, now_ms);
    }

    /// Steps with tasks to place, in the order in which they get capacity.
    pub(crate) fn queue(&self) -> &Queue {
        &self.queue
    }

    /// Adds a step with this need to the queue and requests a pass.
    pub(crate) fn enqueue(&mut self, key: QueueKey, need: StepNeed) {
        self.queue.insert(key, need);
        self.pass_requested = true;
    }

    /// Removes a step from the queue and releases its reservations.
    pub(crate) fn dequeue(&mut self, key: &QueueKey) {
        self.queue.remove(key);
        self.reservations.release(key.step_ref);
    }

    /// Changes the position of a step in the queue from `former_key` to `key`.
    pub(crate) fn reposition(&mut self, former_key: &QueueKey, key: QueueKey) {
        self.queue.reposition(former_key, key);
    }

    /// Requests a pass, because something has changed that may allow a task to be placed.
    pub(crate) fn request_pass(&mut self) {
        self.pass_requested = true;
    }

    /// Requests a pass if the queue is not empty.
    pub(crate) fn request_pass_if_queued(&mut self) {
        self.pass_requested |= !self.queue.is_empty();
    }

    /// Requests a pass that first regroups the workers, because a worker was added, removed or changed.
    pub(crate) fn request_regroup(&mut self) {
        (self.regroup_requested, self.pass_requested) = (true, true);
    }

    /// When the next pass is due, on the monotonic clock; `None` if none was requested.
    pub(crate) fn next_pass_ms(&self) -> Option<u64> {
        (self.pass_requested || self.regroup_requested).then_some(self.next_pass_ms)
    }

    /// Whether a pass over the queue is due.
    pub(crate) fn is_due(&self, now_ms: u64) -> bool {
        self.next_pass_ms().is_some_and(|pass_ms| now_ms >= pass_ms)
    }

    /// Begins a pass over the queue: regroups the workers if that was requested. `name` is the service's name.
    pub(crate) fn begin_pass(&mut self, workers: &Workers, name: &str) {
        self.pass_requested = false;
        if std::mem::take(&mut self.regroup_requested) {
            self.kinds.regroup(workers, name);
        }
    }

    /// Ends a pass over the queue and sets the earliest time of the next one.
    pub(crate) fn end_pass(&mut self, now_ms: u64) {
        self.next_pass_ms = if self.queue.is_empty() {
            now_ms
        } else {
            now_ms + BACKLOG_PASS_MS
        };
    }
}

/// All services by name.
#[derive(Debug, Default)]
pub(crate) struct Services {
    by_name: BTreeMap<String, ServiceState>,
}

impl Services {
    /// Returns the service, if it is known.
    pub(crate) fn get(&self, name: &str) -> Option<&ServiceState> {
        self.by_name.get(name)
    }

    /// Returns the service for changes, if it is known.
    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut ServiceState> {
        self.by_name.get_mut(name)
    }

    /// Returns the service; adds it if it is new.
    pub(crate) fn entry(&mut self, name: &str) -> &mut ServiceState {
        if !self.by_name.contains_key(name) {
            self.by_name
                .insert(name.to_owned(), ServiceState::default());
        }
        self.by_name.entry(name.to_owned()).or_default()
    }

    /// Iterates over all services in the order of their names.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &ServiceState)> {
        self.by_name
            .iter()
            .map(|(name, service)| (name.as_str(), service))
    }

    /// Iterates over all services for changes, in the order of their names.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut ServiceState> {
        self.by_name.values_mut()
    }

    /// Names of the services that satisfy a condition, in ascending order.
    pub(crate) fn names_where(&self, condition: impl Fn(&ServiceState) -> bool) -> Vec<String> {
        self.iter()
            .filter(|(_, service)| condition(service))
            .map(|(name, _)| name.to_owned())
            .collect()
    }
}

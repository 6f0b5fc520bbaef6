//! The services: each one's queue, kinds of workers, reservations, and when its queue is looked at next.

use crate::backlog_cache::BacklogCache;
use crate::kinds::Kinds;
use crate::queue::{Queue, QueueKey};
use crate::recent_demand::RecentDemand;
use crate::reservations::Reservations;
use crate::workers::Workers;
use std::collections::BTreeMap;

/// While something waits, passes over a queue are so far apart.
const BACKLOG_PASS_MS: u64 = 10;

/// The state of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceState {
    kinds: Kinds,
    /// Workers reserved for steps that need much capacity at once.
    reservations: Reservations,
    recent: RecentDemand,
    /// How long all that waits will take.
    backlog: BacklogCache,
    /// Steps with tasks to place.
    queue: Queue,
    /// Something has changed that may let a task be placed.
    dirty: bool,
    /// A worker has come, ended or changed.
    regroup: bool,
    /// The next pass over the queue is not before this time.
    next_pass_ms: u64,
}

impl ServiceState {
    /// Its workers by kind.
    pub(crate) fn kinds(&self) -> &Kinds {
        &self.kinds
    }

    /// Its workers by kind.
    pub(crate) fn kinds_mut(&mut self) -> &mut Kinds {
        &mut self.kinds
    }

    /// Workers reserved for steps that need much capacity at once.
    pub(crate) fn reservations(&self) -> &Reservations {
        &self.reservations
    }

    /// Workers reserved for steps that need much capacity at once.
    pub(crate) fn reservations_mut(&mut self) -> &mut Reservations {
        &mut self.reservations
    }

    /// What came recently.
    pub(crate) fn recent(&self) -> &RecentDemand {
        &self.recent
    }

    /// What came recently.
    pub(crate) fn recent_mut(&mut self) -> &mut RecentDemand {
        &mut self.recent
    }

    /// The last estimate of how long all that waits will take.
    pub(crate) fn backlog(&self) -> &BacklogCache {
        &self.backlog
    }

    /// Keeps an estimate of how long all that waits will take.
    pub(crate) fn set_backlog(&mut self, backlog_ms: u64, now_ms: u64) {
        self.backlog.set(backlog_ms, now_ms);
    }

    /// Steps with tasks to place, in order of admission.
    pub(crate) fn queue(&self) -> &Queue {
        &self.queue
    }

    /// Puts a step into the queue.
    pub(crate) fn enqueue(&mut self, key: QueueKey) {
        self.queue.insert(key);
        self.dirty = true;
    }

    /// Takes a step out of the queue, and gives up its reservations.
    pub(crate) fn dequeue(&mut self, key: &QueueKey) {
        self.queue.remove(key);
        self.reservations.release(key.at);
    }

    /// A step's position in the queue changes.
    pub(crate) fn reposition(&mut self, before: &QueueKey, key: QueueKey) {
        self.queue.remove(before);
        self.queue.insert(key);
    }

    /// Something has changed that may let a task be placed.
    pub(crate) fn request_pass(&mut self) {
        self.dirty = true;
    }

    /// Requests a pass if anything waits.
    pub(crate) fn request_pass_if_queued(&mut self) {
        self.dirty |= !self.queue.is_empty();
    }

    /// A worker has come, ended or changed.
    pub(crate) fn request_regroup(&mut self) {
        (self.regroup, self.dirty) = (true, true);
    }

    /// When the next pass is due; `None` while nothing has changed.
    pub(crate) fn next_pass_ms(&self) -> Option<u64> {
        (self.dirty || self.regroup).then_some(self.next_pass_ms)
    }

    /// Whether a pass over its queue is due.
    pub(crate) fn is_due(&self, now_ms: u64) -> bool {
        self.next_pass_ms().is_some_and(|pass_ms| now_ms >= pass_ms)
    }

    /// A pass over the queue of this service, called `name`, begins.
    pub(crate) fn begin_pass(&mut self, workers: &Workers, name: &str) {
        self.dirty = false;
        if std::mem::take(&mut self.regroup) {
            self.kinds.regroup(workers, name);
        }
    }

    /// A pass over the queue has ended.
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
    /// A service, if it is known.
    pub(crate) fn get(&self, name: &str) -> Option<&ServiceState> {
        self.by_name.get(name)
    }

    /// A service, if it is known.
    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut ServiceState> {
        self.by_name.get_mut(name)
    }

    /// A service, entered if it is new.
    pub(crate) fn entry(&mut self, name: &str) -> &mut ServiceState {
        if !self.by_name.contains_key(name) {
            self.by_name
                .insert(name.to_owned(), ServiceState::default());
        }
        self.by_name.entry(name.to_owned()).or_default()
    }

    /// All services, by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &ServiceState)> {
        self.by_name
            .iter()
            .map(|(name, service)| (name.as_str(), service))
    }

    /// All services, by name.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut ServiceState> {
        self.by_name.values_mut()
    }

    /// Names of the services that fulfil a condition.
    pub(crate) fn names_where(&self, condition: impl Fn(&ServiceState) -> bool) -> Vec<String> {
        self.iter()
            .filter(|(_, service)| condition(service))
            .map(|(name, _)| name.to_owned())
            .collect()
    }
}

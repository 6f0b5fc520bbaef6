//! The workers that a dispatcher knows, their kinds, and the indices derived from them: groups, busy workers, unstarted
//! attempts and slots claimed by peers. The slots and attempts of a worker change only in this module, so that the
//! derived values stay consistent.

mod worker;

use super::state::AttemptId;
use super::tuning::group;
use crate::api::{Entry, Time, WorkerId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};
use worker::PeerClaim;
pub(super) use worker::{Kind, Timed, UnstartedAttempt, Worker};

/// Table of workers. A worker keeps its index for good.
#[derive(Default)]
pub(super) struct Fleet {
    workers: Vec<Worker>,
    /// Index of each worker in `workers`.
    index: BTreeMap<WorkerId, usize>,
    kinds: Vec<Kind>,
    /// Active workers by group (see `tuning::group`) and kind, so that no event has to scan the whole fleet.
    groups: Vec<Vec<usize>>,
    /// Indices of the workers with own slots in flight.
    busy: BTreeSet<usize>,
    /// For each peer, the indices of the workers where it has claimed slots.
    claimed: BTreeMap<u32, Vec<usize>>,
    /// Number of own attempts whose start has not been reported.
    unstarted_count: usize,
}

impl Index<usize> for Fleet {
    type Output = Worker;

    fn index(&self, index: usize) -> &Worker {
        &self.workers[index]
    }
}

impl IndexMut<usize> for Fleet {
    fn index_mut(&mut self, index: usize) -> &mut Worker {
        &mut self.workers[index]
    }
}

impl Fleet {
    /// All workers, in the order of their indices.
    pub(super) fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// All workers, in the order of their indices.
    pub(super) fn workers_mut(&mut self) -> &mut [Worker] {
        &mut self.workers
    }

    /// The index of a worker; `None` if it is unknown.
    pub(super) fn index_of(&self, worker: WorkerId) -> Option<usize> {
        self.index.get(&worker).copied()
    }

    /// The indices of all workers, in the order of their ids.
    pub(super) fn indices_by_id(&self) -> impl Iterator<Item = usize> {
        self.index.values().copied()
    }

    /// The index of a worker, which is added if it is unknown, and whether it was added.
    pub(super) fn find_or_add(&mut self, worker: WorkerId) -> (usize, bool) {
        let next = self.workers.len();
        let index = *self.index.entry(worker).or_insert(next);
        let is_new = index == next;
        if is_new {
            self.workers.push(Worker::new(Entry {
                worker,
                ..Entry::default()
            }));
        }
        (index, is_new)
    }

    /// All kinds, in the order of their indices.
    pub(super) fn kinds(&self) -> &[Kind] {
        &self.kinds
    }

    /// Mutable access to a kind.
    pub(super) fn kind_mut(&mut self, kind: usize) -> &mut Kind {
        &mut self.kinds[kind]
    }

    /// Adds kinds until there are at least `count`.
    pub(super) fn extend_kinds(&mut self, count: usize) {
        let count = self.kinds.len().max(count);
        self.kinds.resize(count, Kind::default());
    }

    /// The kind of a worker.
    pub(super) fn kind_of(&self, worker: &Worker) -> &Kind {
        &self.kinds[worker.kind]
    }

    /// Mutable access to a worker and its kind.
    pub(super) fn worker_and_kind_mut(&mut self, index: usize) -> (&mut Worker, &mut Kind) {
        let worker = &mut self.workers[index];
        let kind = &mut self.kinds[worker.kind];
        (worker, kind)
    }

    /// Resets the groups to one empty list for each group and kind.
    pub(super) fn clear_groups(&mut self) {
        self.groups = vec![Vec::new(); group::COUNT * self.kinds.len()];
    }

    /// Adds an active worker to a group.
    pub(super) fn add_to_group(&mut self, group: usize, kind: usize, index: usize) {
        self.groups[group * self.kinds.len() + kind].push(index);
    }

    /// The workers of a group and a kind.
    pub(super) fn group(&self, group: usize, kind: usize) -> &[usize] {
        &self.groups[group * self.kinds.len() + kind]
    }

    /// For each group and kind, the index of the group and its workers of that kind.
    pub(super) fn groups(&self) -> impl Iterator<Item = (usize, &[usize])> {
        let groups = self.groups.iter().enumerate();
        groups.map(|(position, workers)| (position / self.kinds.len(), &workers[..]))
    }

    /// The grouped workers of a kind, group by group.
    pub(super) fn grouped_of_kind(&self, kind: usize) -> impl Iterator<Item = usize> {
        let kind_groups = self.groups.iter().skip(kind).step_by(self.kinds.len());
        kind_groups.flatten().copied()
    }

    /// Workers with own slots in flight, in the order of their indices.
    pub(super) fn busy(&self) -> impl Iterator<Item = &Worker> {
        self.busy.iter().map(|index| &self.workers[*index])
    }

    /// Number of workers with own slots in flight.
    pub(super) fn busy_count(&self) -> usize {
        self.busy.len()
    }

    /// Number of own attempts whose start has not been reported.
    pub(super) fn unstarted_count(&self) -> usize {
        self.unstarted_count
    }

    /// Adds the slots of an own attempt at a worker.
    pub(super) fn add_slots(&mut self, index: usize, slots: f64) {
        self.workers[index].own_slots += slots;
        self.busy.insert(index);
    }

    /// Adds an own attempt whose start has not been reported.
    pub(super) fn add_unstarted(&mut self, index: usize, attempt: UnstartedAttempt) {
        self.workers[index].unstarted.push(attempt);
        self.unstarted_count += 1;
    }

    /// Releases `slots` slots of an own attempt at its worker, where it no longer counts as unstarted.
    pub(super) fn release_slots(&mut self, now: Time, index: usize, id: AttemptId, slots: f64) {
        let worker = &mut self.workers[index];
        worker.update_running_slots(now);
        worker.own_slots = (worker.own_slots - slots).max(0.0);
        self.unstarted_count -= worker.unstarted.len();
        worker.unstarted.retain(|unstarted| unstarted.id != id);
        self.unstarted_count += worker.unstarted.len();
        if worker.own_slots <= 0.0 {
            self.busy.remove(&index);
        }
    }

    /// Replaces all slots claimed by a peer. Unknown workers are skipped.
    pub(super) fn replace_claims(&mut self, now: Time, peer: u32, in_flight: &[(WorkerId, u8)]) {
        let claimed_workers = self.claimed.entry(peer).or_default();
        for index in claimed_workers.drain(..) {
            let claims = &mut self.workers[index].peer_claims;
            claims.retain(|claim| claim.peer != peer);
        }
        for (worker, slots) in in_flight {
            let Some(&index) = self.index.get(worker) else {
                continue;
            };
            self.workers[index].peer_claims.push(PeerClaim {
                peer,
                slots: f64::from(*slots),
                at: now,
            });
            claimed_workers.push(index);
        }
    }

    /// Whether all values derived from the table of workers agree with a recount.
    pub(super) fn is_consistent(&self) -> bool {
        let workers = self.workers.iter().enumerate();
        let busy_workers = workers
            .filter(|(_, worker)| worker.own_slots > 0.0)
            .map(|(index, _)| index);
        let unstarted_attempts: usize = self.workers.iter().map(|w| w.unstarted.len()).sum();
        let claims: usize = self.workers.iter().map(|w| w.peer_claims.len()).sum();
        let claimed_entries: usize = self.claimed.values().map(Vec::len).sum();
        let mut grouped_workers = self.groups.iter().flatten();
        self.unstarted_count == unstarted_attempts
            && self.busy.iter().copied().eq(busy_workers)
            && claimed_entries == claims
            && grouped_workers.all(|index| self.workers[*index].active)
    }
}

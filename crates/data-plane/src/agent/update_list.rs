//! A list of updates of one kind, kept until the head acknowledges them.

use super::update_sequence::UpdateSequence;
use std::collections::VecDeque;

#[derive(Debug)]
struct Update<T> {
    value: T,
    /// Sequence number; `None` until a report carries the update.
    number: Option<u64>,
    /// Whether a head that does not acknowledge updates has answered a report that carried this one; reset by a new
    /// connection.
    is_settled: bool,
}

/// Updates that the head must handle. An update stays until the head has acknowledged its number. Heads of earlier builds
/// acknowledge none: of the updates that such a head has answered, the oldest are dropped beyond the capacity.
#[derive(Debug)]
pub(super) struct UpdateList<T> {
    /// In the order of their numbers; those without a number last.
    updates: VecDeque<Update<T>>,
    capacity: usize,
}

impl<T: Clone + PartialEq> UpdateList<T> {
    /// Creates an empty list. `capacity`: number of updates at which the list counts as full.
    pub(super) fn new(capacity: usize) -> Self {
        UpdateList {
            updates: VecDeque::new(),
            capacity,
        }
    }

    /// Adds an update at the end, or moves it there; it gets a new number.
    pub(super) fn push(&mut self, value: T) {
        self.remove(&value);
        self.drop_oldest_settled();
        self.updates.push_back(Update {
            value,
            number: None,
            is_settled: false,
        });
    }

    /// Removes an update if present, because it no longer holds.
    pub(super) fn remove(&mut self, value: &T) {
        self.updates.retain(|update| update.value != *value);
    }

    /// Whether the list contains this update, reported or not.
    pub(super) fn contains(&self, value: &T) -> bool {
        self.updates.iter().any(|update| update.value == *value)
    }

    /// Whether any update has not been reported yet.
    pub(super) fn has_unreported(&self) -> bool {
        self.updates.iter().any(|update| update.number.is_none())
    }

    /// Whether as many updates as the list has capacity for wait for the head.
    pub(super) fn is_full(&self) -> bool {
        let waiting_updates = self.updates.iter().filter(|update| !update.is_settled);
        waiting_updates.count() >= self.capacity
    }

    /// Handles a new connection: what a head without acknowledgements has answered is reported again.
    pub(super) fn handle_connected(&mut self) {
        self.updates
            .iter_mut()
            .for_each(|update| update.is_settled = false);
    }

    /// Removes the updates that the head has acknowledged, and marks those that it has settled without.
    pub(super) fn handle_progress(&mut self, sequence: &UpdateSequence) {
        self.updates
            .retain(|update| !is_within(update.number, sequence.acknowledged()));
        for update in &mut self.updates {
            update.is_settled = is_within(update.number, sequence.settled());
        }
    }

    /// Returns the updates for a report, oldest first: all that the head has not settled. Numbers those that have no
    /// number yet.
    pub(super) fn poll(&mut self, sequence: &mut UpdateSequence) -> Vec<T> {
        for update in &mut self.updates {
            update.number.get_or_insert_with(|| sequence.next_number());
        }
        let waiting_updates = self.updates.iter().filter(|update| !update.is_settled);
        waiting_updates.map(|update| update.value.clone()).collect()
    }

    /// Makes space for an update in a list that has reached its capacity, if it contains any settled one.
    fn drop_oldest_settled(&mut self) {
        if self.updates.len() < self.capacity {
            return;
        }
        let oldest_settled = self.updates.iter().position(|update| update.is_settled);
        if let Some(index) = oldest_settled {
            self.updates.remove(index);
        }
    }
}

fn is_within(number: Option<u64>, last: u64) -> bool {
    number.is_some_and(|number| number <= last)
}

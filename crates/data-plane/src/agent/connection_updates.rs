//! A bounded list of updates that the head must receive once on each connection.

use std::collections::VecDeque;

#[derive(Debug)]
struct Item<T> {
    value: T,
    /// Whether a report on the current connection has carried the value.
    reported: bool,
}

/// Items that are reported once on each connection. Beyond the capacity the oldest items are dropped.
#[derive(Debug)]
pub(super) struct ConnectionUpdates<T> {
    items: VecDeque<Item<T>>,
    capacity: usize,
}

impl<T: Clone + PartialEq> ConnectionUpdates<T> {
    /// Creates an empty list that keeps up to `capacity` items.
    pub(super) fn new(capacity: usize) -> Self {
        ConnectionUpdates {
            items: VecDeque::new(),
            capacity,
        }
    }

    /// Adds an item at the end, or moves it there; it is reported again even if it was reported before.
    pub(super) fn push(&mut self, value: T) {
        self.remove(&value);
        self.items.push_back(Item {
            value,
            reported: false,
        });
        if self.items.len() > self.capacity {
            self.items.pop_front();
        }
    }

    /// Removes an item if present; it is not reported any more.
    pub(super) fn remove(&mut self, value: &T) {
        self.items.retain(|item| item.value != *value);
    }

    /// Whether the list contains this item, reported or not.
    pub(super) fn contains(&self, value: &T) -> bool {
        self.items.iter().any(|item| item.value == *value)
    }

    /// Whether any item has not been reported on the current connection.
    pub(super) fn is_pending(&self) -> bool {
        self.items.iter().any(|item| !item.reported)
    }

    /// Handles a new connection: all items are to be reported again.
    pub(super) fn handle_connected(&mut self) {
        self.items.iter_mut().for_each(|item| item.reported = false);
    }

    /// Returns the items not yet reported on the current connection, oldest first, and marks them as reported.
    pub(super) fn take_pending(&mut self) -> Vec<T> {
        let pending_items = self.items.iter_mut().filter(|item| !item.reported);
        pending_items
            .map(|item| {
                item.reported = true;
                item.value.clone()
            })
            .collect()
    }
}

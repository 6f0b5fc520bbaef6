//! Scheduled events ordered by time; events of the same time run in the order in which they were scheduled.

use super::node::InFlight;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

#[derive(Debug)]
pub(crate) enum Event {
    Deliver(Box<InFlight>),
    DiskDone { node: usize, incarnation: u64 },
    Wake { node: usize, incarnation: u64 },
}

/// Time at which an event is due; the ID, which increases from event to event, breaks ties.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    due_ms: u64,
    id: u64,
}

#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    due: BinaryHeap<Reverse<Due>>,
    events: BTreeMap<u64, Event>,
    last_id: u64,
}

impl EventQueue {
    pub(crate) fn schedule(&mut self, due_ms: u64, event: Event) {
        self.last_id += 1;
        let id = self.last_id;
        self.due.push(Reverse(Due { due_ms, id }));
        self.events.insert(id, event);
    }

    /// Returns when the next event is due; `None` if none is scheduled.
    pub(crate) fn next_ms(&self) -> Option<u64> {
        self.due.peek().map(|Reverse(due)| due.due_ms)
    }

    /// Removes and returns the next event if it is due at `now_ms`.
    pub(crate) fn pop_due(&mut self, now_ms: u64) -> Option<Event> {
        let id = self.due.peek().filter(|due| due.0.due_ms <= now_ms)?.0.id;
        self.due.pop();
        self.events.remove(&id)
    }
}

//! The event queue, ordered by time; events with equal times keep their order of insertion.

use super::events::Event;
use crate::scenario::Micros;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// An event with its time and its sequence number of insertion.
struct Scheduled {
    at: Micros,
    sequence: u64,
    event: Event,
}

impl Ord for Scheduled {
    /// Reversed, so that the earliest event is the greatest: [`BinaryHeap`] pops the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

/// Events that have not happened yet.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Scheduled>,
    sequence: u64,
}

impl EventQueue {
    /// Adds an event at a time in microseconds.
    pub(super) fn push(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.heap.push(Scheduled {
            at,
            sequence,
            event,
        });
    }

    /// Removes the earliest event.
    pub(super) fn pop(&mut self) -> Option<(Micros, Event)> {
        self.heap.pop().map(|next| (next.at, next.event))
    }
}

//! Queues of requests: one for each combination of class, quota state and lateness, each ordered by time of queueing.

use super::state::QueueIndex;
use crate::api::RequestId;
use std::collections::VecDeque;

/// The queues, indexed by [`QueueIndex`].
#[derive(Default)]
pub(super) struct RequestQueues(Vec<VecDeque<RequestId>>);

impl RequestQueues {
    /// Creates empty queues for this number of classes.
    pub(super) fn of_classes(classes: usize) -> Self {
        RequestQueues(vec![VecDeque::new(); classes * QueueIndex::PER_CLASS])
    }

    /// Changes the number of classes. Queues that are removed must be empty.
    pub(super) fn resize(&mut self, classes: usize) {
        self.0
            .resize(classes * QueueIndex::PER_CLASS, VecDeque::new());
    }

    /// Indices of the non-empty queues, in ascending order.
    pub(super) fn in_use(&self) -> Vec<QueueIndex> {
        let indices = (0..self.0.len()).filter(|index| !self.0[*index].is_empty());
        indices.map(QueueIndex).collect()
    }

    /// Number of requests in a queue.
    pub(super) fn len(&self, queue: QueueIndex) -> usize {
        self.0[queue.0].len()
    }

    /// The request at a position of a queue; 0 is the oldest.
    pub(super) fn at(&self, queue: QueueIndex, position: usize) -> RequestId {
        self.0[queue.0][position]
    }

    /// Appends a request.
    pub(super) fn push(&mut self, queue: QueueIndex, id: RequestId) {
        self.0[queue.0].push_back(id);
    }

    /// Removes and returns the oldest request of a queue; `None` if the queue is empty.
    pub(super) fn pop_oldest(&mut self, queue: QueueIndex) -> Option<RequestId> {
        self.0[queue.0].pop_front()
    }

    /// Removes the request at a position of a queue.
    pub(super) fn remove_at(&mut self, queue: QueueIndex, position: usize) {
        self.0[queue.0].remove(position);
    }

    /// Removes a request from a queue.
    pub(super) fn remove(&mut self, queue: QueueIndex, id: RequestId) {
        self.0[queue.0].retain(|other| *other != id);
    }
}

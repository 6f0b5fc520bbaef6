//! Queued requests, a queue for each class, quota and lateness, each in the order queued.

use super::state::QueueIndex;
use crate::api::RequestId;
use std::collections::VecDeque;

/// The queues, by [`QueueIndex`].
#[derive(Default)]
pub(super) struct RequestQueues(Vec<VecDeque<RequestId>>);

impl RequestQueues {
    /// Empty queues of so many classes.
    pub(super) fn of_classes(classes: usize) -> Self {
        RequestQueues(vec![VecDeque::new(); classes * QueueIndex::PER_CLASS])
    }

    /// Changes the number of classes. No request may be queued in those that go.
    pub(super) fn resize(&mut self, classes: usize) {
        self.0
            .resize(classes * QueueIndex::PER_CLASS, VecDeque::new());
    }

    /// Queues that are not empty, in the order of their indices.
    pub(super) fn in_use(&self) -> Vec<QueueIndex> {
        let indices = (0..self.0.len()).filter(|index| !self.0[*index].is_empty());
        indices.map(QueueIndex).collect()
    }

    /// Requests in a queue.
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

    /// Removes the oldest request of a queue.
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

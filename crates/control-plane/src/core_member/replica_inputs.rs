//! Queue of inputs for the replica.

use indigofold_replication::Input;
use std::collections::VecDeque;

/// Inputs for the replica. The outputs of one input are carried out completely before the next input is handled, so that
/// messages are sent in the order in which the replica produced them.
#[derive(Debug, Default)]
pub(super) struct ReplicaInputs {
    queue: VecDeque<Input>,
    /// Set from a [`Self::push`] that returns true until a [`Self::pop`] returns `None`.
    is_draining: bool,
}

impl ReplicaInputs {
    /// Queues an input. Returns true if the caller has to drain the queue with [`Self::pop`]; false if a caller further up the
    /// stack is draining it.
    pub(super) fn push(&mut self, input: Input) -> bool {
        self.queue.push_back(input);
        !std::mem::replace(&mut self.is_draining, true)
    }

    /// Returns the next input. `None` means that the queue is drained.
    pub(super) fn pop(&mut self) -> Option<Input> {
        let input = self.queue.pop_front();
        self.is_draining = input.is_some();
        input
    }
}

//! Queue of the replica's inputs.

use indigofold_replication::Input;
use std::collections::VecDeque;

/// Inputs that wait until all outputs of the one before are carried out, so that messages leave in the order in which the
/// replica sent them.
#[derive(Debug, Default)]
pub(super) struct ReplicaInputs {
    queue: VecDeque<Input>,
    /// From the [`Self::push`] that returned true to the [`Self::pop`] that found nothing.
    is_draining: bool,
}

impl ReplicaInputs {
    /// Queues an input; true if the caller has to drain the queue by [`Self::pop`].
    pub(super) fn push(&mut self, input: Input) -> bool {
        self.queue.push_back(input);
        !std::mem::replace(&mut self.is_draining, true)
    }

    /// The next input; `None` ends the draining.
    pub(super) fn pop(&mut self) -> Option<Input> {
        let input = self.queue.pop_front();
        self.is_draining = input.is_some();
        input
    }
}

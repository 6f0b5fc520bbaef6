//! Finds the writes that two replicas have in common.

use indigofold_replication::{ViewNumber, ViewStart};

/// The writes that a replica has applied, described by its views and its last write.
#[derive(Clone, Copy, Debug)]
pub struct WriteHistory<'a> {
    /// The views that led to the replica's state, oldest first.
    pub views: &'a [ViewStart],
    /// Sequence number of the replica's last write.
    pub last_seq: u64,
}

impl WriteHistory<'_> {
    /// Sequence number of the last write that the replica applied before the successor of `view` started.
    fn end_of(&self, view: ViewNumber) -> u64 {
        let successor = self.views.iter().find(|start| start.view > view);
        successor.map_or(self.last_seq, |start| start.seq.min(self.last_seq))
    }
}

/// The sequence number up to which two replicas have applied the same writes; 0 if they share no view. Replicas that
/// share a view have the same writes until the first of them moves on to a different next view.
pub fn common_seq(left: WriteHistory<'_>, right: WriteHistory<'_>) -> u64 {
    let shared = left
        .views
        .iter()
        .rev()
        .find(|start| right.views.contains(start));
    shared.map_or(0, |shared| {
        left.end_of(shared.view).min(right.end_of(shared.view))
    })
}

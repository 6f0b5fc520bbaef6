//! Which writes two replicas have in common.

use indigofold_replication::{ViewNumber, ViewStart};

/// Which writes a replica has taken: those of its views, up to its last write.
#[derive(Clone, Copy, Debug)]
pub struct WriteHistory<'a> {
    /// The views that led to its state, in order.
    pub views: &'a [ViewStart],
    /// Sequence number of its last write.
    pub last_seq: u64,
}

impl WriteHistory<'_> {
    /// Sequence number of the last write that it took up to the end of a view.
    fn end_of(&self, view: ViewNumber) -> u64 {
        let successor = self.views.iter().find(|start| start.view > view);
        successor.map_or(self.last_seq, |start| start.seq.min(self.last_seq))
    }
}

/// Up to which sequence number two replicas have taken the same writes. Views share their writes up to where the first
/// of two different successors starts.
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

//! What the dispatcher keeps up to date from event to event, compared with a fresh count. No decisions.

use super::Dispatcher;

impl Dispatcher {
    /// Whether all that is derived from the table of workers agrees with it. Debug builds check this after each event.
    pub(super) fn is_consistent(&self) -> bool {
        let workers = self.workers.iter().enumerate();
        let busy = workers
            .filter(|(_, worker)| worker.own_slots > 0.0)
            .map(|(index, _)| index);
        let unstarted: usize = self
            .workers
            .iter()
            .map(|worker| worker.unstarted.len())
            .sum();
        let claims: usize = self
            .workers
            .iter()
            .map(|worker| worker.peer_claims.len())
            .sum();
        let claimed: usize = self.claimed.values().map(Vec::len).sum();
        let mut grouped = self.groups.iter().flatten();
        self.unstarted_count == unstarted
            && self.busy.iter().copied().eq(busy)
            && claimed == claims
            && grouped.all(|index| self.workers[*index].active)
    }
}

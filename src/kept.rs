//! What the dispatcher keeps up to date from event to event, compared with a fresh count. No decisions.

use super::Dispatcher;

impl Dispatcher {
    pub(super) fn kept_right(&self) -> bool {
        let own = self
            .workers
            .iter()
            .enumerate()
            .filter(|(_, w)| w.own > 0.0)
            .map(|(i, _)| i);
        let named = self.workers.iter().map(|w| w.peers.len()).sum::<usize>();
        self.waiting
            == self
                .workers
                .iter()
                .map(|w| w.unstarted.len())
                .sum::<usize>()
            && self.busy.iter().copied().eq(own)
            && self.named.values().map(Vec::len).sum::<usize>() == named
            && self
                .groups
                .iter()
                .flatten()
                .all(|i| self.workers[*i].active)
    }
}

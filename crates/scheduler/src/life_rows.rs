//! Rows `life/INSTANCE`: on which machine a worker's life was reported. A successor learns from them that a life is gone
//! as soon as another one registers on that machine.

use crate::scheduler::Scheduler;
use crate::workers::WorkerId;

const LIFE_PREFIX: &str = "life/";

/// Key of the row of a life.
pub(crate) fn life_key(instance: &str) -> Vec<u8> {
    format!("{LIFE_PREFIX}{instance}").into_bytes()
}

/// The life that a key names, if it is the key of such a row.
pub(crate) fn instance_of(key: &[u8]) -> Option<&str> {
    std::str::from_utf8(key).ok()?.strip_prefix(LIFE_PREFIX)
}

impl Scheduler {
    /// A life is known to be on this machine: that is written, once.
    pub(crate) fn keep_life(&mut self, id: WorkerId, node_name: &str) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.kept_at.as_deref() != Some(node_name) {
            worker.kept_at = Some(node_name.to_owned());
            let instance = worker.instance.clone();
            self.outbox
                .lives
                .insert(instance, Some(node_name.to_owned()));
        }
    }

    /// A life is over for good: its row is deleted.
    pub(crate) fn forget_life(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.get(id)
            && worker.kept_at.is_some()
        {
            self.outbox.lives.insert(worker.instance.clone(), None);
        }
        self.workers.forget(id);
    }

    /// Takes over the row of a life; its machine's name is the row's value.
    pub(crate) fn load_life(&mut self, instance: &str, node_name: &[u8]) {
        let id = self.workers.life(instance, self.now_ms);
        let node_name = String::from_utf8_lossy(node_name).into_owned();
        if let Some(worker) = self.workers.get_mut(id) {
            worker.kept_at = Some(node_name.clone());
        }
        self.workers.place_at(id, node_name);
    }
}

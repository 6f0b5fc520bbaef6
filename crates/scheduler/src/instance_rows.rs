//! Rows `life/INSTANCE`: on which machine a worker instance was reported. A successor learns from them that an instance
//! has ended as soon as another one registers on that machine.

use crate::state::ClusterState;
use crate::worker::WorkerId;

const INSTANCE_PREFIX: &str = "life/";

/// Key of the row of an instance.
pub(crate) fn instance_key(instance: &str) -> Vec<u8> {
    format!("{INSTANCE_PREFIX}{instance}").into_bytes()
}

/// The instance that a key names, if it is the key of such a row.
pub(crate) fn instance_of(key: &[u8]) -> Option<&str> {
    std::str::from_utf8(key).ok()?.strip_prefix(INSTANCE_PREFIX)
}

impl ClusterState {
    /// An instance is known to be on this machine: that is written, once.
    pub(crate) fn record_instance(&mut self, id: WorkerId, node_name: &str) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.set_recorded_node(node_name) {
            let instance = worker.instance.clone();
            self.outbox
                .instance_changed(instance, Some(node_name.to_owned()));
        }
    }

    /// An instance has ended: its row is deleted.
    pub(crate) fn forget_instance(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.get(id)
            && worker.is_recorded()
        {
            self.outbox.instance_changed(worker.instance.clone(), None);
        }
        self.workers.forget(id);
    }

    /// Loads the row of an instance; the name of its machine is the row's value.
    pub(crate) fn load_instance(&mut self, instance: &str, node_name: &[u8]) {
        let id = self.workers.get_or_register(instance, self.now_ms);
        let node_name = String::from_utf8_lossy(node_name).into_owned();
        if let Some(worker) = self.workers.get_mut(id) {
            worker.set_recorded_node(&node_name);
        }
        self.workers.set_node(id, node_name);
    }
}

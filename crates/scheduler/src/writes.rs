//! Collects the rows that the present event has changed, as one write.

use crate::api::{Effect, RowChange};
use crate::instance_rows::instance_key;
use crate::rows::{self, RowKey};
use crate::state::ClusterState;

impl ClusterState {
    /// All rows that the present event has changed, in one write; `None` if it has changed none.
    pub(crate) fn take_write(&mut self) -> Option<Effect> {
        if !self.outbox.has_changes() {
            return None;
        }
        let (write, changed) = self.outbox.take_changes();
        for id in changed.progress.iter().chain(&changed.forgotten) {
            self.unwritten_checkpoints.remove(id);
        }
        let mut changes = Vec::new();
        for id in changed.accepted.difference(&changed.closed) {
            let job = self.jobs.get(id);
            let definition = job.map(|job| rows::definition_bytes(&job.definition));
            changes.extend(definition.map(|value| set(RowKey::Job(*id), value)));
        }
        for id in changed.progress.difference(&changed.forgotten) {
            let progress = self.jobs.get_mut(id).map(|job| {
                job.written_ms = self.now_ms;
                rows::progress_bytes(job, &self.workers)
            });
            changes.extend(progress.map(|value| set(RowKey::Progress(*id), value)));
        }
        let closed = changed.closed.into_iter();
        changes.extend(closed.map(|id| delete(RowKey::Job(id))));
        let forgotten = changed.forgotten.into_iter();
        changes.extend(forgotten.map(|id| delete(RowKey::Progress(id))));
        for (instance, node_name) in changed.instances {
            changes.push(RowChange {
                key: instance_key(&instance),
                value: node_name.map(String::into_bytes),
            });
        }
        Some(Effect::Write { write, changes })
    }
}

fn set(key: RowKey, value: Vec<u8>) -> RowChange {
    RowChange {
        key: key.bytes(),
        value: Some(value),
    }
}

fn delete(key: RowKey) -> RowChange {
    RowChange {
        key: key.bytes(),
        value: None,
    }
}

//! Collects all rows that the current event has changed into one write.

use crate::api::{Effect, RowChange};
use crate::cluster::Cluster;
use crate::instance_rows::instance_key;
use crate::outbox::ChangedRows;
use crate::rows::{self, RowKey};

impl Cluster {
    /// Returns the write with all rows that the current event has changed; `None` if it has changed none.
    pub(crate) fn take_write(&mut self) -> Option<Effect> {
        if !self.outbox.has_changes() {
            return None;
        }
        let (write, changed) = self.outbox.take_changes();
        for id in changed.progress.iter().chain(&changed.removed) {
            self.jobs.record_rows_written(*id, self.clock.now_ms());
        }
        let changes = self.row_changes(changed);
        Some(Effect::Write { write, changes })
    }

    fn row_changes(&self, changed: ChangedRows) -> Vec<RowChange> {
        let mut changes = Vec::new();
        for id in changed.accepted.difference(&changed.closed) {
            let job = self.jobs.get(id);
            let definition = job.map(|job| rows::definition_bytes(job.definition()));
            changes.extend(definition.map(|value| set(RowKey::Job(*id), value)));
        }
        for id in changed.progress.difference(&changed.removed) {
            let job = self.jobs.get(id);
            let progress = job.map(|job| rows::progress_bytes(job, &self.workers));
            changes.extend(progress.map(|value| set(RowKey::Progress(*id), value)));
        }
        let closed = changed.closed.into_iter();
        changes.extend(closed.map(|id| delete(RowKey::Job(id))));
        let removed = changed.removed.into_iter();
        changes.extend(removed.map(|id| delete(RowKey::Progress(id))));
        for (instance, node_name) in changed.instances {
            changes.push(RowChange {
                key: instance_key(&instance),
                value: node_name.map(String::into_bytes),
            });
        }
        changes
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

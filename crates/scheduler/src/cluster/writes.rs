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
            self.jobs
                .record_rows_written(*id, write, self.clock.now_ms());
        }
        let changes = self.row_changes(changed);
        Some(Effect::Write { write, changes })
    }

    fn row_changes(&self, changed_rows: ChangedRows) -> Vec<RowChange> {
        let mut changes = Vec::new();
        for id in changed_rows.accepted.difference(&changed_rows.closed) {
            let job = self.jobs.get(id);
            let definition = job.map(|job| rows::definition_bytes(job.definition()));
            changes.extend(definition.map(|value| row_write(RowKey::Job(*id), value)));
        }
        for id in changed_rows.progress.difference(&changed_rows.removed) {
            let job = self.jobs.get(id);
            let progress = job.map(|job| rows::progress_bytes(job, &self.workers));
            changes.extend(progress.map(|value| row_write(RowKey::Progress(*id), value)));
        }
        let closed_jobs = changed_rows.closed.into_iter();
        changes.extend(closed_jobs.map(|id| row_deletion(RowKey::Job(id))));
        let removed_jobs = changed_rows.removed.into_iter();
        changes.extend(removed_jobs.map(|id| row_deletion(RowKey::Progress(id))));
        for (instance, node_name) in changed_rows.instances {
            changes.push(RowChange {
                key: instance_key(&instance),
                value: node_name.map(String::into_bytes),
            });
        }
        changes
    }
}

/// The change that writes a job's row.
fn row_write(key: RowKey, value: Vec<u8>) -> RowChange {
    RowChange {
        key: key.bytes(),
        value: Some(value),
    }
}

/// The change that deletes a job's row.
fn row_deletion(key: RowKey) -> RowChange {
    RowChange {
        key: key.bytes(),
        value: None,
    }
}

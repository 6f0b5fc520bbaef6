//! Takeover: a new head restores the state from the rows that the previous head has written.

use crate::cluster::Cluster;
use crate::instance_rows::parse_instance_key;
use crate::rows::{JobRows, RowError, RowKey, read_definition, read_progress};
use indigofold_protocol::task::JobId;
use rustc_hash::FxHashMap;

/// Nothing is placed for this time after a takeover, so that node agents can reconnect and waiting tasks are spread over
/// all workers.
pub(crate) const AGENTS_RECONNECT_MS: u64 = 120;

/// Restores all jobs and worker instances from `rows`, whose keys must all be accepted by
/// [`owns_row`](crate::Scheduler::owns_row). Returns whether there is any job.
pub(crate) fn load(
    cluster: &mut Cluster,
    rows: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>,
) -> Result<bool, RowError> {
    let mut definitions = FxHashMap::default();
    let mut progresses = Vec::new();
    for (key, value) in rows {
        if let Some(instance) = parse_instance_key(&key) {
            let node_name = String::from_utf8_lossy(&value).into_owned();
            cluster.restore_instance(instance, node_name);
            continue;
        }
        match RowKey::parse(&key) {
            Some(RowKey::Job(id)) => {
                definitions.insert(id, read_definition(&key, &value)?);
            }
            Some(RowKey::Progress(id)) => progresses.push((id, read_progress(&key, &value)?)),
            None => {
                return Err(RowError::Key {
                    key: String::from_utf8_lossy(&key).into_owned(),
                });
            }
        }
    }
    progresses.sort_by_key(|(id, _): &(JobId, _)| *id);
    let has_jobs = !progresses.is_empty();
    for (id, progress) in progresses {
        let definition = definitions.remove(&id).unwrap_or_default();
        cluster.restore_job(id, JobRows::new(definition, progress));
    }
    Ok(has_jobs)
}

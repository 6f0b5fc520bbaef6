//! Take-over: the state as a predecessor has written it.

use crate::clock::WallClock;
use crate::instance_rows::instance_of;
use crate::job::{Job, OutstandingRun};
use crate::lifecycle::open_tasks;
use crate::rows::{RowError, RowKey, read_definition, read_progress};
use crate::state::ClusterState;
use indigofold_protocol::task::JobId;
use rustc_hash::FxHashMap;

/// Nothing is placed for this time after a take-over, so that waiting tasks are spread over all workers.
const AGENTS_RECONNECT_MS: u64 = 120;

impl ClusterState {
    /// Takes over what a predecessor has written: all rows whose keys [`is_row`](crate::Scheduler::is_row). To be called once,
    /// before the first event.
    pub(crate) fn load(
        &mut self,
        rows: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>,
    ) -> Result<(), RowError> {
        let mut definitions = FxHashMap::default();
        let mut progresses = Vec::new();
        for (key, value) in rows {
            if let Some(instance) = instance_of(&key) {
                self.load_instance(instance, &value);
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
        progresses.sort_by_key(|(id, _)| *id);
        for (id, progress) in progresses {
            let definition = definitions.remove(&id).unwrap_or_default();
            let clock: &WallClock = &self.clock;
            let due_ms = |job: &Job, repeat: u32| {
                clock.steady_ms(
                    job.due_wall_ms(repeat)
                        .unwrap_or(job.definition.accepted_wall_ms),
                )
            };
            let job = progress.restore(definition, &mut self.workers, self.now_ms, due_ms);
            self.jobs.insert(id, job);
            self.resume_job(id);
            self.placement_start_ms = self.now_ms + AGENTS_RECONNECT_MS;
        }
        Ok(())
    }

    fn resume_job(&mut self, id: JobId) {
        self.occupy_workers(id);
        if self.jobs.get(&id).is_some_and(|job| job.end.is_some()) {
            return self.resume_ended(id);
        }
        self.update_value(id);
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        self.load.job_opened();
        self.load.tasks_opened(open_tasks(job));
        if !job.started {
            self.load.job_pending(&job.definition.route);
        }
        let repeats: Vec<u32> = job.repeats.keys().copied().collect();
        for repeat in repeats {
            let due_ms = self
                .jobs
                .get(&id)
                .and_then(|job| job.repeats.get(&repeat))
                .map_or(0, |r| r.due_ms);
            self.ready_steps(id, repeat, self.latency_before_opening(due_ms));
        }
        self.await_next_repeat(id);
    }

    /// An ended job: its runs are stopped as their workers report.
    fn resume_ended(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.outstanding == 0
            && let Some(end) = job.end
        {
            self.await_expiry(id, end.wall_ms);
        }
    }

    /// Outstanding runs occupy capacity of their workers.
    fn occupy_workers(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        for OutstandingRun { run, worker } in job.outstanding_runs(id) {
            let resources = job
                .step(run.task.step)
                .map(indigofold_protocol::job::Step::resources)
                .unwrap_or_default();
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.occupy(run.task, &resources, false);
            }
        }
    }
}

//! Detection of stragglers: workers that have become slow, judged by the progress of their runs, and runs there that
//! would end sooner if they were restarted elsewhere. A single slow run is not conclusive, because run times differ far
//! more between jobs than between workers.

use crate::cluster_view::ClusterView;
use crate::estimates::projected_total_ms;
use crate::worker::WorkerId;
use indigofold_protocol::task::{JobId, TaskName};
use std::collections::BTreeMap;

/// Minimum number of jobs with a conclusive run on a worker before the worker counts as slow.
const JOBS_MIN: usize = 3;
/// A worker counts as slow if the ratio of projected to expected run times, as the median over jobs, is at least this.
const SLOWDOWN_MIN: f64 = 2.5;
/// A run is moved if its remaining time exceeds this multiple of its total time on a healthy worker plus
/// [`STRAGGLER_MIN_MS`].
const STRAGGLER_FACTOR: f64 = 1.3;
/// Constant part of the limit for moving a run, in milliseconds.
const STRAGGLER_MIN_MS: f64 = 800.0;

/// Projected and expected total time of one run, in milliseconds.
struct ProjectedRun {
    /// Total time projected from the run's progress.
    total_ms: f64,
    /// Total time expected for the run's class and worker.
    expected_ms: f64,
}

impl ClusterView<'_> {
    /// Ratio of projected to expected run times on this worker, as the median over jobs (per job the smallest ratio);
    /// `None` unless the worker has become slow.
    pub(crate) fn slowdown(&self, id: WorkerId) -> Option<f64> {
        let worker = self.workers.get(id)?;
        let mut by_job: BTreeMap<JobId, f64> = BTreeMap::new();
        for task in worker.runs() {
            if let Some(projected_run) = self.projected_run(id, task) {
                let ratio = projected_run.total_ms / projected_run.expected_ms.max(1.0);
                by_job
                    .entry(task.job)
                    .and_modify(|smallest_ratio| *smallest_ratio = smallest_ratio.min(ratio))
                    .or_insert(ratio);
            }
        }
        let mut ratios: Vec<f64> = by_job.into_values().collect();
        ratios.sort_by(f64::total_cmp);
        let median = ratios.get(ratios.len() / 2).copied()?;
        (ratios.len() >= JOBS_MIN && median >= SLOWDOWN_MIN).then_some(median)
    }

    /// Whether a run on a slow worker should be moved, because a new run elsewhere is expected to end first. `slowdown`
    /// is that of the worker. Gang members are never moved.
    pub(crate) fn is_straggling(&self, id: WorkerId, task: &TaskName, slowdown: f64) -> bool {
        let Some(step) = self.jobs.get(&task.job).and_then(|job| job.step(task.step)) else {
            return false;
        };
        let Some(projected_run) = self.projected_run(id, task) else {
            return false;
        };
        !step.gang
            && self.remaining_ms(id, task) as f64
                > STRAGGLER_FACTOR * projected_run.total_ms / slowdown + STRAGGLER_MIN_MS
    }

    /// Projected and expected total time of a run; `None` for long-running tasks and while the progress is not
    /// conclusive.
    fn projected_run(&self, id: WorkerId, task: &TaskName) -> Option<ProjectedRun> {
        let job = self.jobs.get(&task.job)?;
        let run = self
            .run_at(id, task)
            .filter(|_| job.step(task.step).is_some_and(|step| !step.long_running))?;
        Some(ProjectedRun {
            total_ms: projected_total_ms(run)? as f64,
            expected_ms: self.expected_run_ms(id, task),
        })
    }
}

//! Stragglers: workers that have become slow, by the progress of their runs, and the runs that end sooner if they begin
//! anew elsewhere. One run alone is not conclusive: jobs differ far more than workers.

use crate::cluster_view::ClusterView;
use crate::estimates::projected_total_ms;
use crate::worker::WorkerId;
use indigofold_protocol::task::{JobId, TaskName};
use std::collections::BTreeMap;

/// Runs of so many jobs have to be conclusive before a worker counts as slow.
const JOBS_MIN: usize = 3;
/// A worker counts as slow if its runs take so many times as long as expected (the median over jobs).
const SLOWDOWN: f64 = 2.5;
/// A run is moved if its remaining time is so many times its total time on a healthy worker ...
const STRAGGLER_FACTOR: f64 = 1.3;
/// ... and so much more, in milliseconds.
const STRAGGLER_MIN_MS: f64 = 800.0;

/// Total run times of one run, in milliseconds.
struct ProjectedRun {
    /// Projected from its progress.
    total_ms: f64,
    /// Expected for its class and worker.
    expected_ms: f64,
}

impl ClusterView<'_> {
    /// How many times as long as expected the runs on this worker take, if it has become slow.
    pub(crate) fn slowdown(&self, id: WorkerId) -> Option<f64> {
        let worker = self.workers.get(id)?;
        let mut by_job: BTreeMap<JobId, f64> = BTreeMap::new();
        for task in worker.runs() {
            if let Some(projected) = self.projected(id, task) {
                let ratio = projected.total_ms / projected.expected_ms.max(1.0);
                by_job
                    .entry(task.job)
                    .and_modify(|least| *least = least.min(ratio))
                    .or_insert(ratio);
            }
        }
        let mut ratios: Vec<f64> = by_job.into_values().collect();
        ratios.sort_by(f64::total_cmp);
        let median = ratios.get(ratios.len() / 2).copied()?;
        (ratios.len() >= JOBS_MIN && median >= SLOWDOWN).then_some(median)
    }

    /// On a worker that has become slow: a new run elsewhere is expected to end first.
    pub(crate) fn is_straggling(&self, id: WorkerId, task: &TaskName, slowdown: f64) -> bool {
        let Some(step) = self.jobs.get(&task.job).and_then(|job| job.step(task.step)) else {
            return false;
        };
        let Some(projected) = self.projected(id, task) else {
            return false;
        };
        !step.gang
            && self.remaining_ms(id, task) as f64
                > STRAGGLER_FACTOR * projected.total_ms / slowdown + STRAGGLER_MIN_MS
    }

    /// Projected and expected total run time; `None` while the progress is not conclusive.
    fn projected(&self, id: WorkerId, task: &TaskName) -> Option<ProjectedRun> {
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

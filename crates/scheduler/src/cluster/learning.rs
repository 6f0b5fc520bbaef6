//! Updates of statistics when runs end: speeds of kinds, run times of classes, health of workers.

use crate::cluster::Cluster;
use crate::jobs::RunEnded;
use crate::run_result::RunResult;
use indigofold_protocol::worker::RunEnd;

/// Overhead of orders and reports in the time from placement to the report of the end, in milliseconds.
const ORDER_OVERHEAD_MS: f64 = 250.0;

impl Cluster {
    /// Updates the statistics after the end of a run. Only a run that ended `done` and did all of the work gives a sample
    /// of the run time.
    pub(super) fn learn_from(&mut self, ended_run: &RunEnded) {
        match ended_run.result {
            RunResult::Ended(RunEnd::Done) if !ended_run.traits.long_running => {
                self.learn_from_success(ended_run);
            }
            RunResult::Ended(RunEnd::Failed) => self.learn_from_failure(ended_run),
            _ => {}
        }
    }

    /// Records a sample of the kind's speed and the class's run time, unless the run was resumed, and a success for the
    /// worker's health.
    fn learn_from_success(&mut self, ended_run: &RunEnded) {
        let RunEnded { run, traits, .. } = ended_run;
        let now_ms = self.clock.now_ms();
        let run_ms = now_ms.saturating_sub(run.placed_ms()) as f64 / run.remote_factor().max(1.0);
        let kinds = self.services.entry(&traits.service).kinds_mut();
        let expected_ms = kinds.expected_ms(run.worker(), &traits.class, traits.estimate_ms);
        let pace = (!run.is_resumed()).then_some(run_ms / (expected_ms + ORDER_OVERHEAD_MS));
        if !run.is_resumed() {
            kinds.record_run(run.worker(), &traits.class, traits.estimate_ms, run_ms);
        }
        if let Some(worker) = self.workers.get_mut(run.worker()) {
            let pace = pace.filter(|_| worker.is_warm(run.placed_ms()));
            worker.health_mut().record_success(now_ms, pace);
        }
    }

    /// Records a failure for the worker's health. The failure is doubtful, as the job may be at fault, if the job has failed
    /// on other workers too or the task is long-running.
    fn learn_from_failure(&mut self, ended_run: &RunEnded) {
        let is_doubtful = ended_run.failed_elsewhere || ended_run.traits.long_running;
        if let Some(worker) = self.workers.get_mut(ended_run.run.worker()) {
            worker
                .health_mut()
                .record_failure(self.clock.now_ms(), is_doubtful);
        }
    }
}

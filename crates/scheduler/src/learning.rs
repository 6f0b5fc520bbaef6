//! What ended runs teach: speeds of kinds, run times of classes, health of workers.

use crate::run_result::RunResult;
use crate::state::ClusterState;
use crate::step_traits::StepTraits;
use crate::task::Run;
use indigofold_protocol::task::TaskName;
use indigofold_protocol::worker::RunEnd;

/// Time from placement to report that orders and reports take, in milliseconds.
const ORDER_MS: f64 = 250.0;

impl ClusterState {
    /// A run has ended. Only `done` gives a sample of speed, and only if the run did all of the work.
    pub(crate) fn learn_from_run(
        &mut self,
        task: &TaskName,
        run: &Run,
        result: RunResult,
        traits: &StepTraits,
    ) {
        match result {
            RunResult::Ended(RunEnd::Done) if !traits.long_running => {
                self.learn_from_success(run, traits);
            }
            RunResult::Ended(RunEnd::Failed) => self.learn_from_failure(task, run, traits),
            _ => {}
        }
    }

    /// Learns the speed of the kind and the run time of the class; the worker is healthier.
    fn learn_from_success(&mut self, run: &Run, traits: &StepTraits) {
        let now_ms = self.now_ms;
        let run_ms = now_ms.saturating_sub(run.placed_ms) as f64 / run.remote_factor.max(1.0);
        let kinds = &mut self.services.entry(&traits.service).kinds;
        let expected_ms = kinds.expected_ms(run.worker, &traits.class, traits.estimate_ms);
        let pace = (!run.resumed).then_some(run_ms / (expected_ms + ORDER_MS));
        if !run.resumed {
            kinds.record_run(run.worker, &traits.class, traits.estimate_ms, run_ms);
        }
        if let Some(worker) = self.workers.get_mut(run.worker) {
            let pace = pace.filter(|_| worker.is_warm(run.placed_ms));
            worker.health.succeeded(now_ms, pace);
        }
    }

    /// The worker is less healthy, unless the job fails elsewhere too.
    fn learn_from_failure(&mut self, task: &TaskName, run: &Run, traits: &StepTraits) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let elsewhere = job.failed_on(run.worker);
        if let Some(worker) = self.workers.get_mut(run.worker) {
            worker
                .health
                .failed(now_ms, elsewhere || traits.long_running);
        }
    }
}

//! What ended runs teach: speeds of kinds, run times of classes, health of workers.

use crate::cluster::Cluster;
use crate::jobs::RunEnded;
use crate::run_result::RunResult;
use indigofold_protocol::worker::RunEnd;

/// Time from placement to report that orders and reports take, in milliseconds.
const ORDER_MS: f64 = 250.0;

impl Cluster {
    /// A run has ended. Only `done` gives a sample of speed, and only if the run did all of the work.
    pub(super) fn learn_from(&mut self, ended: &RunEnded) {
        match ended.result {
            RunResult::Ended(RunEnd::Done) if !ended.traits.long_running => {
                self.learn_from_success(ended);
            }
            RunResult::Ended(RunEnd::Failed) => self.learn_from_failure(ended),
            _ => {}
        }
    }

    /// Learns the speed of the kind and the run time of the class; the worker is healthier.
    fn learn_from_success(&mut self, ended: &RunEnded) {
        let RunEnded { run, traits, .. } = ended;
        let now_ms = self.clock.now_ms();
        let run_ms = now_ms.saturating_sub(run.placed_ms()) as f64 / run.remote_factor().max(1.0);
        let kinds = self.services.entry(&traits.service).kinds_mut();
        let expected_ms = kinds.expected_ms(run.worker(), &traits.class, traits.estimate_ms);
        let pace = (!run.is_resumed()).then_some(run_ms / (expected_ms + ORDER_MS));
        if !run.is_resumed() {
            kinds.record_run(run.worker(), &traits.class, traits.estimate_ms, run_ms);
        }
        if let Some(worker) = self.workers.get_mut(run.worker()) {
            let pace = pace.filter(|_| worker.is_warm(run.placed_ms()));
            worker.health_mut().succeeded(now_ms, pace);
        }
    }

    /// The worker is less healthy, unless the job fails elsewhere too.
    fn learn_from_failure(&mut self, ended: &RunEnded) {
        let is_doubtful = ended.failed_elsewhere || ended.traits.long_running;
        if let Some(worker) = self.workers.get_mut(ended.run.worker()) {
            worker.health_mut().failed(self.clock.now_ms(), is_doubtful);
        }
    }
}

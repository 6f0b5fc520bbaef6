//! Health of workers, derived from the outcomes of their attempts: failure rates, ejection and probation.

use super::Dispatcher;
use super::fleet::Worker;
use super::state::OpenRequest;
use super::tuning::{
    EJECTION_BASE, EJECTION_MAX, FAILURE_DECAY, FAILURE_STEP, FULL_EJECTION_MAX,
    PROBATION_FAILURE_RATE, TIMEOUT_STEP,
};
use crate::api::{Effect, Status, Time};

impl Dispatcher {
    /// Updates the health of a worker with the outcome of an attempt.
    pub(super) fn record_outcome(&mut self, now: Time, index: usize, status: Status) {
        match status {
            Status::Ok => {
                let worker = &mut self.fleet[index];
                worker.failure_rate -= FAILURE_STEP * worker.failure_rate;
                self.record_progress(now, index);
            }
            Status::Error | Status::Reset | Status::ConnectFailed => {
                self.fleet[index].record_failure(now, FAILURE_STEP, false);
            }
            Status::Timeout => self.fleet[index].record_failure(now, TIMEOUT_STEP, true),
            Status::Full => {
                // A slot becomes free within about a mean run time.
                let mean_run_time =
                    (self.run_times.sum / self.run_times.weight).min(FULL_EJECTION_MAX) as Time;
                let worker = &mut self.fleet[index];
                worker.ejected_until = worker.ejected_until.max(now + mean_run_time);
                self.adapt_to_start(index, true);
                self.displacement.record_rejection();
            }
            Status::Cancelled | Status::Moot => {}
        }
    }

    /// Records that a worker makes progress: an ejection for being unresponsive ends.
    pub(super) fn record_progress(&mut self, now: Time, index: usize) {
        let worker = &mut self.fleet[index];
        if std::mem::take(&mut worker.timeouts_in_a_row) > 0 {
            worker.ejected_until = worker.ejected_until.min(now);
        }
    }

    /// Whether a worker on probation may get this request: only a retryable one, and only while the worker has no
    /// other.
    pub(super) fn may_probe_health(&self, worker: &Worker, open: &OpenRequest) -> bool {
        worker.own_slots() == 0.0 && self.settings.classes[open.job.class].effect != Effect::Unsafe
    }

    /// Decays the failure rates of workers that are not ejected. Without decay a probation would never end if no class
    /// is retryable.
    pub(super) fn decay_failures(&mut self, now: Time) {
        let workers = self.fleet.workers_mut().iter_mut();
        workers
            .filter(|worker| worker.ejected_until <= now)
            .for_each(|worker| worker.failure_rate *= FAILURE_DECAY);
    }
}

impl Worker {
    /// Records a failure and ejects the worker if the failure rate is high or the failure was a time-out. A worker that
    /// fails immediately has few jobs in flight, so that without an ejection every sample would prefer it.
    fn record_failure(&mut self, now: Time, step: f64, is_timeout: bool) {
        self.failure_rate += step * (1.0 - self.failure_rate);
        let ejection = (EJECTION_BASE / (1.0 - self.failure_rate).powi(2)).min(EJECTION_MAX);
        // A single failure may be due to the connection, and ejections for it could remove half of the fleet; two
        // failures in a row are due to the worker.
        if is_timeout || self.failure_rate > PROBATION_FAILURE_RATE {
            self.ejected_until = self.ejected_until.max(now + ejection as Time);
        }
    }
}

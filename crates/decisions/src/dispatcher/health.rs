//! Health of workers by the results of their attempts: failure rates, ejection, probation.

use super::Dispatcher;
use super::fleet::Worker;
use super::state::OpenRequest;
use super::tuning::{
    EJECTION_BASE, EJECTION_MAX, FAILURE_DECAY, FAILURE_STEP, FULL_EJECTION_MAX,
    PROBATION_FAILURE_RATE, TIMEOUT_STEP,
};
use crate::api::{Effect, Status, Time};

impl Dispatcher {
    /// Updates the health of a worker by the result of an attempt.
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
                // A slot frees within about a run time.
                let run =
                    (self.run_times.sum / self.run_times.weight).min(FULL_EJECTION_MAX) as Time;
                let worker = &mut self.fleet[index];
                worker.ejected_until = worker.ejected_until.max(now + run);
                self.count_start(index, true);
                self.displacement.record_rejection();
            }
            Status::Cancelled | Status::Moot => {}
        }
    }

    /// The worker makes progress: an ejection for being unresponsive ends.
    pub(super) fn record_progress(&mut self, now: Time, index: usize) {
        let worker = &mut self.fleet[index];
        if std::mem::take(&mut worker.timeouts_in_a_row) > 0 {
            worker.ejected_until = worker.ejected_until.min(now);
        }
    }

    /// Whether a worker on probation may get this request: one at a time, and only a retryable one.
    pub(super) fn may_probe_health(&self, worker: &Worker, open: &OpenRequest) -> bool {
        worker.own_slots() == 0.0 && self.settings.classes[open.job.class].effect != Effect::Unsafe
    }

    /// Failure rates decay with time: where no class is retryable, nothing else would end a probation.
    pub(super) fn decay_failures(&mut self, now: Time) {
        let listed = self.fleet.workers_mut().iter_mut();
        listed
            .filter(|worker| worker.ejected_until <= now)
            .for_each(|worker| worker.failure_rate *= FAILURE_DECAY);
    }
}

impl Worker {
    /// An error at once leaves the worker with few jobs in flight: without an ejection it would win every draw.
    fn record_failure(&mut self, now: Time, step: f64, is_timeout: bool) {
        self.failure_rate += step * (1.0 - self.failure_rate);
        let ejection = (EJECTION_BASE / (1.0 - self.failure_rate).powi(2)).min(EJECTION_MAX);
        // A single failure may be the connection's, and would eject half the fleet; two in a row are the worker's.
        if is_timeout || self.failure_rate > PROBATION_FAILURE_RATE {
            self.ejected_until = self.ejected_until.max(now + ejection as Time);
        }
    }
}

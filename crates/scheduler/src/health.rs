//! Health of a worker, judged by the results of its runs. A worker whose runs fail, hang or are slow is suspected and
//! gets runs only of tasks that have waited too long for other workers; after a backoff it is on probation until a run
//! succeeds.

/// Half-life of the weight of results.
const HALF_LIFE_MS: f64 = 8_000.0;
/// Minimum weight of failures for suspecting a worker by its fraction of failures.
const SUSPECT_WEIGHT: f64 = 2.5;
/// Minimum fraction of failures among all results for suspecting a worker.
const SUSPECT_FRACTION: f64 = 0.4;
/// A worker is suspected after failures of this total weight in a row, regardless of earlier successes.
const SUSPECT_STREAK: f64 = 3.0;
/// Weight of a failure whose cause is probably the job rather than the worker.
const DOUBTFUL_FAILURE: f64 = 0.15;
/// Time from suspicion to the first probation; it doubles each time the run on probation fails.
const FIRST_PROBATION_MS: u64 = 4_000;
/// Maximum time from suspicion to probation.
const PROBATION_BACKOFF_MAX_MS: u64 = 30_000;
/// Weight of the former mean in the exponential moving average of the slowdown.
const SLOWDOWN_KEEP: f64 = 0.7;
/// A worker whose mean slowdown exceeds this factor is suspected.
const SLOWDOWN_MAX: f64 = 2.5;

/// Decaying statistics of the results of one worker's runs.
#[derive(Debug)]
pub(crate) struct WorkerHealth {
    /// Weight of successes, decaying with [`HALF_LIFE_MS`].
    successes: f64,
    /// Weight of failures, decaying with [`HALF_LIFE_MS`].
    failures: f64,
    /// Weight of failures since the last success.
    streak: f64,
    /// Exponential moving average of the logarithm of the slowdown (run time divided by expected run time).
    log_slowdown: f64,
    /// When the decay was last applied to the weights, on the monotonic clock.
    updated_at_ms: u64,
    /// `None` while the worker is healthy.
    suspicion: Option<Suspicion>,
}

/// State of a worker that is suspected or on probation.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    /// When the probation begins.
    probation_at_ms: u64,
    /// Time from the latest suspicion to probation.
    backoff_ms: u64,
    /// Whether a run was placed on probation whose result is not known yet.
    is_probing: bool,
}

/// Whether new runs may be placed on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthStatus {
    /// New runs may be placed without restriction.
    Healthy,
    /// One run may be placed, to test whether the worker has recovered.
    OnProbation,
    /// Used only for tasks that have waited too long for other workers.
    Suspected,
}

impl Default for WorkerHealth {
    fn default() -> Self {
        WorkerHealth {
            successes: 0.0,
            failures: 0.0,
            streak: 0.0,
            log_slowdown: 0.0,
            updated_at_ms: 0,
            suspicion: None,
        }
    }
}

impl WorkerHealth {
    /// Records a run that ended `done`. `slowdown` is its run time divided by the expected one; `None` if the run is no
    /// sample of the worker's speed. The success ends a suspicion unless the worker is too slow.
    pub(crate) fn record_success(&mut self, now_ms: u64, slowdown: Option<f64>) {
        self.decay(now_ms);
        self.successes += 1.0;
        self.streak = 0.0;
        if let Some(slowdown) = slowdown {
            let sample = slowdown.clamp(0.1, 20.0).ln();
            let kept_fraction = if self.suspicion.is_some() {
                0.0
            } else {
                SLOWDOWN_KEEP
            };
            self.log_slowdown = self.log_slowdown * kept_fraction + sample * (1.0 - kept_fraction);
        }
        if self.log_slowdown > SLOWDOWN_MAX.ln() {
            self.suspect(now_ms);
        } else if self.suspicion.take().is_some() {
            self.failures = 0.0;
        }
    }

    /// Records a run that failed or hung. `is_doubtful`: the cause is probably the job, which has failed on another
    /// worker too, or is long-running.
    pub(crate) fn record_failure(&mut self, now_ms: u64, is_doubtful: bool) {
        self.decay(now_ms);
        let weight = if is_doubtful { DOUBTFUL_FAILURE } else { 1.0 };
        (self.failures, self.streak) = (self.failures + weight, self.streak + weight);
        let fails_often = self.failures >= SUSPECT_WEIGHT
            && self.failures >= SUSPECT_FRACTION * (self.successes + self.failures);
        if self.suspicion.is_some() || fails_often || self.streak >= SUSPECT_STREAK {
            self.suspect(now_ms);
        }
    }

    /// Records a run that was so much slower than expected that it was stopped to be moved: the worker is suspected at
    /// once.
    pub(crate) fn record_straggler(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.log_slowdown = self.log_slowdown.max(SLOWDOWN_MAX.ln());
        self.suspect(now_ms);
    }

    /// Whether new runs may be placed on the worker now.
    pub(crate) fn status(&self, now_ms: u64) -> HealthStatus {
        match self.suspicion {
            None => HealthStatus::Healthy,
            Some(suspicion) if now_ms >= suspicion.probation_at_ms => HealthStatus::OnProbation,
            Some(_) => HealthStatus::Suspected,
        }
    }

    /// Records a placed run. On probation its result decides about the worker; until then the worker is suspected
    /// again. If no result comes within the backoff, a new probation begins.
    pub(crate) fn record_placement(&mut self, now_ms: u64) {
        if self.status(now_ms) == HealthStatus::OnProbation
            && let Some(suspicion) = &mut self.suspicion
        {
            (suspicion.is_probing, suspicion.probation_at_ms) =
                (true, now_ms + suspicion.backoff_ms);
        }
    }

    /// Begins or prolongs the suspicion. The backoff doubles if the worker was on probation.
    fn suspect(&mut self, now_ms: u64) {
        let backoff_ms = match self.suspicion {
            None => FIRST_PROBATION_MS,
            Some(former_suspicion)
                if former_suspicion.is_probing || now_ms >= former_suspicion.probation_at_ms =>
            {
                (former_suspicion.backoff_ms * 2).min(PROBATION_BACKOFF_MAX_MS)
            }
            Some(former_suspicion) => former_suspicion.backoff_ms,
        };
        let probation_at_ms = self
            .suspicion
            .map_or(0, |former_suspicion| former_suspicion.probation_at_ms)
            .max(now_ms + backoff_ms);
        self.suspicion = Some(Suspicion {
            probation_at_ms,
            backoff_ms,
            is_probing: false,
        });
    }

    /// Applies the decay since the last update to the weights of successes and failures.
    fn decay(&mut self, now_ms: u64) {
        let kept_fraction =
            0.5f64.powf(now_ms.saturating_sub(self.updated_at_ms) as f64 / HALF_LIFE_MS);
        (self.successes, self.failures, self.updated_at_ms) = (
            self.successes * kept_fraction,
            self.failures * kept_fraction,
            now_ms,
        );
    }
}

#[cfg(test)]
mod tests;

//! Health of a worker, judged by the results of its runs. A worker whose runs fail, hang or are slow is suspected and
//! gets no new runs; after a backoff it is on probation until a run succeeds.

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
const PACE_KEEP: f64 = 0.7;
/// A worker whose mean slowdown exceeds this factor is suspected.
const SLOW_PACE: f64 = 2.5;

/// Decaying statistics of the results of one worker's runs.
#[derive(Debug)]
pub(crate) struct WorkerHealth {
    /// Weight of successes, decaying with [`HALF_LIFE_MS`].
    good: f64,
    /// Weight of failures, decaying with [`HALF_LIFE_MS`].
    bad: f64,
    /// Weight of failures since the last success.
    streak: f64,
    /// Exponential moving average of the logarithm of the slowdown (run time divided by expected run time).
    pace: f64,
    /// When the decay was last applied to the weights, on the steady clock.
    updated_ms: u64,
    /// `None` while the worker is healthy.
    suspected: Option<Suspicion>,
}

/// State of a worker that is suspected or on probation.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    /// When the probation begins.
    probation_ms: u64,
    /// Time from the latest suspicion to probation.
    backoff_ms: u64,
    /// Whether a run was placed on probation whose result is still open.
    probing: bool,
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
            good: 0.0,
            bad: 0.0,
            streak: 0.0,
            pace: 0.0,
            updated_ms: 0,
            suspected: None,
        }
    }
}

impl WorkerHealth {
    /// Records a run that ended `done`. `slowdown` is its run time divided by the expected one; `None` if the run is no
    /// sample of the worker's speed. The success ends a suspicion unless the worker is too slow.
    pub(crate) fn succeeded(&mut self, now_ms: u64, pace: Option<f64>) {
        self.fade(now_ms);
        self.good += 1.0;
        self.streak = 0.0;
        if let Some(pace) = pace {
            let sample = pace.clamp(0.1, 20.0).ln();
            let keep = if self.suspected.is_some() {
                0.0
            } else {
                PACE_KEEP
            };
            self.pace = self.pace * keep + sample * (1.0 - keep);
        }
        if self.pace > SLOW_PACE.ln() {
            self.suspect(now_ms);
        } else if self.suspected.take().is_some() {
            self.bad = 0.0;
        }
    }

    /// Records a run that failed or hung. `is_doubtful`: the cause is probably the job, which has failed on another
    /// worker too, or is long-running.
    pub(crate) fn failed(&mut self, now_ms: u64, is_doubtful: bool) {
        self.fade(now_ms);
        let weight = if is_doubtful { DOUBTFUL_FAILURE } else { 1.0 };
        (self.bad, self.streak) = (self.bad + weight, self.streak + weight);
        let fails_often =
            self.bad >= SUSPECT_WEIGHT && self.bad >= SUSPECT_FRACTION * (self.good + self.bad);
        if self.suspected.is_some() || fails_often || self.streak >= SUSPECT_STREAK {
            self.suspect(now_ms);
        }
    }

    /// Records a run that was so much slower than expected that it was stopped to be moved: the worker is suspected at
    /// once.
    pub(crate) fn too_slow(&mut self, now_ms: u64) {
        self.fade(now_ms);
        self.pace = self.pace.max(SLOW_PACE.ln());
        self.suspect(now_ms);
    }

    /// Whether new runs may be placed on the worker now.
    pub(crate) fn status(&self, now_ms: u64) -> HealthStatus {
        match self.suspected {
            None => HealthStatus::Healthy,
            Some(suspicion) if now_ms >= suspicion.probation_ms => HealthStatus::OnProbation,
            Some(_) => HealthStatus::Suspected,
        }
    }

    /// Records a placed run. On probation its result decides about the worker; until then the worker is suspected
    /// again. If no result comes within the backoff, a new probation begins.
    pub(crate) fn placed(&mut self, now_ms: u64) {
        if self.status(now_ms) == HealthStatus::OnProbation
            && let Some(suspicion) = &mut self.suspected
        {
            (suspicion.probing, suspicion.probation_ms) = (true, now_ms + suspicion.backoff_ms);
        }
    }

    /// Begins or prolongs the suspicion. The backoff doubles if the worker was on probation.
    fn suspect(&mut self, now_ms: u64) {
        let backoff_ms = match self.suspected {
            None => FIRST_PROBATION_MS,
            Some(before) if before.probing || now_ms >= before.probation_ms => {
                (before.backoff_ms * 2).min(PROBATION_BACKOFF_MAX_MS)
            }
            Some(before) => before.backoff_ms,
        };
        let probation_ms = self
            .suspected
            .map_or(0, |before| before.probation_ms)
            .max(now_ms + backoff_ms);
        self.suspected = Some(Suspicion {
            probation_ms,
            backoff_ms,
            probing: false,
        });
    }

    /// Applies the decay since the last update to the weights of successes and failures.
    fn fade(&mut self, now_ms: u64) {
        let keep = 0.5f64.powf(now_ms.saturating_sub(self.updated_ms) as f64 / HALF_LIFE_MS);
        (self.good, self.bad, self.updated_ms) = (self.good * keep, self.bad * keep, now_ms);
    }
}

#[cfg(test)]
mod tests;

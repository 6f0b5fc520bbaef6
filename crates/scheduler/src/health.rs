//! A worker's health by the results of its runs: one that fails, hangs or is slow is suspected, and later used on
//! probation until a run succeeds.

/// Older results lose half of their weight in this time.
const HALF_LIFE_MS: f64 = 8_000.0;
/// Weight of failures from which on a worker may be suspected.
const SUSPECT_WEIGHT: f64 = 2.5;
/// Fraction of failures among its results from which on a worker is suspected.
const SUSPECT_FRACTION: f64 = 0.4;
/// So many failures in a row make a worker suspected whatever it did before.
const SUSPECT_STREAK: f64 = 3.0;
/// Weight of a failure of a job that has failed elsewhere too: rather the job's own fault.
const DOUBTFUL_FAILURE: f64 = 0.15;
/// Time from suspicion to probation; it doubles each time the run on probation fails.
const FIRST_PROBATION_MS: u64 = 4_000;
/// Longest time from suspicion to probation.
const PROBATION_BACKOFF_MAX_MS: u64 = 30_000;
/// Weight of the former pace in the exponential mean.
const PACE_KEEP: f64 = 0.7;
/// A worker whose runs take so many times as long as expected is suspected.
const SLOW_PACE: f64 = 2.5;

/// Results of one worker's runs.
#[derive(Debug)]
pub(crate) struct WorkerHealth {
    /// Weight of successes; older ones fade.
    good: f64,
    /// Weight of failures; older ones fade.
    bad: f64,
    /// Weight of failures since the last success.
    streak: f64,
    /// Logarithm of run times against what was expected.
    pace: f64,
    /// When the weights were faded last, on the steady clock.
    updated_ms: u64,
    suspected: Option<Suspicion>,
}

/// What is known of a suspected worker.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    /// When probation begins.
    probation_ms: u64,
    /// Time from suspicion to probation.
    backoff_ms: u64,
    /// The run on probation was placed, and has not ended yet.
    probing: bool,
}

/// Whether new runs are placed on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthStatus {
    /// Like any other.
    Healthy,
    /// One run at a time, to see whether it has recovered.
    OnProbation,
    /// Only if nothing else is left.
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
    /// A run there ended `done` after `pace` times the time expected.
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

    /// A run there failed or hung; `is_doubtful`: the cause may be the job, which has failed on another worker too, or is
    /// long-running.
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

    /// A run there was so much slower than expected that it was moved.
    pub(crate) fn too_slow(&mut self, now_ms: u64) {
        self.fade(now_ms);
        self.pace = self.pace.max(SLOW_PACE.ln());
        self.suspect(now_ms);
    }

    /// Whether new runs are placed there now.
    pub(crate) fn status(&self, now_ms: u64) -> HealthStatus {
        match self.suspected {
            None => HealthStatus::Healthy,
            Some(suspicion) if now_ms >= suspicion.probation_ms => HealthStatus::OnProbation,
            Some(_) => HealthStatus::Suspected,
        }
    }

    /// A run was placed there: on probation, the one that decides. If its end is never reported, another probation
    /// follows.
    pub(crate) fn placed(&mut self, now_ms: u64) {
        if self.status(now_ms) == HealthStatus::OnProbation
            && let Some(suspicion) = &mut self.suspected
        {
            (suspicion.probing, suspicion.probation_ms) = (true, now_ms + suspicion.backoff_ms);
        }
    }

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

    fn fade(&mut self, now_ms: u64) {
        let keep = 0.5f64.powf(now_ms.saturating_sub(self.updated_ms) as f64 / HALF_LIFE_MS);
        (self.good, self.bad, self.updated_ms) = (self.good * keep, self.bad * keep, now_ms);
    }
}

#[cfg(test)]
mod tests;

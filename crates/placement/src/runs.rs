//! Estimators of run times: how long the jobs of a class run and how fast the workers of a kind are, by weighted means
//! of the logarithms of run times; and the weight of an update about occupied slots by its age.

use serde::{Deserialize, Serialize};

/// Microseconds on a monotonic clock.
pub type Time = u64;

/// Decay factor of the weight of older run times at each new one.
pub const RUN_TIME_DECAY: f64 = 0.99;
/// Weight of the neutral prior (speed 1) of a kind's speed, as a number of run times.
const PRIOR_WEIGHT: f64 = 5.0;

/// Age, in microseconds, at which an update about other dispatchers' slots has lost all its weight.
const UPDATE_AGE_MAX_US: Time = 2_000_000;

/// Weight of an update received at `since`: 1 when it is new, decreasing linearly to 0.
pub fn freshness(now: Time, since: Time) -> f64 {
    (1.0 - now.saturating_sub(since) as f64 / UPDATE_AGE_MAX_US as f64).max(0.0)
}

/// Exponentially weighted sum of measured values and of their weights. Serialized as a pair (weight, sum).
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct WeightedSum {
    /// Sum of the weights of the values; the latest value has weight 1.
    pub weight: f64,
    /// Sum of the values, each multiplied by its weight.
    pub sum: f64,
}

impl From<(f64, f64)> for WeightedSum {
    fn from((weight, sum): (f64, f64)) -> Self {
        WeightedSum { weight, sum }
    }
}

impl From<WeightedSum> for (f64, f64) {
    fn from(value: WeightedSum) -> Self {
        (value.weight, value.sum)
    }
}

impl WeightedSum {
    /// Adds a value with weight 1; the weights of older values are multiplied by `keep`.
    pub fn add(&mut self, keep: f64, value: f64) {
        self.weight = self.weight * keep + 1.0;
        self.sum = self.sum * keep + value;
    }

    /// The same values with their weights multiplied by `keep`.
    #[must_use]
    pub fn faded(self, keep: f64) -> Self {
        WeightedSum {
            weight: self.weight * keep,
            sum: self.sum * keep,
        }
    }
}

/// Weighted sums of run times at mean speed and of their estimates (1 where there is none), in microseconds. Serialized
/// as a pair (run, estimate).
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
struct EstimatedRuns {
    run: f64,
    estimate: f64,
}

impl From<(f64, f64)> for EstimatedRuns {
    fn from((run, estimate): (f64, f64)) -> Self {
        EstimatedRuns { run, estimate }
    }
}

impl From<EstimatedRuns> for (f64, f64) {
    fn from(value: EstimatedRuns) -> Self {
        (value.run, value.estimate)
    }
}

/// Estimator of the speed of the workers of a kind, relative to the mean of all kinds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Speed {
    /// Logarithms of run times relative to the class's mean.
    log: WeightedSum,
    /// Speed of the kind: 1 is the mean of all kinds.
    pub speed: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Speed {
            log: WeightedSum::default(),
            speed: 1.0,
        }
    }
}

/// Estimator of the run time of the jobs of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Logarithms of run times at mean speed, each minus the logarithm of the client's estimate.
    log: WeightedSum,
    /// Run times at mean speed and their estimates.
    work: EstimatedRuns,
}

impl Speed {
    /// Weight of the observed run times, as a number of run times.
    pub fn weight(&self) -> f64 {
        self.log.weight
    }

    /// The same speed with the weight of its run times multiplied by `keep`.
    #[must_use]
    pub fn faded(self, keep: f64) -> Self {
        Speed {
            log: self.log.faded(keep),
            ..self
        }
    }
}

impl Work {
    /// Weight of the observed run times, as a number of run times.
    pub fn weight(&self) -> f64 {
        self.log.weight
    }

    /// The same run times with their weight multiplied by `keep`.
    #[must_use]
    pub fn faded(self, keep: f64) -> Self {
        Work {
            log: self.log.faded(keep),
            work: EstimatedRuns {
                run: self.work.run * keep,
                estimate: self.work.estimate * keep,
            },
        }
    }

    /// Creates the prior of a class without observed run times: its jobs are assumed to run for `run` microseconds.
    pub fn of(run: Time) -> Self {
        Work {
            work: EstimatedRuns {
                run: run.max(1) as f64,
                estimate: 1.0,
            },
            ..Default::default()
        }
    }

    /// Mean run time at mean speed, in microseconds, of a job with the client's `estimate`.
    pub fn mean(&self, estimate: Option<Time>) -> f64 {
        match estimate {
            Some(e) if self.log.weight == 0.0 => e as f64,
            e => e.unwrap_or(1) as f64 * self.work.run / self.work.estimate,
        }
    }
}

/// Updates the estimators with one run of a job of `class` on a worker of `kind`. `run` is its run time and `estimate`
/// the client's estimate, if any, both in microseconds. `all` accumulates the run times at mean speed of all classes.
pub fn record_run(
    kind: &mut Speed,
    class: &mut Work,
    all: &mut WeightedSum,
    estimate: Option<Time>,
    run: Time,
) {
    let (speed, base) = (kind.speed, estimate.map_or(1.0, |e| e as f64));
    let (log, at_mean_speed) = ((run.max(1) as f64 / base).ln(), run as f64 * speed);
    let (old, mean) = if class.log.weight == 0.0 {
        (EstimatedRuns::default(), log + speed.ln())
    } else {
        (class.work, class.log.sum / class.log.weight)
    };
    class.work = EstimatedRuns {
        run: old.run * RUN_TIME_DECAY + at_mean_speed,
        estimate: old.estimate * RUN_TIME_DECAY + base,
    };
    class.log.add(RUN_TIME_DECAY, log + speed.ln());
    all.add(RUN_TIME_DECAY, at_mean_speed);
    kind.log.add(RUN_TIME_DECAY, log - mean);
    kind.speed = (-kind.log.sum / (kind.log.weight + PRIOR_WEIGHT)).exp();
}

//! Estimators of run times: how long the jobs of a class run and how fast the workers of a kind are, by weighted means of
//! the logarithms of run times; and the weight of an update about occupied slots by its age.

use serde::{Deserialize, Serialize};

/// Microseconds on a monotonic clock.
pub type Time = u64;

/// Factor on the weight of older run times at each new one.
pub const KEEP: f64 = 0.99;
/// Weight of the neutral prior of a kind's speed, in run times.
const PRIOR_WEIGHT: f64 = 5.0;

/// Age at which an update about other dispatchers' slots has lost all its weight, in microseconds.
const UPDATE_AGE_MAX_US: Time = 2_000_000;

/// Weight of an update received at `since`: 1 when it is new, falling linearly to 0.
pub fn fresh(now: Time, since: Time) -> f64 {
    (1.0 - now.saturating_sub(since) as f64 / UPDATE_AGE_MAX_US as f64).max(0.0)
}

/// Weight and sum of measured values; older ones weigh less.
pub type Sum = (f64, f64);

/// Adds a value; the weight of older ones is multiplied by `keep`.
pub fn add(to: &mut Sum, keep: f64, value: f64) {
    *to = (to.0 * keep + 1.0, to.1 * keep + value);
}

/// How fast the workers of a kind are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Speed {
    /// Logarithms of run times relative to the class's mean.
    log: Sum,
    /// The speed relative to all kinds that follows from `log`.
    pub speed: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Speed {
            log: (0.0, 0.0),
            speed: 1.0,
        }
    }
}

/// How long the jobs of a class run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Logarithms of run times at mean speed, less the logarithm of the estimate.
    log: Sum,
    /// Sums of run times at mean speed and of their estimates (1 where there are none).
    work: Sum,
}

impl Speed {
    /// Weight of the run times observed, in run times.
    pub fn weight(&self) -> f64 {
        self.log.0
    }

    /// The same speed with its weight multiplied by `keep`.
    #[must_use]
    pub fn faded(self, keep: f64) -> Self {
        Speed {
            log: (self.log.0 * keep, self.log.1 * keep),
            ..self
        }
    }
}

impl Work {
    /// Weight of the run times observed, in run times.
    pub fn weight(&self) -> f64 {
        self.log.0
    }

    /// The same run times with their weight multiplied by `keep`.
    #[must_use]
    pub fn faded(self, keep: f64) -> Self {
        let scaled = |sum: Sum| (sum.0 * keep, sum.1 * keep);
        Work {
            log: scaled(self.log),
            work: scaled(self.work),
        }
    }

    /// The prior for a class without observed run times: its jobs take `run` microseconds.
    pub fn of(run: Time) -> Self {
        Work {
            work: (run.max(1) as f64, 1.0),
            ..Default::default()
        }
    }

    /// Mean run time at mean speed, in microseconds, of a job with the client's `estimate`.
    pub fn mean(&self, estimate: Option<Time>) -> f64 {
        match estimate {
            Some(e) if self.log.0 == 0.0 => e as f64,
            e => e.unwrap_or(1) as f64 * self.work.0 / self.work.1,
        }
    }
}

/// Updates the estimators with a run of a job of `class`, with the client's `estimate`, on a worker of `kind`.
/// `all` sums up run times at mean speed.
pub fn learn(kind: &mut Speed, class: &mut Work, all: &mut Sum, estimate: Option<Time>, run: Time) {
    let (speed, base) = (kind.speed, estimate.map_or(1.0, |e| e as f64));
    let (log, at_mean_speed) = ((run.max(1) as f64 / base).ln(), run as f64 * speed);
    let known = (class.work, class.log.1 / class.log.0);
    let (old, mean) = if class.log.0 == 0.0 {
        ((0.0, 0.0), log + speed.ln())
    } else {
        known
    };
    class.work = (old.0 * KEEP + at_mean_speed, old.1 * KEEP + base);
    add(&mut class.log, KEEP, log + speed.ln());
    add(all, KEEP, at_mean_speed);
    add(&mut kind.log, KEEP, log - mean);
    kind.speed = (-kind.log.1 / (kind.log.0 + PRIOR_WEIGHT)).exp();
}

//! Affinity: jobs with the same affinity need the same data. This module computes the preferred worker of an affinity
//! (weighted rendezvous hashing) and the cost of sending a job elsewhere. Workers cache the data of recent jobs; a
//! worker that lacks a job's data fetches it while the job occupies its slot. The dispatcher makes the decisions.

use crate::ids::{Time, WorkerId};
use crate::runs::WeightedSum;
use crate::transferred_job::Progress;
use serde::{Deserialize, Serialize};

/// Decay factor of older fetch times at each new one: about the last fifty count.
const FETCH_DECAY: f64 = 0.98;
/// Fetches shorter than this fraction of a run time cannot be told apart from the noise of run times.
const FETCH_NOISE: f64 = 0.01;
/// Weight of measured fetch times needed before fetches may be considered free.
const FREE_FETCH_SAMPLES: f64 = 10.0;
/// Decay factor of the smoothed weights at each new solution: about the last twenty count.
const WEIGHT_DECAY: f64 = 0.95;
/// Lower bound of the fraction of work left after the first progress report. It avoids a division by zero when that
/// report says that all work is done.
const REMAINING_WORK_MIN: f64 = 1e-9;

/// Hashes a pair to a number in (0, 1), uniformly distributed and the same at every dispatcher (finalizer of
/// splitmix64, by Steele, Lea and Flood).
pub fn hash(affinity: u64, with: u64) -> f64 {
    let mut z = affinity ^ with.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (((z ^ (z >> 31)) >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}

/// Returns the position in `candidates` (pairs of id and weight) that an affinity maps to; `None` if there are no
/// candidates. Weighted rendezvous hashing: over many affinities each candidate is drawn in proportion to its weight,
/// and a change of one weight moves only affinities from or to that candidate.
pub fn draw(affinity: u64, candidates: impl Iterator<Item = (u64, f64)>) -> Option<usize> {
    let score = |(id, weight): (u64, f64)| -hash(affinity, id).ln() / weight.max(f64::MIN_POSITIVE);
    candidates
        .map(score)
        .enumerate()
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(position, _)| position)
}

/// The rank of a worker for an affinity: workers of smaller rank are preferred.
pub fn rank(affinity: u64, worker: WorkerId) -> f64 {
    hash(affinity, u64::from(worker) << 16)
}

/// Estimates how long a job's fetch took, in microseconds, from its first progress report. The job is assumed to run at
/// constant speed: the time after the report gives the time that the reported work had taken, and the rest of the time
/// before the report was the fetch. `None` if there was no report between start and end.
pub fn fetch_time(started: Time, first: Option<Progress>, ended: Time) -> Option<f64> {
    let Progress { at, done } = first.filter(|first| (started..ended).contains(&first.at))?;
    let ran = done * (ended - at) as f64 / (1.0 - done).max(REMAINING_WORK_MIN);
    Some(((at - started) as f64 - ran).max(0.0))
}

/// Weights of kinds, smoothed over the solutions of problem (1) so that affinities rarely change their kind.
#[derive(Clone, Debug, Default)]
pub struct SmoothedWeights(Vec<f64>);

impl SmoothedWeights {
    /// Moves the weights towards the latest solution. If the number of kinds has changed, the solution replaces them.
    pub fn follow(&mut self, latest: &[f64]) {
        let keep = if self.0.len() == latest.len() {
            WEIGHT_DECAY
        } else {
            0.0
        };
        self.0.resize(latest.len(), 0.0);
        for (weight, latest) in self.0.iter_mut().zip(latest) {
            *weight = keep * *weight + (1.0 - keep) * latest;
        }
    }

    /// The weights, indexed by kind.
    pub fn as_slice(&self) -> &[f64] {
        &self.0
    }

    /// The weight of a kind; 0 if the kind has none.
    pub fn get(&self, kind: usize) -> f64 {
        self.0.get(kind).copied().unwrap_or(0.0)
    }

    /// Sets the weight of one of `kinds` kinds.
    pub fn set(&mut self, kind: usize, kinds: usize, weight: f64) {
        self.0.resize(kinds, 0.0);
        self.0[kind] = weight;
    }
}

/// Recent cost of sending a job to a worker other than the home worker of its affinity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fetches {
    /// Fetch times of jobs sent to another worker, in microseconds.
    away: WeightedSum,
}

impl Fetches {
    /// Records a job that was sent to another worker and fetched its data for `duration` microseconds.
    pub fn record_fetch(&mut self, duration: f64) {
        self.away.add(FETCH_DECAY, duration);
    }

    /// Mean fetch time of a job sent to another worker, in microseconds; 0 while none has been measured.
    pub fn cost(&self) -> f64 {
        self.away.sum / self.away.weight.max(1.0)
    }

    /// The same mean cost, with its weight multiplied by `keep`.
    pub fn faded(self, keep: f64) -> Self {
        Fetches {
            away: self.away.faded(keep),
        }
    }

    /// Whether enough fetches have been measured to show that they are negligible for jobs with this mean run time, in
    /// microseconds.
    pub fn are_negligible(&self, run: f64) -> bool {
        self.away.weight >= FREE_FETCH_SAMPLES && self.cost() < FETCH_NOISE * run
    }
}

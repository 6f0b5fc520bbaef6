//! Jobs with an affinity, that is, jobs that need the same data: which worker they go to first (weighted rendezvous
//! hashing), and what it costs to send them elsewhere. Workers keep the data of recent jobs; a worker that lacks a
//! job's data fetches it while the job holds its slot. Nothing here decides; the dispatcher asks.

use crate::ids::{Time, WorkerId};
use crate::runs::WeightedSum;
use crate::transferred_job::Progress;
use serde::{Deserialize, Serialize};

/// Weight that older measurements keep at each new one: about the last fifty count.
const FETCH_KEEP: f64 = 0.98;
/// Fetches shorter than this fraction of a run cannot be told from its noise.
const FETCH_NOISE: f64 = 0.01;
/// Measurements that must agree before fetches are taken to cost nothing.
const FREE_FETCH_SAMPLES: f64 = 10.0;
/// Weight that the smoothed weights keep at each new solution: about the last twenty count.
const WEIGHT_KEEP: f64 = 0.95;
/// Least fraction of the work after the first progress report, so that a report of all work done divides by no zero.
const REST_MIN: f64 = 1e-9;

/// A number in (0, 1) for a pair, evenly distributed and the same at every dispatcher (finalizer of splitmix64, by
/// Steele, Lea and Flood).
pub fn hash(affinity: u64, with: u64) -> f64 {
    let mut z = affinity ^ with.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (((z ^ (z >> 31)) >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}

/// The position among `candidates` (pairs of id and weight) that an affinity draws; `None` if there are none. Weighted
/// rendezvous hashing: over many affinities each candidate is drawn in proportion to its weight, and a change of one
/// weight moves only affinities from or to that candidate.
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

/// How long a job's fetch took, in microseconds, from its first progress report: after that report it ran evenly, which
/// tells how long the reported work had taken, and the rest of the time before it was the fetch. `None` where there was
/// no report between start and end.
pub fn fetch_time(started: Time, first: Option<Progress>, ended: Time) -> Option<f64> {
    let Progress { at, done } = first.filter(|first| (started..ended).contains(&first.at))?;
    let ran = done * (ended - at) as f64 / (1.0 - done).max(REST_MIN);
    Some(((at - started) as f64 - ran).max(0.0))
}

/// Weights of kinds that follow the solutions of problem (1) slowly, so that affinities seldom change their kind.
#[derive(Clone, Debug, Default)]
pub struct SmoothedWeights(Vec<f64>);

impl SmoothedWeights {
    /// Moves towards the latest solution; one for another number of kinds replaces the weights.
    pub fn follow(&mut self, latest: &[f64]) {
        let keep = if self.0.len() == latest.len() {
            WEIGHT_KEEP
        } else {
            0.0
        };
        self.0.resize(latest.len(), 0.0);
        for (weight, latest) in self.0.iter_mut().zip(latest) {
            *weight = keep * *weight + (1.0 - keep) * latest;
        }
    }

    /// The weights in the order of the kinds.
    pub fn as_slice(&self) -> &[f64] {
        &self.0
    }

    /// The weight of a kind; 0 for one without a weight.
    pub fn get(&self, kind: usize) -> f64 {
        self.0.get(kind).copied().unwrap_or(0.0)
    }

    /// Replaces the weight of a kind, where there are `kinds` of them.
    pub fn set(&mut self, kind: usize, kinds: usize, weight: f64) {
        self.0.resize(kinds, 0.0);
        self.0[kind] = weight;
    }
}

/// Recent cost of sending a job to another worker than the first one of its affinity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fetches {
    /// Weight and sum of the fetch times of jobs sent elsewhere, in microseconds.
    away: WeightedSum,
}

impl Fetches {
    /// Counts a job that was sent elsewhere and fetched its data for `took` microseconds.
    pub fn sent_away(&mut self, took: f64) {
        self.away.add(FETCH_KEEP, took);
    }

    /// Mean fetch time of a job sent elsewhere, in microseconds; 0 while none is known.
    pub fn cost(&self) -> f64 {
        self.away.sum / self.away.weight.max(1.0)
    }

    /// The same cost with this fraction of its weight.
    pub fn faded(self, keep: f64) -> Self {
        Fetches {
            away: self.away.faded(keep),
        }
    }

    /// Whether it is known that jobs with this mean run time, in microseconds, fetch nothing.
    pub fn none(&self, run: f64) -> bool {
        self.away.weight >= FREE_FETCH_SAMPLES && self.cost() < FETCH_NOISE * run
    }
}

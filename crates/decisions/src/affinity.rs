//! Jobs that are about the same thing: where they go first, and what it costs to send them elsewhere. Workers keep
//! what a job needs for a while and fetch what they lack while the job holds its slot. Nothing here decides; the
//! decision module asks.

use crate::ids::{Time, WorkerId};
use crate::runs::{self, Sum};
use serde::{Deserialize, Serialize};

/// Weight that older measurements keep at each new one: some fifty count.
const KEEP: f64 = 0.98;
/// Fetches shorter than this part of a run are not told from its noise.
const NOISE: f64 = 0.01;
/// Measurements that must agree before fetches are taken to cost nothing.
const SURE: f64 = 10.0;

/// A number in (0, 1) for a pair, evenly spread: the same for every dispatcher that asks (splitmix64's finish).
pub fn hash(subject: u64, with: u64) -> f64 {
    let mut z = subject ^ with.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (((z ^ (z >> 31)) >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}

/// The place in the list that a subject draws where place n has this weight (weighted rendezvous hashing: over many
/// subjects n is drawn in proportion to it, and a change of one weight moves only subjects from or to that place).
pub fn draw(subject: u64, places: impl Iterator<Item = (u64, f64)>) -> Option<usize> {
    let time = |(id, weight): (u64, f64)| -hash(subject, id).ln() / weight.max(f64::MIN_POSITIVE);
    places
        .map(time)
        .enumerate()
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(n, _)| n)
}

/// Where a worker stands in a subject's order: smaller goes first.
pub fn rank(subject: u64, worker: WorkerId) -> f64 {
    hash(subject, u64::from(worker) << 16)
}

/// How long a job's fetch took, where it ended after having told a share done: from there on the run was even, so that
/// it tells how long the share had taken. `None` where nothing was told, or no time passed since.
pub fn fetch_time(started: Time, told: Option<(Time, f64)>, ended: Time) -> Option<f64> {
    let (at, fraction) = told.filter(|(at, _)| (started..ended).contains(at))?;
    let ran = fraction * (ended - at) as f64 / (1.0 - fraction).max(1e-9);
    Some(((at - started) as f64 - ran).max(0.0))
}

/// Weights that follow others slowly, so that what is drawn by them seldom moves.
#[derive(Clone, Debug, Default)]
pub struct Steady(pub Vec<f64>);

impl Steady {
    /// Weight that the average keeps at each new solution: some twenty count.
    const KEEP: f64 = 0.95;

    /// Takes the latest solution; one with another number of places is taken as it is.
    pub fn follow(&mut self, latest: &[f64]) {
        let keep = if self.0.len() == latest.len() {
            Self::KEEP
        } else {
            0.0
        };
        self.0.resize(latest.len(), 0.0);
        self.0
            .iter_mut()
            .zip(latest)
            .for_each(|(kept, now)| *kept = keep * *kept + (1.0 - keep) * now);
    }
}

/// What sending a job away from where its like goes first has cost of late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fetches {
    away: Sum, // weight and sum of what jobs sent elsewhere took to fetch
}

impl Fetches {
    /// A job sent elsewhere than to the first worker of its subject took this long to fetch what it needs.
    pub fn sent_away(&mut self, took: f64) {
        runs::add(&mut self.away, KEEP, took);
    }

    /// Mean time that a job sent elsewhere takes to fetch; 0 while nothing is known.
    pub fn cost(&self) -> f64 {
        self.away.1 / self.away.0.max(1.0)
    }

    /// The same cost with this part of the weight.
    pub fn faded(self, keep: f64) -> Self {
        Fetches {
            away: (self.away.0 * keep, self.away.1 * keep),
        }
    }

    /// It is known that jobs of this mean run need nothing that workers keep.
    pub fn none(&self, run: f64) -> bool {
        self.away.0 >= SURE && self.cost() < NOISE * run
    }
}

//! The probability of each kind to be drawn, `p_k` of problem (1).

use crate::affinity::SmoothedWeights;

/// The latest solution, and its average over a longer time.
#[derive(Default)]
pub(super) struct KindWeights {
    /// `p_k` of the latest solution.
    solved: Vec<f64>,
    /// `p_k` averaged for longer: requests with an affinity seldom move.
    smoothed: SmoothedWeights,
}

impl KindWeights {
    /// Takes the latest solution.
    pub(super) fn update(&mut self, solved: Vec<f64>) {
        self.solved = solved;
        self.smoothed.follow(&self.solved);
    }

    /// The latest solution, in the order of the kinds.
    pub(super) fn solved(&self) -> &[f64] {
        &self.solved
    }

    /// The average, in the order of the kinds.
    pub(super) fn smoothed(&self) -> &[f64] {
        self.smoothed.as_slice()
    }

    /// The average of one kind; 0 where there is none.
    pub(super) fn smoothed_of(&self, kind: usize) -> f64 {
        self.smoothed.get(kind)
    }

    /// Replaces the average of one kind, where there are `kinds` of them.
    pub(super) fn set_smoothed(&mut self, kind: usize, kinds: usize, weight: f64) {
        self.smoothed.set(kind, kinds, weight);
    }
}

//! The probability `p_k` that each kind of workers is drawn. It is the solution of the optimisation problem (1) of
//! hybrid SQ(d), which [`indigofold_placement::solve::solve`] states and solves.

use crate::affinity::SmoothedWeights;

/// The latest solution, and its moving average.
#[derive(Default)]
pub(super) struct KindWeights {
    /// `p_k` of the latest solution.
    solved: Vec<f64>,
    /// Moving average of `p_k`, used for requests with an affinity so that they rarely change their kind.
    smoothed: SmoothedWeights,
}

impl KindWeights {
    /// Stores the latest solution and updates the average.
    pub(super) fn update(&mut self, solved: Vec<f64>) {
        self.solved = solved;
        self.smoothed.follow(&self.solved);
    }

    /// The latest solution, indexed by kind.
    pub(super) fn solved(&self) -> &[f64] {
        &self.solved
    }

    /// The moving average, indexed by kind.
    pub(super) fn smoothed(&self) -> &[f64] {
        self.smoothed.as_slice()
    }

    /// The moving average of one kind; 0 if it has none.
    pub(super) fn smoothed_of(&self, kind: usize) -> f64 {
        self.smoothed.get(kind)
    }

    /// Sets the moving average of one of `kinds` kinds.
    pub(super) fn set_smoothed(&mut self, kind: usize, kinds: usize, weight: f64) {
        self.smoothed.set(kind, kinds, weight);
    }
}

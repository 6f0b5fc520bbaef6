//! A seeded random number generator (`SplitMix64`).

/// A reproducible sequence of random numbers.
pub(super) struct SeededRandom(u64);

impl SeededRandom {
    /// Creates the sequence of this seed.
    pub(super) fn new(seed: u64) -> Self {
        SeededRandom(seed)
    }

    /// The next number, below `bound`.
    pub(super) fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    /// Chooses one of `choices`, which must not be empty.
    pub(super) fn choose<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len() as u64) as usize]
    }
}

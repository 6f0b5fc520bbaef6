//! Random draws: a separate generator for each number and purpose, so that two runs of the same load draw the same values.

pub use indigofold_traffic::order::unit;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;

/// Returns the generator for one item (a job or worker, by its number) and one purpose, a constant of the caller.
pub fn draw(seed: u64, number: u64, purpose: u64) -> Pcg64Mcg {
    let mixed = seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ purpose.rotate_left(48);
    Pcg64Mcg::seed_from_u64(mixed)
}

/// Draws uniformly from `low` (inclusive) to `high`.
pub fn between(rng: &mut Pcg64Mcg, low: f64, high: f64) -> f64 {
    low + (high - low) * unit(rng)
}

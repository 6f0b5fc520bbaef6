//! Random draws: one generator for each number and purpose, so that two runs of one load draw the same.

pub use indigofold_traffic::order::unit;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;

/// The generator of one job, or whatever has the number, and one purpose.
pub fn draw(seed: u64, number: u64, purpose: u64) -> Pcg64Mcg {
    let mixed = seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ purpose.rotate_left(48);
    Pcg64Mcg::seed_from_u64(mixed)
}

/// A uniform draw between two values.
pub fn between(rng: &mut Pcg64Mcg, low: f64, high: f64) -> f64 {
    low + (high - low) * unit(rng)
}

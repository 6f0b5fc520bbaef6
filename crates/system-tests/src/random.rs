//! Random numbers that differ between tests and between runs of a test. They need not be unpredictable, only distinct.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};

/// A new random number at each call.
pub fn number() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// A random number below `bound`.
pub fn below(bound: u64) -> u64 {
    number() % bound
}

/// A random job id: 16 hexadecimal digits.
pub fn job_id() -> String {
    format!("{:016x}", number())
}
